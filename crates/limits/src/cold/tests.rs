use std::time::Duration;

use super::{ColdTracker, MARGIN, Report};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn report(said_at: u64, left: u64) -> Report {
    Report {
        said_at: ms(said_at),
        left: ms(left),
    }
}

#[test]
fn cold_from_first_sight_until_it_says_otherwise() {
    let mut tracker = ColdTracker::default();
    assert!(tracker.is_cold(ms(0), &"a"));
    tracker.seen(&"a");
    assert!(tracker.is_cold(ms(60_000), &"a"));
    tracker.report(ms(60_000), &"a", report(59_000, 0));
    assert!(!tracker.is_cold(ms(60_000), &"a"));
}

#[test]
fn first_report_counts_at_the_start_of_the_clock() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(0), &"a", report(0, 0));
    assert!(!tracker.is_cold(ms(0), &"a"));
}

#[test]
fn told_time_runs_out_with_a_margin_from_the_receipt() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(1000), &"a", report(400, 3000));
    assert!(tracker.is_cold(ms(4000) + MARGIN - ms(1), &"a"));
    assert!(!tracker.is_cold(ms(4000) + MARGIN, &"a"));
}

#[test]
fn warm_instance_that_tells_a_time_is_cold_again() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.report(ms(2000), &"a", report(1900, 500));
    assert!(tracker.is_cold(ms(2000), &"a"));
}

#[test]
fn late_report_does_not_undo_a_newer_one() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(2000), &"a", report(1900, 5000));
    tracker.report(ms(2100), &"a", report(900, 0));
    assert!(tracker.is_cold(ms(2100), &"a"));
}

#[test]
fn disturbance_holds_until_a_report_made_after_it() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.disturbed(ms(2000), &"a");
    assert!(tracker.is_cold(ms(2000), &"a"));
    tracker.report(ms(2100), &"a", report(1950, 0));
    assert!(
        tracker.is_cold(ms(2100), &"a"),
        "said before the disturbance"
    );
    tracker.report(ms(3100), &"a", report(3000, 0));
    assert!(!tracker.is_cold(ms(3100), &"a"));
}

#[test]
fn disturbance_voids_the_time_told_before() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(1000), &"a", report(900, 500));
    tracker.disturbed(ms(1200), &"a");
    assert!(tracker.is_cold(ms(10_000), &"a"));
}

#[test]
fn forgotten_instance_is_cold() {
    let mut tracker = ColdTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.report(ms(1000), &"b", report(900, 0));
    tracker.forget(&"a");
    tracker.retain(|instance| *instance == "a");
    assert!(tracker.is_cold(ms(1000), &"a"));
    assert!(tracker.is_cold(ms(1000), &"b"));
}
