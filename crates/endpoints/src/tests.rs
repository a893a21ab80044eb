//! Tests of the endpoint table by itself: heartbeats, expiry, gates, and tables that merge the same
//! entries in different orders.

use assert_matches::assert_matches;
use ironmast_schema::control::{
    ControlState, Entry, GateRecord, GateStatus, InstanceRecord, Key, Liveness, Observation, Value,
};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use proptest::prelude::*;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::*;
use crate::expiry::RETENTION;

const SECOND: Micros = 1_000_000;
const TIMEOUTS: ExpiryTimeouts = ExpiryTimeouts {
    instance: 4 * SECOND,
    gate: 2 * SECOND,
};

fn heartbeat(sequence: u64, state: InstanceState) -> Heartbeat {
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

fn ready(sequence: u64) -> Heartbeat {
    heartbeat(sequence, InstanceState::Ready)
}

fn draining(sequence: u64) -> Heartbeat {
    heartbeat(sequence, InstanceState::Draining)
}

fn table() -> EndpointTable {
    EndpointTable::new(0, TIMEOUTS)
}

fn key(id: &str) -> Key {
    Key::Instance(id.to_string())
}

fn observation(id: &str, sequence: u64) -> Observation {
    Observation {
        key: key(id),
        sequence,
    }
}

fn gate_key() -> Key {
    Key::Gate("10.0.0.9:80".parse().expect("an address"))
}

fn gate(ready: bool) -> GateRecord {
    GateRecord {
        zone: "north-a".to_string(),
        region: "north".to_string(),
        ready,
        down: false,
    }
}

/// How many gates accept new clients and are reachable from any coordinator.
fn ready_gates(table: &EndpointTable, now: Micros) -> usize {
    gates_taking_clients(table, now)
        .filter(|gate| gate.is_reachable)
        .count()
}

/// How many of them are reachable from this coordinator itself.
fn ready_gates_heard_here(table: &EndpointTable, now: Micros) -> usize {
    gates_taking_clients(table, now)
        .filter(|gate| gate.is_directly_reachable)
        .count()
}

fn gates_taking_clients(table: &EndpointTable, now: Micros) -> impl Iterator<Item = Gate<'_>> {
    table
        .gates(now)
        .filter(|gate| gate.record.status() == GateStatus::Ready)
}

fn record<'a>(table: &'a EndpointTable, id: &str) -> &'a InstanceRecord {
    match table.get(&key(id)).map(|entry| &entry.value) {
        Some(Value::Instance(record)) => record,
        other => panic!("{id} is {other:?}"),
    }
}

/// Lets `id` expire while `other` sends heartbeats; returns the time and the entry of its expiry.
fn expire_instance(table: &mut EndpointTable, from: Micros, id: &str) -> (Micros, Entry) {
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

#[test]
fn an_unchanged_heartbeat_is_distributed_once() {
    let mut table = table();
    assert!(table.record_heartbeat(0, "a", ready(1)).is_some());
    assert_eq!(table.record_heartbeat(SECOND, "a", ready(2)), None);
}

#[test]
fn a_late_heartbeat_is_ignored() {
    let mut table = table();
    table.record_heartbeat(0, "a", draining(5));
    assert_eq!(table.record_heartbeat(SECOND, "a", ready(4)), None);
    assert_eq!(record(&table, "a").heartbeat, draining(5));
}

#[test]
fn draining_is_distributed_once() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    let distributed = table
        .record_heartbeat(1, "a", draining(2))
        .expect("distributed");
    assert_matches!(&distributed.value, Value::Instance(record) if record.heartbeat.state == InstanceState::Draining);
    assert_eq!(table.record_heartbeat(2, "a", draining(2)), None);
    assert_eq!(table.record_heartbeat(3, "a", draining(3)), None);
}

