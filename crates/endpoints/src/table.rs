//! The endpoint table: entries by key, and the merge of entries from other nodes.

use std::time::Duration;

use ironmast_schema::control::{ControlState, Entry, Key, Observation, Value};
use rustc_hash::FxHashMap;

use crate::contacts::Contacts;
use crate::diff::must_distribute;

/// Time without contact after which an endpoint expires, by kind of endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ExpiryTimeouts {
    /// The timeout of server instances.
    pub instance: Duration,
    /// The timeout of gates.
    pub gate: Duration,
}

/// The outcome of merging an entry from another node.
#[derive(Debug, Clone, PartialEq)]
pub enum MergeOutcome {
    /// The entry was newer than the stored one and has replaced it.
    Newer,
    /// The stored entry is as new or newer, without a difference that other nodes need.
    Known,
    /// The stored entry, given here, is newer and differs: the caller must send it to the other
    /// nodes.
    Stale(Box<Entry>),
}

/// The endpoint table of one coordinator.
#[derive(Debug)]
pub struct EndpointTable {
    pub(crate) timeouts: ExpiryTimeouts,
    /// Expiry timeouts start at this time at the earliest.
    pub(crate) expiry_since: Duration,
    pub(crate) entries: FxHashMap<Key, Entry>,
    pub(crate) contacts: Contacts,
    /// Time at which this coordinator itself last received a heartbeat from any server.
    pub(crate) last_heartbeat: Duration,
}

impl EndpointTable {
    /// Creates an empty table at time `now`, from which the first expiry timeouts count.
    #[must_use]
    pub fn new(now: Duration, timeouts: ExpiryTimeouts) -> Self {
        EndpointTable {
            timeouts,
            expiry_since: now,
            entries: FxHashMap::default(),
            contacts: Contacts::default(),
            last_heartbeat: now,
        }
    }

    /// All entries, in no particular order.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.values().cloned().collect()
    }

    /// The entry with this key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Stores the control state if its version is newer than the stored one. Returns the entry to
    /// send to the other nodes, or `None` if the version is not newer.
    pub fn update_control_state(
        &mut self,
        now: Duration,
        version: u64,
        state: ControlState,
    ) -> Option<Entry> {
        let entry = Entry {
            key: Key::Control,
            version,
            value: Value::Control(state),
        };
        (self.merge(now, &entry) == MergeOutcome::Newer).then_some(entry)
    }

    /// Merges an entry from another node: the higher version wins.
    pub fn merge(&mut self, now: Duration, entry: &Entry) -> MergeOutcome {
        if let Some(stored) = self.entries.get(&entry.key) {
            if stored.version > entry.version && must_distribute(&entry.value, &stored.value) {
                return MergeOutcome::Stale(Box::new(stored.clone()));
            }
            if stored.version >= entry.version {
                return MergeOutcome::Known;
            }
        }
        // The entry does not carry the sequence of its contact; 0 keeps the one recorded so far.
        self.contacts.record_indirect(now, &entry.key, 0);
        self.entries.insert(entry.key.clone(), entry.clone());
        MergeOutcome::Newer
    }

    /// Records that another coordinator has received reports from these endpoints. Entries do not
    /// change: the contents of the reports arrive as entries, possibly later.
    pub fn merge_observed(&mut self, now: Duration, observed: &[Observation]) {
        for Observation { key, sequence } in observed {
            let is_late = self
                .contacts
                .get(key)
                .is_some_and(|contact| contact.sequence > *sequence);
            if !is_late && self.entries.contains_key(key) {
                self.contacts.record_indirect(now, key, *sequence);
            }
        }
    }

    /// Takes the endpoints that have reported to this coordinator since the last call, to send to
    /// the other coordinators.
    pub fn take_observed(&mut self) -> Vec<Observation> {
        self.contacts.take_unreported()
    }

    /// Stores a report that an endpoint sent to this coordinator itself. Returns the entry to send
    /// to the other nodes, or `None` if they do not need it. The caller must have checked that the
    /// entry is newer than the stored one.
    pub(crate) fn store_direct(
        &mut self,
        now: Duration,
        entry: Entry,
        sequence: u64,
    ) -> Option<Entry> {
        let is_distributed = self
            .entries
            .get(&entry.key)
            .is_none_or(|stored| must_distribute(&stored.value, &entry.value));
        self.contacts.record_direct(now, &entry.key, sequence);
        self.entries.insert(entry.key.clone(), entry.clone());
        is_distributed.then_some(entry)
    }

    /// Whether the table holds an entry with this key and at least this version.
    pub(crate) fn has_version(&self, key: &Key, version: u64) -> bool {
        self.entries
            .get(key)
            .is_some_and(|stored| stored.version >= version)
    }
}
