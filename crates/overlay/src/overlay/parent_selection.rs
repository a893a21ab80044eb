//! Selection of the parent among the neighbours.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Overlay;
use crate::link::Link;
use crate::position::TreePosition;

/// Minimum time for which an agent keeps a parent before it changes to a path that is a single hop
/// shorter.
const MIN_PARENT_DWELL: Duration = Duration::from_secs(10);

/// A neighbour that is eligible as the parent, and the position that this agent would have below
/// it.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    peer: SocketAddr,
    same_region: bool,
    same_zone: bool,
    region_head: u32,
    zone_head: u32,
    depth: usize,
    in_contact: bool,
    spare_capacity: u8,
    /// Breaks ties; the lowest wins.
    rendezvous_weight: u64,
}

impl Candidate {
    /// Sort key of the candidates in the own region: the lowest is the best.
    fn rank(&self) -> (u32, Reverse<bool>, u32, usize, Reverse<u8>, u64) {
        (
            self.region_head,
            Reverse(self.same_zone),
            self.zone_head,
            self.depth,
            Reverse(self.spare_capacity),
            self.rendezvous_weight,
        )
    }

    /// The part of [`Self::rank`] in which any improvement changes the parent at once.
    fn head_rank(&self) -> (u32, Reverse<bool>, u32) {
        (self.region_head, Reverse(self.same_zone), self.zone_head)
    }
}

impl Overlay {
    /// The neighbour to graft instead of the current parent; `None` if the parent is kept.
    pub(super) fn better_parent(&self, now: Duration) -> Option<SocketAddr> {
        let mut candidates: Vec<Candidate> = self
            .links
            .iter()
            .filter_map(|(peer, link)| self.candidate(now, *peer, link))
            .collect();
        let mut current = self.current_parent(now);
        // A root out of contact with the majority is accepted only where there is no other.
        if candidates
            .iter()
            .chain(&current)
            .any(|candidate| candidate.in_contact)
        {
            candidates.retain(|candidate| candidate.in_contact);
            current = current.filter(|current| current.in_contact);
        }
        if !self.settings.guards.region_heads {
            return shallower_parent(current, &candidates);
        }
        let in_region = candidates
            .iter()
            .filter(|candidate| candidate.same_region)
            .min_by_key(|candidate| candidate.rank());
        let Some(best) = in_region else {
            return self.best_remote(now, current, &candidates);
        };
        let best = self.keep_zone_head(current, *best, &candidates);
        self.is_better(now, current, &best).then_some(best.peer)
    }

    /// The candidate to compare with the current parent. An agent that is a zone head remains one
    /// unless a path in its zone has a zone head with a lower score.
    fn keep_zone_head(
        &self,
        current: Option<Candidate>,
        best: Candidate,
        candidates: &[Candidate],
    ) -> Candidate {
        let Some(current) = current else { return best };
        let is_zone_head =
            current.same_region && !current.same_zone && current.region_head == best.region_head;
        if !is_zone_head || !best.same_zone || best.zone_head < self.local_node.score() {
            return best;
        }
        candidates
            .iter()
            .filter(|candidate| candidate.same_region && !candidate.same_zone)
            .min_by_key(|candidate| candidate.rank())
            .copied()
            .unwrap_or(current)
    }

    /// The candidate in another region with the shortest path, which puts coordinators first;
    /// `None` while the agent has a usable parent or may not attach in another region yet.
    fn best_remote(
        &self,
        now: Duration,
        current: Option<Candidate>,
        candidates: &[Candidate],
    ) -> Option<SocketAddr> {
        if current.is_some() || !self.may_attach_remotely(now) {
            return None;
        }
        candidates
            .iter()
            .min_by_key(|candidate| (candidate.depth, candidate.rendezvous_weight))
            .map(|candidate| candidate.peer)
    }

    /// Whether `best` is so much better than the current parent that the parent is changed.
    fn is_better(&self, now: Duration, current: Option<Candidate>, best: &Candidate) -> bool {
        let Some(current) = current else { return true };
        if current.peer == best.peer {
            return false;
        }
        if !current.same_region {
            return best.region_head < self.local_node.score();
        }
        if best.head_rank() != current.head_rank() {
            return best.head_rank() < current.head_rank();
        }
        let min_dwell_elapsed = self.tree.parent_since + MIN_PARENT_DWELL <= now;
        best.depth + 2 <= current.depth || min_dwell_elapsed && best.depth < current.depth
    }

    /// The current parent as a candidate; `None` if this agent is not attached through it or avoids
    /// it.
    fn current_parent(&self, now: Duration) -> Option<Candidate> {
        let peer = self.tree.parent?;
        let link = self.links.get(&peer)?;
        if link.avoid_as_parent_until > now || !self.derived_position(now).is_attached() {
            return None;
        }
        self.candidate_through(peer, link)
    }

    /// The neighbour as a candidate; `None` if it is not eligible as the parent.
    fn candidate(&self, now: Duration, peer: SocketAddr, link: &Link) -> Option<Candidate> {
        let is_parent = self.tree.parent == Some(peer);
        let has_capacity = link.spare_capacity > 0 || is_parent;
        let usable = link.is_bidirectional
            && link.avoid_as_parent_until <= now
            && has_capacity
            && !self.is_silent(now, peer, link)
            && !self.is_lost_parent_on_path(now, link);
        let too_deep = link
            .position
            .depth()
            .is_none_or(|depth| depth >= self.settings.max_depth);
        if !usable || too_deep || link.position.path_contains(self.local_node.id()) {
            return None;
        }
        self.candidate_through(peer, link)
    }

    /// Whether the path of the neighbour contains the parent that is suspect or was just lost. The
    /// neighbour may not have detected the failure yet.
    fn is_lost_parent_on_path(&self, now: Duration, link: &Link) -> bool {
        let silent = self
            .parent_link()
            .filter(|parent| self.is_suspect(now, parent))
            .and_then(|parent| parent.node)
            .map(|parent| parent.id());
        let lost = self
            .tree
            .lost_parent
            .filter(|lost| lost.avoid_until > now)
            .map(|lost| lost.node);
        [silent, lost]
            .into_iter()
            .flatten()
            .any(|node| link.position.path_contains(node))
    }

    /// The neighbour as a candidate, eligible or not; `None` if the neighbour is not attached.
    fn candidate_through(&self, peer: SocketAddr, link: &Link) -> Option<Candidate> {
        let node = link.node?;
        let TreePosition::Descendant {
            path,
            region_head,
            zone_head,
            in_contact,
        } = link.position.child_position(&node, &self.local_node)
        else {
            return None;
        };
        Some(Candidate {
            peer,
            same_region: self.is_in_region(&node),
            same_zone: self.is_in_zone(&node),
            region_head,
            zone_head,
            depth: path.len(),
            in_contact,
            spare_capacity: link.spare_capacity,
            rendezvous_weight: self.rendezvous_weight(&node),
        })
    }

    /// Whether no neighbour is attached through a path that does not contain this node.
    pub(super) fn has_no_candidates(&self) -> bool {
        !self.links.values().any(|link| {
            link.position.is_attached() && !link.position.path_contains(self.local_node.id())
        })
    }
}

/// The candidate with the shortest path, if that is shorter than the current path.
fn shallower_parent(current: Option<Candidate>, candidates: &[Candidate]) -> Option<SocketAddr> {
    let shallowest = candidates.iter().min_by_key(|candidate| candidate.depth)?;
    current
        .is_none_or(|current| shallowest.depth < current.depth)
        .then_some(shallowest.peer)
}
