//! The servers of the table in force with what is remembered of each, by slot, and their groups:
//! the servers of one service in one region. Nothing here decides anything.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::affinity::hash;
use crate::decision::ServerHandle;
use crate::guards::Guard;
use crate::load::{CapacityLimits, Occupancy};
use crate::outlier::{OutlierDetector, PeerHealth};
use crate::prefill::{PeerSuspicions, PrefillBacklog};
use crate::table::{RegionId, ServerSpec, ServerState, Table};

/// A sign of a server counts against its silence from so long after that began.
const HEARTBEAT_LOSS_GRACE: Micros = 250_000;
/// And for so long.
const LIVENESS_OVER_HEARTBEATS: Micros = 3_000_000;

/// A sign of a server speaks against what other gates tell of it for so long.
const LIVENESS_TTL: Micros = 500_000;
/// An attempt that broke off speaks against its server for so long, unless another succeeds there.
const FAILURE_TTL: Micros = 1_000_000;

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub spec: Arc<ServerSpec>,
    pub handle: ServerHandle,
    /// Hash of its instance, for ranks, and of the models it holds.
    pub hash: u64,
    pub models: SmallVec<[u64; 2]>,
    pub region: RegionId,
    pub group: u32,
    pub bounds: CapacityLimits,
    pub occupancy: Occupancy,
    pub unread: PrefillBacklog,
    pub health: OutlierDetector,
    /// It is in the table in force.
    pub in_table: bool,
    /// What the table says of it, beside the rest of what a decision looks at.
    pub draining: bool,
    pub evacuated: bool,
    pub silent: bool,
    /// Another instance answered at its address; the table must say something new of it.
    pub displaced: bool,
    /// When anything was heard of it last.
    pub last_heard: Micros,
    /// When an attempt there broke off last without an answer; 0 after a success.
    pub failed_at: Micros,
    /// Other gates that find it out of order.
    pub suspicions: PeerSuspicions,
    /// Since when something of this gate's has been in flight there without a break.
    pub in_flight_since: Micros,
    /// When it was asked for a sign last.
    pub health_checked_at: Micros,
}

impl Endpoint {
    /// Ready, in a zone that is in use, and not known to be another by now.
    pub fn is_eligible(&self) -> bool {
        let draining = self.draining && Guard::Draining.on();
        let evacuated = self.evacuated && Guard::Evacuated.on();
        let displaced = self.displaced && Guard::Displaced.on();
        self.in_table && !draining && !evacuated && !displaced
    }

    /// True where it owes an answer and nothing was heard of it for that long.
    pub fn is_unresponsive(&self, now: Micros, patience: Micros) -> bool {
        let since = self.in_flight_since.max(self.last_heard);
        self.occupancy.in_flight > 0 && since.saturating_add(patience) <= now
    }

    /// True where it seems to be out of order to this gate: it owes an answer and gives no sign, or
    /// the last attempt there has just broken off.
    pub fn is_suspect(&self, now: Micros, patience: Micros) -> bool {
        let broke = self.failed_at > 0 && self.failed_at.saturating_add(FAILURE_TTL) > now;
        broke || self.is_unresponsive(now, patience)
    }

    /// True where it seems so to several other gates, and this one has no sign of it either.
    pub fn is_suspected_by_peers(&self, now: Micros) -> bool {
        self.suspicions.is_confirmed(now) && !self.was_heard_recently(now)
    }

    /// True where it gave a sign just now.
    pub fn was_heard_recently(&self, now: Micros) -> bool {
        self.last_heard.saturating_add(LIVENESS_TTL) > now
    }

    /// True where its heartbeats are missing and this gate has heard nothing of it either: what
    /// carries heartbeats may be at fault, and a server that answers is there.
    pub fn is_presumed_lost(&self, now: Micros) -> bool {
        let since = self
            .spec
            .heartbeats_missing_since
            .unwrap_or_default()
            .saturating_add(HEARTBEAT_LOSS_GRACE);
        let heard = self.last_heard >= since
            && self.last_heard.saturating_add(LIVENESS_OVER_HEARTBEATS) > now;
        self.silent && !(heard && Guard::LivenessOverHeartbeats.on())
    }

