//! The tree: which neighbour pushes changes to an agent, after Plumtree (Leitão, Pereira and
//! Rodrigues 2007).
//!
//! An agent is fed by one neighbour, its source, and hears announcements from all others. It grafts
//! another neighbour as soon as the source is silent, detached or farther than it need be. Each
//! agent tells its path from a coordinator, so that nobody takes a source that it feeds itself.
//!
//! One agent of a region is fed from outside, the others inside. As in the spanning tree protocol
//! (Perlman 1985) a path carries the score of the agent at the head of its region and zone, and the
//! lower score wins: where two agents are fed from outside, the one with the higher score sees the
//! other's region and is fed inside from then on. A source is preferred in the zone, then in the
//! region, for the same reason.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom as _;

use super::{Action, Overlay};
use crate::link::Link;
use crate::message::{Aged, Message, Position};
use crate::node::Descriptor;

/// How long a neighbour that refused is not asked again.
const AVOID_REFUSED: Duration = Duration::from_secs(3);

/// Interval between attempts of an agent that is fed by nobody to be fed from another region.
const LEAVE_AGAIN: Duration = Duration::from_millis(500);

/// The same of an agent whose source is not in contact with a majority, if it keeps a link out of
/// its region anyway.
const LEAVE_AGAIN_FED: Duration = Duration::from_secs(5);

/// The same of one that need not: others of its region look for a better source, from which it is
/// then fed.
const LEAVE_AGAIN_SPARED: Duration = Duration::from_secs(60);

/// How long such a one leaves it to the others at first.
const LEAVE_SPARED: Duration = Duration::from_secs(10);

/// Coordinators a connection is opened to in one attempt.
const OPENED_AT_ONCE: usize = 2;

impl Overlay {
    /// Checks the source and takes a better one where there is one.
    pub(super) fn review_source(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.me.is_coordinator() {
            return;
        }
        self.break_loop(now, out);
        self.update_position(now);
        if self.feed.asked.is_some_and(|(_, until)| until <= now) {
            self.give_up_asked(now);
        }
        if self.feed.asked.is_some() {
            return;
        }
        if let Some(better) = self.better_source(now) {
            return self.graft(now, better, out);
        }
        if self.may_leave_region(now) {
            self.leave_region(now, out);
        }
    }

    /// A coordinator that loses contact with the majority stops being a root at once, and is one
    /// again on its return.
    pub(super) fn set_in_contact(&mut self, now: Duration, in_contact: bool) {
        if !self.me.is_coordinator() || self.in_contact == in_contact {
            return;
        }
        self.in_contact = in_contact;
        self.schedule.beat = now;
        if !self.settings.guards.contact {
            return;
        }
        self.feed.position = Position::Root { in_contact };
        for link in self.links.values_mut() {
            link.tell = true;
        }
    }

    /// Drops a source whose own path leads over this node.
    fn break_loop(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some(source) = self.feed.source else {
            return;
        };
        if self
            .links
            .get(&source)
            .is_some_and(|link| link.position.passes(self.me.id()))
        {
            self.feed.source = None;
            self.send(now, source, Message::Prune, out);
        }
    }

    fn update_position(&mut self, now: Duration) {
        let position = self.derived_position(now);
        if position.is_in_contact() {
            self.feed.orphan_since = None;
            self.feed.left_region = None;
        } else {
            self.feed.orphan_since.get_or_insert(now);
        }
        if position == self.feed.position {
            return;
        }
        self.feed.position = position;
        for link in self.links.values_mut() {
            link.tell = true;
        }
    }

    pub(super) fn derived_position(&self, now: Duration) -> Position {
        let source = self.feed.source.and_then(|source| self.links.get(&source));
        let Some(link) = source.filter(|link| !self.is_suspect(now, link)) else {
            return Position::Detached;
        };
        let Some(node) = link.node else {
            return Position::Detached;
        };
        let position = link.position.below(&node, &self.me);
        if position
            .depth()
            .is_some_and(|depth| depth > self.settings.depth)
        {
            Position::Detached
        } else {
            position
        }
    }

    /// Whether the neighbour has been silent for too long to be taken as a source, or kept as one.
    pub(super) fn is_quiet(&self, now: Duration, peer: SocketAddr, link: &Link) -> bool {
        let source = self.feed.source == Some(peer);
        link.heard + self.settings.lazy_suspect <= now || source && self.is_suspect(now, link)
    }

