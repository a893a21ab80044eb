//! Which links a node keeps: opened when missing, closed when no longer needed.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};

use super::{Action, Overlay};
use crate::hash;
use crate::link::Link;
use crate::message::Position;
use crate::node::Descriptor;

/// Seeds tried at once.
const SEEDS_AT_ONCE: usize = 3;

/// Links inside the region opened in one round.
const OPENED_AT_ONCE: usize = 2;

/// Agents of a region with one coordinator that keep a link to a coordinator of another region.
const LOOKOUTS_ALONE: usize = 2;

/// Agents of a region with several coordinators that do.
const LOOKOUTS: usize = 1;

/// Age at which a link that serves nothing any more is closed.
const SURPLUS_AGE: Duration = Duration::from_secs(3);

/// One in this many rounds, the coordinator with the higher address opens the link between two.
const HIGHER_OPENS: u32 = 4;

impl Overlay {
    /// Opens the links that are missing and closes those that are no longer needed.
    pub(super) fn maintain(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.view.expire(now);
        if self.me.is_coordinator() {
            self.maintain_mesh(now, out);
        } else {
            self.maintain_region(now, out);
            self.maintain_standby(now, out);
            self.close_surplus(now, out);
        }
        let alone =
            self.links.is_empty() || !self.feed.position.is_attached() && self.no_candidates();
        if alone {
            self.open_seeds(now, out);
        }
    }

    /// A coordinator keeps a link with every other one. The one with the lower address opens it,
    /// now and then the other.
    fn maintain_mesh(&mut self, now: Duration, out: &mut Vec<Action>) {
        let known = self.view.coordinators().map(|node| node.address);
        let all: Vec<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        for peer in all {
            if self.me.address < peer || self.random.random_ratio(1, HIGHER_OPENS) {
                self.open(now, peer, out);
            }
        }
    }

    fn open_seeds(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut seeds = self.seeds.clone();
        seeds.shuffle(&mut self.random);
        seeds.retain(|seed| self.can_open(now, *seed));
        for seed in seeds.into_iter().take(SEEDS_AT_ONCE) {
            self.open(now, seed, out);
        }
    }

    /// An agent keeps `active` links inside its region, about half of them inside its zone, and one
    /// with a coordinator of the region.
    fn maintain_region(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.open_near_coordinator(now, out);
        let near: Vec<Descriptor> = self.view.near().copied().collect();
        let (close, apart): (Vec<_>, Vec<_>) = near
            .into_iter()
            .partition(|node| node.place == self.me.place);
        let wanted_close = self.settings.active.div_ceil(2);
        let linked = self.count_near(now, |_| true);
        let mut missing = self.settings.active.saturating_sub(linked);
        let missing_close =
            wanted_close.saturating_sub(self.count_near(now, |node| node.place == self.me.place));
        let apart_links = self.count_near(now, |node| node.place != self.me.place);
        let uneven = missing_close > 0 && apart_links > self.settings.active - wanted_close;
        let alone =
            linked < self.settings.active + self.settings.fanout && self.lacks_second_source();
        if missing == 0 && (uneven || alone) {
            missing = 1;
        }
        for _ in 0..missing.min(OPENED_AT_ONCE) {
            let first = if missing_close > 0 && !alone {
                [&close, &apart]
            } else {
                [&apart, &close]
            };
            if !self.open_one(now, first[0], out) {
                self.open_one(now, first[1], out);
            }
        }
    }

    /// Whether all neighbours depend on the source of this agent, or on itself. Not looked at where
    /// the source feeds the region alone, as all inside depend on it.
    fn lacks_second_source(&self) -> bool {
        let source = self.feed.source.and_then(|source| self.links.get(&source));
        let Some((node, link)) = source.and_then(|link| link.node.map(|node| (node, link))) else {
            return false;
        };
        let heads = matches!(link.position, Position::Under { region_head, .. } if region_head == node.score());
        let inside = |node: &&Descriptor| node.place.same_region(self.me.place);
        let only = node.is_coordinator() && self.view.coordinators().filter(inside).count() <= 1;
        if heads || only {
            return false;
        }
        let independent = |link: &Link| {
            let itself = link.node.is_none_or(|other| other.address == node.address);
            let position = &link.position;
            !itself
                && position.is_attached()
                && !position.passes(node.id())
                && !position.passes(self.me.id())
        };
        !self.links.values().any(independent)
    }

    fn open_one(&mut self, now: Duration, nodes: &[Descriptor], out: &mut Vec<Action>) -> bool {
        let free: Vec<SocketAddr> = nodes
            .iter()
            .map(|node| node.address)
            .filter(|peer| self.can_open(now, *peer))
            .collect();
        let chosen = free.choose(&mut self.random).copied();
        chosen.is_some_and(|peer| self.open(now, peer, out))
    }

    /// Live agents of the region that are linked or being connected to, of those `counted`.
    fn count_near(&self, now: Duration, counted: impl Fn(&Descriptor) -> bool) -> usize {
        let live = self
            .links
            .iter()
            .filter(|(peer, link)| !self.is_quiet(now, **peer, link));
        let linked = live.filter_map(|(_, link)| link.node);
        let opening = self
            .connecting
            .keys()
            .filter_map(|peer| self.view.get(*peer))
            .map(|known| known.node);
        let near =
            |node: &Descriptor| !node.is_coordinator() && node.place.same_region(self.me.place);
        linked
            .chain(opening)
            .filter(|node| near(node) && counted(node))
            .count()
    }

