//! The relay tree, over which changes are pushed to the agents, after Plumtree (Leitão, Pereira and
//! Rodrigues 2007).
//!
//! An agent is the child of one neighbour, its parent, and receives announcements from all others.
//! It grafts another neighbour when the parent is silent or detached, or when another path from the
//! root is better. Each agent sends its path from the root to its neighbours, so that no node takes
//! one of its own descendants as its parent.
//!
//! One agent of a region, the region head, has a parent outside, the others have parents inside. As
//! in the spanning tree protocol (Perlman 1985), a path carries the scores of its region head and
//! zone head, and the lower score wins: of two agents with a parent outside, the one with the
//! higher score learns of the lower score and takes a parent inside. Zones have heads in the same
//! way: a parent in the zone is preferred to one elsewhere in the region, so that one agent of a
//! zone has a parent outside.

use std::net::SocketAddr;
use std::time::Duration;

use super::state::LostParent;
use super::{Action, Overlay};
use crate::link::Link;
use crate::message::Message;
use crate::node::Descriptor;
use crate::position::TreePosition;

impl Overlay {
    /// Checks the parent and grafts a better one where there is one.
    pub(super) fn review_parent(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.local_node.is_coordinator() {
            return;
        }
        self.break_loop(now, out);
        self.update_position(now);
        if self
            .tree
            .pending_graft
            .is_some_and(|graft| graft.deadline <= now)
        {
            self.abandon_graft(now);
        }
        if self.tree.pending_graft.is_some() {
            return;
        }
        if let Some(better) = self.better_parent(now) {
            return self.graft(now, better, out);
        }
        if self.may_attach_remotely(now) {
            self.seek_remote_parent(now, out);
        }
    }

    /// Time by which the parent must be reviewed; `None` on a coordinator or if no deadline is set.
    pub(super) fn next_parent_review(&self, now: Duration) -> Option<Duration> {
        if self.local_node.is_coordinator() {
            return None;
        }
        let attached = self.tree.position.is_attached();
        let suspect_at = self
            .parent_link()
            .filter(|_| attached)
            .map(|link| link.last_received + self.settings.suspect_timeout);
        let graft_deadline = self.tree.pending_graft.map(|graft| graft.deadline);
        let deadlines = [suspect_at, graft_deadline, self.next_remote_attempt(now)];
        deadlines.into_iter().flatten().min()
    }

    /// Sets whether this coordinator is in contact with a majority. A coordinator that loses
    /// contact stops being a root at once, and becomes one again as soon as contact is restored.
    pub(super) fn set_in_contact(&mut self, now: Duration, in_contact: bool) {
        if !self.local_node.is_coordinator() || self.in_contact == in_contact {
            return;
        }
        self.in_contact = in_contact;
        self.schedule.root_heartbeat = now;
        if !self.settings.guards.contact {
            return;
        }
        self.tree.position = TreePosition::Root { in_contact };
        self.request_heartbeats();
    }

    /// Drops a parent whose own path contains this node.
    fn break_loop(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(parent) = self.tree.parent else {
            return;
        };
        if self
            .parent_link()
            .is_some_and(|link| link.position.path_contains(self.local_node.id()))
        {
            self.tree.parent = None;
            self.send(now, parent, Message::Prune, out);
        }
    }

    /// Recomputes the position of this agent. If it has changed, a heartbeat becomes pending on all
    /// links.
    pub(super) fn update_position(&mut self, now: Duration) {
        let position = self.derived_position(now);
        if position.is_in_contact() {
            self.tree.orphaned_since = None;
            self.tree.last_remote_attempt = None;
        } else {
            self.tree.orphaned_since.get_or_insert(now);
        }
        if position == self.tree.position {
            return;
        }
        self.tree.position = position;
        self.request_heartbeats();
    }

    /// Marks a heartbeat as pending on all links, as the local position has changed.
    fn request_heartbeats(&mut self) {
        for link in self.links.values_mut() {
            link.heartbeat_pending = true;
        }
    }

