use std::time::Duration;

use super::{REPORT_MARGIN, WarmupReport, WarmupTracker};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn report(made_at: u64, remaining: u64) -> WarmupReport {
    WarmupReport {
        made_at: ms(made_at),
        remaining: ms(remaining),
    }
}

#[test]
fn discovered_instance_is_warming_up_until_it_reports_that_it_is_warm() {
    let mut tracker = WarmupTracker::default();
    assert!(tracker.is_warming_up(ms(0), &"a"));
    tracker.insert(&"a");
    assert!(tracker.is_warming_up(ms(60_000), &"a"));
    tracker.report(ms(60_000), &"a", report(59_000, 0));
    assert!(!tracker.is_warming_up(ms(60_000), &"a"));
}

#[test]
fn first_report_applies_even_at_clock_reading_zero() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(0), &"a", report(0, 0));
    assert!(!tracker.is_warming_up(ms(0), &"a"));
}

#[test]
fn reported_warmup_ends_a_margin_after_the_reported_time() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(1000), &"a", report(400, 3000));
    assert!(tracker.is_warming_up(ms(4000) + REPORT_MARGIN - ms(1), &"a"));
    assert!(!tracker.is_warming_up(ms(4000) + REPORT_MARGIN, &"a"));
}

#[test]
fn warm_instance_that_reports_a_remaining_time_is_warming_up_again() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.report(ms(2000), &"a", report(1900, 500));
    assert!(tracker.is_warming_up(ms(2000), &"a"));
}

#[test]
fn outdated_report_does_not_replace_a_newer_one() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(2000), &"a", report(1900, 5000));
    tracker.report(ms(2100), &"a", report(900, 0));
    assert!(tracker.is_warming_up(ms(2100), &"a"));
}

#[test]
fn reset_instance_is_warming_up_until_a_report_made_after_the_reset() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.reset(ms(2000), &"a");
    assert!(tracker.is_warming_up(ms(2000), &"a"));
    tracker.report(ms(2100), &"a", report(1950, 0));
    assert!(
        tracker.is_warming_up(ms(2100), &"a"),
        "the report was made before the reset"
    );
    tracker.report(ms(3100), &"a", report(3000, 0));
    assert!(!tracker.is_warming_up(ms(3100), &"a"));
}

#[test]
fn reset_discards_the_time_reported_before() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(1000), &"a", report(900, 500));
    tracker.reset(ms(1200), &"a");
    assert!(tracker.is_warming_up(ms(10_000), &"a"));
}

#[test]
fn removed_instance_counts_as_warming_up() {
    let mut tracker = WarmupTracker::default();
    tracker.report(ms(1000), &"a", report(900, 0));
    tracker.report(ms(1000), &"b", report(900, 0));
    tracker.remove(&"a");
    tracker.retain(|instance| *instance == "a");
    assert!(tracker.is_warming_up(ms(1000), &"a"));
    assert!(tracker.is_warming_up(ms(1000), &"b"));
}
