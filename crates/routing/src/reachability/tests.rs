use super::*;

const STALL_FACTOR: Micros = 600_000;

fn dark(paths: &RegionReachability, now: Micros, quiet: usize) -> bool {
    paths.is_dark(now, "south", STALL_FACTOR, || quiet)
}

#[test]
fn a_region_that_nobody_tried_is_not_dark() {
    assert!(!dark(&RegionReachability::default(), 10 * STALL_FACTOR, 10));
}

#[test]
fn a_region_is_dark_after_two_answers_are_owed_and_none_has_come() {
    let (mut paths, south) = (RegionReachability::default(), "south".into());
    paths.record_liveness(1, &south);
    assert!(!dark(&paths, STALL_FACTOR, 2), "not for long enough");
    assert!(dark(&paths, STALL_FACTOR + 1, 2));
    assert!(!dark(&paths, STALL_FACTOR + 1, 1), "one server may be gone");
    paths.unanswered(&south);
    assert!(dark(&paths, STALL_FACTOR + 1, 1));
    paths.unanswered(&south);
    assert!(dark(&paths, STALL_FACTOR + 1, 0));
    paths.record_liveness(STALL_FACTOR + 2, &south);
    assert!(
        !dark(&paths, 3 * STALL_FACTOR, 1),
        "what was owed before counts no more"
    );
}

#[test]
fn a_dark_region_is_asked_now_and_then() {
    let mut paths = RegionReachability::default();
    paths.record_liveness(1, &"south".into());
    assert!(paths.ask(HEALTH_CHECK_INTERVAL, "south"));
    assert!(!paths.ask(2 * HEALTH_CHECK_INTERVAL - 1, "south"));
    assert!(paths.ask(2 * HEALTH_CHECK_INTERVAL, "south"));
}
