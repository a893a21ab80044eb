use std::time::Duration;

use super::{Rounding, SlidingCounter, SlidingLog};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn log_drops_events_older_than_the_window() {
    let mut window = SlidingLog::default();
    window.record(ms(0));
    window.record(ms(500));
    assert_eq!(window.count(ms(1000), ms(1000)), 2);
    assert_eq!(window.count(ms(1001), ms(1000)), 1);
    assert_eq!(window.count(ms(1501), ms(1000)), 0);
}

#[test]
fn log_gives_the_time_at_which_fewer_events_than_the_limit_remain() {
    let mut window = SlidingLog::default();
    window.record(ms(0));
    window.record(ms(300));
    window.record(ms(600));
    let at = window
        .available_at(ms(1000), 2)
        .expect("more events than the limit are stored");
    assert!(window.count(at, ms(1000)) < 2);
    assert_eq!(at, ms(1300) + Duration::from_nanos(1));
    assert_eq!(window.available_at(ms(1000), 0), None);
}

#[test]
fn counter_rounds_up_or_down_as_chosen() {
    let window = ms(10_000);
    let mut above = SlidingCounter::new(window, Rounding::Up);
    let mut below = SlidingCounter::new(window, Rounding::Down);
    let mut times = Vec::new();
    for step in 0..5_000_u64 {
        let now = ms(step * 7 + (step * step) % 5);
        above.record(now);
        below.record(now);
        times.push(now);
        let exact = times.iter().filter(|time| **time + window >= now).count() as u64;
        assert!(above.count(now) >= exact);
        assert!(below.count(now) <= exact);
    }
}

#[test]
fn counter_gives_the_time_at_which_the_oldest_events_expire() {
    for rounding in [Rounding::Up, Rounding::Down] {
        let mut window = SlidingCounter::new(ms(1280), rounding);
        window.record(ms(5));
        let at = window.next_expiry().expect("an event is stored");
        assert_eq!(window.count(at - Duration::from_nanos(1)), 1);
        assert_eq!(window.count(at), 0);
        assert_eq!(window.next_expiry(), None);
    }
}
