//! Stores the newest entry of each key that the agent has sent, and derives from them the routing
//! table, the other gates and the client limits.
//!
//! Entries may arrive in any order and more than once. Versions order the entries of a key, so an
//! older entry never replaces a newer one.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use ironmast_limits::{GateId, GateMember, GateSet};
use ironmast_routing::{Micros, ServerSpec, Table, TableError, TableSpec};
use ironmast_schema::configuration::{ClientLimits, Configuration};
use ironmast_schema::control::{
    ControlState, Entry, GateRecord, InstanceRecord, Key, Liveness, Value,
};
use ironmast_schema::settings::{InternalPort, Settings};
use rustc_hash::FxHashMap;

use crate::table_spec::{ServerStatus, server_spec, table_spec};

/// The number of deregistered incarnations above which all of them are removed.
const MAX_DEREGISTERED_INSTANCES: usize = 2_000;

/// A change of the information on a server's warm-up.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WarmupEvent {
    /// The server reported its warm-up.
    Reported {
        /// The incarnation id of the server.
        instance: Arc<str>,
        /// The remaining warm-up time, in ms.
        remaining_ms: f64,
    },
    /// Earlier reports of this incarnation are invalid, because it may have to warm up again.
    Invalidated(Arc<str>),
}

/// The newest entry of each key.
#[derive(Debug, Default)]
pub(crate) struct EntryStore {
    entries: BTreeMap<Key, Entry>,
    /// Since when heartbeats are missing, by incarnation.
    unreachable_since: FxHashMap<Arc<str>, Micros>,
    /// The version of the control state (configuration and evacuations) that the current table was
    /// built from.
    table_version: Option<u64>,
    /// The zones that were evacuated after the last merge.
    evacuated: Vec<String>,
}

impl EntryStore {
    /// Merges entries; the newer version of each key wins. Returns the changes of warm-up
    /// information.
    pub(crate) fn merge(&mut self, now: Micros, entries: Vec<Entry>) -> Vec<WarmupEvent> {
        let mut events = Vec::new();
        for entry in entries {
            let stored = self.entries.get(&entry.key);
            if stored.is_some_and(|stored| stored.version >= entry.version) {
                continue;
            }
            if let (Key::Instance(id), Value::Instance(record)) = (&entry.key, &entry.value) {
                self.track_reachability(now, id.as_str().into(), record, &mut events);
            }
            self.entries.insert(entry.key.clone(), entry);
        }
        self.track_evacuation(&mut events);
        self.remove_deregistered_instances();
        events
    }

    /// Tracks since when heartbeats are missing. A server whose heartbeats resume may have to warm
    /// up again.
    fn track_reachability(
        &mut self,
        now: Micros,
        instance: Arc<str>,
        record: &InstanceRecord,
        events: &mut Vec<WarmupEvent>,
    ) {
        match record.liveness {
            Liveness::Unreachable => _ = self.unreachable_since.entry(instance).or_insert(now),
            Liveness::Deregistered => _ = self.unreachable_since.remove(&instance),
            Liveness::Alive => {
                if self.unreachable_since.remove(&instance).is_some() {
                    events.push(WarmupEvent::Invalidated(instance.clone()));
                }
                events.push(WarmupEvent::Reported {
                    instance,
                    remaining_ms: record.heartbeat.warmup_left_ms,
                });
            }
        }
    }

    /// Tracks evacuated zones. Servers of a zone that is no longer evacuated may have to warm up
    /// again.
    fn track_evacuation(&mut self, events: &mut Vec<WarmupEvent>) {
        let evacuated = self.evacuated_zones().to_vec();
        let restored: Vec<String> = self
            .evacuated
            .iter()
            .filter(|zone| !evacuated.contains(zone))
            .cloned()
            .collect();
        let invalidated = self
            .instances()
            .filter(|(_, record)| restored.contains(&record.heartbeat.zone))
            .map(|(id, _)| WarmupEvent::Invalidated(id.into()));
        events.extend(invalidated);
        self.evacuated = evacuated;
    }

