use super::*;
use crate::settings::DurationBounds;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings::new("r", "z")
}

#[test]
fn retry_times_follow_each_other_and_expire_with_time() {
    let mut schedule = RetrySchedule::default();
    let (one, other): (Arc<str>, Arc<str>) = ("one".into(), "other".into());
    assert_eq!(
        [0, 0, 0].map(|_| schedule.next_slot(0, &one, 100, 1000)),
        [100, 200, 300]
    );
    assert_eq!(
        schedule.next_slot(0, &other, 100, 1000),
        100,
        "services do not share slots"
    );
    assert_eq!(schedule.next_slot(150, &one, 100, 1000), 250);
    assert_eq!(schedule.next_slot(9000, &one, 100, 1000), 100);
    assert_eq!(
        (0..30)
            .map(|_| schedule.next_slot(9000, &one, 100, 1000))
            .max(),
        Some(1000)
    );
    schedule.retain(|name| name == "other");
    assert_eq!(schedule.next_slot(9000, &one, 100, 1000), 100);
}

#[test]
fn retry_delays_are_bounded_and_have_jitter() {
    let mut rng = Rng(1);
    let mut delay = |delay, time_left| {
        reject(
            &settings(),
            &mut rng,
            RejectionStatus::Unavailable,
            delay,
            time_left,
        )
        .retry_after
    };
    let delays: Vec<Micros> = (0..200).map(|_| delay(SECOND, 60 * SECOND)).collect();
    assert!(
        delays
            .iter()
            .all(|delay| (750_000..=1_250_000).contains(delay))
    );
    assert!(delays.iter().max().expect("delays") - delays.iter().min().expect("delays") > 400_000);
    let DurationBounds { min, max } = settings().retry_after;
    assert!(delay(0, SECOND) >= min * 3 / 4);
    assert!(delay(60 * SECOND, 60 * SECOND) <= max * 5 / 4);
    assert!(
        delay(SECOND, SECOND) <= SECOND / 3 * 5 / 4,
        "at most a third of the remaining time, plus jitter"
    );
    assert!(delay(SECOND, 0) <= min * 5 / 4);
}

#[test]
fn slots_become_free_at_the_rate_of_the_requests_in_flight() {
    assert_eq!(
        (slot_interval(1000.0, 10.0), slot_interval(1000.0, 0.0)),
        (100, 1000)
    );
}

#[test]
fn the_header_has_seconds_with_a_fraction() {
    let rejection = Rejection {
        status: RejectionStatus::TooManyRequests,
        retry_after: 1_250_400,
    };
    assert_eq!(
        (
            rejection.retry_after_seconds().as_str(),
            rejection.status.code()
        ),
        ("1.250", 429)
    );
    assert_eq!(RejectionStatus::Unavailable.code(), 503);
}
