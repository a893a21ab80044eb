//! Tests of the decisions on control state changes, and of the history that they use.

use std::collections::BTreeSet;
use std::time::Instant;

use assert_matches::assert_matches;
use ironmast_register::Decision;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::history::{MAX_APPLIED, MAX_APPLIED_BYTES, MAX_REJECTED};
use super::{ConfigurationDocument, ControlValue, Rejection, ZoneState};

fn rejection(rejection: Rejection) -> Decision<ControlValue> {
    Decision::Reject(rejection)
}

fn document(generation: u64, text: &str) -> ConfigurationDocument {
    ConfigurationDocument {
        generation,
        body: text.as_bytes().to_vec(),
    }
}

fn written(decision: Decision<ControlValue>) -> ControlValue {
    match decision {
        Decision::Write(value) => value,
        other => panic!("not written: {other:?}"),
    }
}

#[test]
fn a_resubmitted_configuration_is_acknowledged_again_after_a_later_one() {
    let (first, second) = (document(3, "first"), document(6, "second"));
    let value = written(ControlValue::default().configure(&first, 0));
    assert_matches!(value.configure(&first, 0), Decision::Unchanged);
    let value = written(value.configure(&second, 3));
    assert_matches!(value.configure(&first, 0), Decision::Unchanged);
    assert_eq!(value.configuration, Some(second));
}

#[test]
fn of_two_changes_with_the_same_generation_and_base_the_second_is_rejected() {
    let value = written(ControlValue::default().configure(&document(3, "first"), 0));
    let value = written(value.configure(&document(5, "one"), 3));
    assert_eq!(
        value.configure(&document(5, "other"), 3),
        Decision::Reject(Rejection::VersionMismatch)
    );
}

#[test]
fn a_generation_not_above_the_current_one_is_rejected() {
    let value = written(ControlValue::default().configure(&document(3, "first"), 0));
    for generation in [1, 3] {
        let rejected = value.configure(&document(generation, "next"), 3);
        assert_eq!(rejected, Decision::Reject(Rejection::StaleGeneration));
    }
}

#[test]
fn evacuating_and_restoring_a_zone_are_idempotent() {
    let value = written(ControlValue::default().set_zone_state("a", ZoneState::Evacuated));
    assert_matches!(
        value.set_zone_state("a", ZoneState::Evacuated),
        Decision::Unchanged
    );
    let value = written(value.set_zone_state("a", ZoneState::InService));
    assert_matches!(
        value.set_zone_state("a", ZoneState::InService),
        Decision::Unchanged
    );
    assert!(value.evacuated.is_empty());
}

/// The value after `changes` changes; each generation is two above the previous one.
fn value_after(changes: u64) -> ControlValue {
    (0..changes).fold(ControlValue::default(), |value, change| {
        written(value.configure(&nth_change(change), base_of(change)))
    })
}

fn nth_change(change: u64) -> ConfigurationDocument {
    let generation = 2 * (change + 1);
    document(generation, &format!("version {generation}"))
}

/// The base generation of the change with this index.
fn base_of(change: u64) -> u64 {
    2 * change
}

#[test]
fn an_applied_change_is_acknowledged_again_after_a_thousand_others() {
    let value = value_after(1_001);
    for change in 0..1_001 {
        assert_matches!(
            value.configure(&nth_change(change), base_of(change)),
            Decision::Unchanged,
            "{change}"
        );
    }
}

#[test]
fn an_applied_change_is_never_rejected_however_old() {
    let changes = 3 * MAX_APPLIED as u64;
    let value = value_after(changes);
    for change in 0..changes {
        let answer = value.configure(&nth_change(change), base_of(change));
        assert_matches!(answer, Decision::Unchanged | Decision::Unknown, "{change}");
    }
    assert_eq!(value.history.len(), MAX_APPLIED);
}

#[test]
fn a_change_that_cannot_have_been_applied_is_rejected_however_old() {
    let value = value_after(3 * MAX_APPLIED as u64);
    let current = value.generation();
    assert_eq!(
        value.configure(&nth_change(0), current),
        rejection(Rejection::StaleGeneration)
    );
    assert_eq!(
        value.configure(&document(current + 2, "late"), 2),
        rejection(Rejection::VersionMismatch)
    );
    let other_content = document(current - 2, "another");
    assert_eq!(
        value.configure(&other_content, current - 4),
        rejection(Rejection::VersionMismatch)
    );
    assert_matches!(
        value.configure(&document(5, "another"), 4),
        Decision::Unknown
    );
}

#[test]
fn the_same_content_on_another_base_is_another_change() {
    let value = value_after(3);
    assert_matches!(
        value.configure(&nth_change(1), base_of(1)),
        Decision::Unchanged
    );
    assert_eq!(
        value.configure(&nth_change(1), base_of(1) + 1),
        rejection(Rejection::VersionMismatch)
    );
    assert_eq!(
        value.configure(&nth_change(2), value.generation()),
        rejection(Rejection::StaleGeneration)
    );
}

