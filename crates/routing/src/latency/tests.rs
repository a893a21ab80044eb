use super::*;
use crate::table::{RouteKind, RouteSpec, WeightedBackend};

fn route(name: &str) -> Route {
    let spec = RouteSpec {
        name: name.into(),
        host: "a".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        backends: vec![WeightedBackend {
            service: "desk".into(),
            weight: 1,
        }],
        max_attempts: 1,
        timeout_ms: 1000,
        target_latency_ms: 100,
        max_event_gap_ms: None,
        priority: 0,
        affinity: false,
        allowed_regions: Vec::new(),
    };
    Route { spec, weight: 1 }
}

#[test]
fn before_any_answer_the_objective_tells() {
    let baselines = LatencyBaselines::default();
    assert_eq!(
        (
            baselines.first(&route("a")),
            baselines.whole("desk", &route("a"))
        ),
        (50_000.0, 100_000.0)
    );
}

#[test]
fn first_bytes_follow_each_route_and_one_outlier_moves_them_little() {
    let mut baselines = LatencyBaselines::default();
    let (a, b) = (route("a"), route("b"));
    (0..200).for_each(|_| _ = baselines.record_first_byte(&a, 10_000));
    assert!((baselines.first(&a) - 10_000.0).abs() < 500.0);
    assert!((baselines.record_first_byte(&a, 10_000_000) - 1000.0).abs() < 60.0);
    assert!(baselines.first(&a) < 12_000.0);
    assert_eq!(baselines.first(&b), 50_000.0);
}

#[test]
fn whole_answers_follow_the_mix_of_a_service() {
    let mut baselines = LatencyBaselines::default();
    let (desk, a, b) = (Arc::from("desk"), route("a"), route("b"));
    for _ in 0..200 {
        baselines.served(&desk, &a, 30_000);
        baselines.served(&desk, &b, 90_000);
    }
    assert!((baselines.whole("desk", &a) - 60_000.0).abs() < 5000.0);
    assert_eq!(baselines.whole("desk", &a), baselines.whole("desk", &b));
    assert_eq!(baselines.whole("other", &a), 100_000.0);
}

#[test]
fn what_is_gone_is_forgotten() {
    let mut baselines = LatencyBaselines::default();
    baselines.record_first_byte(&route("a"), 10);
    baselines.served(&Arc::from("desk"), &route("a"), 10);
    baselines.keep(|name| name == "b", |name| name == "desk");
    assert_eq!(baselines.first(&route("a")), 50_000.0);
    assert!(baselines.whole("desk", &route("a")) < 100_000.0);
    baselines.keep(|_| true, |_| false);
    assert_eq!(baselines.whole("desk", &route("a")), 100_000.0);
}
