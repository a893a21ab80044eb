//! The catalog by itself: heartbeats, silence, gates, and catalogs that got the same words in
//! another order.

use assert_matches::assert_matches;
use ironmast_schema::control::{GateRecord, GateStatus, Key, Liveness, Value};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use proptest::prelude::*;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::*;

const SECOND: Micros = 1_000_000;
const PATIENCE: ExpiryTimeouts = ExpiryTimeouts {
    instance: 4 * SECOND,
    gate: 2 * SECOND,
};

fn beat(sequence: u64, state: InstanceState) -> Heartbeat {
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
    beat(sequence, InstanceState::Ready)
}

fn draining(sequence: u64) -> Heartbeat {
    beat(sequence, InstanceState::Draining)
}

fn catalog() -> EndpointTable {
    EndpointTable::new(0, PATIENCE)
}

fn key(id: &str) -> Key {
    Key::Instance(id.to_string())
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

/// The gates that take new clients and that any coordinator has heard lately.
fn ready_gates(catalog: &EndpointTable, now: Micros) -> usize {
    gates_taking_clients(catalog, now)
        .filter(|gate| gate.is_reachable)
        .count()
}

/// Those that have lately spoken to this coordinator itself.
fn ready_gates_heard_here(catalog: &EndpointTable, now: Micros) -> usize {
    gates_taking_clients(catalog, now)
        .filter(|gate| gate.is_directly_reachable)
        .count()
}

fn gates_taking_clients(catalog: &EndpointTable, now: Micros) -> impl Iterator<Item = Gate<'_>> {
    catalog
        .gates(now)
        .filter(|gate| gate.record.status() == GateStatus::Ready)
}

fn record<'a>(catalog: &'a EndpointTable, id: &str) -> &'a InstanceRecord {
    match catalog.get(&key(id)).map(|entry| &entry.value) {
        Some(Value::Instance(record)) => record,
        other => panic!("{id} is {other:?}"),
    }
}

/// Lets `id` fall silent while `other` is heard; returns its entry.
fn silence(catalog: &mut EndpointTable, from: Micros, id: &str) -> (Micros, Entry) {
    let mut sequence = 1_000;
    for second in 1..=20 {
        let now = from + second * SECOND;
        sequence += 1;
        catalog.record_heartbeat(now, "other", ready(sequence));
        if let Some(entry) = catalog
            .expire(now)
            .into_iter()
            .find(|entry| entry.key == key(id))
        {
            return (now, entry);
        }
    }
    panic!("{id} never fell silent")
}

#[test]
fn unchanged_heartbeats_are_told_once() {
    let mut catalog = catalog();
    assert!(catalog.record_heartbeat(0, "a", ready(1)).is_some());
    assert_eq!(catalog.record_heartbeat(SECOND, "a", ready(2)), None);
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", draining(5));
    assert_eq!(catalog.record_heartbeat(SECOND, "a", ready(4)), None);
    assert_eq!(record(&catalog, "a").heartbeat, draining(5));
}

#[test]
fn draining_is_told_once() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    let told = catalog.record_heartbeat(1, "a", draining(2)).expect("told");
    assert_matches!(&told.value, Value::Instance(record) if record.heartbeat.state == InstanceState::Draining);
    assert_eq!(catalog.record_heartbeat(2, "a", draining(2)), None);
    assert_eq!(catalog.record_heartbeat(3, "a", draining(3)), None);
}

#[test]
fn what_is_left_of_a_server_taken_away_is_told_each_time() {
    let mut catalog = catalog();
    let left = |sequence, ms| Heartbeat {
        remaining_ms: Some(ms),
        ..draining(sequence)
    };
    assert!(catalog.record_heartbeat(0, "a", left(1, 900.0)).is_some());
    assert!(catalog.record_heartbeat(1, "a", left(2, 800.0)).is_some());
}

#[test]
fn a_cold_server_is_told_each_time_and_once_more_when_it_is_warm() {
    let mut catalog = catalog();
    let cold = |sequence, ms| Heartbeat {
        warmup_left_ms: ms,
        ..ready(sequence)
    };
    for (sequence, left) in [(1, 900.0), (2, 400.0), (3, 0.0)] {
        assert!(
            catalog
                .record_heartbeat(sequence, "a", cold(sequence, left))
                .is_some()
        );
    }
    assert_eq!(catalog.record_heartbeat(4, "a", cold(4, 0.0)), None);
}

