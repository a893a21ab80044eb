//! Both bounds, summed over all gates, under simulated faults; and with each safeguard removed,
//! which must exceed a bound.

mod simulation;

use std::ops::Range;
use std::time::Duration;

use simulation::MS;
use simulation::checks::{
    exceeds_bound, ideal_waits, max_arrivals_per_second, quantile, waits_from,
};
use simulation::scenario::Scenario;
use simulation::world::run;

fn run_exceeds_bound(scenario: &Scenario) -> bool {
    exceeds_bound(scenario, &run(scenario))
}

fn assert_bound_holds(seeds: Range<u64>, scenario: impl Fn(u64) -> Scenario) {
    for seed in seeds {
        assert!(!run_exceeds_bound(&scenario(seed)), "seed {seed}");
    }
}

fn exceeds_bound_for_some_seed(seeds: Range<u64>, scenario: impl Fn(u64) -> Scenario) -> bool {
    seeds
        .into_iter()
        .any(|seed| run_exceeds_bound(&scenario(seed)))
}

#[test]
fn slow_start_bound_holds_with_5_gates() {
    assert_bound_holds(0..200, |seed| Scenario::slow_start(seed, 5));
}

#[test]
fn slow_start_bound_holds_with_5_gates_on_further_seeds() {
    assert_bound_holds(200..400, |seed| Scenario::slow_start(seed, 5));
}

#[test]
fn slow_start_bound_holds_with_30_gates() {
    assert_bound_holds(0..140, |seed| Scenario::slow_start(seed, 30));
}

#[test]
fn slow_start_bound_holds_with_300_gates() {
    assert_bound_holds(0..20, |seed| Scenario::slow_start(seed, 300));
}

#[test]
fn slow_start_bound_holds_with_2000_gates() {
    assert_bound_holds(0..3, |seed| Scenario::slow_start(seed, 2000));
}

#[test]
fn retry_budget_holds_with_5_gates() {
    assert_bound_holds(0..300, |seed| Scenario::retry(seed, 5));
}

#[test]
fn retry_budget_holds_with_30_gates() {
    assert_bound_holds(0..140, |seed| Scenario::retry(seed, 30));
}

#[test]
fn retry_budget_holds_with_300_gates() {
    assert_bound_holds(0..10, |seed| Scenario::retry(seed, 300));
}

#[test]
fn retry_budget_holds_with_2000_gates() {
    assert_bound_holds(0..2, |seed| Scenario::retry(seed, 2000));
}

#[test]
fn median_wait_without_faults_is_about_a_round_trip_between_regions() {
    let trace = run(&Scenario::without_faults(1, 30, 10.0));
    let waits = waits_from(&trace.waits, 4_000 * MS);
    assert!(quantile(&waits, 0.5) <= 120 * MS);
    let ideal = waits_from(&ideal_waits(&trace, 0, 20, 1_100 * MS), 4_000 * MS);
    assert_eq!(quantile(&ideal, 0.5), 0);
}

#[test]
fn simulations_install_views_and_reject_competing_proposals() {
    let traces: Vec<_> = (0..40)
        .map(|seed| run(&Scenario::slow_start(seed, 30)))
        .collect();
    let installed: u64 = traces.iter().map(|trace| trace.installed).sum();
    let rejected: u64 = traces.iter().map(|trace| trace.rejected).sum();
    let sent: usize = traces.iter().map(|trace| trace.arrivals.len()).sum();
    assert!(installed >= 100, "{installed} views installed");
    assert!(rejected >= 10, "{rejected} proposals rejected");
    assert!(sent >= 40 * 100, "{sent} requests sent");
}

#[test]
fn load_reaches_the_bound_in_most_runs() {
    let reaches_bound =
        |seed| max_arrivals_per_second(&run(&Scenario::slow_start(seed, 5)), 2) == 20;
    let runs = (0..40).filter(|seed| reaches_bound(*seed)).count();
    assert!(
        runs >= 30,
        "the load reached the bound in {runs} of 40 runs"
    );
}

// Without safeguards.

#[test]
fn bound_is_exceeded_without_the_takeover_delay() {
    let removed = |mut scenario: Scenario| {
        scenario.owner_timing.takeover_delay = Duration::ZERO;
        scenario
    };
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::slow_start(seed, 30)
    )));
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::retry(seed, 5)
    )));
}

#[test]
fn bound_is_exceeded_without_lease_expiry() {
    let removed = |mut scenario: Scenario| {
        scenario.owner_timing.lease_duration = Duration::from_secs(3600);
        scenario
    };
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::slow_start(seed, 30)
    )));
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::retry(seed, 5)
    )));
}

#[test]
fn bound_is_exceeded_with_confirmation_by_one_acceptor() {
    let removed = |seed| Scenario {
        acceptors_counted: 1,
        ..Scenario::slow_start(seed, 30)
    };
    assert!(exceeds_bound_for_some_seed(0..60, removed));
}

#[test]
fn bound_is_exceeded_without_permit_expiry() {
    let removed = |mut scenario: Scenario| {
        scenario.client_timing.lifetime = Duration::from_secs(20);
        scenario.client_timing.min_lifetime = Duration::from_secs(20);
        scenario
    };
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::slow_start(seed, 30)
    )));
}

#[test]
fn bound_is_exceeded_without_the_delay_variation() {
    let removed = |mut scenario: Scenario| {
        scenario.owner_timing.delay_variation = Duration::ZERO;
        scenario.client_timing.delay_variation = Duration::ZERO;
        scenario
    };
    assert!(exceeds_bound_for_some_seed(0..60, |seed| removed(
        Scenario::slow_start(seed, 30)
    )));
}

#[test]
fn bound_is_exceeded_when_a_restart_renews_the_quota() {
    let removed = |scenario: Scenario| Scenario {
        start_delay: false,
        ..scenario
    };
    assert!(exceeds_bound_for_some_seed(0..200, |seed| removed(
        Scenario::slow_start(seed, 5)
    )));
    assert!(exceeds_bound_for_some_seed(0..200, |seed| removed(
        Scenario::retry(seed, 5)
    )));
}
