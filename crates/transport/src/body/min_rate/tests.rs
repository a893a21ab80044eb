//! Tests of `min_rate.rs`.

use super::*;
use crate::body::MAX_BUFFERED_BODY_BYTES;

/// The time that a client has from its first byte, whatever its rate.
const HEADER_TIMEOUT: Micros = 2_200_000;

#[test]
fn a_client_that_keeps_the_agreed_rate_is_never_late() {
    // The head takes 2 s; the body arrives at 64,000 bytes per second, one chunk each 0.1 s.
    let mut timer = MinRateTimer::new(0, HEADER_TIMEOUT);
    let mut now = 2_000_000;
    for _ in 0..2_000 {
        timer.start_wait(now);
        assert!(
            timer.deadline().expect("a wait is in progress") > now + 100_000,
            "at {now}"
        );
        now += 100_000;
        timer.record_received(now, 6_400);
    }
}

#[test]
fn a_client_that_stops_sending_is_late_within_three_seconds_and_only_while_it_is_waited_for() {
    for received in [0, 100, 32 * 1024, MAX_BUFFERED_BODY_BYTES] {
        let mut timer = MinRateTimer::new(0, HEADER_TIMEOUT);
        timer.record_received(10_000, received);
        assert_eq!(
            timer.deadline(),
            None,
            "time spent on a slow server does not count"
        );
        timer.start_wait(10_000);
        let deadline = timer.deadline().expect("a wait is in progress");
        assert!(
            (HEADER_TIMEOUT..2_800_000).contains(&deadline),
            "{received}: {deadline}"
        );
    }
    // One byte per second does not keep the client below its deadline for long.
    let mut timer = MinRateTimer::new(0, HEADER_TIMEOUT);
    let mut now = 0;
    while now < 60_000_000 {
        timer.start_wait(now);
        if timer.deadline().expect("a wait is in progress") < now + 1_000_000 {
            break;
        }
        now += 1_000_000;
        timer.record_received(now, 1);
    }
    assert!(now < 4_000_000, "{now}");
}