    /// True where it says that it holds a model, or says nothing of models.
    pub fn serves_model(&self, model: u64) -> bool {
        self.models.is_empty() || self.models.contains(&model)
    }
}

/// All servers.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    nodes: Vec<Option<Endpoint>>,
    free: Vec<u32>,
    by_instance: FxHashMap<Arc<str>, u32>,
    /// Slots of the in_table servers of each service and region.
    groups: Vec<Vec<u32>>,
    regions: usize,
    incarnations: u32,
    swaps: u64,
}

impl Endpoints {
    /// Takes over another table. What is known of servers that stay is kept; those that left are
    /// kept without being in_table until their last attempt ends.
    pub fn apply_table(&mut self, now: Micros, table: &Table) {
        self.swaps += 1;
        self.regions = table.region_count();
        self.groups = vec![Vec::new(); table.services().len() * self.regions];
        self.nodes
            .iter_mut()
            .flatten()
            .for_each(|node| node.in_table = false);
        for spec in table.servers() {
            let slot = match self.by_instance.get(&spec.instance) {
                Some(slot) => self.update(*slot, spec),
                None => self.insert(now, spec),
            };
            self.place(slot, table);
        }
        let quiet = |node: &Endpoint| !node.in_table && node.occupancy.in_flight == 0;
        let gone = self
            .nodes
            .iter()
            .flatten()
            .filter(|node| quiet(node))
            .map(|node| node.handle.slot);
        gone.collect::<Vec<u32>>()
            .into_iter()
            .for_each(|slot| self.remove(slot));
    }

    fn group_place(&self, service: u32, region: RegionId) -> u32 {
        service * self.regions as u32 + u32::from(region)
    }

