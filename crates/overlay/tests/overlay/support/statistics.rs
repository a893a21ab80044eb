//! Quantiles of update delays.

use std::time::Duration;

/// Prints quantiles of sorted delays, and how many exceed `limit`.
pub(crate) fn print_quantiles(name: &str, delays: &[Duration], limit: Duration) {
    let at = |part: usize| quantile(delays, part);
    let late = delays.iter().filter(|delay| **delay > limit).count();
    println!(
        "{name}: {} arrivals, p50 {:?} p99 {:?} p99.9 {:?} worst {:?}, {late} late",
        delays.len(),
        at(500),
        at(990),
        at(999),
        at(1_000)
    );
}

/// The quantile `part` of sorted delays, in thousandths: 990 is the 99th percentile.
pub(crate) fn quantile(delays: &[Duration], part: usize) -> Duration {
    delays[(delays.len() - 1) * part / 1_000]
}
