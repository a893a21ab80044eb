//! The table itself: entries by key, and the merge of entries from other nodes.

use std::time::Duration;

use ironmast_schema::control::{ControlState, Entry, Key, Observation, Value};
use rustc_hash::FxHashMap;

use crate::contacts::Contacts;
use crate::diff::is_relevant_change;

/// After how long without contact an endpoint expires.
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
    /// The entry was newer and is stored now.
    Newer,
    /// The entry was already known, or differs only in what other nodes need not learn of.
    Known,
    /// The stored entry is newer and differs: the other nodes must be sent this one.
    Stale(Box<Entry>),
}

/// The endpoint table of one coordinator.
#[derive(Debug)]
pub struct EndpointTable {
    pub(crate) timeouts: ExpiryTimeouts,
    /// Contacts before this time don't count towards expiry.
    pub(crate) expiry_since: Duration,
    pub(crate) entries: FxHashMap<Key, Entry>,
    pub(crate) contacts: Contacts,
    /// When this coordinator itself last received a heartbeat from any server.
    pub(crate) last_heartbeat: Duration,
}

impl EndpointTable {
    /// An empty table.
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

    /// The entry of one key.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Stores the operators' state under its version; returns the entry to send to the other nodes
    /// if it is newer than the stored one.
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
        if let Some(known) = self.entries.get(&entry.key) {
            if known.version > entry.version && is_relevant_change(&entry.value, &known.value) {
                return MergeOutcome::Stale(Box::new(known.clone()));
            }
            if known.version >= entry.version {
                return MergeOutcome::Known;
            }
        }
        // Sequence 0 leaves a higher recorded one in place: an entry's version doesn't show it.
        self.contacts.record_indirect(now, &entry.key, 0);
        self.entries.insert(entry.key.clone(), entry.clone());
        MergeOutcome::Newer
    }

    /// Records that another coordinator has heard from these endpoints. Entries stay as they are:
    /// the contents of those heartbeats come as entries of their own, perhaps later.
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

    /// The endpoints that this coordinator has heard from since the last call, to send to the other
    /// coordinators.
    pub fn take_observed(&mut self) -> Vec<Observation> {
        self.contacts.take_unreported()
    }

    /// Stores what an endpoint has sent to this coordinator itself; returns the entry to send to
    /// the other nodes if they need to learn of the change. The caller has checked that it is newer
    /// than the stored entry.
    pub(crate) fn store_direct(
        &mut self,
        now: Duration,
        entry: Entry,
        sequence: u64,
    ) -> Option<Entry> {
        let is_relevant = self
            .entries
            .get(&entry.key)
            .is_none_or(|known| is_relevant_change(&known.value, &entry.value));
        self.contacts.record_direct(now, &entry.key, sequence);
        self.entries.insert(entry.key.clone(), entry.clone());
        is_relevant.then_some(entry)
    }

    /// Whether the stored entry of a key has at least this version.
    pub(crate) fn has_version(&self, key: &Key, version: u64) -> bool {
        self.entries
            .get(key)
            .is_some_and(|known| known.version >= version)
    }
}
