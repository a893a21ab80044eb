//! Tests of the expiry of silent endpoints and of the removal of inactive entries.

use assert_matches::assert_matches;
use ironmast_schema::control::{Liveness, Value};
use ironmast_schema::registration::InstanceState;
use proptest::prelude::*;

use crate::expiry::RETENTION;
use crate::{EndpointTable, Removal};

use super::support::{
    SECOND, START, TICK, TIMEOUTS, expire_instance, gate, gate_key, heartbeat, key, observation,
    ready, record, table, version_of,
};

#[test]
fn a_silent_instance_expires_while_others_send_heartbeats() {
    let mut table = table();
    let heartbeat_entry = table
        .record_heartbeat(START, "a", ready(1))
        .expect("distributed");
    let (at, expired) = expire_instance(&mut table, START, "a");
    assert!(at > TIMEOUTS.instance);
    assert!(expired.version > heartbeat_entry.version);
    assert_matches!(&expired.value, Value::Instance(record) if record.liveness == Liveness::Unreachable);
}

#[test]
fn a_coordinator_without_heartbeats_expires_no_instance() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    table.record_heartbeat(START, "b", ready(1));
    assert_eq!(table.expire(100 * SECOND), []);
}

#[test]
fn no_instance_expires_within_the_first_timeout_after_a_start() {
    let mut fresh = EndpointTable::new(50 * SECOND, TIMEOUTS);
    let mut earlier = table();
    let entry = earlier
        .record_heartbeat(START, "a", ready(1))
        .expect("distributed");
    fresh.merge(50 * SECOND, &entry);
    fresh.record_heartbeat(53 * SECOND, "b", ready(1));
    assert_eq!(fresh.expire(53 * SECOND), []);
}

#[test]
fn an_expired_instance_that_returns_has_a_higher_version() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    let (at, expired) = expire_instance(&mut table, START, "a");
    let returned = table
        .record_heartbeat(at + TICK, "a", ready(2))
        .expect("distributed");
    assert!(returned.version > expired.version);
    assert_eq!(record(&table, "a").liveness, Liveness::Alive);
}

#[test]
fn a_late_heartbeat_does_not_revive_an_expired_instance() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    let (at, expired) = expire_instance(&mut table, START, "a");
    assert_eq!(table.record_heartbeat(at + TICK, "a", ready(1)), None);
    assert_eq!(table.get(&key("a")), Some(&expired));
}

#[test]
fn an_instance_observed_by_another_coordinator_does_not_expire() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    for second in 1..=20 {
        let now = second * SECOND;
        table.record_heartbeat(now, "other", ready(second.into()));
        table.merge_observed(now, &[observation("a", u64::from(second) + 1)]);
        assert_eq!(table.expire(now), []);
    }
}

#[test]
fn an_older_observation_does_not_postpone_expiry() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(9));
    for second in 1..=5 {
        table.merge_observed(second * SECOND, &[observation("a", 8)]);
        table.record_heartbeat(second * SECOND, "other", ready(second.into()));
    }
    assert_eq!(table.expire(5 * SECOND).len(), 1);
}

/// The version of an expiry is derived from the highest sequence that any coordinator has observed.
#[test]
fn expiry_is_above_every_observed_sequence() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    table.merge_observed(TICK, &[observation("a", 7)]);
    let (_, expired) = expire_instance(&mut table, START, "a");
    assert!(expired.version > version_of(&ready(7)));
    assert!(expired.version < version_of(&ready(8)));
}

/// A coordinator that was partitioned does not know which endpoints were silent meanwhile.
#[test]
fn restart_expiry_disregards_earlier_silence() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    table.update_gate(START, gate_key(), 4, gate(true));
    let regained_contact_at = 30 * SECOND;
    table.restart_expiry(regained_contact_at);
    table.record_heartbeat(regained_contact_at, "b", ready(1));
    assert_eq!(table.expire(regained_contact_at), []);
    assert_eq!(table.expire(regained_contact_at + TIMEOUTS.gate), []);
    table.record_heartbeat(regained_contact_at + TIMEOUTS.instance, "b", ready(2));
    assert_eq!(
        table
            .expire(regained_contact_at + TIMEOUTS.instance + TICK)
            .len(),
        2
    );
}

#[test]
fn purge_removes_ended_entries_with_versions_above_theirs() {
    let mut table = table();
    table.record_heartbeat(START, "a", ready(1));
    let deregistered = table.deregister(TICK, "a").expect("distributed");
    table.record_heartbeat(TICK, "b", ready(1));
    assert_eq!(table.purge(RETENTION), []);
    let removal = Removal {
        key: key("a"),
        version: deregistered.version + 1,
    };
    assert_eq!(table.purge(2 * TICK + RETENTION), [removal]);
    assert_eq!(table.purge(3 * TICK + RETENTION), []);
    assert!(table.get(&key("b")).is_some());
}

proptest! {
    /// The version of an entry never decreases, whatever the order in which heartbeats and other
    /// coordinators' observations arrive.
    #[test]
    fn versions_never_decrease(calls in prop::collection::vec((0u8..4, 0u64..12, any::<bool>()), 0..60)) {
        let mut table = table();
        let mut last = 0;
        for (at, (kind, sequence, drains)) in calls.into_iter().enumerate() {
            let now = at as u32 * SECOND;
            let state = if drains { InstanceState::Draining } else { InstanceState::Ready };
            match kind {
                0 => table.merge_observed(now, &[observation("a", sequence)]),
                1 => drop(table.record_heartbeat(now, "other", ready(at as u64))),
                _ => drop(table.record_heartbeat(now, "a", heartbeat(sequence, state))),
            }
            table.expire(now);
            let version = table.get(&key("a")).map_or(0, |entry| entry.version);
            prop_assert!(version >= last);
            last = version;
        }
    }
}
