//! Status updates of gates, and the view of gates that address resolution uses.

use std::net::SocketAddr;
use std::time::Duration;

use ironmast_schema::control::{Entry, GateRecord, Key, Value};

use crate::contacts::Contact;
use crate::table::EndpointTable;

/// A gate in the table, with its reachability.
#[derive(Debug, Clone, Copy)]
pub struct GateView<'a> {
    /// The frontend address, to which clients connect.
    pub frontend: SocketAddr,
    /// The latest record of the gate.
    pub record: &'a GateRecord,
    /// Time at which any coordinator last received a report from the gate; if none is known, the
    /// earliest time at which expiry timeouts start.
    pub last_heard: Duration,
    /// Whether any coordinator has received a report from the gate within the expiry timeout.
    pub is_reachable: bool,
    /// Whether this coordinator itself has received a report from the gate within the expiry
    /// timeout.
    pub is_directly_reachable: bool,
}

impl EndpointTable {
    /// Records a gate's status update. Returns the entry to send to the other nodes, or `None` if
    /// they do not need it: the update is outdated or changes nothing.
    pub fn update_gate(
        &mut self,
        now: Duration,
        key: Key,
        version: u64,
        record: GateRecord,
    ) -> Option<Entry> {
        if self.has_version(&key, version) {
            return None;
        }
        let value = Value::Gate(record);
        let entry = Entry {
            key,
            version,
            value,
        };
        self.store_direct(now, entry, version)
    }

    /// All gates in the table, including those that are down.
    pub fn gates(&self, now: Duration) -> impl Iterator<Item = GateView<'_>> {
        self.entries
            .iter()
            .filter_map(move |(key, entry)| match (key, &entry.value) {
                (Key::Gate(frontend), Value::Gate(record)) => {
                    Some(self.gate_view(now, *frontend, record, self.contacts.get(key)))
                }
                _ => None,
            })
    }

    fn gate_view<'a>(
        &self,
        now: Duration,
        frontend: SocketAddr,
        record: &'a GateRecord,
        contact: Option<&Contact>,
    ) -> GateView<'a> {
        let is_recent = |at: Duration| now <= at + self.timeouts.gate;
        GateView {
            frontend,
            record,
            last_heard: contact.map_or(self.expiry_since, |contact| contact.last),
            is_reachable: contact.is_some_and(|contact| is_recent(contact.last)),
            is_directly_reachable: contact
                .and_then(|contact| contact.last_direct)
                .is_some_and(is_recent),
        }
    }
}
