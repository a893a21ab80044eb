//! Simulates all gates under faults and checks that their requests together stay within the
//! slow-start bound and the retry budget. With any one safety mechanism removed, some run must
//! exceed its bound.

mod simulation;

use std::ops::Range;
use std::time::Duration;

use simulation::MS;
use simulation::checks::{
    exceeds_bound, ideal_waits, max_arrivals_per_second, quantile, waits_from,
};
use simulation::run::run;
use simulation::scenario::Scenario;
use simulation::trace::Trace;

fn run_exceeds_bound(scenario: &Scenario) -> bool {
    exceeds_bound(scenario, &run(scenario))
}

/// Asserts that no run of these seeds exceeds its bound.
fn assert_bound_holds(seeds: Range<u64>, scenario: impl Fn(u64) -> Scenario) {
    for seed in seeds {
        assert!(!run_exceeds_bound(&scenario(seed)), "seed {seed}");
    }
}

/// Asserts that the run of at least one seed exceeds its bound if `remove_guard` is applied to the
/// scenario.
fn assert_bound_is_exceeded(
    mut seeds: Range<u64>,
    scenario: impl Fn(u64) -> Scenario,
    remove_guard: impl Fn(Scenario) -> Scenario,
) {
    assert!(seeds.any(|seed| run_exceeds_bound(&remove_guard(scenario(seed)))));
}

fn slow_start(gates: usize) -> impl Fn(u64) -> Scenario {
    move |seed| Scenario::slow_start(seed, gates)
}

fn retry(gates: usize) -> impl Fn(u64) -> Scenario {
    move |seed| Scenario::retry(seed, gates)
}

#[test]
fn slow_start_bound_holds_with_5_gates() {
    assert_bound_holds(0..200, slow_start(5));
}

#[test]
fn slow_start_bound_holds_with_5_gates_on_further_seeds() {
    assert_bound_holds(200..400, slow_start(5));
}

#[test]
fn slow_start_bound_holds_with_30_gates() {
    assert_bound_holds(0..140, slow_start(30));
}

#[test]
fn slow_start_bound_holds_with_300_gates() {
    assert_bound_holds(0..20, slow_start(300));
}

#[test]
fn slow_start_bound_holds_with_2000_gates() {
    assert_bound_holds(0..3, slow_start(2000));
}

#[test]
fn retry_budget_holds_with_5_gates() {
    assert_bound_holds(0..300, retry(5));
}

#[test]
fn retry_budget_holds_with_30_gates() {
    assert_bound_holds(0..140, retry(30));
}

#[test]
fn retry_budget_holds_with_300_gates() {
    assert_bound_holds(0..10, retry(300));
}

#[test]
fn retry_budget_holds_with_2000_gates() {
    assert_bound_holds(0..2, retry(2000));
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
    let traces: Vec<Trace> = (0..40)
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

// Scenarios without one safety mechanism; each must exceed a bound.

fn without_takeover_delay(mut scenario: Scenario) -> Scenario {
    scenario.owner_timing.takeover_delay = Duration::ZERO;
    scenario
}

/// Leases of an hour, which outlast the run.
fn without_lease_expiry(mut scenario: Scenario) -> Scenario {
    scenario.owner_timing.lease_duration = Duration::from_secs(3600);
    scenario
}

fn with_confirmation_by_one_acceptor(mut scenario: Scenario) -> Scenario {
    scenario.acceptors_counted = 1;
    scenario
}

/// Permits with a lifetime of 20 s, which outlast the run.
fn without_permit_expiry(mut scenario: Scenario) -> Scenario {
    scenario.client_timing.lifetime = Duration::from_secs(20);
    scenario.client_timing.min_lifetime = Duration::from_secs(20);
    scenario
}

fn without_delay_variation(mut scenario: Scenario) -> Scenario {
    scenario.owner_timing.delay_variation = Duration::ZERO;
    scenario.client_timing.delay_variation = Duration::ZERO;
    scenario
}

/// A restarted gate uses its whole quota without waiting for its earlier requests to leave the
/// window.
fn without_start_delay(mut scenario: Scenario) -> Scenario {
    scenario.start_delay = false;
    scenario
}

#[test]
fn bound_is_exceeded_without_the_takeover_delay() {
    assert_bound_is_exceeded(0..60, slow_start(30), without_takeover_delay);
    assert_bound_is_exceeded(0..60, retry(5), without_takeover_delay);
}

#[test]
fn bound_is_exceeded_without_lease_expiry() {
    assert_bound_is_exceeded(0..60, slow_start(30), without_lease_expiry);
    assert_bound_is_exceeded(0..60, retry(5), without_lease_expiry);
}

#[test]
fn bound_is_exceeded_with_confirmation_by_one_acceptor() {
    assert_bound_is_exceeded(0..60, slow_start(30), with_confirmation_by_one_acceptor);
}

#[test]
fn bound_is_exceeded_without_permit_expiry() {
    assert_bound_is_exceeded(0..60, slow_start(30), without_permit_expiry);
}

#[test]
fn bound_is_exceeded_without_the_delay_variation() {
    assert_bound_is_exceeded(0..60, slow_start(30), without_delay_variation);
}

#[test]
fn bound_is_exceeded_when_a_restart_renews_the_quota() {
    assert_bound_is_exceeded(0..200, slow_start(5), without_start_delay);
    assert_bound_is_exceeded(0..200, retry(5), without_start_delay);
}
