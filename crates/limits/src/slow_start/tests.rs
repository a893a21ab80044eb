use std::time::Duration;

use assert_matches::assert_matches;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{SlowStartLimiter, WINDOW, slow_start_bound};
use crate::error::LimitExceeded;
use crate::sliding_window::send_window;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn bound_is_rate_times_overshoot_plus_tolerance() {
    assert_eq!(slow_start_bound(10.0, 1.5, 5.0), 20);
    assert_eq!(slow_start_bound(0.0, 1.5, 5.0), 0);
    assert_eq!(slow_start_bound(2.5, 1.5, 5.0), 8);
}

#[test]
fn even_share_is_rounded_down() {
    assert_eq!(
        SlowStartLimiter::<u8>::with_even_share(20, 8, ms(0)).quota(),
        2
    );
    assert_eq!(
        SlowStartLimiter::<u8>::with_even_share(20, 360, ms(0)).quota(),
        0
    );
}

#[test]
fn quota_of_zero_rejects_indefinitely() {
    let mut limiter = SlowStartLimiter::with_even_share(20, 360, ms(0));
    assert_eq!(
        limiter.try_acquire(ms(60_000), &1),
        Err(LimitExceeded::Indefinitely)
    );
}

#[test]
fn limiter_permits_nothing_for_one_window_after_the_start() {
    let mut limiter = SlowStartLimiter::with_even_share(20, 8, ms(400));
    let available_from = ms(400) + send_window(WINDOW);
    assert_eq!(
        limiter.try_acquire(ms(400), &1),
        Err(LimitExceeded::Until(available_from))
    );
    assert_eq!(limiter.try_acquire(available_from, &1), Ok(()));
}

#[test]
fn rejection_contains_the_time_of_the_next_permit() {
    let mut limiter = SlowStartLimiter::with_even_share(20, 8, ms(0));
    assert_eq!(limiter.try_acquire(ms(2000), &1), Ok(()));
    assert_eq!(limiter.try_acquire(ms(2300), &1), Ok(()));
    assert_eq!(limiter.try_acquire(ms(2300), &2), Ok(()));
    let exceeded = limiter
        .try_acquire(ms(2400), &1)
        .expect_err("the quota is exhausted");
    assert_matches!(exceeded, LimitExceeded::Until(at) if at > ms(3100) && at < ms(3101));
    let LimitExceeded::Until(at) = exceeded else {
        return;
    };
    assert_eq!(
        limiter.try_acquire(at - Duration::from_nanos(1), &1),
        Err(LimitExceeded::Until(at))
    );
    assert_eq!(limiter.try_acquire(at, &1), Ok(()));
}

#[test]
fn sweep_retains_keys_with_requests_in_the_window() {
    let mut limiter = SlowStartLimiter::with_even_share(8, 8, ms(0));
    assert_eq!(limiter.try_acquire(ms(2000), &1), Ok(()));
    limiter.sweep(ms(2500));
    assert_matches!(
        limiter.try_acquire(ms(2500), &1),
        Err(LimitExceeded::Until(_))
    );
    limiter.sweep(ms(3200));
    assert_eq!(limiter.try_acquire(ms(3200), &1), Ok(()));
}

/// The largest number of arrivals in any second if each gate acquires every permit it can and
/// restarts at random times. With `waits_at_start` a restarted gate sends nothing for one window.
fn max_arrivals_per_second(
    seed: u64,
    gates: u32,
    bound: u32,
    window: Duration,
    waits_at_start: bool,
) -> usize {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for _ in 0..gates {
        let start = |started: Duration| {
            let started = if waits_at_start {
                started
            } else {
                started.saturating_sub(window)
            };
            SlowStartLimiter::with_quota(bound / gates, window, started)
        };
        let mut limiter = start(ms(0));
        for step in 0..4_000_u64 {
            let now = ms(step * 2);
            if random.random_bool(0.002) {
                limiter = start(now);
            }
            if limiter.try_acquire(now, &()).is_ok() {
                arrivals.push(now + Duration::from_micros(random.random_range(0..60_000)));
            }
        }
    }
    arrivals.sort_unstable();
    let within = |(at, first): (usize, &Duration)| {
        arrivals[at..].partition_point(|next| *next < *first + WINDOW)
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

#[test]
fn arrivals_from_all_gates_stay_within_the_bound() {
    let window = send_window(WINDOW);
    for seed in 0..20 {
        assert!(
            max_arrivals_per_second(seed, 8, 20, window, true) <= 20,
            "seed {seed}"
        );
    }
}

#[test]
fn bound_is_exceeded_without_the_start_delay_or_the_delay_variation() {
    let window = send_window(WINDOW);
    let restart = (0..20).any(|seed| max_arrivals_per_second(seed, 5, 20, window, false) > 20);
    assert!(
        restart,
        "a restart that grants the quota again exceeds the bound"
    );
    let delay_variation =
        (0..20).any(|seed| max_arrivals_per_second(seed, 5, 20, WINDOW, true) > 20);
    assert!(
        delay_variation,
        "a window without the delay variation exceeds the bound"
    );
}

#[test]
fn requests_that_arrived_before_the_server_was_seen_warm_do_not_count() {
    let mut limiter = SlowStartLimiter::with_quota(2, send_window(WINDOW), ms(0));
    let acquire = |limiter: &mut SlowStartLimiter<char>, at| limiter.try_acquire(ms(at), &'a');
    assert_matches!(acquire(&mut limiter, 2_000), Ok(()));
    assert_matches!(acquire(&mut limiter, 2_050), Ok(()));
    limiter.record_warm(ms(2_099), &'a');
    assert_matches!(
        acquire(&mut limiter, 2_100),
        Err(_),
        "both may still arrive"
    );
    limiter.record_warm(ms(2_149), &'a');
    assert_matches!(acquire(&mut limiter, 2_150), Ok(()));
    assert_matches!(acquire(&mut limiter, 2_151), Err(_));
}
