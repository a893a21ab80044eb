use std::time::Duration;

use super::{Buckets, Exact, Partial};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn exact_drops_what_is_older_than_the_span() {
    let mut window = Exact::default();
    window.record(ms(0));
    window.record(ms(500));
    assert_eq!(window.count(ms(1000), ms(1000)), 2);
    assert_eq!(window.count(ms(1001), ms(1000)), 1);
    assert_eq!(window.count(ms(1501), ms(1000)), 0);
}

#[test]
fn exact_names_the_moment_at_which_there_is_room() {
    let mut window = Exact::default();
    window.record(ms(0));
    window.record(ms(300));
    window.record(ms(600));
    let at = window.room_at(ms(1000), 2).expect("room comes");
    assert!(window.count(at, ms(1000)) < 2);
    assert_eq!(at, ms(1300) + Duration::from_nanos(1));
    assert_eq!(window.room_at(ms(1000), 0), None);
}

#[test]
fn buckets_bracket_the_true_count() {
    let span = ms(10_000);
    let mut above = Buckets::new(span, Partial::Counts);
    let mut below = Buckets::new(span, Partial::Ignored);
    let mut moments = Vec::new();
    for step in 0..5_000_u64 {
        let now = ms(step * 7 + (step * step) % 5);
        above.record(now);
        below.record(now);
        moments.push(now);
        let exact = moments
            .iter()
            .filter(|moment| **moment + span >= now)
            .count() as u64;
        assert!(above.count(now) >= exact);
        assert!(below.count(now) <= exact);
    }
}

#[test]
fn buckets_name_the_moment_at_which_the_oldest_leave() {
    for partial in [Partial::Counts, Partial::Ignored] {
        let mut window = Buckets::new(ms(1280), partial);
        window.record(ms(5));
        let at = window.next_leaves().expect("one is kept");
        assert_eq!(window.count(at - Duration::from_nanos(1)), 1);
        assert_eq!(window.count(at), 0);
        assert_eq!(window.next_leaves(), None);
    }
}
