use std::time::Duration;

use assert_matches::assert_matches;

use super::{RetryBudget, RetryTerms};
use crate::share::FLIGHT;
use crate::wait::Wait;

const TERMS: RetryTerms = RetryTerms {
    ratio: 0.2,
    burst: 54,
    window: Duration::from_secs(10),
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn taken(budget: &mut RetryBudget<&'static str>, now: Duration, tries: usize) -> usize {
    (0..tries)
        .filter(|_| budget.try_take(now, &"s").is_ok())
        .count()
}

#[test]
fn share_of_the_burst_after_a_window() {
    let mut budget = RetryBudget::local(TERMS, 8, ms(0));
    assert_eq!(budget.share(), 6);
    assert_eq!(taken(&mut budget, ms(20_000), 100), 6);
}

#[test]
fn started_gate_has_the_ratio_only() {
    let mut budget = RetryBudget::local(TERMS, 8, ms(5_000));
    let opens = ms(15_000) + FLIGHT;
    assert_eq!(budget.try_take(ms(6_000), &"s"), Err(Wait::Until(opens)));
    for _ in 0..100 {
        budget.on_request(ms(6_000), &"s");
    }
    assert_eq!(taken(&mut budget, ms(6_000), 100), 10);
    assert_eq!(taken(&mut budget, opens, 100), 6);
}

#[test]
fn requests_of_another_service_give_nothing() {
    let mut budget = RetryBudget::local(RetryTerms { burst: 0, ..TERMS }, 8, ms(0));
    for _ in 0..100 {
        budget.on_request(ms(6_000), &"t");
    }
    assert_eq!(budget.try_take(ms(6_000), &"s"), Err(Wait::Unknown));
}

#[test]
fn the_moment_it_names_is_true() {
    let mut budget = RetryBudget::local(TERMS, 8, ms(0));
    assert_eq!(taken(&mut budget, ms(20_000), 100), 6);
    let wait = budget
        .try_take(ms(20_001), &"s")
        .expect_err("the share is used up");
    let Wait::Until(at) = wait else {
        panic!("a moment is known")
    };
    assert!(at >= ms(30_000) + FLIGHT);
    assert!(at <= ms(30_400));
    assert_matches!(
        budget.try_take(at - Duration::from_nanos(1), &"s"),
        Err(Wait::Until(_))
    );
    assert_eq!(budget.try_take(at, &"s"), Ok(()));
}

#[test]
fn sweep_keeps_what_counts() {
    let mut budget = RetryBudget::local(TERMS, 54, ms(0));
    assert_eq!(taken(&mut budget, ms(20_000), 5), 1);
    budget.sweep(ms(25_000));
    assert_eq!(taken(&mut budget, ms(25_000), 5), 0);
    budget.sweep(ms(31_000));
    assert_eq!(taken(&mut budget, ms(31_000), 5), 1);
}