#[test]
fn the_remaining_time_of_a_draining_server_is_distributed_with_each_heartbeat() {
    let mut table = table();
    let left = |sequence, ms| Heartbeat {
        remaining_ms: Some(ms),
        ..draining(sequence)
    };
    assert!(table.record_heartbeat(0, "a", left(1, 900.0)).is_some());
    assert!(table.record_heartbeat(1, "a", left(2, 800.0)).is_some());
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
                .record_heartbeat(sequence, "a", cold(sequence, left))
                .is_some()
        );
    }
    assert_eq!(table.record_heartbeat(4, "a", cold(4, 0.0)), None);
}

#[test]
fn deregistration_is_final_for_an_incarnation() {
    let mut table = table();
    table.record_heartbeat(0, "a", draining(1));
    let gone = table.deregister(1, "a").expect("distributed");
    assert_eq!(table.deregister(2, "a"), None);
    assert_eq!(table.record_heartbeat(3, "a", ready(u64::MAX)), None);
    table.merge_observed(4, &[observation("a", u64::MAX)]);
    assert_eq!(table.get(&key("a")), Some(&gone));
}

#[test]
fn deregistration_is_above_the_highest_sequence() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(u64::MAX));
    let gone = table.deregister(1, "a").expect("distributed");
    assert!(gone.version > version_of(&ready(u64::MAX)));
}

fn version_of(heartbeat: &Heartbeat) -> u64 {
    let mut table = table();
    table
        .record_heartbeat(0, "a", heartbeat.clone())
        .expect("distributed")
        .version
}

#[test]
fn a_silent_instance_expires_while_others_send_heartbeats() {
    let mut table = table();
    let heard = table
        .record_heartbeat(0, "a", ready(1))
        .expect("distributed");
    let (at, silent) = expire_instance(&mut table, 0, "a");
    assert!(at > TIMEOUTS.instance);
    assert!(silent.version > heard.version);
    assert_matches!(&silent.value, Value::Instance(record) if record.liveness == Liveness::Unreachable);
}

#[test]
fn a_coordinator_without_heartbeats_expires_nobody() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    table.record_heartbeat(0, "b", ready(1));
    assert_eq!(table.expire(100 * SECOND), []);
}

#[test]
fn nobody_expires_within_the_first_timeout_after_a_start() {
    let mut fresh = EndpointTable::new(50 * SECOND, TIMEOUTS);
    let mut earlier = table();
    let entry = earlier
        .record_heartbeat(0, "a", ready(1))
        .expect("distributed");
    fresh.merge(50 * SECOND, &entry);
    fresh.record_heartbeat(53 * SECOND, "b", ready(1));
    assert_eq!(fresh.expire(53 * SECOND), []);
}

#[test]
fn an_expired_instance_that_returns_has_a_higher_version() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    let (at, silent) = expire_instance(&mut table, 0, "a");
    let back = table
        .record_heartbeat(at + 1, "a", ready(2))
        .expect("distributed");
    assert!(back.version > silent.version);
    assert_eq!(record(&table, "a").liveness, Liveness::Alive);
}

#[test]
fn a_late_heartbeat_does_not_revive_an_expired_instance() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    let (at, silent) = expire_instance(&mut table, 0, "a");
    assert_eq!(table.record_heartbeat(at + 1, "a", ready(1)), None);
    assert_eq!(table.get(&key("a")), Some(&silent));
}

#[test]
fn an_instance_observed_by_another_coordinator_does_not_expire() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    for second in 1..=20 {
        let now = second * SECOND;
        table.record_heartbeat(now, "other", ready(second));
        table.merge_observed(now, &[observation("a", second + 1)]);
        assert_eq!(table.expire(now), []);
    }
}

#[test]
fn an_older_observation_does_not_postpone_expiry() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(9));
    for second in 1..=5 {
        table.merge_observed(second * SECOND, &[observation("a", 8)]);
        table.record_heartbeat(second * SECOND, "other", ready(second));
    }
    assert_eq!(table.expire(5 * SECOND).len(), 1);
}

