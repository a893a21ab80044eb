//! The listed servers, and what is derived from them and updated with each change: sums by zone,
//! the orders in which servers are iterated, and the set of servers that need maintenance. No
//! decision is made here.

mod class_index;
mod load;
mod ready_servers;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use self::class_index::ClassIndex;
use self::ready_servers::ReadyServers;
use crate::api::{ClassId, Listing, Micros, Phase, Scope, Server, ServerId, ZoneId};
use crate::locality::{ByLocality, Locality};
use crate::node::{ClassEjection, Node};

pub(crate) use self::load::{Load, Sum};

/// A decaying measurement at or below this counts as zero.
const MIN_SIGNIFICANT: f64 = 1e-6;
/// The largest number of ready servers in a locality that a request considers in full. In a larger
/// locality it considers a sample of consecutive servers of the ring, so that load stays even and
/// the cost of a request does not grow with the fleet.
const MAX_FULL_SCAN: usize = 48;
/// The size of the sample in a locality with more than [`MAX_FULL_SCAN`] ready servers.
pub(crate) const SAMPLE_SIZE: usize = 16;

/// The listed servers.
#[derive(Default)]
pub(crate) struct Fleet {
    nodes: FxHashMap<ServerId, Node>,
    zones: Vec<Load>,
    own_zone: ZoneId,
    ready: ByLocality<ReadyServers>,
    /// The number from which the order of the rings is derived.
    rotation: u64,
    needs_maintenance: BTreeSet<ServerId>,
    /// When each server that is warming up is next granted requests.
    warm_up_grants: BTreeSet<(Micros, ServerId)>,
    class_index: ClassIndex,
}

