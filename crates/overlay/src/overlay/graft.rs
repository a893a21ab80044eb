//! The messages by which an agent changes its parent: graft, the acceptance or rejection of it, and
//! prune (Plumtree).

use std::net::SocketAddr;
use std::time::Duration;

use super::state::PendingGraft;
use super::{Action, Overlay};
use crate::message::{AgedDescriptor, Message};
use crate::node::Descriptor;

/// Time for which a neighbour that rejected a graft, or did not answer it, is not grafted again.
const AVOID_AFTER_REJECTION: Duration = Duration::from_secs(3);

impl Overlay {
    /// Requests that `peer` become the parent.
    pub(super) fn graft(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        self.tree.pending_graft = Some(PendingGraft {
            peer,
            deadline: now + self.settings.suspect_timeout / 2,
        });
        let root_hash = self.store.root_hash();
        self.send(now, peer, Message::Graft { root_hash }, out);
    }

    /// Abandons the pending graft and avoids its receiver for [`AVOID_AFTER_REJECTION`].
    pub(super) fn abandon_graft(&mut self, now: Duration) {
        let Some(graft) = self.tree.pending_graft.take() else {
            return;
        };
        if let Some(link) = self.links.get_mut(&graft.peer) {
            link.avoid_as_parent_until = now + AVOID_AFTER_REJECTION;
        }
    }

    pub(super) fn on_graft(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root_hash: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&from).and_then(|link| link.node) else {
            return;
        };
        if !self.accepts_child(from, &node) {
            let sample = self.children_in_region_of(now, &node);
            return self.send(now, from, Message::GraftRejected { sample }, out);
        }
        self.send(now, from, Message::GraftAccepted, out);
        if let Some(link) = self.links.get_mut(&from) {
            link.is_child = true;
            link.heartbeat_pending = true;
        }
        self.on_digest(now, from, root_hash, out);
    }

    /// Whether `node` may become a child: this node is attached, has spare capacity and is not a
    /// descendant of `node`.
    fn accepts_child(&self, from: SocketAddr, node: &Descriptor) -> bool {
        let is_child = self.links.get(&from).is_some_and(|link| link.is_child);
        let is_descendant =
            self.tree.position.path_contains(node.id()) || self.tree.parent == Some(from);
        let has_capacity = is_child || self.spare_capacity() > 0;
        !is_descendant && self.tree.position.is_attached() && has_capacity
    }

    /// The children in the region of `node`, which `node` may graft instead of this node.
    fn children_in_region_of(&self, now: Duration, node: &Descriptor) -> Vec<AgedDescriptor> {
        let is_alternative = |child: &Descriptor| {
            child.locality.same_region(node.locality) && child.address != node.address
        };
        let age_s = |last_received: Duration| {
            u16::try_from(now.saturating_sub(last_received).as_secs()).unwrap_or(u16::MAX)
        };
        self.links
            .values()
            .filter(|link| link.is_child)
            .filter_map(|link| link.node.map(|child| (child, link.last_received)))
            .filter(|(child, _)| is_alternative(child))
            .map(|(child, last_received)| AgedDescriptor {
                node: child,
                age_s: age_s(last_received),
            })
            .take(self.settings.shuffle_size)
            .collect()
    }

    pub(super) fn on_graft_accepted(
        &mut self,
        now: Duration,
        from: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        if self.tree.parent == Some(from) {
            return;
        }
        if !self.is_grafting(from) {
            return self.send(now, from, Message::Prune, out);
        }
        self.tree.pending_graft = None;
        if let Some(previous) = self.tree.parent.replace(from) {
            self.send(now, previous, Message::Prune, out);
        }
        self.tree.parent_since = now;
        self.tree.missed_pushes = 0;
        let batch_end = now + self.settings.push_batch_interval;
        self.schedule.maintain_by(batch_end);
        self.update_position(now);
    }

    pub(super) fn on_graft_rejected(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[AgedDescriptor],
        out: &mut Vec<Action>,
    ) {
        self.merge_sample(now, from, sample, out);
        if self.is_grafting(from) {
            self.abandon_graft(now);
        }
    }

    /// Whether a graft sent to `peer` is pending.
    fn is_grafting(&self, peer: SocketAddr) -> bool {
        self.tree
            .pending_graft
            .is_some_and(|graft| graft.peer == peer)
    }

    pub(super) fn on_prune(&mut self, from: SocketAddr) {
        if let Some(link) = self.links.get_mut(&from) {
            link.is_child = false;
            link.pending_push.clear();
        }
    }
}