/// Another coordinator's observation of a heartbeat may arrive before the heartbeat's entry.
#[test]
fn an_observed_sequence_does_not_hide_its_heartbeat_that_arrives_later() {
    let (mut here, mut there) = (table(), table());
    let first = there
        .record_heartbeat(0, "a", ready(1))
        .expect("distributed");
    here.merge(0, &first);
    let second = there
        .record_heartbeat(1, "a", draining(2))
        .expect("distributed");
    here.merge_observed(2, &there.take_observed());
    assert_eq!(here.merge(3, &second), MergeOutcome::Newer);
    assert_eq!(record(&here, "a").heartbeat, draining(2));
}

#[test]
fn an_observed_gate_version_does_not_hide_its_update_that_arrives_later() {
    let (mut here, mut there) = (table(), table());
    let first = there
        .update_gate(0, gate_key(), 4, gate(true))
        .expect("distributed");
    here.merge(0, &first);
    let second = there
        .update_gate(1, gate_key(), 8, gate(false))
        .expect("distributed");
    here.merge_observed(2, &there.take_observed());
    assert_eq!(here.merge(3, &second), MergeOutcome::Newer);
    assert_eq!(ready_gates(&here, 3), 0);
}

/// The version of the expiry follows from the last sequence that any coordinator has observed.
#[test]
fn expiry_is_above_every_observed_sequence() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    table.merge_observed(1, &[observation("a", 7)]);
    let (_, silent) = expire_instance(&mut table, 0, "a");
    assert!(silent.version > version_of(&ready(7)));
    assert!(silent.version < version_of(&ready(8)));
}

/// One coordinator expires a server from which another has since received unchanged heartbeats.
#[test]
fn a_coordinator_with_a_newer_entry_returns_it_for_a_stale_one() {
    let (mut cut_off, mut hears) = (table(), table());
    let first = hears
        .record_heartbeat(0, "a", ready(1))
        .expect("distributed");
    cut_off.merge(0, &first);
    for sequence in 2..10 {
        assert_eq!(
            hears.record_heartbeat(sequence * SECOND, "a", ready(sequence)),
            None
        );
    }
    let (_, silent) = expire_instance(&mut cut_off, 0, "a");
    let again =
        assert_matches!(hears.merge(10 * SECOND, &silent), MergeOutcome::Stale(again) => again);
    assert_eq!(cut_off.merge(10 * SECOND, &again), MergeOutcome::Newer);
    assert_eq!(record(&cut_off, "a").liveness, Liveness::Alive);
}

#[test]
fn an_older_entry_without_a_relevant_difference_is_known() {
    let (mut here, mut there) = (table(), table());
    let first = there
        .record_heartbeat(0, "a", ready(1))
        .expect("distributed");
    here.record_heartbeat(1, "a", ready(2));
    assert_eq!(here.merge(2, &first), MergeOutcome::Known);
}

#[test]
fn a_silent_gate_is_down_until_its_next_update() {
    let mut table = table();
    table.update_gate(0, gate_key(), 4, gate(true));
    assert_eq!(ready_gates(&table, 0), 1);
    let gone = table.expire(3 * SECOND);
    assert_matches!(&gone[..], [entry] if entry.version > 4 && entry.version < 8);
    assert_eq!(ready_gates(&table, 3 * SECOND), 0);
    assert!(
        table
            .update_gate(4 * SECOND, gate_key(), 8, gate(true))
            .is_some()
    );
    assert_eq!(ready_gates(&table, 4 * SECOND), 1);
}

#[test]
fn direct_reachability_is_distinguished_from_reachability_by_others() {
    let (mut here, mut there) = (table(), table());
    let distributed = there
        .update_gate(0, gate_key(), 4, gate(true))
        .expect("distributed");
    here.merge(0, &distributed);
    assert_eq!(
        (ready_gates(&here, 0), ready_gates_heard_here(&here, 0)),
        (1, 0)
    );
    here.update_gate(SECOND, gate_key(), 8, gate(true));
    assert_eq!(ready_gates_heard_here(&here, SECOND), 1);
    there.update_gate(4 * SECOND, gate_key(), 12, gate(true));
    here.merge_observed(4 * SECOND, &there.take_observed());
    assert_eq!(
        (
            ready_gates(&here, 4 * SECOND),
            ready_gates_heard_here(&here, 4 * SECOND)
        ),
        (1, 0)
    );
    assert_eq!(
        ready_gates(&here, 7 * SECOND),
        0,
        "no coordinator has heard from it within the timeout"
    );
}

