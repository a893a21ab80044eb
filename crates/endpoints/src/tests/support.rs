//! Tables, heartbeats, gates and helper functions for the tests.

use std::time::Duration;

use ironmast_schema::control::{
    Entry, GateRecord, GateStatus, InstanceRecord, Key, Observation, Value,
};
use ironmast_schema::registration::{Heartbeat, InstanceState};

use crate::{EndpointTable, ExpiryTimeouts, GateView};

/// Time at which the tables of the tests are created.
pub(super) const START: Duration = Duration::ZERO;
/// A time much shorter than any timeout.
pub(super) const TICK: Duration = Duration::from_micros(1);
pub(super) const SECOND: Duration = Duration::from_secs(1);

pub(super) const TIMEOUTS: ExpiryTimeouts = ExpiryTimeouts {
    instance: Duration::from_secs(4),
    gate: Duration::from_secs(2),
};

pub(super) fn heartbeat(sequence: u64, state: InstanceState) -> Heartbeat {
    Heartbeat {
        backend: "app".to_string(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "north-a".to_string(),
        generation: "v1".to_string(),
        capacity: 8,
        state,
        warmup_left_ms: 0.0,
        sequence,
        remaining_ms: None,
    }
}

pub(super) fn ready(sequence: u64) -> Heartbeat {
    heartbeat(sequence, InstanceState::Ready)
}

pub(super) fn draining(sequence: u64) -> Heartbeat {
    heartbeat(sequence, InstanceState::Draining)
}

pub(super) fn table() -> EndpointTable {
    EndpointTable::new(START, TIMEOUTS)
}

pub(super) fn key(id: &str) -> Key {
    Key::Instance(id.to_string())
}

pub(super) fn observation(id: &str, sequence: u64) -> Observation {
    Observation {
        key: key(id),
        sequence,
    }
}

pub(super) fn gate_key() -> Key {
    Key::Gate("10.0.0.9:80".parse().expect("an address"))
}

pub(super) fn gate(ready: bool) -> GateRecord {
    GateRecord {
        zone: "north-a".to_string(),
        region: "north".to_string(),
        ready,
        down: false,
    }
}

/// Number of gates that accept new clients and have recently reported to any coordinator.
pub(super) fn ready_gates(table: &EndpointTable, now: Duration) -> usize {
    gates_accepting_clients(table, now)
        .filter(|gate| gate.is_reachable)
        .count()
}

pub(super) fn gates_accepting_clients(
    table: &EndpointTable,
    now: Duration,
) -> impl Iterator<Item = GateView<'_>> {
    table
        .gates(now)
        .filter(|gate| gate.record.status() == GateStatus::Ready)
}

pub(super) fn record<'a>(table: &'a EndpointTable, id: &str) -> &'a InstanceRecord {
    match table.get(&key(id)).map(|entry| &entry.value) {
        Some(Value::Instance(record)) => record,
        other => panic!("the entry of {id} is no instance: {other:?}"),
    }
}

/// Lets `id` expire while `other` sends heartbeats; returns the time and the entry of its expiry.
pub(super) fn expire_instance(
    table: &mut EndpointTable,
    from: Duration,
    id: &str,
) -> (Duration, Entry) {
    let mut sequence = 1_000;
    for second in 1..=20 {
        let now = from + second * SECOND;
        sequence += 1;
        table.record_heartbeat(now, "other", ready(sequence));
        if let Some(entry) = table
            .expire(now)
            .into_iter()
            .find(|entry| entry.key == key(id))
        {
            return (now, entry);
        }
    }
    panic!("{id} never expired")
}

pub(super) fn version_of(heartbeat: &Heartbeat) -> u64 {
    let mut table = table();
    table
        .record_heartbeat(START, "a", heartbeat.clone())
        .expect("distributed")
        .version
}
