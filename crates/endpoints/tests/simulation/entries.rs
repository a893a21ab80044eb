//! Predicates on the entries of servers.

use ironmast_schema::control::{Entry, InstanceRecord, Liveness, Value};
use ironmast_schema::registration::InstanceState;

fn record(entry: &Entry) -> &InstanceRecord {
    match &entry.value {
        Value::Instance(record) => record,
        other => panic!("not an instance: {other:?}"),
    }
}

/// Liveness of an incarnation according to its entry.
pub(super) fn liveness(entry: &Entry) -> Liveness {
    record(entry).liveness
}

/// Whether an incarnation has announced that it drains, or has deregistered.
pub(super) fn is_draining_or_deregistered(entry: &Entry) -> bool {
    let record = record(entry);
    record.liveness == Liveness::Deregistered || record.heartbeat.state == InstanceState::Draining
}

/// Whether an incarnation may receive requests.
pub(super) fn is_usable(entry: &Entry) -> bool {
    liveness(entry) == Liveness::Alive && !is_draining_or_deregistered(entry)
}
