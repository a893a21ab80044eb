//! The tables of a gate, from what its agent tells: the newest entry of each key, and the routes,
//! services and servers in them as the decisions take them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use ironmast_limits::{Gate, GateId, GateSet};
use ironmast_routing::{
    Micros, RouteKind, RouteSpec, ServerSpec, ServerState, ServiceSpec, Table, TableError,
    TableSpec, WeightedBackend,
};
use ironmast_schema::configuration::{ClientLimits, Configuration, Route, RouteType, Service};
use ironmast_schema::control::{ControlState, Entry, InstanceRecord, Key, Liveness, Value};
use ironmast_schema::registration::InstanceState;
use ironmast_schema::settings::{InternalPort, Settings};
use rustc_hash::FxHashMap;

/// Ended incarnations that are remembered.
const ENDED_MOST: usize = 2_000;
/// Weights are kept as whole numbers: so many for a weight of 1.
const WEIGHT_SCALE: f64 = 1_000.0;

/// What happened to a server.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum News {
    /// It said how much longer it is cold, in ms.
    Warmup(Arc<str>, f64),
    /// It may have turned cold without saying so.
    Disturbed(Arc<str>),
}

/// Everything that is known.
#[derive(Debug, Default)]
pub(crate) struct Known {
    entries: BTreeMap<Key, Entry>,
    /// Since when servers are silent.
    silent: FxHashMap<Arc<str>, Micros>,
    /// The version of the routes in force.
    routes: Option<u64>,
    /// Zones that were evacuated when last looked at.
    evacuated: Vec<String>,
}

impl Known {
    /// Takes entries; the newer version of each key stays. Tells what happened to servers.
    pub(crate) fn merge(&mut self, now: Micros, entries: Vec<Entry>) -> Vec<News> {
        let mut news = Vec::new();
        for entry in entries {
            let known = self.entries.get(&entry.key);
            if known.is_some_and(|known| known.version >= entry.version) {
                continue;
            }
            if let (Key::Instance(id), Value::Instance(record)) = (&entry.key, &entry.value) {
                self.note(now, id.as_str().into(), record, &mut news);
            }
            self.entries.insert(entry.key.clone(), entry);
        }
        self.returned(&mut news);
        self.forget_ended();
        news
    }

    fn note(&mut self, now: Micros, id: Arc<str>, record: &InstanceRecord, news: &mut Vec<News>) {
        match record.liveness {
            Liveness::Unreachable => _ = self.silent.entry(id).or_insert(now),
            Liveness::Deregistered => _ = self.silent.remove(&id),
            Liveness::Alive => {
                if self.silent.remove(&id).is_some() {
                    news.push(News::Disturbed(id.clone()));
                }
                news.push(News::Warmup(id, record.heartbeat.warmup_left_ms));
            }
        }
    }

    /// Servers whose zone is in use again may be cold.
    fn returned(&mut self, news: &mut Vec<News>) {
        let evacuated = self
            .control()
            .map(|control| control.evacuated.clone())
            .unwrap_or_default();
        let back: Vec<String> = self
            .evacuated
            .iter()
            .filter(|zone| !evacuated.contains(zone))
            .cloned()
            .collect();
        for (id, record) in self.instances() {
            if back.contains(&record.heartbeat.zone) {
                news.push(News::Disturbed(id.into()));
            }
        }
        self.evacuated = evacuated;
    }