impl Fleet {
    /// An empty fleet of a balancer in `own_zone` with `classes` request classes.
    pub(crate) fn new(own_zone: ZoneId, classes: usize) -> Self {
        Fleet {
            own_zone,
            class_index: ClassIndex::new(classes),
            ..Fleet::default()
        }
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// A server, for changes to fields that enter no aggregate; for all others see
    /// [`Fleet::change`].
    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// The number of listed servers in any phase.
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a zone is the balancer's own.
    pub(crate) fn locality(&self, zone: ZoneId) -> Locality {
        if zone == self.own_zone {
            Locality::Local
        } else {
            Locality::Remote
        }
    }

    /// Changes a server and the aggregates with it, and marks it as in need of maintenance. Returns
    /// `None` if the server is not listed.
    pub(crate) fn change<R>(
        &mut self,
        id: ServerId,
        change: impl FnOnce(&mut Node) -> R,
    ) -> Option<R> {
        let node = self.nodes.get_mut(&id)?;
        let result = change_with_aggregates(&mut self.zones, node, change);
        if !node.needs_maintenance {
            node.needs_maintenance = true;
            self.needs_maintenance.insert(id);
        }
        Some(result)
    }

    /// Multiplies the limits and load shares of all servers by the factors by which this balancer's
    /// share of the load has changed.
    pub(crate) fn scale(&mut self, factors: ByLocality<f64>) {
        if factors == ByLocality::both(1.0) {
            return;
        }
        let own_zone = self.own_zone;
        for node in self.nodes.values_mut() {
            let factor = if node.server.zone == own_zone {
                factors.local
            } else {
                factors.remote
            };
            change_with_aggregates(&mut self.zones, node, |node| {
                node.limit *= factor;
                node.load_share *= factor;
            });
        }
    }

    /// Changes a server's ejection for a class; returns `None` if the server is not listed.
    pub(crate) fn change_class_ejection<R>(
        &mut self,
        id: ServerId,
        class: ClassId,
        change: impl FnOnce(&mut ClassEjection) -> R,
    ) -> Option<R> {
        let node = self.nodes.get_mut(&id)?;
        Some(self.class_index.change(node, class, change))
    }

    /// Adds a server, replacing one with the same id.
    pub(crate) fn insert(&mut self, node: Node) {
        let id = node.server.id;
        self.remove(id);
        if node.server.zone >= self.zones.len() {
            self.zones.resize(node.server.zone + 1, Load::default());
        }
        self.zones[node.server.zone].add(&node);
        if node.server.started.is_some() {
            self.warm_up_grants.insert((node.warm_up_due, id));
        }
        if node.server.phase == Phase::Ready {
            let locality = self.locality(node.server.zone);
            self.ready[locality].insert(id, self.rotation);
        }
        self.nodes.insert(id, node);
    }

    /// Replaces the listed attributes of a server of the same incarnation, and keeps what is known
    /// about it.
    pub(crate) fn update(&mut self, server: Server) {
        let Some(mut node) = self.take(server.id) else {
            return;
        };
        node.server = server;
        self.insert(node);
    }

    /// Removes a server, if it is listed.
    pub(crate) fn remove(&mut self, id: ServerId) {
        let Some(node) = self.take(id) else { return };
        self.class_index.remove(&node);
        self.needs_maintenance.remove(&id);
        self.warm_up_grants.remove(&(node.warm_up_due, id));
    }

    /// Removes the servers that are missing from a listing, unless it contains only changes.
    pub(crate) fn remove_missing(&mut self, listing: &Listing) {
        if listing.scope == Scope::Changes {
            return;
        }
        let listed: BTreeSet<ServerId> = listing.servers.iter().map(|server| server.id).collect();
        let missing: Vec<ServerId> = self
            .nodes
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in missing {
            self.remove(id);
        }
    }

    /// Removes a server from its zone's aggregates and from the orders, but not from the class
    /// index, the servers that need maintenance and the warm-up grants.
    fn take(&mut self, id: ServerId) -> Option<Node> {
        let node = self.nodes.remove(&id)?;
        self.zones[node.server.zone].remove(&node);
        let locality = self.locality(node.server.zone);
        self.ready[locality].remove(id, self.rotation);
        Some(node)
    }

    /// Changes the order of the rings if `rotation` is another one than before.
    pub(crate) fn rotate(&mut self, rotation: u64) {
        if rotation == self.rotation {
            return;
        }
        self.rotation = rotation;
        self.ready.local.reorder(rotation);
        self.ready.remote.reorder(rotation);
    }

    /// The aggregates of a zone; empty for a zone without servers.
    pub(crate) fn zone(&self, zone: ZoneId) -> Load {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The aggregates of a locality.
    pub(crate) fn load(&self, locality: Locality) -> Load {
        let mut load = Load::default();
        for (zone, zone_load) in self.zones.iter().enumerate() {
            if self.locality(zone) == locality {
                load.merge(zone_load);
            }
        }
        load
    }

    /// The mean of the listed sizes of all servers; 0 if no server has one.
    pub(crate) fn mean_size(&self) -> f64 {
        let mut all = self.load(Locality::Local);
        all.merge(&self.load(Locality::Remote));
        all.mean_size()
    }

    /// The ready servers of a locality, in order of their ids.
    pub(crate) fn ready_in(&self, locality: Locality) -> impl ExactSizeIterator<Item = &Node> {
        self.ready[locality].by_id().map(|id| &self.nodes[&id])
    }

    /// The ready servers of a locality in the order of the ring, from `offset` on, once around.
    pub(crate) fn ring(&self, locality: Locality, offset: usize) -> impl Iterator<Item = &Node> {
        let ids = self.ready[locality].ring_from(offset);
        ids.map(|id| &self.nodes[&id])
    }

    /// The ready servers of a locality for which `fits` is true. With `from`, the position of the
    /// round robin, and more than [`MAX_FULL_SCAN`] ready servers, only [`SAMPLE_SIZE`] of them,
    /// reduced to those with capacity if there are any.
    pub(crate) fn sample(
        &self,
        locality: Locality,
        from: Option<usize>,
        fits: impl Fn(&&Node) -> bool,
        has_capacity: impl Fn(&&Node) -> bool,
    ) -> Vec<&Node> {
        let is_large = self.ready_in(locality).len() > MAX_FULL_SCAN;
        let Some(offset) = from.filter(|_| is_large) else {
            return self.ready_in(locality).filter(fits).collect();
        };
        let sample = self.ring(locality, offset).filter(fits).take(SAMPLE_SIZE);
        let (free, full): (Vec<&Node>, Vec<&Node>) = sample.partition(has_capacity);
        if free.is_empty() { full } else { free }
    }

    /// The servers ejected for a class, or on trial for it.
    pub(crate) fn ejected_for(&self, class: ClassId) -> impl Iterator<Item = &Node> {
        let ids = self.class_index.ejected_for(class);
        ids.map(|id| &self.nodes[&id])
    }

    /// The sum over all servers of the failure rate for a class.
    pub(crate) fn class_failure_rate(&self, class: ClassId) -> Sum {
        self.class_index.failure_rate(class)
    }

    /// The servers that need maintenance, in order of their ids.
    pub(crate) fn maintained(&self) -> impl Iterator<Item = &Node> {
        self.needs_maintenance.iter().map(|id| &self.nodes[id])
    }

    /// Calls `maintain` for each server that needs maintenance, in order of their ids. A server
    /// that is not in use and whose measurements have decayed needs none from then on.
    pub(crate) fn maintain(&mut self, mut maintain: impl FnMut(&mut Node)) {
        let nodes = &mut self.nodes;
        self.needs_maintenance.retain(|id| {
            let Some(node) = nodes.get_mut(id) else {
                return false;
            };
            maintain(node);
            let is_in_use =
                node.in_flight > 0 || node.idle_since.is_some() || node.ejected.is_some();
            node.needs_maintenance = is_in_use
                || node.slowness > MIN_SIGNIFICANT
                || node.recent_successes > MIN_SIGNIFICANT;
            if !node.needs_maintenance {
                node.slowness = 0.0;
                node.recent_successes = 0.0;
            }
            node.needs_maintenance
        });
    }

    /// Removes the servers whose next warm-up grant is due from the schedule, and returns them in
    /// order of their ids; [`Fleet::schedule_warm_up`] schedules the next grant.
    pub(crate) fn take_due_warm_ups(&mut self, now: Micros) -> Vec<ServerId> {
        if self.warm_up_grants.first().is_none_or(|(at, _)| *at > now) {
            return Vec::new();
        }
        let later = self.warm_up_grants.split_off(&(now + 1, ServerId(0)));
        let due = std::mem::replace(&mut self.warm_up_grants, later);
        let mut due: Vec<ServerId> = due.into_iter().map(|(_, id)| id).collect();
        due.sort_unstable();
        due
    }

    /// Schedules the next warm-up grant of a server for `at`.
    pub(crate) fn schedule_warm_up(&mut self, id: ServerId, at: Micros) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.warm_up_due = at;
            self.warm_up_grants.insert((at, id));
        }
    }

    /// All ready servers: those of the own zone first, each locality in order of ids.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Node> {
        let all = Locality::ALL.into_iter();
        all.flat_map(move |locality| self.ready_in(locality))
    }
}

/// Changes a server and the aggregates of its zone with it.
fn change_with_aggregates<R>(
    zones: &mut [Load],
    node: &mut Node,
    change: impl FnOnce(&mut Node) -> R,
) -> R {
    let zone = &mut zones[node.server.zone];
    zone.remove(node);
    let result = change(node);
    zone.add(node);
    result
}
