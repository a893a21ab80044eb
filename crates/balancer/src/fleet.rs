//! The listed servers, and aggregates over them that are updated with each change: sums by zone,
//! orders, and which servers need maintenance. Nothing here decides anything.
//!
//! Sums are kept in whole units of 2^-32, so that they do not depend on the order of changes and never
//! drift.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::api::{ClassId, Listing, Micros, Phase, Scope, Server, ServerId, ZoneId};
use crate::node::{ClassEjection, Node};
use crate::rng::mix;

/// A decaying measurement below this counts as zero.
const MIN_SIGNIFICANT: f64 = 1e-6;
/// Of a side with more servers than this, a request considers a sample only, others each time: a round
/// is even, and no request costs more for a larger fleet.
const MAX_FULL_SCAN: usize = 48;
/// The size of that sample.
pub(crate) const SAMPLE_SIZE: usize = 16;
/// Units in 1.0.
const UNITS: f64 = 4_294_967_296.0;

/// A sum of numbers up to some millions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sum(i64);

impl Sum {
    fn add(&mut self, value: f64, sign: i64) {
        self.0 += sign * (value * UNITS).round() as i64;
    }

    /// The sum.
    pub(crate) fn value(self) -> f64 {
        self.0 as f64 / UNITS
    }

    /// The sum without one of its parts.
    pub(crate) fn without(mut self, part: f64) -> f64 {
        self.add(part, -1);
        self.value()
    }
}

/// Aggregates over a group of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    /// Servers in any phase, how many of them are ejected, and the sum of their failure rates.
    pub count: usize,
    pub ejected_total: usize,
    pub failure_rate: Sum,
    /// Of the ready ones: healthy, ejected, attempts in flight at both, limits of each.
    pub healthy: usize,
    pub ejected: usize,
    pub in_flight: u64,
    pub healthy_limit: Sum,
    pub ejected_limit: Sum,
    /// The sum of listed sizes, and how many servers have one.
    size: Sum,
    sized: usize,
}

impl Load {
    /// Adds a server (`sign` 1) or removes it (-1).
    fn count(&mut self, node: &Node, sign: i64) {
        let step = |n: &mut usize| *n = n.wrapping_add_signed(sign as isize);
        step(&mut self.count);
        self.failure_rate.add(node.failure_rate, sign);
        if node.server.size > 0.0 {
            step(&mut self.sized);
            self.size.add(node.server.size.min(1e6), sign);
        }
        if node.ejected.is_some() {
            step(&mut self.ejected_total);
        }
        if node.server.phase != Phase::Ready {
            return;
        }
        self.in_flight = self
            .in_flight
            .wrapping_add_signed(sign * i64::from(node.in_flight));
        let (number, limit) = match node.ejected {
            None => (&mut self.healthy, &mut self.healthy_limit),
            Some(_) => (&mut self.ejected, &mut self.ejected_limit),
        };
        step(number);
        limit.add(node.limit, sign);
    }

    /// The number of ready servers.
    pub(crate) fn ready(&self) -> usize {
        self.healthy + self.ejected
    }

    /// The same group without one server.
    pub(crate) fn without(mut self, node: &Node) -> Self {
        self.count(node, -1);
        self
    }

    fn join(&mut self, other: &Load) {
        self.count += other.count;
        self.ejected_total += other.ejected_total;
        self.failure_rate.0 += other.failure_rate.0;
        self.healthy += other.healthy;
        self.ejected += other.ejected;
        self.in_flight += other.in_flight;
        self.healthy_limit.0 += other.healthy_limit.0;
        self.ejected_limit.0 += other.ejected_limit.0;
        self.size.0 += other.size.0;
        self.sized += other.sized;
    }
}

/// The listed servers.
#[derive(Default)]
pub(crate) struct Fleet {
    nodes: FxHashMap<ServerId, Node>,
    zones: Vec<Load>,
    own: ZoneId,
    /// Ready servers by id: in other zones, in the own zone.
    sides: [Vec<ServerId>; 2],
    /// The same in an order of this balancer's own, which changes with each rotation.
    rings: [Vec<(u64, ServerId)>; 2],
    turn: u64,
    needs_maintenance: BTreeSet<ServerId>,
    /// When each warming server is granted requests next.
    grants: BTreeSet<(Micros, ServerId)>,
    class_ejections: BTreeSet<(ClassId, ServerId)>,
    class_failure_rates: Vec<Sum>,
}