/// A coordinator that was cut off can't tell who was silent meanwhile.
#[test]
fn restart_expiry_disregards_earlier_silence() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    table.update_gate(0, gate_key(), 4, gate(true));
    let back = 30 * SECOND;
    table.restart_expiry(back);
    table.record_heartbeat(back, "b", ready(1));
    assert_eq!(table.expire(back), []);
    assert_eq!(table.expire(back + TIMEOUTS.gate), []);
    table.record_heartbeat(back + TIMEOUTS.instance, "b", ready(2));
    assert_eq!(table.expire(back + TIMEOUTS.instance + 1).len(), 2);
}

fn status(table: &EndpointTable) -> Option<GateStatus> {
    Some(table.gates(3 * SECOND).next()?.record.status())
}

/// The directory sends clients to another region only where a region was lost, not where it
/// restarts.
#[test]
fn a_stopped_gate_is_distinguished_from_a_lost_one() {
    for (ready, then) in [(true, GateStatus::Lost), (false, GateStatus::Stopped)] {
        let mut table = table();
        table.update_gate(0, gate_key(), 4, gate(ready));
        table.expire(3 * SECOND);
        assert_eq!(status(&table), Some(then));
        assert_eq!(
            table.gates(3 * SECOND).next().map(|gate| gate.last_heard),
            Some(0)
        );
    }
}

#[test]
fn purge_removes_ended_entries_with_versions_above_theirs() {
    let mut table = table();
    table.record_heartbeat(0, "a", ready(1));
    let gone = table.deregister(1, "a").expect("distributed");
    table.record_heartbeat(1, "b", ready(1));
    assert_eq!(table.purge(RETENTION), []);
    let removal = Removal {
        key: key("a"),
        version: gone.version + 1,
    };
    assert_eq!(table.purge(2 + RETENTION), [removal]);
    assert_eq!(table.purge(3 + RETENTION), []);
    assert!(table.get(&key("b")).is_some());
}

#[test]
fn the_removal_of_a_gate_is_below_its_next_update() {
    let mut table = table();
    table.update_gate(0, gate_key(), 4, gate(true));
    table.expire(3 * SECOND);
    let removed = table.purge(10 * SECOND + RETENTION);
    assert_matches!(&removed[..], [removal] if removal.version < 8);
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
            .update_control_state(0, 2, evacuated.clone())
            .is_some()
    );
    assert!(
        table
            .update_control_state(1, 1, ControlState::default())
            .is_none()
    );
    let held = table.get(&Key::Control).expect("held");
    assert_eq!(held.value, Value::Control(evacuated));
}

/// Random entries of one coordinator's table, with expiries and deregistrations among them.
fn random_entries(seed: u64) -> Vec<Entry> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut source = table();
    let mut entries = Vec::new();
    let (mut now, mut sequence) = (0, 0);
    for _ in 0..random.random_range(1..60) {
        now += random.random_range(0..2 * SECOND);
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
            one.merge(0, entry);
        }
        for entry in &shuffled {
            let before = other.get(&entry.key).map(|held| held.version);
            other.merge(0, entry);
            let after = other.get(&entry.key).map(|held| held.version);
            prop_assert!(after >= before, "{:?} went back", entry.key);
        }
        let held = |table: &EndpointTable| {
            let mut entries = table.entries();
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            entries
        };
        prop_assert_eq!(held(&one), held(&other));
    }

    /// In whatever order heartbeats and other coordinators' observations arrive, the version of an
    /// entry never decreases.
    #[test]
    fn versions_never_decrease(calls in prop::collection::vec((0u8..4, 0u64..12, any::<bool>()), 0..60)) {
        let mut table = table();
        let mut last = 0;
        for (at, (kind, sequence, drains)) in calls.into_iter().enumerate() {
            let now = at as Micros * SECOND;
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
