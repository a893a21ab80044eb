//! Stores the newest entry of each key, and sends updates to the connected gates.

use std::collections::BTreeMap;

use ironmast_schema::control::{Entry, Key, Liveness, ToGate, Value};
use tokio::sync::mpsc;

/// Number of deregistered instances above which all of their entries are dropped.
const MAX_DEREGISTERED: usize = 2_000;

/// The newest entry of each key, and the connected gates as subscribers to updates.
#[derive(Default)]
pub(crate) struct EntryTable {
    entries: BTreeMap<Key, Entry>,
    subscribers: Vec<mpsc::UnboundedSender<ToGate>>,
}

impl EntryTable {
    /// Stores the entries that are newer than the stored ones, sends them to the subscribers and
    /// returns them.
    pub(crate) fn merge(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut updates = Vec::new();
        for entry in entries {
            if self.is_newer(&entry) {
                self.entries.insert(entry.key.clone(), entry.clone());
                updates.push(entry);
            }
        }
        if !updates.is_empty() {
            self.broadcast(&updates);
        }
        // A gate is told at once that it has the control state, not an interval later.
        if updates.iter().any(|update| update.key == Key::Control) {
            self.keep_alive();
        }
        updates
    }

    /// Sends a keep-alive frame to the subscribers, unless no control state has arrived yet: other
    /// entries may then be missing as well.
    pub(crate) fn keep_alive(&mut self) {
        if self.entries.contains_key(&Key::Control) {
            self.broadcast(&[]);
        }
    }

    fn broadcast(&mut self, entries: &[Entry]) {
        self.subscribers
            .retain(|gate| gate.send(ToGate::Entries(entries.to_vec())).is_ok());
    }

    fn is_newer(&self, entry: &Entry) -> bool {
        self.entries
            .get(&entry.key)
            .is_none_or(|stored| stored.version < entry.version)
    }

    /// Adds a subscriber, which receives all entries first and updates from then on.
    pub(crate) fn subscribe(&mut self, gate: mpsc::UnboundedSender<ToGate>) {
        // If the gate has already disconnected, the next update removes its subscription.
        let _ = gate.send(ToGate::Entries(self.entries.values().cloned().collect()));
        self.subscribers.push(gate);
        self.keep_alive();
    }

    /// Drops the entries of all deregistered instances if there are more than [`MAX_DEREGISTERED`], so
    /// that they do not accumulate.
    pub(crate) fn drop_deregistered(&mut self) {
        let count = self
            .entries
            .values()
            .filter(|entry| is_deregistered(entry))
            .count();
        if count > MAX_DEREGISTERED {
            self.entries.retain(|_, entry| !is_deregistered(entry));
        }
    }
}

fn is_deregistered(entry: &Entry) -> bool {
    matches!(&entry.value, Value::Instance(record) if record.liveness == Liveness::Deregistered)
}
