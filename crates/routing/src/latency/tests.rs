use super::*;
use crate::table::{RouteKind, RouteSpec};
use crate::test_support;

fn route(name: &str) -> Route {
    let spec = RouteSpec {
        target_latency_ms: 100,
        ..test_support::route(name, RouteKind::Idempotent)
    };
    let total_weight = 1;
    Route { spec, total_weight }
}

#[test]
fn before_any_sample_the_baselines_follow_the_latency_objective() {
    let baselines = LatencyBaselines::default();
    assert_eq!(
        (
            baselines.first_byte(&route("a")),
            baselines.response("desk", &route("a"))
        ),
        (50_000.0, 100_000.0)
    );
}

#[test]
fn first_byte_baseline_is_per_route_and_one_outlier_moves_it_little() {
    let mut baselines = LatencyBaselines::default();
    let (a, b) = (route("a"), route("b"));
    (0..200).for_each(|_| _ = baselines.record_first_byte(&a, 10_000));
    assert!((baselines.first_byte(&a) - 10_000.0).abs() < 500.0);
    assert!((baselines.record_first_byte(&a, 10_000_000) - 1000.0).abs() < 60.0);
    assert!(baselines.first_byte(&a) < 12_000.0);
    assert_eq!(baselines.first_byte(&b), 50_000.0);
}

#[test]
fn response_baseline_follows_the_mix_of_a_services_routes() {
    let mut baselines = LatencyBaselines::default();
    let (desk, a, b) = (Arc::from("desk"), route("a"), route("b"));
    for _ in 0..200 {
        baselines.record_response(&desk, &a, 30_000);
        baselines.record_response(&desk, &b, 90_000);
    }
    assert!((baselines.response("desk", &a) - 60_000.0).abs() < 5000.0);
    assert_eq!(
        baselines.response("desk", &a),
        baselines.response("desk", &b)
    );
    assert_eq!(baselines.response("other", &a), 100_000.0);
}

#[test]
fn routes_and_services_that_no_longer_exist_are_dropped() {
    let mut baselines = LatencyBaselines::default();
    baselines.record_first_byte(&route("a"), 10);
    baselines.record_response(&Arc::from("desk"), &route("a"), 10);
    baselines.retain(|name| name == "b", |name| name == "desk");
    assert_eq!(baselines.first_byte(&route("a")), 50_000.0);
    assert!(baselines.response("desk", &route("a")) < 100_000.0);
    baselines.retain(|_| true, |_| false);
    assert_eq!(baselines.response("desk", &route("a")), 100_000.0);
}
