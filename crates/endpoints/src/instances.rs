//! Registration of server instances: heartbeats and deregistration.

use std::time::Duration;

use ironmast_schema::control::{Entry, InstanceRecord, Key, Liveness, Value};
use ironmast_schema::registration::Heartbeat;

use crate::table::EndpointTable;
use crate::versions;

impl EndpointTable {
    /// Records a server's heartbeat. Returns the entry to send to the other nodes, or `None` if
    /// they do not need it: the heartbeat is outdated or changes nothing that gates use.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        let sequence = heartbeat.sequence;
        let version = versions::of_sequence(sequence);
        self.last_heartbeat = now;
        // The heartbeat is late, a duplicate, or from an incarnation that has deregistered.
        if self.has_version(&key, version) {
            return None;
        }
        let value = Value::Instance(InstanceRecord {
            heartbeat,
            liveness: Liveness::Alive,
        });
        let entry = Entry {
            key,
            version,
            value,
        };
        self.store_direct(now, entry, sequence)
    }

    /// Marks a server as deregistered. Returns the entry to send to the other nodes, or `None` if
    /// the server is unknown or already deregistered.
    pub fn deregister(&mut self, now: Duration, id: &str) -> Option<Entry> {
        let key = Key::Instance(id.to_string());
        let entry = self.entries.get_mut(&key)?;
        let Value::Instance(record) = &mut entry.value else {
            return None;
        };
        if record.liveness == Liveness::Deregistered {
            return None;
        }
        record.liveness = Liveness::Deregistered;
        entry.version = versions::DEREGISTERED;
        let entry = entry.clone();
        // The retention of the entry starts now. A deregistration carries no sequence.
        self.contacts.record_indirect(now, &key, 0);
        Some(entry)
    }
}
