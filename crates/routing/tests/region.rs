//! Several gates that do not communicate balance requests over the servers of one region: shared
//! prefixes are prefilled once without overloading a server, rejections under overload exclude no
//! kind of request, and a faulty server costs few requests.

mod model;

use model::{Fault, Plan, simulate, simulate_plan};

/// The default load bounds of the affinity: excess and floor.
#[expect(
    clippy::unnecessary_wraps,
    reason = "a simulation without bounds uses round robin"
)]
fn default_bounds() -> Option<(f64, f64)> {
    let settings = ironmast_routing::Settings::new("r", "z");
    Some((settings.affinity_load_excess, settings.affinity_load_floor))
}

#[test]
fn at_normal_load_shared_prefixes_are_hardly_prefilled_again() {
    for prefixes in [6, 30, 150] {
        let (round_robin, affinity) = (
            simulate(None, prefixes, 1.0, 60),
            simulate(default_bounds(), prefixes, 1.0, 60),
        );
        assert!(
            round_robin.prefilled_again() > 0.1,
            "round robin: {} of the shared tokens are prefilled again",
            round_robin.prefilled_again()
        );
        assert!(
            affinity.prefilled_again() < 0.02,
            "{prefixes} prefixes: {} of the shared tokens are prefilled again",
            affinity.prefilled_again()
        );
        assert!(affinity.first_byte_ms(0.9) <= round_robin.first_byte_ms(0.9));
    }
}

#[test]
fn under_high_load_affinity_overloads_no_server() {
    for prefixes in [6, 30, 150] {
        let (round_robin, affinity) = (
            simulate(None, prefixes, 4.0, 40),
            simulate(default_bounds(), prefixes, 4.0, 40),
        );
        assert!(
            affinity.prefilled_again() < 0.06,
            "{prefixes} prefixes: {} of the shared tokens are prefilled again",
            affinity.prefilled_again()
        );
        assert!(
            affinity.max_running <= round_robin.max_running * 3 / 2,
            "{} against {} running",
            affinity.max_running,
            round_robin.max_running
        );
        assert_eq!((affinity.rejected, affinity.ejected), (0, 0));
    }
}

#[test]
fn without_a_load_bound_a_hot_prefix_overloads_its_server() {
    let (bounded, unbounded) = (
        simulate(default_bounds(), 6, 4.0, 40),
        simulate(Some((10.0, 1.0)), 6, 4.0, 40),
    );
    assert!(
        unbounded.max_running > bounded.max_running * 3 / 2,
        "{} against {} running",
        unbounded.max_running,
        bounded.max_running
    );
}

#[test]
fn under_overload_rejections_are_even_and_urgent_requests_come_first() {
    for (prefixes, load_factor) in [(6, 16.0), (150, 24.0)] {
        let results = simulate(default_bounds(), prefixes, load_factor, 40);
        let [medium, high, low] =
            [0, 1, 2].map(|kind| results.accepted[kind] as f64 / results.requests[kind] as f64);
        let shares = format!("{prefixes} prefixes: {high:.2} {medium:.2} {low:.2}");
        assert!(
            results.rejected > 1000 && results.early_rejections == 0,
            "{shares}, {} early",
            results.early_rejections
        );
        assert!(high + 0.05 > medium && medium + 0.05 > low, "{shares}");
        assert!(low > high / 3.0, "{shares}");
    }
}

/// Simulates a minute in which one of six servers is faulty for twenty seconds.
fn with_faulty_server(fault: Fault, load_factor: f64) -> model::Results {
    simulate_plan(&Plan {
        affinity: default_bounds(),
        prefixes: 30,
        load_factor,
        seconds: 60,
        fault,
    })
}

#[test]
fn an_unresponsive_or_crashed_server_costs_a_few_requests() {
    for fault in [Fault::Silent, Fault::Crashed] {
        for load_factor in [1.0, 4.0] {
            let results = with_faulty_server(fault, load_factor);
            assert!(
                (1..=16).contains(&results.lost),
                "{fault:?} at {load_factor}: {} lost",
                results.lost
            );
            assert!(
                results.health_checks <= 40,
                "{fault:?} at {load_factor}: {} health checks",
                results.health_checks
            );
            assert!(results.rejected == 0 && results.prefilled_again() < 0.03);
        }
    }
}

#[test]
fn a_server_that_fails_a_third_or_is_slow_is_ejected() {
    let partial = with_faulty_server(Fault::Partial, 4.0);
    assert!(
        partial.ejected > 0 && partial.lost < 60,
        "{} requests lost; without an ejection, about 95",
        partial.lost
    );
    let slow = with_faulty_server(Fault::Slow, 4.0);
    assert!(
        slow.ejected > 0 && slow.late < 70 && slow.lost == 0,
        "{} requests late; without an ejection, about 280",
        slow.late
    );
}