    fn remove_deregistered_instances(&mut self) {
        let is_deregistered = |entry: &Entry| matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Deregistered);
        let deregistered = self.entries.values().filter(|entry| is_deregistered(entry));
        if deregistered.count() > MAX_DEREGISTERED_INSTANCES {
            self.entries.retain(|_, entry| !is_deregistered(entry));
        }
    }

    fn control(&self) -> Option<&ControlState> {
        match &self.entries.get(&Key::Control)?.value {
            Value::Control(control) => Some(control),
            _ => None,
        }
    }

    fn evacuated_zones(&self) -> &[String] {
        self.control().map_or(&[], |control| &control.evacuated)
    }

    fn instances(&self) -> impl Iterator<Item = (&str, &InstanceRecord)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| match (key, &entry.value) {
                (Key::Instance(id), Value::Instance(record)) => Some((id.as_str(), record)),
                _ => None,
            })
    }

    fn gates(&self) -> impl Iterator<Item = (SocketAddr, &GateRecord)> {
        self.entries
            .iter()
            .filter_map(|(key, entry)| match (key, &entry.value) {
                (Key::Gate(frontend), Value::Gate(record)) => Some((*frontend, record)),
                _ => None,
            })
    }

    /// The current configuration, if the agent has sent one.
    pub(crate) fn configuration(&self) -> Option<&Configuration> {
        self.control()?.configuration.as_ref()
    }

    /// The client limits of the current configuration.
    pub(crate) fn client_limits(&self) -> Option<ClientLimits> {
        self.configuration()
            .map(|configuration| configuration.limits)
    }

    /// The number of gates that are not down.
    pub(crate) fn gate_count(&self) -> u32 {
        self.gates().filter(|(_, record)| !record.down).count() as u32
    }

    /// All gates that were ever listed, including those that are down, and the gate at
    /// `own_frontend`.
    pub(crate) fn gate_set(&self, settings: &Settings, own_frontend: SocketAddr) -> GateSet {
        let mut gates: BTreeMap<SocketAddr, &str> = self
            .gates()
            .map(|(frontend, record)| (frontend, record.region.as_str()))
            .collect();
        gates.insert(own_frontend, &settings.region);
        let gates = gates.into_iter().map(|(frontend, region)| GateMember {
            region: region.into(),
            id: gate_id(frontend),
        });
        GateSet::new(gate_id(own_frontend), gates.collect())
    }

    /// The addresses at which the other gates of the region receive load reports.
    pub(crate) fn peers(&self, settings: &Settings) -> Vec<SocketAddr> {
        let port = settings.internal_port(InternalPort::Gate);
        self.gates()
            .filter(|(_, record)| !record.down && record.region == settings.region)
            .map(|(frontend, _)| frontend.ip())
            .filter(|ip| *ip != settings.ip_address)
            .map(|ip| SocketAddr::new(ip, port))
            .collect()
    }

    /// The servers that are not deregistered.
    pub(crate) fn servers(&self, settings: &Settings) -> Vec<ServerSpec> {
        let evacuated = self.evacuated_zones();
        let status = |id: &str, record: &InstanceRecord| ServerStatus {
            evacuated: evacuated.contains(&record.heartbeat.zone),
            heartbeats_missing_since: self.unreachable_since.get(id).copied(),
        };
        self.instances()
            .filter(|(_, record)| record.liveness != Liveness::Deregistered)
            .map(|(id, record)| server_spec(settings, id, &record.heartbeat, &status(id, record)))
            .collect()
    }

    /// Builds the table that replaces `table`. Routes are rebuilt only if the control state
    /// (configuration and evacuations) has changed; otherwise only gates and servers are updated.
    ///
    /// # Errors
    /// The configuration is invalid, which coordinators should have rejected, or the servers are in
    /// too many regions.
    pub(crate) fn next_table(
        &mut self,
        settings: &Settings,
        table: &Table,
    ) -> Result<Table, TableError> {
        let version = self.entries.get(&Key::Control).map(|entry| entry.version);
        let (gates, servers) = (self.gate_count(), self.servers(settings));
        if version == self.table_version {
            return table.with_servers(gates, servers);
        }
        let spec = match self.configuration() {
            Some(configuration) => table_spec(configuration, gates, servers),
            None => TableSpec {
                gates,
                ..TableSpec::default()
            },
        };
        let table = Table::build(spec)?;
        self.table_version = version;
        Ok(table)
    }
}

/// The id of a gate, derived from its frontend address, so that all gates compute the same id.
fn gate_id(frontend: SocketAddr) -> GateId {
    let ip = match frontend.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    GateId(ip << u16::BITS | u64::from(frontend.port()))
}

#[cfg(test)]
mod tests;