    fn insert(&mut self, now: Micros, spec: &Arc<ServerSpec>) -> u32 {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.nodes.push(None);
            self.nodes.len() as u32 - 1
        });
        self.incarnations = self.incarnations.wrapping_add(1);
        let bounds = CapacityLimits {
            slots: 0,
            kv_cache: 0,
            connections: 0,
            gates: 1,
        };
        self.nodes[slot as usize] = Some(Endpoint {
            spec: spec.clone(),
            handle: ServerHandle {
                slot,
                incarnation: self.incarnations,
            },
            hash: hash(&spec.instance),
            models: spec.models.iter().map(|model| hash(model)).collect(),
            region: 0,
            group: 0,
            bounds,
            occupancy: Occupancy::default(),
            unread: PrefillBacklog::default(),
            health: OutlierDetector::default(),
            in_table: true,
            draining: false,
            evacuated: false,
            silent: false,
            displaced: false,
            last_heard: now,
            failed_at: 0,
            suspicions: PeerSuspicions::default(),
            in_flight_since: now,
            health_checked_at: 0,
        });
        self.by_instance.insert(spec.instance.clone(), slot);
        slot
    }

    fn update(&mut self, slot: u32, spec: &Arc<ServerSpec>) -> u32 {
        let Some(node) = self.nodes[slot as usize].as_mut() else {
            return slot;
        };
        let newer = spec.sequence > node.spec.sequence || spec.address != node.spec.address;
        node.displaced &= !newer;
        if node.spec.models != spec.models {
            node.models = spec.models.iter().map(|model| hash(model)).collect();
        }
        node.spec = spec.clone();
        slot
    }

    /// Puts a in_table server into its group.
    fn place(&mut self, slot: u32, table: &Table) {
        let Some(node) = self.nodes[slot as usize].as_mut() else {
            return;
        };
        let (Some(service), Some(region)) = (
            table.service(&node.spec.service),
            table.region(&node.spec.region),
        ) else {
            return;
        };
        let limits = &table.services()[service as usize];
        let slots = if node.spec.capacity > 0 {
            node.spec.capacity
        } else {
            limits.slots
        };
        node.in_table = true;
        node.draining = node.spec.state == ServerState::Draining;
        node.evacuated = node.spec.evacuated;
        node.silent = node.spec.heartbeats_missing_since.is_some();
        node.region = region;
        node.bounds = CapacityLimits {
            slots,
            kv_cache: limits.kv_cache_tokens,
            connections: limits.max_connections,
            gates: table.gates,
        };
        let group = service * self.regions as u32 + u32::from(region);
        node.group = group;
        self.groups[group as usize].push(slot);
    }

    fn remove(&mut self, slot: u32) {
        if let Some(node) = self.nodes[slot as usize].take() {
            self.by_instance.remove(&node.spec.instance);
            self.free.push(slot);
        }
    }

    /// Forgets a server that left, once nothing of it is out.
    pub fn release(&mut self, server: ServerHandle) {
        let gone = self
            .get(server)
            .is_some_and(|node| !node.in_table && node.occupancy.in_flight == 0);
        if gone {
            self.remove(server.slot);
        }
    }

    /// A server, unless it was forgotten.
    pub fn get(&self, server: ServerHandle) -> Option<&Endpoint> {
        let node = self.nodes.get(server.slot as usize)?.as_ref()?;
        (node.handle == server).then_some(node)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, server: ServerHandle) -> Option<&mut Endpoint> {
        let node = self.nodes.get_mut(server.slot as usize)?.as_mut()?;
        (node.handle == server).then_some(node)
    }

    /// The server in a slot.
    pub fn at(&self, slot: u32) -> Option<&Endpoint> {
        self.nodes.get(slot as usize)?.as_ref()
    }

    /// The handle of an instance.
    pub fn handle(&self, instance: &str) -> Option<ServerHandle> {
        let slot = *self.by_instance.get(instance)?;
        self.at(slot).map(|node| node.handle)
    }

    /// The in_table servers of a service in a region.
    pub fn members(&self, service: u32, region: RegionId) -> impl Iterator<Item = &Endpoint> {
        let group = self.groups.get(self.group_place(service, region) as usize);
        let members = group.map(Vec::as_slice).unwrap_or_default();
        members.iter().filter_map(|slot| self.at(*slot))
    }

    /// The group of that number.
    pub fn group(&self, group: u32) -> impl Iterator<Item = &Endpoint> {
        let members = self.groups.get(group as usize).map(Vec::as_slice);
        members
            .unwrap_or_default()
            .iter()
            .filter_map(|slot| self.at(*slot))
    }

    /// Rises with each table.
    pub fn swaps(&self) -> u64 {
        self.swaps
    }

    /// Every server in the table.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.nodes.iter().flatten().filter(|node| node.in_table)
    }

    /// The same, to change them.
    pub fn listed_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.nodes.iter_mut().flatten().filter(|node| node.in_table)
    }

    /// What a server's group shows without it.
    pub fn peers(&self, node: &Endpoint) -> PeerHealth {
        let others = || {
            self.group(node.group)
                .filter(|other| other.handle != node.handle)
        };
        PeerHealth {
            count: others().count() + 1,
            ejected: others()
                .filter(|other| other.health.ejected().is_some())
                .count(),
            quick: median(others().map(|other| other.health.quick())),
            long: median(others().map(|other| other.health.long())),
            slowness: median(others().filter_map(|other| other.health.slowness())),
        }
    }
}

/// The lower median; 0 of nothing.
fn median(values: impl Iterator<Item = f32>) -> f32 {
    let mut values: SmallVec<[f32; 64]> = values.collect();
    let middle = values.len().saturating_sub(1) / 2;
    match values.is_empty() {
        true => 0.0,
        false => *values.select_nth_unstable_by(middle, f32::total_cmp).1,
    }
}

#[cfg(test)]
mod tests;
