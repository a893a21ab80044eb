//! Expiry of endpoints that have not reported within their timeout, and removal of the entries of
//! inactive endpoints after their retention.

use std::time::Duration;

use ironmast_schema::control::{Entry, Key, Liveness, Value};

use crate::contacts::Contact;
use crate::table::{EndpointTable, ExpiryTimeouts};
use crate::versions;

/// The removal of an entry, to send to the other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Removal {
    /// The key of the removed entry.
    pub key: Key,
    /// The version of the removal; above that of the entry.
    pub version: u64,
}

/// Time for which the entry of a deregistered, unreachable or down endpoint is kept after the last
/// contact, so that late updates cannot mark the endpoint as alive again.
pub(crate) const RETENTION: Duration = Duration::from_secs(120);

impl EndpointTable {
    /// Restarts all expiry timeouts. Must be called when this coordinator regains contact with the
    /// others, because it did not learn which endpoints reported to them meanwhile.
    pub fn restart_expiry(&mut self, now: Duration) {
        self.expiry_since = now;
    }

    /// Expires the endpoints whose timeout has passed: instances become unreachable, gates down.
    /// Returns the changed entries, to send to the other nodes.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry> {
        let may_expire_instances = self.may_expire_instances(now);
        let (timeouts, since) = (self.timeouts, self.expiry_since);
        let mut expired = Vec::new();
        for (key, entry) in &mut self.entries {
            let contact = self.contacts.get(key).copied().unwrap_or(Contact {
                last: since,
                sequence: 0,
                last_direct: None,
            });
            let silent_for = now.saturating_sub(contact.last.max(since));
            let is_instance = matches!(entry.value, Value::Instance(_));
            if is_instance && !may_expire_instances {
                continue;
            }
            if expire_entry(entry, silent_for, contact.sequence, timeouts) {
                expired.push(entry.clone());
            }
        }
        expired
    }

    /// Whether instances may expire. They may not while this coordinator receives no heartbeats, or
    /// has just started: it is then more likely that the coordinator is partitioned than that all
    /// servers are down, and expiring them would leave no usable server.
    fn may_expire_instances(&self, now: Duration) -> bool {
        let timeout = self.timeouts.instance;
        now >= self.expiry_since + timeout && now <= self.last_heartbeat + timeout / 2
    }

    /// Removes the entries of inactive endpoints whose retention has passed. Returns the removals,
    /// to send to the other nodes.
    pub fn purge(&mut self, now: Duration) -> Vec<Removal> {
        let contacts = &mut self.contacts;
        let mut removed = Vec::new();
        self.entries.retain(|key, entry| {
            let is_retained = contacts
                .get(key)
                .is_some_and(|contact| now <= contact.last + RETENTION);
            let keep = !is_inactive(&entry.value) || is_retained;
            if !keep {
                contacts.remove(key);
                removed.push(Removal {
                    key: key.clone(),
                    version: entry.version + versions::REMOVAL_INCREMENT,
                });
            }
            keep
        });
        removed
    }
}

/// Marks an entry as unreachable or down if its endpoint has been silent for longer than the
/// timeout; returns whether the entry has changed. The new version is above that of the last
/// contact.
fn expire_entry(
    entry: &mut Entry,
    silent_for: Duration,
    last_sequence: u64,
    timeouts: ExpiryTimeouts,
) -> bool {
    let last_version = match &mut entry.value {
        Value::Instance(record)
            if record.liveness == Liveness::Alive && silent_for > timeouts.instance =>
        {
            record.liveness = Liveness::Unreachable;
            versions::of_sequence(last_sequence)
        }
        Value::Gate(record) if !record.down && silent_for > timeouts.gate => {
            record.down = true;
            last_sequence
        }
        _ => return false,
    };
    entry.version = entry.version.max(last_version) + versions::EXPIRY_INCREMENT;
    true
}

/// Whether an endpoint is deregistered, unreachable or down.
fn is_inactive(value: &Value) -> bool {
    match value {
        Value::Instance(record) => record.liveness != Liveness::Alive,
        Value::Gate(record) => record.down,
        Value::Control(_) => false,
    }
}