impl Fleet {
    /// An empty fleet, seen from a zone.
    pub(crate) fn new(own: ZoneId, classes: usize) -> Self {
        Fleet {
            own,
            class_failure_rates: vec![Sum::default(); classes],
            ..Fleet::default()
        }
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// One server, for changes to fields that are not aggregated; otherwise see [`Fleet::change`].
    pub(crate) fn touch(&mut self, id: ServerId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Changes a server and the aggregates of its zone with it.
    fn recount<R>(zones: &mut [Load], node: &mut Node, change: impl FnOnce(&mut Node) -> R) -> R {
        let zone = &mut zones[node.server.zone];
        zone.count(node, -1);
        let result = change(node);
        zone.count(node, 1);
        result
    }

    /// Changes a server; it is maintained from now on.
    pub(crate) fn change<R>(
        &mut self,
        id: ServerId,
        change: impl FnOnce(&mut Node) -> R,
    ) -> Option<R> {
        let node = self.nodes.get_mut(&id)?;
        let result = Self::recount(&mut self.zones, node, change);
        if !std::mem::replace(&mut node.needs_maintenance, true) {
            self.needs_maintenance.insert(id);
        }
        Some(result)
    }

    /// Scales limits and load shares with this balancer's share of the load in other zones and in its
    /// own.
    pub(crate) fn scale(&mut self, by: [f64; 2]) {
        if by == [1.0; 2] {
            return;
        }
        for node in self.nodes.values_mut() {
            let by = by[usize::from(node.server.zone == self.own)];
            Self::recount(&mut self.zones, node, |n| {
                (n.limit, n.load_share) = (n.limit * by, n.load_share * by);
            });
        }
    }

    /// Changes a server's ejection for a class.
    pub(crate) fn change_class_ejection<R>(
        &mut self,
        id: ServerId,
        class: ClassId,
        change: impl FnOnce(&mut ClassEjection) -> R,
    ) -> Option<R> {
        let ejection = self
            .nodes
            .get_mut(&id)?
            .class_ejections
            .entry(class)
            .or_default();
        self.class_failure_rates[class].add(ejection.failure_rate, -1);
        let result = change(ejection);
        self.class_failure_rates[class].add(ejection.failure_rate, 1);
        if ejection.since > 0 {
            self.class_ejections.insert((class, id))
        } else {
            self.class_ejections.remove(&(class, id))
        };
        Some(result)
    }

    /// Adds a server, in place of one of the same id.
    pub(crate) fn insert(&mut self, node: Node) {
        let id = node.server.id;
        self.remove(id);
        if node.server.zone >= self.zones.len() {
            self.zones.resize(node.server.zone + 1, Load::default());
        }
        self.zones[node.server.zone].count(&node, 1);
        if node.server.started.is_some() {
            self.grants.insert((node.warm_up_due, id));
        }
        self.index(&node.server);
        self.nodes.insert(id, node);
    }

    /// The list changed the entry of the same incarnation.
    pub(crate) fn update(&mut self, server: Server) {
        let Some(mut node) = self.take(server.id) else {
            return;
        };
        node.server = server;
        self.insert(node);
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, id: ServerId) {
        let Some(node) = self.take(id) else { return };
        for (class, ejection) in &node.class_ejections {
            self.class_failure_rates[*class].add(ejection.failure_rate, -1);
            self.class_ejections.remove(&(*class, id));
        }
        self.needs_maintenance.remove(&id);
        self.grants.remove(&(node.warm_up_due, id));
    }

    /// Removes the servers that are missing from a complete list.
    pub(crate) fn keep(&mut self, listing: &Listing) {
        if listing.scope == Scope::Changes {
            return;
        }
        let listed: BTreeSet<ServerId> = listing.servers.iter().map(|s| s.id).collect();
        let gone: Vec<ServerId> = self
            .nodes
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in gone {
            self.remove(id);
        }
    }

    /// Removes a server from all aggregates and orders, but not from maintenance.
    fn take(&mut self, id: ServerId) -> Option<Node> {
        let node = self.nodes.remove(&id)?;
        self.zones[node.server.zone].count(&node, -1);
        let (side, place) = (
            usize::from(node.server.zone == self.own),
            mix(self.turn ^ id.0),
        );
        if let Ok(i) = self.sides[side].binary_search(&id) {
            self.sides[side].remove(i);
        }
        if let Ok(i) = self.rings[side].binary_search(&(place, id)) {
            self.rings[side].remove(i);
        }
        Some(node)
    }

    fn index(&mut self, server: &Server) {
        if server.phase != Phase::Ready {
            return;
        }
        let (side, place) = (
            usize::from(server.zone == self.own),
            (mix(self.turn ^ server.id.0), server.id),
        );
        if let Err(i) = self.sides[side].binary_search(&server.id) {
            self.sides[side].insert(i, server.id);
        }
        if let Err(i) = self.rings[side].binary_search(&place) {
            self.rings[side].insert(i, place);
        }
    }

    /// Starts another rotation: the rings get another order.
    pub(crate) fn turn(&mut self, turn: u64) {
        if turn == self.turn {
            return;
        }
        self.turn = turn;
        for (ring, side) in self.rings.iter_mut().zip(&self.sides) {
            *ring = side.iter().map(|id| (mix(turn ^ id.0), *id)).collect();
            ring.sort_unstable();
        }
    }

    /// The aggregates of one zone.
    pub(crate) fn zone(&self, zone: ZoneId) -> Load {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The balancer's own zone.
    pub(crate) fn own(&self) -> ZoneId {
        self.own
    }

    /// The aggregates of the own zone, or of all others.
    pub(crate) fn load(&self, own: bool) -> Load {
        let mut load = Load::default();
        let side = self
            .zones
            .iter()
            .enumerate()
            .filter(|(zone, _)| (*zone == self.own) == own);
        side.for_each(|(_, zone)| load.join(zone));
        load
    }

    /// The mean of the listed sizes; 0 where there is none.
    pub(crate) fn mean_size(&self) -> f64 {
        let mut all = self.load(true);
        all.join(&self.load(false));
        all.size.value() / all.sized.max(1) as f64
    }

    /// The ready servers of the own zone, or of all others, by id.
    pub(crate) fn side(&self, own: bool) -> impl ExactSizeIterator<Item = &Node> {
        self.sides[usize::from(own)]
            .iter()
            .map(|id| &self.nodes[id])
    }

    /// The same in the rotation's order, from an offset on, all the way round.
    pub(crate) fn ring(&self, own: bool, from: usize) -> impl Iterator<Item = &Node> {
        let ring = &self.rings[usize::from(own)];
        let (before, after) = ring.split_at(if ring.is_empty() {
            0
        } else {
            from % ring.len()
        });
        after.iter().chain(before).map(|(_, id)| &self.nodes[id])
    }

    /// The servers of a side that fit; of very many (with `from`, the position of the round robin) a
    /// sample, those with capacity if there are any.
    pub(crate) fn sample(
        &self,
        own: bool,
        from: Option<usize>,
        fits: impl Fn(&&Node) -> bool,
        room: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let Some(from) = from.filter(|_| self.side(own).len() > MAX_FULL_SCAN) else {
            return self.side(own).filter(fits).collect();
        };
        let looked = self.ring(own, from).filter(fits).take(SAMPLE_SIZE);
        let (near, full): (Vec<&Node>, Vec<&Node>) = looked.partition(room);
        if near.is_empty() { full } else { near }
    }

    /// The servers ejected for a class, or on trial for it.
    pub(crate) fn ejected_for(&self, class: ClassId) -> impl Iterator<Item = &Node> {
        let range = (class, ServerId(0))..=(class, ServerId(u64::MAX));
        self.class_ejections
            .range(range)
            .map(|(_, id)| &self.nodes[id])
    }

    /// The sum of all servers' rates of unanswered attempts for a class.
    pub(crate) fn class_failure_rates(&self, class: ClassId) -> Sum {
        self.class_failure_rates[class]
    }

    /// The servers that need maintenance, by id.
    pub(crate) fn maintained(&self) -> impl Iterator<Item = &Node> {
        self.needs_maintenance.iter().map(|id| &self.nodes[id])
    }

    /// Maintains each of them, by id; those whose measurements have decayed need none from then on.
    pub(crate) fn maintain(&mut self, mut look: impl FnMut(&mut Node)) {
        let nodes = &mut self.nodes;
        self.needs_maintenance.retain(|id| {
            let Some(node) = nodes.get_mut(id) else {
                return false;
            };
            look(node);
            let busy = node.in_flight > 0 || node.idle_since.is_some() || node.ejected.is_some();
            node.needs_maintenance =
                busy || node.slowness > MIN_SIGNIFICANT || node.recent_successes > MIN_SIGNIFICANT;
            if !node.needs_maintenance {
                (node.slowness, node.recent_successes) = (0.0, 0.0);
            }
            node.needs_maintenance
        });
    }

    /// The warming servers that are due to be granted requests, by id; each is to be granted some.
    pub(crate) fn due_warm_ups(&mut self, now: Micros) -> Vec<ServerId> {
        if self.grants.first().is_none_or(|(at, _)| *at > now) {
            return Vec::new();
        }
        let later = self.grants.split_off(&(now + 1, ServerId(0)));
        let due = std::mem::replace(&mut self.grants, later);
        let mut due: Vec<ServerId> = due.into_iter().map(|(_, id)| id).collect();
        due.sort_unstable();
        due
    }

    /// A server is still warming up: it is granted requests again at `at`.
    pub(crate) fn grant(&mut self, id: ServerId, at: Micros) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.warm_up_due = at;
            self.grants.insert((at, id));
        }
    }

    /// All ready servers, those of the own zone first.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Node> {
        self.side(true).chain(self.side(false))
    }
}

#[cfg(test)]
mod tests;
