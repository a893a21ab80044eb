//! What an agent holds: the newest entry of each key, and who wants news of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use ironmast_schema::control::{Entry, GateRecord, Key, Liveness, ToGate, Value};
use ironmast_schema::settings::Settings;
use tokio::sync::{Notify, mpsc, watch};

/// From one status to the next: between them are the versions of the gate's silence and of its
/// removal, which coordinators find.
const VERSIONS_PER_STATUS: u64 = 4;

/// All state of an agent.
pub(crate) struct State {
    zone: String,
    region: String,
    entries: BTreeMap<Key, Entry>,
    gates: Vec<mpsc::UnboundedSender<ToGate>>,
    /// What the gate beside this agent says of itself.
    pub(crate) status: watch::Sender<Option<Entry>>,
    version: u64,
    /// Told when a gate's link ends.
    pub(crate) gate_left: Rc<Notify>,
    pub(crate) gates_linked: usize,
    pub(crate) coordinators: BTreeSet<SocketAddr>,
}

impl State {
    /// The state at the start.
    pub(crate) fn new(settings: &Settings) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        State {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            entries: BTreeMap::new(),
            gates: Vec::new(),
            status: watch::Sender::new(None),
            version: since.as_millis() as u64,
            gate_left: Rc::default(),
            gates_linked: 0,
            coordinators: BTreeSet::new(),
        }
    }

    /// Takes entries from the control plane and passes on those that are news.
    pub(crate) fn merge(&mut self, entries: Vec<Entry>) {
        let mut news = Vec::new();
        for entry in entries {
            if self
                .entries
                .get(&entry.key)
                .is_some_and(|known| known.version >= entry.version)
            {
                continue;
            }
            self.outrun(&entry);
            self.entries.insert(entry.key.clone(), entry.clone());
            news.push(entry);
        }
        if !news.is_empty() {
            self.gates
                .retain(|gate| gate.send(ToGate::Entries(news.clone())).is_ok());
        }
    }

    /// An earlier life of this agent may have used higher versions for the gate: this one goes on
    /// above them.
    fn outrun(&mut self, entry: &Entry) {
        let own = self
            .status
            .borrow()
            .as_ref()
            .is_some_and(|status| status.key == entry.key);
        if own && entry.version >= self.version {
            self.version = entry.version;
        }
    }

    /// Adds a gate; it gets all there is first.
    pub(crate) fn subscribe(&mut self, gate: mpsc::UnboundedSender<ToGate>) {
        let _ = gate.send(ToGate::Entries(self.entries.values().cloned().collect()));
        self.gates.push(gate);
    }

    /// The gate beside this agent says where it serves and whether it takes new clients.
    pub(crate) fn status(&mut self, frontend: SocketAddr, ready: bool, gone: bool) {
        self.version += VERSIONS_PER_STATUS;
        let record = GateRecord {
            zone: self.zone.clone(),
            region: self.region.clone(),
            ready,
            down: gone,
        };
        let entry = Entry {
            key: Key::Gate(frontend),
            version: self.version,
            value: Value::Gate(record),
        };
        self.status.send_replace(Some(entry));
    }

    /// Says once more, under a higher version, what the gate last said.
    pub(crate) fn repeat_status(&mut self) -> Option<Entry> {
        self.version += VERSIONS_PER_STATUS;
        let version = self.version;
        let mut status = self.status.borrow().clone()?;
        status.version = version;
        Some(status)
    }

    /// Incarnations that have ended are not kept for good.
    pub(crate) fn forget_ended(&mut self) {
        let ended = |entry: &Entry| matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Deregistered);
        let count = self.entries.values().filter(|entry| ended(entry)).count();
        if count > ENDED_MOST {
            self.entries.retain(|_, entry| !ended(entry));
        }
    }
}

/// Ended incarnations that are remembered.
const ENDED_MOST: usize = 2_000;

#[cfg(test)]
mod tests;
