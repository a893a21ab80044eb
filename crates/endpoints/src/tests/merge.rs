//! Tests of merging entries and observations of other coordinators in any order.

use assert_matches::assert_matches;
use ironmast_schema::control::{ControlState, Entry, Key, Liveness, Value};
use ironmast_schema::registration::InstanceState;
use proptest::prelude::*;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::{EndpointTable, MergeOutcome};

use super::support::{
    SECOND, START, TICK, draining, expire_instance, gate, gate_key, heartbeat, ready, ready_gates,
    record, table,
};

/// Another coordinator's observation of a heartbeat may arrive before the heartbeat's entry.
#[test]
fn an_observed_sequence_does_not_hide_its_heartbeat_that_arrives_later() {
    let (mut local, mut remote) = (table(), table());
    let first = remote
        .record_heartbeat(START, "a", ready(1))
        .expect("distributed");
    local.merge(START, &first);
    let second = remote
        .record_heartbeat(TICK, "a", draining(2))
        .expect("distributed");
    local.merge_observed(2 * TICK, &remote.take_observed());
    assert_eq!(local.merge(3 * TICK, &second), MergeOutcome::Newer);
    assert_eq!(record(&local, "a").heartbeat, draining(2));
}

#[test]
fn an_observed_gate_version_does_not_hide_its_update_that_arrives_later() {
    let (mut local, mut remote) = (table(), table());
    let first = remote
        .update_gate(START, gate_key(), 4, gate(true))
        .expect("distributed");
    local.merge(START, &first);
    let second = remote
        .update_gate(TICK, gate_key(), 8, gate(false))
        .expect("distributed");
    local.merge_observed(2 * TICK, &remote.take_observed());
    assert_eq!(local.merge(3 * TICK, &second), MergeOutcome::Newer);
    assert_eq!(ready_gates(&local, 3 * TICK), 0);
}

/// One coordinator expires a server from which another has since received unchanged heartbeats.
#[test]
fn a_coordinator_with_a_newer_entry_returns_it_for_a_stale_one() {
    let (mut partitioned, mut connected) = (table(), table());
    let first = connected
        .record_heartbeat(START, "a", ready(1))
        .expect("distributed");
    partitioned.merge(START, &first);
    for sequence in 2..10_u32 {
        assert_eq!(
            connected.record_heartbeat(sequence * SECOND, "a", ready(sequence.into())),
            None
        );
    }
    let (_, expired) = expire_instance(&mut partitioned, START, "a");
    let newer = assert_matches!(connected.merge(10 * SECOND, &expired), MergeOutcome::Stale(newer) => newer);
    assert_eq!(partitioned.merge(10 * SECOND, &newer), MergeOutcome::Newer);
    assert_eq!(record(&partitioned, "a").liveness, Liveness::Alive);
}

#[test]
fn an_older_entry_without_a_relevant_difference_is_known() {
    let (mut local, mut remote) = (table(), table());
    let first = remote
        .record_heartbeat(START, "a", ready(1))
        .expect("distributed");
    local.record_heartbeat(TICK, "a", ready(2));
    assert_eq!(local.merge(2 * TICK, &first), MergeOutcome::Known);
}

#[test]
fn control_state_keeps_the_highest_version() {
    let mut table = table();
    let evacuated = ControlState {
        configuration: None,
        evacuated: vec!["north-a".to_string()],
    };
    assert!(
        table
            .update_control_state(START, 2, evacuated.clone())
            .is_some()
    );
    assert!(
        table
            .update_control_state(TICK, 1, ControlState::default())
            .is_none()
    );
    let stored = table.get(&Key::Control).expect("stored");
    assert_eq!(stored.value, Value::Control(evacuated));
}

/// Random entries of one coordinator's table, including expiries and deregistrations.
fn random_entries(seed: u64) -> Vec<Entry> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut source = table();
    let mut entries = Vec::new();
    let (mut now, mut sequence) = (START, 0);
    for _ in 0..random.random_range(1..60) {
        now += random.random_range(START..2 * SECOND);
        sequence += 1;
        let id = ["a", "b", "c"][random.random_range(0..3)];
        let state = [InstanceState::Ready, InstanceState::Draining][random.random_range(0..2)];
        let changed = match random.random_range(0..10) {
            0 => source.deregister(now, id),
            1 => source.update_gate(now, gate_key(), 4 * sequence, gate(random.random())),
            2 => source.update_control_state(now, sequence, ControlState::default()),
            _ => source.record_heartbeat(now, id, heartbeat(sequence, state)),
        };
        entries.extend(changed);
        entries.extend(source.expire(now));
    }
    entries
}

proptest! {
    #[test]
    fn tables_that_merged_the_same_entries_agree(seed: u64) {
        let entries = random_entries(seed);
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ 1);
        let mut shuffled = entries.clone();
        shuffled.extend(entries.iter().filter(|_| random.random_bool(0.3)).cloned());
        shuffled.shuffle(&mut random);
        let (mut one, mut other) = (table(), table());
        for entry in &entries {
            one.merge(START, entry);
        }
        for entry in &shuffled {
            let before = other.get(&entry.key).map(|stored| stored.version);
            other.merge(START, entry);
            let after = other.get(&entry.key).map(|stored| stored.version);
            prop_assert!(after >= before, "{:?} has a lower version than before", entry.key);
        }
        let stored = |table: &EndpointTable| {
            let mut entries = table.entries();
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            entries
        };
        prop_assert_eq!(stored(&one), stored(&other));
    }
}