    /// One coordinator of the region, of the own zone where there is one.
    fn open_near_coordinator(&mut self, now: Duration, out: &mut Vec<Action>) {
        let inside = |node: &Descriptor| node.place.same_region(self.me.place);
        let Some(best) = self
            .coordinators_by_preference(now)
            .into_iter()
            .find(inside)
        else {
            return;
        };
        let linked = || self.live_coordinators(now);
        let close = linked().any(|node| node.place == self.me.place);
        let near = linked().any(|node| inside(&node));
        if !near || !close && best.place == self.me.place {
            self.open(now, best.address, out);
        }
    }

    /// Coordinators to which a connection can be opened: near ones first, those that failed last,
    /// otherwise in an order of each agent's own, so that agents spread over them.
    pub(super) fn coordinators_by_preference(&self, now: Duration) -> Vec<Descriptor> {
        let open = self
            .view
            .coordinators()
            .filter(|node| self.can_open(now, node.address));
        let mut nodes: Vec<Descriptor> = open.copied().collect();
        nodes.sort_by_key(|node| {
            let failed = self
                .failures
                .get(&node.address)
                .map_or(0, |failure| failure.times);
            let apart = !node.place.same_region(self.me.place);
            (
                failed > 0,
                apart,
                node.place != self.me.place,
                self.preference(node),
            )
        });
        nodes
    }

    /// Rendezvous weight of `node` for this one (Thaler and Ravishankar 1998).
    pub(super) fn preference(&self, node: &Descriptor) -> u64 {
        hash::pair(hash::address(self.me.address), hash::address(node.address))
    }

    /// The agent that feeds its region from outside, and its deputy, keep a link to one more
    /// coordinator; a lookout one to a coordinator of another region.
    fn maintain_standby(&mut self, now: Duration, out: &mut Vec<Action>) {
        let lookout = self.is_lookout();
        let apart = |node: &Descriptor| !node.place.same_region(self.me.place);
        let counted = |node: &Descriptor| !lookout || apart(node);
        if !self.needs_standby() || self.standbys(now).any(|node| counted(&node)) {
            return;
        }
        let next = self
            .coordinators_by_preference(now)
            .into_iter()
            .find(counted);
        next.map(|node| self.open(now, node.address, out));
    }

    pub(super) fn needs_standby(&self) -> bool {
        self.leads_region()
            || self.feed.deputy
            || self.is_lookout()
            || !self.settings.guards.region_heads
    }

    /// Whether this agent looks out of its region for news that the coordinators inside may lack:
    /// the agents with the best scores do, more of them where the region has a single coordinator.
    /// By the score alone, so that no change of sources leaves the region without one.
    fn is_lookout(&self) -> bool {
        if !self.settings.guards.stable_standby {
            return false;
        }
        let inside = self
            .view
            .coordinators()
            .filter(|node| node.place.same_region(self.me.place))
            .count();
        let lookouts = match inside {
            0 => return false,
            1 => LOOKOUTS_ALONE,
            _ => LOOKOUTS,
        };
        let better = self.view.near().filter(|node| self.precedes(node));
        better
            .filter(|node| !self.failures.contains_key(&node.address))
            .count()
            < lookouts
    }

    /// Coordinators that there is a link with, or that one is being opened to, without those that
    /// are silent.
    fn live_coordinators(&self, now: Duration) -> impl Iterator<Item = Descriptor> {
        let live = self
            .links
            .iter()
            .filter(move |(peer, link)| !self.is_quiet(now, **peer, link));
        let linked = live
            .filter_map(|(_, link)| link.node)
            .filter(super::super::node::Descriptor::is_coordinator);
        let known = |peer: &SocketAddr| {
            self.view
                .coordinators()
                .find(|node| node.address == *peer)
                .copied()
        };
        linked.chain(self.connecting.keys().filter_map(known))
    }

    /// Live coordinators besides the source, without those that say that they are out of contact.
    fn standbys(&self, now: Duration) -> impl Iterator<Item = Descriptor> {
        let alone = |node: &Descriptor| {
            let position = self.links.get(&node.address).map(|link| &link.position);
            position == Some(&Position::Root { in_contact: false })
        };
        let others = self
            .live_coordinators(now)
            .filter(|node| Some(node.address) != self.feed.source);
        others.filter(move |node| !alone(node))
    }

    /// An agent closes links out of its region that neither feed it, nor are fed by it, nor stand
    /// by.
    fn close_surplus(&mut self, now: Duration, out: &mut Vec<Action>) {
        let in_contact = self.feed.position.is_in_contact();
        let mut keep = usize::from(self.needs_standby());
        let asked = self.feed.asked.map(|(peer, _)| peer);
        let mut surplus = Vec::new();
        for (peer, link) in &self.links {
            let Some(node) = link.node else { continue };
            let used = link.feeds || Some(*peer) == self.feed.source || Some(*peer) == asked;
            if used || node.place.same_region(self.me.place) || link.opened + SURPLUS_AGE > now {
                continue;
            }
            let alone = link.position == Position::Root { in_contact: false };
            if node.is_coordinator() && (!in_contact || keep > 0 && !alone) {
                keep = keep.saturating_sub(1);
                continue;
            }
            surplus.push(*peer);
        }
        for peer in surplus {
            if self.feed.position.is_attached() {
                self.close(now, peer, out);
            }
        }
    }

    /// Whether this agent feeds its region from outside.
    pub(super) fn leads_region(&self) -> bool {
        let source = self
            .feed
            .source
            .and_then(|source| self.links.get(&source))
            .and_then(|link| link.node);
        source.is_some_and(|source| !source.place.same_region(self.me.place))
    }

    /// Whether this node stands where its loss leaves its region without a source.
    pub(super) fn feeds_region(&self) -> bool {
        self.me.is_coordinator() || self.leads_region()
    }
}
