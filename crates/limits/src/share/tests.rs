use std::time::Duration;

use assert_matches::assert_matches;
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{COLD_SPAN, ColdLimiter, FLIGHT, cold_bound};
use crate::wait::Wait;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn bound_of_the_rule() {
    assert_eq!(cold_bound(10.0, 1.5, 5.0), 20);
    assert_eq!(cold_bound(0.0, 1.5, 5.0), 0);
    assert_eq!(cold_bound(2.5, 1.5, 5.0), 8);
}

#[test]
fn share_is_rounded_down() {
    assert_eq!(ColdLimiter::<u8>::static_share(20, 8, ms(0)).share(), 2);
    assert_eq!(ColdLimiter::<u8>::static_share(20, 360, ms(0)).share(), 0);
}

#[test]
fn no_share_has_no_moment() {
    let mut limiter = ColdLimiter::static_share(20, 360, ms(0));
    assert_eq!(limiter.try_take(ms(60_000), &1), Err(Wait::Unknown));
}

#[test]
fn start_opens_after_a_span() {
    let mut limiter = ColdLimiter::static_share(20, 8, ms(400));
    let opens = ms(400) + COLD_SPAN + FLIGHT;
    assert_eq!(limiter.try_take(ms(400), &1), Err(Wait::Until(opens)));
    assert_eq!(limiter.try_take(opens, &1), Ok(()));
}

#[test]
fn the_moment_it_names_is_true() {
    let mut limiter = ColdLimiter::static_share(20, 8, ms(0));
    assert_eq!(limiter.try_take(ms(2000), &1), Ok(()));
    assert_eq!(limiter.try_take(ms(2300), &1), Ok(()));
    assert_eq!(limiter.try_take(ms(2300), &2), Ok(()));
    let wait = limiter
        .try_take(ms(2400), &1)
        .expect_err("the share is used up");
    assert_matches!(wait, Wait::Until(at) if at > ms(3100) && at < ms(3101));
    let Wait::Until(at) = wait else { return };
    assert_eq!(
        limiter.try_take(at - Duration::from_nanos(1), &1),
        Err(Wait::Until(at))
    );
    assert_eq!(limiter.try_take(at, &1), Ok(()));
}

#[test]
fn sweep_keeps_what_counts() {
    let mut limiter = ColdLimiter::static_share(8, 8, ms(0));
    assert_eq!(limiter.try_take(ms(2000), &1), Ok(()));
    limiter.sweep(ms(2500));
    assert_matches!(limiter.try_take(ms(2500), &1), Err(Wait::Until(_)));
    limiter.sweep(ms(3200));
    assert_eq!(limiter.try_take(ms(3200), &1), Ok(()));
}

/// The most arrivals in any second, where each gate takes all it gets and is restarted at random.
fn worst_second(seed: u64, gates: u32, bound: u32, span: Duration, quiet_at_start: bool) -> usize {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for _ in 0..gates {
        let born = |started: Duration| {
            let started = if quiet_at_start {
                started
            } else {
                started.saturating_sub(span)
            };
            ColdLimiter::with_span(bound / gates, span, started)
        };
        let mut limiter = born(ms(0));
        for step in 0..4_000_u64 {
            let now = ms(step * 2);
            if random.random_bool(0.002) {
                limiter = born(now);
            }
            if limiter.try_take(now, &()).is_ok() {
                arrivals.push(now + Duration::from_micros(random.random_range(0..60_000)));
            }
        }
    }
    arrivals.sort_unstable();
    let within = |(at, first): (usize, &Duration)| {
        arrivals[at..].partition_point(|next| *next < *first + COLD_SPAN)
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

#[test]
fn all_shares_together_stay_under_the_bound() {
    let span = COLD_SPAN + FLIGHT;
    for seed in 0..20 {
        assert!(worst_second(seed, 8, 20, span, true) <= 20, "seed {seed}");
    }
}

#[test]
fn each_guard_of_the_share_is_needed() {
    let span = COLD_SPAN + FLIGHT;
    let restart = (0..20).any(|seed| worst_second(seed, 5, 20, span, false) > 20);
    assert!(
        restart,
        "a restart that gives the share anew goes over the bound"
    );
    let flight = (0..20).any(|seed| worst_second(seed, 5, 20, COLD_SPAN, true) > 20);
    assert!(
        flight,
        "a span without the time on the way goes over the bound"
    );
}