    /// Whether the source on this link has been silent for too long.
    pub(super) fn is_suspect(&self, now: Duration, link: &Link) -> bool {
        self.settings.guards.suspicion && link.heard + self.settings.suspect <= now
    }

    /// Whether an agent without a source may take one from another region. Agents of a region do so
    /// in the order of their scores; the deputy of the lost source at once; an agent whose source
    /// lives but has none itself, late. A source that is out of contact with the majority counts as
    /// lost, but only those that keep a link out of the region turn away from it at once.
    pub(super) fn may_leave_region(&self, now: Duration) -> bool {
        self.leave_region_at(now).is_some_and(|at| at <= now)
    }

    fn leave_region_at(&self, now: Duration) -> Option<Duration> {
        let since = self.feed.orphan_since?;
        if !self.settings.guards.region_heads {
            return Some(since);
        }
        let source = self.feed.source.and_then(|source| self.links.get(&source));
        let alive = source.is_some_and(|link| link.heard + self.settings.suspect > since);
        let alive = alive && !self.feed.position.is_attached();
        if self.feed.deputy && !alive {
            return Some(since);
        }
        let alive_links = self
            .links
            .values()
            .filter(|link| link.heard + self.settings.lazy_suspect > now);
        let better = alive_links
            .filter_map(|link| link.node)
            .filter(|node| self.precedes(node))
            .count();
        let wait = self.settings.leave_region
            + self.settings.leave_region_step * u32::try_from(better).unwrap_or(u32::MAX);
        let spared = self.feed.position.is_attached() && !self.needs_standby();
        let longer = match (alive, spared) {
            (true, _) => self.settings.dead,
            (false, true) => LEAVE_SPARED,
            (false, false) => Duration::ZERO,
        };
        Some(since + wait + longer)
    }

    /// Whether `node` is an agent of this region with a better score.
    pub(super) fn precedes(&self, node: &Descriptor) -> bool {
        !node.is_coordinator()
            && node.place.same_region(self.me.place)
            && node.score() < self.me.score()
    }

    fn leave_again(&self) -> Duration {
        match (self.feed.position.is_attached(), self.needs_standby()) {
            (false, _) => LEAVE_AGAIN,
            (true, true) => LEAVE_AGAIN_FED,
            (true, false) => LEAVE_AGAIN_SPARED,
        }
    }

    /// Opens connections to coordinators anywhere, and from the second attempt on to an agent of
    /// another region too, as the coordinators known here may all be gone.
    fn leave_region(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self
            .feed
            .left_region
            .is_some_and(|at| at + self.leave_again() > now)
        {
            return;
        }
        let again = self.feed.left_region.replace(now).is_some();
        let mut nodes = self.coordinators_by_preference(now);
        nodes.truncate(OPENED_AT_ONCE);
        if again || nodes.len() < OPENED_AT_ONCE {
            let far: Vec<Descriptor> = self.view.far().copied().collect();
            nodes.extend(far.choose(&mut self.random));
        }
        for node in nodes {
            self.open(now, node.address, out);
        }
    }

    fn graft(&mut self, now: Duration, peer: SocketAddr, out: &mut Vec<Action>) {
        self.feed.asked = Some((peer, now + self.settings.suspect / 2));
        let root = self.store.root();
        self.send(now, peer, Message::Graft { root }, out);
    }

    fn give_up_asked(&mut self, now: Duration) {
        let Some((peer, _)) = self.feed.asked.take() else {
            return;
        };
        if let Some(link) = self.links.get_mut(&peer) {
            link.avoid_until = now + AVOID_REFUSED;
        }
    }

    pub(super) fn on_graft(
        &mut self,
        now: Duration,
        from: SocketAddr,
        root: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(node) = self.links.get(&from).and_then(|link| link.node) else {
            return;
        };
        let fed = self.links.get(&from).is_some_and(|link| link.feeds);
        let looped = self.feed.position.passes(node.id()) || self.feed.source == Some(from);
        if looped || !self.feed.position.is_attached() || !fed && self.room() == 0 {
            let sample = self.fed_near(now, &node);
            return self.send(now, from, Message::Refused { sample }, out);
        }
        self.send(now, from, Message::Grafted, out);
        if let Some(link) = self.links.get_mut(&from) {
            link.feeds = true;
            link.tell = true;
        }
        self.on_digest(now, from, root, out);
    }

