//! Tests of heartbeats and deregistration.

use assert_matches::assert_matches;
use ironmast_schema::control::Value;
use ironmast_schema::registration::{Heartbeat, InstanceState};

use super::support::{
    SECOND, START, TICK, draining, key, observation, ready, record, table, version_of,
};

#[test]
fn an_unchanged_heartbeat_is_distributed_once() {
    let mut table = table();
    assert!(table.record_heartbeat(START, "a", ready(1)).is_some());
    assert_eq!(table.record_heartbeat(SECOND, "a", ready(2)), None);
}

#[test]
fn a_late_heartbeat_is_ignored() {
    let mut table = table();
    table.record_heartbeat(START, "a", draining(5));
    assert_eq!(table.record_heartbeat(SECOND, "a", ready(4)), None);
    assert_eq!(record(&table, "a").heartbeat, draining(5));
}

#[test]
fn draining_is_distributed_once() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    let distributed = table
        .record_heartbeat(TICK, "a", draining(2))
        .expect("distributed");
    assert_matches!(&distributed.value, Value::Instance(record) if record.heartbeat.state == InstanceState::Draining);
    assert_eq!(table.record_heartbeat(2 * TICK, "a", draining(2)), None);
    assert_eq!(table.record_heartbeat(3 * TICK, "a", draining(3)), None);
}

#[test]
fn the_remaining_time_of_a_draining_server_is_distributed_with_each_heartbeat() {
    let mut table = table();
    let left = |sequence, ms| Heartbeat {
        remaining_ms: Some(ms),
        ..draining(sequence)
    };
    assert!(table.record_heartbeat(START, "a", left(1, 900.0)).is_some());
    assert!(table.record_heartbeat(TICK, "a", left(2, 800.0)).is_some());
}

#[test]
fn warmup_is_distributed_with_each_heartbeat_and_once_more_when_it_ends() {
    let mut table = table();
    let cold = |sequence, ms| Heartbeat {
        warmup_left_ms: ms,
        ..ready(sequence)
    };
    for (sequence, left) in [(1, 900.0), (2, 400.0), (3, 0.0)] {
        assert!(
            table
                .record_heartbeat(TICK * sequence as u32, "a", cold(sequence, left))
                .is_some()
        );
    }
    assert_eq!(table.record_heartbeat(4 * TICK, "a", cold(4, 0.0)), None);
}

#[test]
fn deregistration_is_final_for_an_incarnation() {
    let mut table = table();
    table.record_heartbeat(START, "a", draining(1));
    let deregistered = table.deregister(TICK, "a").expect("distributed");
    assert_eq!(table.deregister(2 * TICK, "a"), None);
    assert_eq!(table.record_heartbeat(3 * TICK, "a", ready(u64::MAX)), None);
    table.merge_observed(4 * TICK, &[observation("a", u64::MAX)]);
    assert_eq!(table.get(&key("a")), Some(&deregistered));
}

#[test]
fn deregistration_is_above_the_highest_sequence() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(u64::MAX));
    let deregistered = table.deregister(TICK, "a").expect("distributed");
    assert!(deregistered.version > version_of(&ready(u64::MAX)));
}