#[test]
fn the_end_of_an_incarnation_is_final() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", draining(1));
    let gone = catalog.deregister(1, "a").expect("told");
    assert_eq!(catalog.deregister(2, "a"), None);
    assert_eq!(catalog.record_heartbeat(3, "a", ready(u64::MAX)), None);
    catalog.merge_observed(4, &[(key("a"), u64::MAX)]);
    assert_eq!(catalog.get(&key("a")), Some(&gone));
}

#[test]
fn the_highest_number_does_not_outlive_the_end() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(u64::MAX));
    let gone = catalog.deregister(1, "a").expect("told");
    assert!(gone.version > catalog_version(&ready(u64::MAX)));
}

fn catalog_version(heartbeat: &Heartbeat) -> u64 {
    let mut catalog = catalog();
    catalog
        .record_heartbeat(0, "a", heartbeat.clone())
        .expect("told")
        .version
}

#[test]
fn silence_is_found_while_others_are_heard() {
    let mut catalog = catalog();
    let heard = catalog.record_heartbeat(0, "a", ready(1)).expect("told");
    let (at, silent) = silence(&mut catalog, 0, "a");
    assert!(at > PATIENCE.instance);
    assert!(silent.version > heard.version);
    assert_matches!(&silent.value, Value::Instance(record) if record.liveness == Liveness::Unreachable);
}

#[test]
fn a_coordinator_that_hears_nobody_calls_nobody_silent() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    catalog.record_heartbeat(0, "b", ready(1));
    assert_eq!(catalog.expire(100 * SECOND), []);
}

#[test]
fn silence_waits_for_the_first_patience_after_a_start() {
    let mut fresh = EndpointTable::new(50 * SECOND, PATIENCE);
    let mut earlier = catalog();
    let entry = earlier.record_heartbeat(0, "a", ready(1)).expect("told");
    fresh.merge(50 * SECOND, &entry);
    fresh.record_heartbeat(53 * SECOND, "b", ready(1));
    assert_eq!(fresh.expire(53 * SECOND), []);
}

#[test]
fn a_silent_server_that_returns_has_a_higher_version() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    let (at, silent) = silence(&mut catalog, 0, "a");
    let back = catalog
        .record_heartbeat(at + 1, "a", ready(2))
        .expect("told");
    assert!(back.version > silent.version);
    assert_eq!(record(&catalog, "a").liveness, Liveness::Alive);
}

#[test]
fn a_late_heartbeat_does_not_bring_a_silent_server_back() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    let (at, silent) = silence(&mut catalog, 0, "a");
    assert_eq!(catalog.record_heartbeat(at + 1, "a", ready(1)), None);
    assert_eq!(catalog.get(&key("a")), Some(&silent));
}

#[test]
fn who_is_heard_by_another_coordinator_is_not_silent() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    for second in 1..=20 {
        let now = second * SECOND;
        catalog.record_heartbeat(now, "other", ready(second));
        catalog.merge_observed(now, &[(key("a"), second + 1)]);
        assert_eq!(catalog.expire(now), []);
    }
}

#[test]
fn late_news_of_a_life_does_not_count() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(9));
    for second in 1..=5 {
        catalog.merge_observed(second * SECOND, &[(key("a"), 8)]);
        catalog.record_heartbeat(second * SECOND, "other", ready(second));
    }
    assert_eq!(catalog.expire(5 * SECOND).len(), 1);
}

/// The number of a heartbeat may arrive from another coordinator before what the heartbeat said.
#[test]
fn a_number_that_comes_before_its_word_does_not_hide_the_word() {
    let (mut here, mut there) = (catalog(), catalog());
    let first = there.record_heartbeat(0, "a", ready(1)).expect("told");
    here.merge(0, &first);
    let second = there.record_heartbeat(1, "a", draining(2)).expect("told");
    here.merge_observed(2, &there.take_observed());
    assert_eq!(here.merge(3, &second), MergeOutcome::Newer);
    assert_eq!(record(&here, "a").heartbeat, draining(2));
}