#[test]
fn a_change_rejected_before_its_base_exists_stays_rejected() {
    let (early, other) = (document(9, "early"), document(9, "other"));
    let value = value_after(2);
    let Decision::RejectAndWrite { value, reason } = value.configure(&early, 6) else {
        panic!("not rejected permanently");
    };
    assert_eq!(reason, Rejection::VersionMismatch);
    assert_eq!(
        value.configure(&early, 6),
        rejection(Rejection::VersionMismatch)
    );
    let value = written(value.configure(&nth_change(2), base_of(2)));
    assert_eq!(
        value.configure(&early, 6),
        rejection(Rejection::VersionMismatch)
    );
    let value = written(value.configure(&other, 6));
    assert_eq!(
        value.configure(&early, 6),
        rejection(Rejection::VersionMismatch)
    );
    assert_eq!(
        value.history,
        value_after_three_and(&other, 6).history,
        "rejections whose base has passed are removed"
    );
}

fn value_after_three_and(document: &ConfigurationDocument, base: u64) -> ControlValue {
    written(value_after(3).configure(document, base))
}

#[test]
fn a_rejection_that_cannot_be_recorded_has_unknown_outcome() {
    let mut value = value_after(1);
    for number in 0..MAX_REJECTED as u64 {
        value = match value.configure(&document(100 + number, "early"), 50) {
            Decision::RejectAndWrite { value, .. } => value,
            other => panic!("not rejected permanently: {other:?}"),
        };
    }
    assert_matches!(
        value.configure(&document(99, "early"), 50),
        Decision::Unknown
    );
}

/// Random changes with three different contents, some of them resubmitted, compared with an
/// unbounded history: an applied change is never rejected later, and a rejected one is never
/// applied.
#[test]
fn random_resubmitted_changes_keep_their_outcomes() {
    for seed in 0..20 {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut applied, mut rejected) = (BTreeSet::new(), BTreeSet::new());
        let mut submitted: Vec<(u64, u64, String)> = Vec::new();
        let mut value = ControlValue::default();
        for number in 0..3_000 {
            let is_new = submitted.is_empty() || random.random_bool(0.6);
            let change = if is_new {
                random_change(&value, number, &mut random)
            } else {
                submitted[random.random_range(0..submitted.len())].clone()
            };
            submitted.push(change.clone());
            let current = value.generation();
            let document = document(change.0, &change.2);
            match value.configure(&document, change.1) {
                Decision::Write(next) => {
                    assert!(
                        change.1 == current && change.0 > current && !rejected.contains(&change),
                        "{change:?}"
                    );
                    assert!(applied.insert(change));
                    value = next;
                }
                Decision::Unchanged => assert!(applied.contains(&change), "{change:?}"),
                Decision::Reject(_) => {
                    assert!(!applied.contains(&change), "{change:?}");
                    rejected.insert(change);
                }
                Decision::RejectAndWrite { value: next, .. } => {
                    assert!(!applied.contains(&change), "{change:?}");
                    rejected.insert(change);
                    value = next;
                }
                Decision::Unknown => {}
            }
        }
        assert!(applied.len() > 500, "{}", applied.len());
    }
}

/// A random change (generation, base and content): mostly on the current generation, and with a
/// generation that other changes use too.
fn random_change(
    value: &ControlValue,
    number: u64,
    random: &mut Xoshiro256PlusPlus,
) -> (u64, u64, String) {
    let current = value.generation();
    let base = match random.random_range(0..10) {
        0 => current.saturating_sub(random.random_range(0..6)),
        1 => current + random.random_range(0..6),
        _ => current,
    };
    (
        base + random.random_range(0..4),
        base,
        format!("{}", number % 3),
    )
}

#[test]
fn the_last_decided_zone_state_wins() {
    // Zone changes carry no generation: one that arrives late counts as new.
    let value = written(ControlValue::default().set_zone_state("a", ZoneState::Evacuated));
    let value = written(value.set_zone_state("a", ZoneState::InService));
    let value = written(value.set_zone_state("a", ZoneState::Evacuated));
    assert!(value.evacuated.contains("a"));
}

#[test]
fn history_size_per_change_is_bounded() {
    let length = |value: &ControlValue| postcard::to_stdvec(value).expect("encoded").len();
    let (few, many) = (value_after(100), value_after(1_100));
    // Both configurations have nearly the same length.
    let added = length(&many) - length(&few) - 2;
    assert!(added <= 1_000 * MAX_APPLIED_BYTES, "{added}");
    assert!(length(&value_after(3 * MAX_APPLIED as u64)) <= (MAX_APPLIED + 4) * MAX_APPLIED_BYTES);
}

/// Prints the cost of the history for each write of the value; run manually.
#[test]
#[ignore = "prints figures"]
fn history_encoding_cost() {
    for changes in [10, 100, 1_000, 10_000] {
        let mut value = value_after(1);
        value.history.fill_unbounded(changes);
        let encoded = postcard::to_stdvec(&value).expect("encoded");
        let start = Instant::now();
        for _ in 0..100 {
            std::hint::black_box(postcard::to_stdvec(&value).expect("encoded"));
        }
        let encode = start.elapsed() / 100;
        let start = Instant::now();
        for _ in 0..100 {
            std::hint::black_box(postcard::from_bytes::<ControlValue>(&encoded).expect("decoded"));
        }
        let decode = start.elapsed() / 100;
        let start = Instant::now();
        let next = document(1 << 27, &"x".repeat(100_000));
        for _ in 0..100 {
            std::hint::black_box(value.configure(&next, value.generation()));
        }
        let apply = start.elapsed() / 100;
        println!(
            "{changes} changes: {} bytes, encoded in {encode:?}, decoded in {decode:?}, a change of 100 kB in {apply:?}",
            encoded.len()
        );
    }
}