    /// The position of this agent as derived from the position of its parent. An agent whose parent
    /// is suspect, or that would be deeper than `max_depth`, is detached.
    pub(super) fn derived_position(&self, now: Duration) -> TreePosition {
        let parent = self.parent_link();
        let Some(link) = parent.filter(|link| !self.is_suspect(now, link)) else {
            return TreePosition::Detached;
        };
        let Some(node) = link.node else {
            return TreePosition::Detached;
        };
        let position = link.position.child_position(&node, &self.local_node);
        if position
            .depth()
            .is_some_and(|depth| depth > self.settings.max_depth)
        {
            TreePosition::Detached
        } else {
            position
        }
    }

    /// Handles the loss of the link with `peer`.
    pub(super) fn on_link_lost(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        node: Option<Descriptor>,
    ) {
        if self
            .tree
            .pending_graft
            .is_some_and(|graft| graft.peer == peer)
        {
            self.tree.pending_graft = None;
        }
        if self.tree.parent == Some(peer) {
            self.tree.parent = None;
            self.tree.lost_parent = node.map(|node| LostParent {
                node: node.id(),
                avoid_until: now + self.settings.suspect_timeout,
            });
            self.tree.orphaned_since.get_or_insert(now);
        }
    }

    /// The link with the parent.
    pub(super) fn parent_link(&self) -> Option<&Link> {
        self.tree.parent.and_then(|parent| self.links.get(&parent))
    }

    /// Whether the neighbour has been silent for too long to become or to remain the parent.
    pub(super) fn is_silent(&self, now: Duration, peer: SocketAddr, link: &Link) -> bool {
        let is_parent = self.tree.parent == Some(peer);
        link.last_received + self.settings.lazy_suspect_timeout <= now
            || is_parent && self.is_suspect(now, link)
    }

    /// Whether the parent on this link has been silent for too long.
    pub(super) fn is_suspect(&self, now: Duration, link: &Link) -> bool {
        self.settings.guards.suspicion && link.last_received + self.settings.suspect_timeout <= now
    }

    /// Whether `node` is in the region of this node.
    pub(super) fn is_in_region(&self, node: &Descriptor) -> bool {
        node.locality.same_region(self.local_node.locality)
    }

    /// Whether `node` is in the zone of this node.
    pub(super) fn is_in_zone(&self, node: &Descriptor) -> bool {
        node.locality == self.local_node.locality
    }

    /// Whether `node` is an agent of this region with a lower score than this node, so that it
    /// takes precedence as the region head.
    pub(super) fn precedes(&self, node: &Descriptor) -> bool {
        !node.is_coordinator() && self.is_in_region(node) && node.score() < self.local_node.score()
    }

    /// Whether this agent is the region head, that is, has its parent in another region.
    pub(super) fn is_region_head(&self) -> bool {
        let parent = self.parent_link().and_then(|link| link.node);
        parent.is_some_and(|parent| !self.is_in_region(&parent))
    }

    /// Whether changes enter the region through this node, so that its loss may detach the region.
    fn is_region_ingress(&self) -> bool {
        self.local_node.is_coordinator() || self.is_region_head()
    }

    /// Number of further children that this node accepts.
    pub(super) fn spare_capacity(&self) -> u8 {
        let limit = if self.local_node.is_coordinator() {
            self.settings.coordinator_fanout
        } else {
            self.settings.fanout
        };
        let children = self.links.values().filter(|link| link.is_child).count();
        let spare = if self.settings.guards.fanout_bound {
            limit.saturating_sub(children)
        } else {
            usize::MAX
        };
        u8::try_from(spare).unwrap_or(u8::MAX)
    }

    /// The designated successor of this node: the agent with the lowest score among its children in
    /// the region. `None` if changes do not enter the region through this node.
    pub(super) fn successor(&self) -> Option<SocketAddr> {
        if !self.is_region_ingress() {
            return None;
        }
        self.children()
            .filter(|node| self.is_in_region(node) && !node.is_coordinator())
            .min_by_key(Descriptor::score)
            .map(|node| node.address)
    }
}
