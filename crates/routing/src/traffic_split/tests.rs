use super::*;

#[test]
fn each_backend_gets_its_share_of_a_few_requests() {
    for seed in 0..50 {
        let (mut traffic_splits, mut rng, route) =
            (TrafficSplits::default(), Rng(seed), "a".into());
        let points: Vec<f64> = (0..100)
            .map(|_| traffic_splits.next_point(&route, &mut rng))
            .collect();
        assert!(points.iter().all(|point| (0.0..1.0).contains(point)));
        let below = points.iter().filter(|point| **point < 0.9).count();
        assert!((88..=92).contains(&below), "{below} of 90");
    }
}

#[test]
fn gates_start_at_different_points() {
    let first = |seed| TrafficSplits::default().next_point(&"a".into(), &mut Rng(seed));
    assert_ne!(first(1), first(2));
}
