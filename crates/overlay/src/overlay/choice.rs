//! Choice of the source among the neighbours.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::Overlay;
use crate::link::Link;
use crate::message::Position;

/// Time an agent stays with a source before it moves for a path shorter by a single hop.
const DWELL: Duration = Duration::from_secs(10);

/// A neighbour that could be the source, and what the path over it would be like.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    peer: SocketAddr,
    near: bool,
    close: bool,
    region_head: u32,
    zone_head: u32,
    depth: usize,
    in_contact: bool,
    load: u8,
    preference: u64,
}

impl Candidate {
    /// Lower is better.
    fn rank(&self) -> (u32, Reverse<bool>, u32, usize, Reverse<u8>, u64) {
        (
            self.region_head,
            Reverse(self.close),
            self.zone_head,
            self.depth,
            Reverse(self.load),
            self.preference,
        )
    }
}

impl Overlay {
    /// A neighbour to graft instead of the present source.
    pub(super) fn better_source(&self, now: Duration) -> Option<SocketAddr> {
        let mut candidates: Vec<Candidate> = self
            .links
            .iter()
            .filter_map(|(peer, link)| self.candidate(now, *peer, link))
            .collect();
        let mut present = self.present(now);
        // Out of contact with the majority is better than nothing, and than nothing else.
        if candidates
            .iter()
            .chain(&present)
            .any(|candidate| candidate.in_contact)
        {
            candidates.retain(|candidate| candidate.in_contact);
            present = present.filter(|present| present.in_contact);
        }
        if !self.settings.guards.region_heads {
            let least = candidates.iter().min_by_key(|candidate| candidate.depth)?;
            return present
                .is_none_or(|present| least.depth < present.depth)
                .then_some(least.peer);
        }
        let inside = candidates
            .iter()
            .filter(|candidate| candidate.near)
            .min_by_key(|candidate| candidate.rank());
        let Some(best) = inside else {
            return self.best_outside(now, present, &candidates);
        };
        let best = self.in_zone(present, *best, &candidates);
        self.is_better(now, present, &best).then_some(best.peer)
    }

    /// An agent that feeds its zone from another one stays so unless a path with a lower score is
    /// at hand.
    fn in_zone(
        &self,
        present: Option<Candidate>,
        best: Candidate,
        candidates: &[Candidate],
    ) -> Candidate {
        let Some(present) = present else { return best };
        let heads_zone = present.near && !present.close && present.region_head == best.region_head;
        if !heads_zone || !best.close || best.zone_head < self.me.score() {
            return best;
        }
        let apart = candidates
            .iter()
            .filter(|candidate| candidate.near && !candidate.close);
        apart
            .min_by_key(|candidate| candidate.rank())
            .copied()
            .unwrap_or(present)
    }

    /// Out of the region only when there is nothing inside, and then a coordinator first.
    fn best_outside(
        &self,
        now: Duration,
        present: Option<Candidate>,
        candidates: &[Candidate],
    ) -> Option<SocketAddr> {
        if present.is_some() || !self.may_leave_region(now) {
            return None;
        }
        let best = candidates
            .iter()
            .min_by_key(|candidate| (candidate.depth, candidate.preference));
        best.map(|candidate| candidate.peer)
    }

    fn is_better(&self, now: Duration, present: Option<Candidate>, best: &Candidate) -> bool {
        let Some(present) = present else { return true };
        if present.peer == best.peer {
            return false;
        }
        if !present.near {
            return best.region_head < self.me.score();
        }
        let head = |candidate: &Candidate| {
            (
                candidate.region_head,
                Reverse(candidate.close),
                candidate.zone_head,
            )
        };
        if head(best) != head(&present) {
            return head(best) < head(&present);
        }
        let dwelt = self.feed.since + DWELL <= now;
        best.depth + 2 <= present.depth || dwelt && best.depth < present.depth
    }

    /// The present source, if it still feeds this agent.
    fn present(&self, now: Duration) -> Option<Candidate> {
        let peer = self.feed.source?;
        let link = self.links.get(&peer)?;
        if link.avoid_until > now || !self.derived_position(now).is_attached() {
            return None;
        }
        self.describe(peer, link)
    }

    /// The neighbour as a source, if it could be one.
    fn candidate(&self, now: Duration, peer: SocketAddr, link: &Link) -> Option<Candidate> {
        let source = self.feed.source == Some(peer);
        let quiet = self.is_quiet(now, peer, link);
        let lost = self.lost_on_path(now, link);
        let room = link.room > 0 || source;
        let usable = link.confirmed && link.avoid_until <= now && room && !quiet && !lost;
        let deep = link
            .position
            .depth()
            .is_none_or(|depth| depth >= self.settings.depth);
        if !usable || deep || link.position.passes(self.me.id()) {
            return None;
        }
        self.describe(peer, link)
    }

    /// Whether the path of the neighbour leads over the source that is silent, or over one just
    /// lost, of which the neighbour may not know yet.
    fn lost_on_path(&self, now: Duration, link: &Link) -> bool {
        let source = self.feed.source.and_then(|source| self.links.get(&source));
        let silent = source
            .filter(|source| self.is_suspect(now, source))
            .and_then(|link| link.node);
        let lost = self
            .feed
            .lost
            .filter(|(_, until)| *until > now)
            .map(|(node, _)| node);
        [silent.map(|node| node.id()), lost]
            .into_iter()
            .flatten()
            .any(|node| link.position.passes(node))
    }

    fn describe(&self, peer: SocketAddr, link: &Link) -> Option<Candidate> {
        let node = link.node?;
        let Position::Under {
            path,
            region_head,
            zone_head,
            in_contact,
        } = link.position.below(&node, &self.me)
        else {
            return None;
        };
        Some(Candidate {
            peer,
            near: node.place.same_region(self.me.place),
            close: node.place == self.me.place,
            region_head,
            zone_head,
            depth: path.len(),
            in_contact,
            load: link.room,
            preference: self.preference(&node),
        })
    }

    /// Whether no neighbour could be the source at any time.
    pub(super) fn no_candidates(&self) -> bool {
        !self
            .links
            .values()
            .any(|link| link.position.is_attached() && !link.position.passes(self.me.id()))
    }
}
