//! The time of the last contact with each endpoint, directly or through another coordinator.

use std::time::Duration;

use ironmast_schema::control::{Key, Observation};
use rustc_hash::FxHashMap;

/// The last contact with one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Contact {
    /// Time at which any coordinator last received a message from the endpoint.
    pub(crate) last: Duration,
    /// The highest known heartbeat sequence (instances) or version (gates).
    pub(crate) sequence: u64,
    /// Time at which this coordinator itself last received a message from the endpoint.
    pub(crate) last_direct: Option<Duration>,
}

/// The last contacts with all endpoints.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    by_key: FxHashMap<Key, Contact>,
    /// Sequences of direct contacts that have not been sent to the other coordinators yet.
    unreported: FxHashMap<Key, u64>,
}

impl Contacts {
    pub(crate) fn get(&self, key: &Key) -> Option<&Contact> {
        self.by_key.get(key)
    }

    /// Records a message that the endpoint sent to this coordinator.
    pub(crate) fn record_direct(&mut self, now: Duration, key: &Key, sequence: u64) {
        self.record(now, key, sequence).last_direct = Some(now);
        self.unreported.insert(key.clone(), sequence);
    }

    /// Records that another coordinator has received a message from the endpoint.
    pub(crate) fn record_indirect(&mut self, now: Duration, key: &Key, sequence: u64) {
        self.record(now, key, sequence);
    }

    pub(crate) fn remove(&mut self, key: &Key) {
        self.by_key.remove(key);
    }

    /// Takes the direct contacts since the last call.
    pub(crate) fn take_unreported(&mut self) -> Vec<Observation> {
        let unreported = self.unreported.drain();
        unreported
            .map(|(key, sequence)| Observation { key, sequence })
            .collect()
    }

    fn record(&mut self, now: Duration, key: &Key, sequence: u64) -> &mut Contact {
        let contact = self.by_key.entry(key.clone()).or_insert(Contact {
            last: now,
            sequence,
            last_direct: None,
        });
        contact.last = contact.last.max(now);
        contact.sequence = contact.sequence.max(sequence);
        contact
    }
}
