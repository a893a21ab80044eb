//! The endpoint table of this coordinator, with each change of it published to the overlay.
//!
//! A change that is not published would leave gates with an outdated endpoint list. The table is
//! therefore private to this module, and each method that changes an entry publishes what other
//! nodes need to learn of.

use std::time::Duration;

use ironmast_endpoints::{EndpointTable, ExpiryTimeouts, GateView, MergeOutcome};
use ironmast_schema::control::{ControlState, Entry, Key, Observation, Value};
use ironmast_schema::registration::Heartbeat;
use ironmast_schema::settings::Settings;

use crate::clock::Clock;
use crate::publisher::EntryPublisher;

/// Number of heartbeat intervals without a heartbeat after which a server counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Time without a report after which a gate receives no new clients.
const GATE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// The endpoint table and its publisher.
pub(crate) struct PublishedEndpoints {
    clock: Clock,
    table: EndpointTable,
    publisher: Box<dyn EntryPublisher>,
}

impl PublishedEndpoints {
    /// An empty table. Receivers treat what it publishes as not fresh until
    /// [`PublishedEndpoints::set_in_contact`] says otherwise.
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

    /// Records a server's heartbeat.
    pub(crate) fn record_heartbeat(&mut self, id: &str, heartbeat: Heartbeat) {
        let update = self.table.record_heartbeat(self.now(), id, heartbeat);
        self.publish(update);
    }

    /// Records that a server has ended. Does nothing for an unknown server.
    pub(crate) fn deregister(&mut self, id: &str) {
        let update = self.table.deregister(self.now(), id);
        self.publish(update);
    }

    /// Replaces the operator's state by a newer one; `version` is the register's sequence number.
    pub(crate) fn set_control_state(&mut self, version: u64, state: ControlState) {
        let update = self.table.update_control_state(self.now(), version, state);
        self.publish(update);
    }

    /// Merges an entry that was received over the overlay.
    ///
    /// An outdated entry is answered with the newer one. Unchanged heartbeats are not published,
    /// so a node may hold an older entry and take it for the newest.
    pub(crate) fn merge_published(&mut self, entry: &Entry) {
        if let MergeOutcome::Stale(newer) = self.table.merge(self.now(), entry) {
            self.publish(Some(*newer));
        }
    }

    /// Merges an entry that was received over a direct link: an agent's report of its gate, or
    /// another coordinator's report of a server that is draining or has ended.
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

    /// Records that other nodes have recently received reports of these keys, each with the
    /// sequence number or version of the report.
    pub(crate) fn merge_observed(&mut self, observed: &[Observation]) {
        let now = self.now();
        self.table.merge_observed(now, observed);
    }

    /// Removes and returns the keys reported to this coordinator since the last call, each with the
    /// sequence number or version of the report.
    pub(crate) fn take_observed(&mut self) -> Vec<Observation> {
        self.table.take_observed()
    }

    /// Restarts the timeouts of all endpoints.
    pub(crate) fn restart_timeouts(&mut self) {
        let now = self.now();
        self.table.restart_expiry(now);
    }

    /// Marks endpoints without a report within their timeout as silent.
    pub(crate) fn expire(&mut self) {
        let now = self.now();
        let updates = self.table.expire(now);
        self.publish(updates);
    }

    /// Removes entries of endpoints that ended, or became unreachable, long ago.
    pub(crate) fn remove_ended(&mut self) {
        let now = self.now();
        for removal in self.table.purge(now) {
            self.publisher.remove(&removal.key, removal.version);
        }
    }

    /// The entry of a key.
    pub(crate) fn get(&self, key: &Key) -> Option<&Entry> {
        self.table.get(key)
    }

    /// All gates.
    pub(crate) fn gates(&self) -> Vec<GateView<'_>> {
        self.table.gates(self.now()).collect()
    }

    /// Sets whether receivers may treat what this coordinator publishes as fresh.
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
