use super::*;

const TIMEOUT: Micros = 600_000;

fn is_unreachable(reachability: &RegionReachability, now: Micros, unresponsive: usize) -> bool {
    reachability.is_unreachable(now, "south", TIMEOUT, || unresponsive)
}

#[test]
fn a_region_without_attempts_is_not_unreachable() {
    assert!(!is_unreachable(
        &RegionReachability::default(),
        10 * TIMEOUT,
        10
    ));
}

#[test]
fn a_region_is_unreachable_when_two_answers_are_outstanding_beyond_the_timeout() {
    let (mut reachability, south) = (RegionReachability::default(), "south".into());
    reachability.record_liveness(1, &south);
    assert!(
        !is_unreachable(&reachability, TIMEOUT, 2),
        "not for long enough"
    );
    assert!(is_unreachable(&reachability, TIMEOUT + 1, 2));
    assert!(
        !is_unreachable(&reachability, TIMEOUT + 1, 1),
        "the cause may be the server"
    );
    reachability.record_unanswered(&south);
    assert!(is_unreachable(&reachability, TIMEOUT + 1, 1));
    reachability.record_unanswered(&south);
    assert!(is_unreachable(&reachability, TIMEOUT + 1, 0));
    reachability.record_liveness(TIMEOUT + 2, &south);
    assert!(
        !is_unreachable(&reachability, 3 * TIMEOUT, 1),
        "responses missing before the last receipt do not count"
    );
}

#[test]
fn an_unreachable_region_is_checked_at_intervals() {
    let mut reachability = RegionReachability::default();
    reachability.record_liveness(1, &"south".into());
    assert!(reachability.start_health_check(HEALTH_CHECK_INTERVAL, "south"));
    assert!(!reachability.start_health_check(2 * HEALTH_CHECK_INTERVAL - 1, "south"));
    assert!(reachability.start_health_check(2 * HEALTH_CHECK_INTERVAL, "south"));
}