    /// Incarnations that have ended are not kept for good.
    fn forget_ended(&mut self) {
        let ended = |entry: &Entry| matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Deregistered);
        if self.entries.values().filter(|entry| ended(entry)).count() > ENDED_MOST {
            self.entries.retain(|_, entry| !ended(entry));
        }
    }

    fn control(&self) -> Option<&ControlState> {
        match &self.entries.get(&Key::Control)?.value {
            Value::Control(control) => Some(control),
            _ => None,
        }
    }

    fn instances(&self) -> impl Iterator<Item = (&str, &InstanceRecord)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| match (key, &entry.value) {
                (Key::Instance(id), Value::Instance(record)) => Some((id.as_str(), record)),
                _ => None,
            })
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<&Configuration> {
        self.control()?.configuration.as_ref()
    }

    /// What clients may send.
    pub(crate) fn client_limits(&self) -> Option<ClientLimits> {
        self.configuration()
            .map(|configuration| configuration.limits)
    }

    /// Gates that are there.
    pub(crate) fn gates(&self) -> u32 {
        let there = |entry: &&Entry| matches!(&entry.value, Value::Gate(gate) if !gate.down);
        self.entries.values().filter(there).count() as u32
    }

    /// All gates that were ever told of, and the one at `own`.
    pub(crate) fn tier(&self, settings: &Settings, own: SocketAddr) -> GateSet {
        let mut gates: BTreeMap<SocketAddr, &str> = self
            .entries
            .iter()
            .filter_map(|(key, entry)| match (key, &entry.value) {
                (Key::Gate(at), Value::Gate(gate)) => Some((*at, gate.region.as_str())),
                _ => None,
            })
            .collect();
        gates.insert(own, &settings.region);
        let gates = gates.into_iter().map(|(at, region)| Gate {
            region: region.into(),
            id: gate_number(at),
        });
        GateSet::new(gate_number(own), gates.collect())
    }

    /// Where the other gates of the region hear each other.
    pub(crate) fn peers(&self, settings: &Settings) -> Vec<SocketAddr> {
        let port = settings.internal_port(InternalPort::Gate);
        let there = self
            .entries
            .iter()
            .filter_map(|(key, entry)| match (key, &entry.value) {
                (Key::Gate(at), Value::Gate(gate))
                    if !gate.down && gate.region == settings.region =>
                {
                    Some(at.ip())
                }
                _ => None,
            });
        there
            .filter(|ip| *ip != settings.ip_address)
            .map(|ip| SocketAddr::new(ip, port))
            .collect()
    }

    /// The servers that are there.
    pub(crate) fn servers(&self, settings: &Settings) -> Vec<ServerSpec> {
        let evacuated = self.control().map_or(&[][..], |control| &control.evacuated);
        let listed = self
            .instances()
            .filter(|(_, record)| record.liveness != Liveness::Deregistered);
        listed
            .map(|(id, record)| self.server(settings, evacuated, id, record))
            .collect()
    }

    fn server(
        &self,
        settings: &Settings,
        evacuated: &[String],
        id: &str,
        record: &InstanceRecord,
    ) -> ServerSpec {
        let said = &record.heartbeat;
        ServerSpec {
            instance: id.into(),
            service: said.backend.as_str().into(),
            address: said.address,
            zone: said.zone.as_str().into(),
            region: settings.region_of(&said.zone).into(),
            capacity: u32::try_from(said.capacity).unwrap_or(u32::MAX),
            state: match said.state {
                InstanceState::Ready => ServerState::Ready,
                InstanceState::Draining => ServerState::Draining,
            },
            evacuated: evacuated.contains(&said.zone),
            // The limits know better from one moment to the next: they are asked for each request.
            warming_up: true,
            heartbeats_missing_since: self.silent.get(id).copied(),
            models: Vec::new(),
            sequence: said.sequence,
        }
    }

    /// The table that follows `table`; its routes are built anew only where they have changed.
    ///
    /// # Errors
    /// The configuration has a fault that no coordinator should have let through.
    pub(crate) fn next(&mut self, settings: &Settings, table: &Table) -> Result<Table, TableError> {
        let version = self.entries.get(&Key::Control).map(|entry| entry.version);
        let (gates, servers) = (self.gates(), self.servers(settings));
        if version == self.routes {
            return table.with_servers(gates, servers);
        }
        let spec = match self.configuration() {
            Some(configuration) => spec(configuration, gates, servers),
            None => TableSpec {
                gates,
                ..TableSpec::default()
            },
        };
        let table = Table::build(spec)?;
        self.routes = version;
        Ok(table)
    }
}

/// A gate's number, the same at all gates: its address.
fn gate_number(frontend: SocketAddr) -> GateId {
    let ip = match frontend.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    GateId(ip << u16::BITS | u64::from(frontend.port()))
}

fn spec(configuration: &Configuration, gates: u32, servers: Vec<ServerSpec>) -> TableSpec {
    let routes = configuration.routes.iter().map(route).collect();
    let services = configuration.services.iter().map(service).collect();
    TableSpec {
        gates,
        routes,
        services,
        servers,
    }
}

fn route(route: &Route) -> RouteSpec {
    let split = |(service, weight): (&str, f64)| WeightedBackend {
        service: service.into(),
        weight: whole_weight(weight),
    };
    RouteSpec {
        name: route.name.as_str().into(),
        host: route.hostname.as_str().into(),
        prefix: route.path_prefix.as_str().into(),
        kind: match route.kind {
            RouteType::Safe => RouteKind::Idempotent,
            RouteType::Unsafe => RouteKind::NonIdempotent,
            RouteType::Streaming => RouteKind::Stream {
                resumable: route.resumable,
            },
        },
        backends: route.splits().into_iter().map(split).collect(),
        max_attempts: route.max_attempts,
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms.max(0.0) as u64,
        max_event_gap_ms: (route.gap_aim_ms > 0.0).then_some(route.gap_aim_ms as u64),
        priority: route.priority,
        affinity: route.session_affinity,
        allowed_regions: route
            .allowed_regions
            .iter()
            .map(|region| region.as_str().into())
            .collect(),
    }
}

/// A weight above 0 stays above 0.
fn whole_weight(weight: f64) -> u32 {
    let whole = (weight * WEIGHT_SCALE)
        .round()
        .clamp(0.0, f64::from(u32::MAX / 1_000));
    if weight > 0.0 {
        (whole as u32).max(1)
    } else {
        0
    }
}

fn service(service: &Service) -> ServiceSpec {
    let runtime = service.runtime.as_ref();
    ServiceSpec {
        name: service.name.as_str().into(),
        health_check: service.health_check.as_str().into(),
        slots: runtime.map_or(0, |runtime| {
            u32::try_from(runtime.capacity).unwrap_or(u32::MAX)
        }),
        kv_cache_tokens: runtime.map_or(0, |runtime| runtime.kv_cache_tokens),
        max_connections: u32::try_from(service.max_connections).unwrap_or(u32::MAX),
        warmup_per_s: service.warmup_per_s,
    }
}

#[cfg(test)]
mod tests;
