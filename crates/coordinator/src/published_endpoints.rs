//! This coordinator's endpoint table, which publishes its changes to the overlay.
//!
//! An unpublished change would leave gates with an outdated endpoint list. The table is therefore
//! private to this module, and each method that changes an entry publishes the changes that other
//! nodes need.

use std::time::Duration;

use ironmast_endpoints::{EndpointTable, ExpiryTimeouts, GateView, MergeOutcome};
use ironmast_schema::control::{ControlState, Entry, Key, Observation, Value};
use ironmast_schema::registration::Heartbeat;
use ironmast_schema::settings::Settings;

use crate::clock::Clock;
use crate::publisher::EntryPublisher;

/// Number of heartbeat intervals without a heartbeat after which a server is marked unreachable.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Time without a status report after which a gate is marked down and receives no new clients.
const GATE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The endpoint table and the publisher of its changes.
pub(crate) struct PublishedEndpoints {
    clock: Clock,
    table: EndpointTable,
    publisher: Box<dyn EntryPublisher>,
}

impl PublishedEndpoints {
    /// Creates an empty table. Receivers treat the published state as stale until
    /// [`PublishedEndpoints::set_in_contact`] is called with `true`.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        publisher: Box<dyn EntryPublisher>,
    ) -> Self {
        publisher.set_in_contact(false);
        let timeouts = ExpiryTimeouts {
            instance: Duration::from_millis(settings.heartbeat_interval_ms) * MAX_MISSED_HEARTBEATS,
            gate: GATE_TIMEOUT,
        };
        PublishedEndpoints {
            clock,
            table: EndpointTable::new(Duration::ZERO, timeouts),
            publisher,
        }
    }

    /// Records a server's heartbeat, and publishes the entry if other nodes need it.
    pub(crate) fn record_heartbeat(&mut self, id: &str, heartbeat: Heartbeat) {
        let update = self.table.record_heartbeat(self.now(), id, heartbeat);
        self.publish(update);
    }

    /// Marks a server as deregistered. Does nothing if the server is unknown.
    pub(crate) fn deregister(&mut self, id: &str) {
        let update = self.table.deregister(self.now(), id);
        self.publish(update);
    }

    /// Replaces the control state if `version`, the register's sequence number, is newer.
    pub(crate) fn set_control_state(&mut self, version: u64, state: ControlState) {
        let update = self.table.update_control_state(self.now(), version, state);
        self.publish(update);
    }

    /// Merges an entry that was received over the overlay.
    ///
    /// If the entry is outdated, publishes the newer one: unchanged heartbeats are not published,
    /// so a node may hold an older entry that it considers the newest.
    pub(crate) fn merge_published(&mut self, entry: &Entry) {
        if let MergeOutcome::Stale(newer) = self.table.merge(self.now(), entry) {
            self.publish(Some(*newer));
        }
    }

    /// Merges an entry that was received over a direct link: an agent's report of its gate, or
    /// another coordinator's report of a server that is draining or has deregistered.
    pub(crate) fn merge_direct(&mut self, entry: Entry) {
        let now = self.now();
        let update = match entry.value {
            Value::Gate(record) => self
                .table
                .update_gate(now, entry.key, entry.version, record),
            Value::Instance(_) => match self.table.merge(now, &entry) {
                MergeOutcome::Newer => Some(entry),
                MergeOutcome::Known => None,
                MergeOutcome::Stale(newer) => Some(*newer),
            },
            Value::Control(_) => None,
        };
        self.publish(update);
    }

    /// Records that other nodes recently received reports from these endpoints. Each observation
    /// carries the sequence number or version of the report.
    pub(crate) fn merge_observed(&mut self, observed: &[Observation]) {
        let now = self.now();
        self.table.merge_observed(now, observed);
    }

    /// Takes the observations of endpoints that have reported to this coordinator since the last
    /// call, each with the sequence number or version of the report.
    pub(crate) fn take_observed(&mut self) -> Vec<Observation> {
        self.table.take_observed()
    }

    /// Restarts the expiry timeouts of all endpoints.
    pub(crate) fn restart_timeouts(&mut self) {
        let now = self.now();
        self.table.restart_expiry(now);
    }

    /// Marks endpoints without a report within their timeout as unreachable or down.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        let updates = self.table.expire(now);
        self.publish(updates);
    }

    /// Removes the entries of endpoints that have been deregistered, unreachable or down for longer
    /// than the retention time, also on all other nodes.
    pub(crate) fn purge_inactive(&mut self) {
        let now = self.now();
        for removal in self.table.purge(now) {
            self.publisher.remove(&removal.key, removal.version);
        }
    }

    /// The entry with this key.
    pub(crate) fn get(&self, key: &Key) -> Option<&Entry> {
        self.table.get(key)
    }

    /// All known gates, including those that are down.
    pub(crate) fn gates(&self) -> Vec<GateView<'_>> {
        self.table.gates(self.now()).collect()
    }

    /// Sets whether receivers may treat the state that this coordinator publishes as fresh.
    pub(crate) fn set_in_contact(&self, in_contact: bool) {
        self.publisher.set_in_contact(in_contact);
    }

    fn publish(&self, updates: impl IntoIterator<Item = Entry>) {
        for entry in updates {
            self.publisher.publish(&entry);
        }
    }

    fn now(&self) -> Duration {
        self.clock.now()
    }
}
