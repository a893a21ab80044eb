use std::time::Duration;

use assert_matches::assert_matches;

use super::{RetryBudget, RetryBudgetSettings};
use crate::error::LimitExceeded;
use crate::sliding_window::MAX_DELAY_VARIATION;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    burst: 54,
    window: Duration::from_secs(10),
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn withdrawn(budget: &mut RetryBudget<&'static str>, now: Duration, attempts: usize) -> usize {
    (0..attempts)
        .filter(|_| budget.withdraw(now, &"s").is_ok())
        .count()
}

#[test]
fn burst_share_is_available_one_window_after_the_start() {
    let mut budget = RetryBudget::with_even_share(SETTINGS, 8, ms(0));
    assert_eq!(budget.burst_share(), 6);
    assert_eq!(withdrawn(&mut budget, ms(20_000), 100), 6);
}

#[test]
fn restarted_gate_has_no_burst_for_one_window() {
    let mut budget = RetryBudget::with_even_share(SETTINGS, 8, ms(5_000));
    let burst_from = ms(15_000) + MAX_DELAY_VARIATION;
    assert_eq!(
        budget.withdraw(ms(6_000), &"s"),
        Err(LimitExceeded::Until(burst_from))
    );
    for _ in 0..100 {
        budget.deposit(ms(6_000), &"s");
    }
    assert_eq!(withdrawn(&mut budget, ms(6_000), 100), 10);
    assert_eq!(withdrawn(&mut budget, burst_from, 100), 6);
}

#[test]
fn requests_to_another_service_do_not_raise_the_budget() {
    let mut budget = RetryBudget::with_even_share(
        RetryBudgetSettings {
            burst: 0,
            ..SETTINGS
        },
        8,
        ms(0),
    );
    for _ in 0..100 {
        budget.deposit(ms(6_000), &"t");
    }
    assert_eq!(
        budget.withdraw(ms(6_000), &"s"),
        Err(LimitExceeded::Indefinitely)
    );
}

#[test]
fn rejection_contains_the_time_at_which_a_retry_is_permitted() {
    let mut budget = RetryBudget::with_even_share(SETTINGS, 8, ms(0));
    assert_eq!(withdrawn(&mut budget, ms(20_000), 100), 6);
    let exceeded = budget
        .withdraw(ms(20_001), &"s")
        .expect_err("the budget is exhausted");
    let LimitExceeded::Until(at) = exceeded else {
        panic!("the time of the next retry is known")
    };
    assert!(at >= ms(30_000) + MAX_DELAY_VARIATION);
    assert!(at <= ms(30_400));
    assert_matches!(
        budget.withdraw(at - Duration::from_nanos(1), &"s"),
        Err(LimitExceeded::Until(_))
    );
    assert_eq!(budget.withdraw(at, &"s"), Ok(()));
}

#[test]
fn sweep_retains_services_with_retries_in_the_window() {
    let mut budget = RetryBudget::with_even_share(SETTINGS, 54, ms(0));
    assert_eq!(withdrawn(&mut budget, ms(20_000), 5), 1);
    budget.sweep(ms(25_000));
    assert_eq!(withdrawn(&mut budget, ms(25_000), 5), 0);
    budget.sweep(ms(31_000));
    assert_eq!(withdrawn(&mut budget, ms(31_000), 5), 1);
}

/// A budget, and a time at which its burst is available.
fn after_first_window() -> (RetryBudget<&'static str>, Duration) {
    let budget = RetryBudget::with_even_share(SETTINGS, 8, ms(0));
    (budget, ms(20_000))
}

#[test]
fn more_gates_lower_the_share_and_counts_are_kept() {
    let (mut budget, now) = after_first_window();
    for _ in 0..20 {
        budget.deposit(now, &"s");
    }
    assert_eq!(withdrawn(&mut budget, now, 3), 3);
    budget.set_even_share(18);
    // The budget is 2 by the ratio plus 3 of the burst, of which 3 have been withdrawn.
    assert_eq!(withdrawn(&mut budget, now, 100), 2);
}

#[test]
fn a_gate_beyond_its_new_share_waits_until_its_retries_have_left_the_window() {
    let (mut budget, now) = after_first_window();
    assert_eq!(withdrawn(&mut budget, now, 100), 6);
    budget.set_even_share(18);
    assert_eq!(withdrawn(&mut budget, now + ms(5_000), 100), 0);
    assert_eq!(withdrawn(&mut budget, now + ms(11_000), 100), 3);
}

#[test]
fn changed_bound_keeps_counts_unless_the_window_changes() {
    let (mut budget, now) = after_first_window();
    assert_eq!(withdrawn(&mut budget, now, 100), 6);
    let doubled = RetryBudgetSettings {
        burst: 2 * SETTINGS.burst,
        ..SETTINGS
    };
    budget.set_settings(doubled, 8, now);
    // The share of the doubled burst is 108 / 8 = 13, of which 6 are used.
    assert_eq!(withdrawn(&mut budget, now, 100), 13 - 6);
    let shorter = RetryBudgetSettings {
        window: ms(5_000),
        ..SETTINGS
    };
    budget.set_settings(shorter, 8, now);
    assert_eq!(withdrawn(&mut budget, now + ms(5_000), 100), 0);
    assert_eq!(withdrawn(&mut budget, now + ms(5_100), 100), 6);
}