    /// Nodes fed by this one, to which `node` may turn instead.
    fn fed_near(&self, now: Duration, node: &Descriptor) -> Vec<Aged> {
        let fed = self.links.values().filter(|link| link.feeds);
        let fed = fed.filter_map(|link| link.node.map(|node| (node, link.heard)));
        let near = fed.filter(|(other, _)| {
            other.place.same_region(node.place) && other.address != node.address
        });
        let aged = |heard: Duration| {
            u16::try_from(now.saturating_sub(heard).as_secs()).unwrap_or(u16::MAX)
        };
        near.map(|(node, heard)| Aged {
            node,
            age_s: aged(heard),
        })
        .take(self.settings.shuffle_size)
        .collect()
    }

    pub(super) fn on_grafted(&mut self, now: Duration, from: SocketAddr, out: &mut Vec<Action>) {
        if self.feed.source == Some(from) {
            return;
        }
        if self.feed.asked.is_none_or(|(peer, _)| peer != from) {
            return self.send(now, from, Message::Prune, out);
        }
        self.feed.asked = None;
        if let Some(old) = self.feed.source.replace(from) {
            self.send(now, old, Message::Prune, out);
        }
        self.feed.since = now;
        self.feed.gaps = 0;
        self.schedule.maintain = self.schedule.maintain.min(now + self.settings.batch);
        self.update_position(now);
    }

    pub(super) fn on_refused(
        &mut self,
        now: Duration,
        from: SocketAddr,
        sample: &[Aged],
        out: &mut Vec<Action>,
    ) {
        self.learn_all(now, from, sample, out);
        if self.feed.asked.is_some_and(|(peer, _)| peer == from) {
            self.give_up_asked(now);
        }
    }

    pub(super) fn on_prune(&mut self, from: SocketAddr) {
        if let Some(link) = self.links.get_mut(&from) {
            link.feeds = false;
            link.eager.clear();
        }
    }

    /// The link with `peer` is gone.
    pub(super) fn lost_source(
        &mut self,
        now: Duration,
        peer: SocketAddr,
        node: Option<Descriptor>,
    ) {
        if self.feed.asked.is_some_and(|(asked, _)| asked == peer) {
            self.feed.asked = None;
        }
        if self.feed.source == Some(peer) {
            self.feed.source = None;
            self.feed.lost = node.map(|node| (node.id(), now + self.settings.suspect));
            self.feed.orphan_since.get_or_insert(now);
        }
    }

    /// How many more nodes this one would feed.
    pub(super) fn room(&self) -> u8 {
        let limit = if self.me.is_coordinator() {
            self.settings.coordinator_fanout
        } else {
            self.settings.fanout
        };
        let fed = self.links.values().filter(|link| link.feeds).count();
        let room = if self.settings.guards.fanout_bound {
            limit.saturating_sub(fed)
        } else {
            usize::MAX
        };
        u8::try_from(room).unwrap_or(u8::MAX)
    }

    /// The agent asked to stand in for this node: of those fed inside the region, the one with the
    /// best score.
    pub(super) fn deputy(&self) -> Option<SocketAddr> {
        if !self.feeds_region() {
            return None;
        }
        let fed = self
            .links
            .values()
            .filter(|link| link.feeds)
            .filter_map(|link| link.node);
        let near =
            fed.filter(|node| node.place.same_region(self.me.place) && !node.is_coordinator());
        near.min_by_key(super::super::node::Descriptor::score)
            .map(|node| node.address)
    }

    /// When the source must be looked at again, at the latest.
    pub(super) fn next_review(&self, now: Duration) -> Option<Duration> {
        if self.me.is_coordinator() {
            return None;
        }
        let source = self.feed.source.and_then(|source| self.links.get(&source));
        let attached = self.feed.position.is_attached();
        let suspect = source
            .filter(|_| attached)
            .map(|link| link.heard + self.settings.suspect);
        let asked = self.feed.asked.map(|(_, until)| until);
        let again = self.feed.left_region.map(|at| at + self.leave_again());
        let leave = self
            .leave_region_at(now)
            .map(|at| again.map_or(at, |again| at.max(again)));
        [suspect, asked, leave].into_iter().flatten().min()
    }
}