#[test]
fn a_gates_number_that_comes_before_its_word_does_not_hide_the_word() {
    let (mut here, mut there) = (catalog(), catalog());
    let first = there
        .update_gate(0, gate_key(), 4, gate(true))
        .expect("told");
    here.merge(0, &first);
    let second = there
        .update_gate(1, gate_key(), 8, gate(false))
        .expect("told");
    here.merge_observed(2, &there.take_observed());
    assert_eq!(here.merge(3, &second), MergeOutcome::Newer);
    assert_eq!(ready_gates(&here, 3), 0);
}

/// The silence carries the number of the last heartbeat that anyone heard of.
#[test]
fn silence_is_above_every_number_heard() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    catalog.merge_observed(1, &[(key("a"), 7)]);
    let (_, silent) = silence(&mut catalog, 0, "a");
    assert!(silent.version > catalog_version(&ready(7)));
    assert!(silent.version < catalog_version(&ready(8)));
}

/// One coordinator calls a server silent that another has heard since, with nothing new to say.
#[test]
fn who_knows_better_tells_it_again() {
    let (mut cut_off, mut hears) = (catalog(), catalog());
    let first = hears.record_heartbeat(0, "a", ready(1)).expect("told");
    cut_off.merge(0, &first);
    for sequence in 2..10 {
        assert_eq!(
            hears.record_heartbeat(sequence * SECOND, "a", ready(sequence)),
            None
        );
    }
    let (_, silent) = silence(&mut cut_off, 0, "a");
    let again =
        assert_matches!(hears.merge(10 * SECOND, &silent), MergeOutcome::Stale(again) => again);
    assert_eq!(cut_off.merge(10 * SECOND, &again), MergeOutcome::Newer);
    assert_eq!(record(&cut_off, "a").liveness, Liveness::Alive);
}

#[test]
fn an_older_word_that_says_the_same_is_not_told_again() {
    let (mut here, mut there) = (catalog(), catalog());
    let first = there.record_heartbeat(0, "a", ready(1)).expect("told");
    here.record_heartbeat(1, "a", ready(2));
    assert_eq!(here.merge(2, &first), MergeOutcome::Known);
}

#[test]
fn a_gate_that_says_nothing_takes_no_new_clients_until_it_speaks() {
    let mut catalog = catalog();
    catalog.update_gate(0, gate_key(), 4, gate(true));
    assert_eq!(ready_gates(&catalog, 0), 1);
    let gone = catalog.expire(3 * SECOND);
    assert_matches!(&gone[..], [entry] if entry.version > 4 && entry.version < 8);
    assert_eq!(ready_gates(&catalog, 3 * SECOND), 0);
    assert!(
        catalog
            .update_gate(4 * SECOND, gate_key(), 8, gate(true))
            .is_some()
    );
    assert_eq!(ready_gates(&catalog, 4 * SECOND), 1);
}

#[test]
fn gates_that_speak_here_are_told_from_those_that_others_hear() {
    let (mut here, mut there) = (catalog(), catalog());
    let told = there
        .update_gate(0, gate_key(), 4, gate(true))
        .expect("told");
    here.merge(0, &told);
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
        "nobody has heard it lately"
    );
}

/// A coordinator that was cut off has heard nobody: it begins to count anew.
#[test]
fn silence_before_the_return_of_the_others_does_not_count() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    catalog.update_gate(0, gate_key(), 4, gate(true));
    let back = 30 * SECOND;
    catalog.restart_expiry(back);
    catalog.record_heartbeat(back, "b", ready(1));
    assert_eq!(catalog.expire(back), []);
    assert_eq!(catalog.expire(back + PATIENCE.gate), []);
    catalog.record_heartbeat(back + PATIENCE.instance, "b", ready(2));
    assert_eq!(catalog.expire(back + PATIENCE.instance + 1).len(), 2);
}

fn presence(catalog: &EndpointTable) -> Option<GateStatus> {
    Some(catalog.gates(3 * SECOND).next()?.record.status())
}

/// The directory sends clients to another region only where a region was lost, not where it
/// restarts.
#[test]
fn a_gate_that_ends_is_told_from_one_that_is_lost() {
    for (ready, then) in [(true, GateStatus::Lost), (false, GateStatus::Stopped)] {
        let mut catalog = catalog();
        catalog.update_gate(0, gate_key(), 4, gate(ready));
        catalog.expire(3 * SECOND);
        assert_eq!(presence(&catalog), Some(then));
        assert_eq!(
            catalog.gates(3 * SECOND).next().map(|gate| gate.last_heard),
            Some(0)
        );
    }
}

#[test]
fn what_has_ended_is_forgotten_with_removals_above_its_version() {
    let mut catalog = catalog();
    catalog.record_heartbeat(0, "a", ready(1));
    let gone = catalog.deregister(1, "a").expect("told");
    catalog.record_heartbeat(1, "b", ready(1));
    assert_eq!(catalog.purge(FORGET_AFTER), []);
    assert_eq!(
        catalog.purge(2 + FORGET_AFTER),
        [(key("a"), gone.version + 1)]
    );
    assert_eq!(catalog.purge(3 + FORGET_AFTER), []);
    assert!(catalog.get(&key("b")).is_some());
}

#[test]
fn a_gate_that_speaks_after_its_removal_is_above_it() {
    let mut catalog = catalog();
    catalog.update_gate(0, gate_key(), 4, gate(true));
    catalog.expire(3 * SECOND);
    let removed = catalog.purge(10 * SECOND + FORGET_AFTER);
    assert_matches!(&removed[..], [(_, version)] if *version < 8);
}

#[test]
fn the_operators_state_takes_the_highest_version() {
    let mut catalog = catalog();
    let evacuated = ControlState {
        configuration: None,
        evacuated: vec!["north-a".to_string()],
    };
    assert!(
        catalog
            .update_control_state(0, 2, evacuated.clone())
            .is_some()
    );
    assert!(
        catalog
            .update_control_state(1, 1, ControlState::default())
            .is_none()
    );
    let held = catalog.get(&Key::Control).expect("held");
    assert_eq!(held.value, Value::Control(evacuated));
}

/// What servers and gates said to one coordinator, as entries, with silence and ends among them.
fn words(seed: u64) -> Vec<Entry> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut source = catalog();
    let mut entries = Vec::new();
    let (mut now, mut sequence) = (0, 0);
    for _ in 0..random.random_range(1..60) {
        now += random.random_range(0..2 * SECOND);
        sequence += 1;
        let id = ["a", "b", "c"][random.random_range(0..3)];
        let state = [InstanceState::Ready, InstanceState::Draining][random.random_range(0..2)];
        match random.random_range(0..10) {
            0 => entries.extend(source.deregister(now, id)),
            1 => entries.extend(source.update_gate(
                now,
                gate_key(),
                4 * sequence,
                gate(random.random()),
            )),
            2 => {
                entries.extend(source.update_control_state(now, sequence, ControlState::default()))
            }
            _ => entries.extend(source.record_heartbeat(now, id, beat(sequence, state))),
        }
        entries.extend(source.expire(now));
    }
    entries
}

proptest! {
    #[test]
    fn catalogs_that_got_the_same_words_agree(seed: u64) {
        let entries = words(seed);
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ 1);
        let mut shuffled = entries.clone();
        shuffled.extend(entries.iter().filter(|_| random.random_bool(0.3)).cloned());
        shuffled.shuffle(&mut random);
        let (mut one, mut other) = (catalog(), catalog());
        for entry in &entries {
            one.merge(0, entry);
        }
        for entry in &shuffled {
            let before = other.get(&entry.key).map(|held| held.version);
            other.merge(0, entry);
            let after = other.get(&entry.key).map(|held| held.version);
            prop_assert!(after >= before, "{:?} went back", entry.key);
        }
        let held = |catalog: &EndpointTable| {
            let mut entries = catalog.entries();
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            entries
        };
        prop_assert_eq!(held(&one), held(&other));
    }

    /// However heartbeats and other coordinators' numbers come, an entry's version and its word go
    /// together.
    #[test]
    fn versions_never_go_back(calls in prop::collection::vec((0u8..4, 0u64..12, any::<bool>()), 0..60)) {
        let mut catalog = catalog();
        let mut last = 0;
        for (at, (kind, sequence, drains)) in calls.into_iter().enumerate() {
            let now = at as Micros * SECOND;
            let state = if drains { InstanceState::Draining } else { InstanceState::Ready };
            match kind {
                0 => catalog.merge_observed(now, &[(key("a"), sequence)]),
                1 => drop(catalog.record_heartbeat(now, "other", ready(at as u64))),
                _ => drop(catalog.record_heartbeat(now, "a", beat(sequence, state))),
            }
            catalog.expire(now);
            let version = catalog.get(&key("a")).map_or(0, |entry| entry.version);
            prop_assert!(version >= last);
            last = version;
        }
    }
}
