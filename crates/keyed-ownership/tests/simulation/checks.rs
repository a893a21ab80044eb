//! Checks of the slow-start bound and the retry budget, which count the arrivals at the server in
//! every window, and statistics of the waiting times.

use ironmast_limits::RetryBudgetSettings;

use super::scenario::{Limit, Scenario};
use super::trace::{KeyEvent, Trace, Wait};
use super::{Micros, to_micros};

/// The window of the slow-start bound, in microseconds.
const SECOND: Micros = 1_000_000;

/// Whether the arrivals of a run exceed its bound.
pub(crate) fn exceeds_bound(scenario: &Scenario, trace: &Trace) -> bool {
    match scenario.limit {
        Limit::SlowStart => max_arrivals_per_second(trace, scenario.keys) > scenario.bound as usize,
        Limit::RetryBudget(settings) => max_budget_excess(trace, &settings, scenario.keys) > 0.0,
    }
}

/// The largest number of arrivals of one key in any second.
pub(crate) fn max_arrivals_per_second(trace: &Trace, keys: usize) -> usize {
    (0..keys)
        .map(|key| max_arrivals_in_window(&arrivals(trace, key), SECOND))
        .max()
        .unwrap_or(0)
}

fn max_arrivals_in_window(arrivals: &[Micros], window: Micros) -> usize {
    let mut worst = 0;
    let mut first = 0;
    for (last, moment) in arrivals.iter().enumerate() {
        while arrivals[first] + window < *moment {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

/// The number of retries to a service above its budget in the worst window; 0 if the budget holds
/// in all windows.
pub(crate) fn max_budget_excess(trace: &Trace, settings: &RetryBudgetSettings, keys: usize) -> f64 {
    let excess = |key| excess(&requests(trace, key), &arrivals(trace, key), settings);
    (0..keys).map(excess).fold(0.0, f64::max)
}

fn excess(requests: &[Micros], retries: &[Micros], settings: &RetryBudgetSettings) -> f64 {
    let window = to_micros(settings.window);
    let mut worst: f64 = 0.0;
    // The excess changes only where an event enters or leaves one of the windows that are counted.
    for start in window_starts(requests, retries, window) {
        let retries_sent = count_between(retries, start, start + window) as f64;
        let same_window = count_between(requests, start, start + window);
        let half_before = count_between(
            requests,
            start.saturating_sub(window / 2),
            start + window / 2,
        );
        let window_before = count_between(requests, start.saturating_sub(window), start);
        let requested = same_window.max(half_before).max(window_before) as f64;
        worst = worst.max(retries_sent - settings.ratio * requested - f64::from(settings.burst));
    }
    worst
}

fn window_starts(requests: &[Micros], retries: &[Micros], window: Micros) -> Vec<Micros> {
    let mut window_starts = Vec::new();
    for moment in retries {
        window_starts.push(*moment);
        window_starts.push((moment + 1).saturating_sub(window));
    }
    for moment in requests {
        for offset in [0, window / 2, window] {
            window_starts.push(moment + 1 + offset);
            window_starts.push((moment + 1).saturating_sub(offset));
        }
    }
    window_starts
}

fn count_between(sorted: &[Micros], from: Micros, to: Micros) -> usize {
    let count_before = |end: Micros| sorted.partition_point(|moment| *moment < end);
    count_before(to) - count_before(from)
}

fn arrivals(trace: &Trace, key: usize) -> Vec<Micros> {
    moments_of_key(&trace.arrivals, key)
}

fn requests(trace: &Trace, key: usize) -> Vec<Micros> {
    moments_of_key(&trace.requests, key)
}

fn moments_of_key(events: &[KeyEvent], key: usize) -> Vec<Micros> {
    let mut moments: Vec<Micros> = events
        .iter()
        .filter(|event| event.key == key)
        .map(|event| event.at)
        .collect();
    moments.sort_unstable();
    moments
}

/// The wait of each request under an ideal limiter that knows the requests of all gates without
/// delay and without messages: the same bound over `window`, first come, first served.
pub(crate) fn ideal_waits(trace: &Trace, key: usize, bound: usize, window: Micros) -> Vec<Wait> {
    let requests = requests(trace, key);
    let mut sent: Vec<Micros> = Vec::with_capacity(requests.len());
    for arrived in &requests {
        let available_at = sent
            .len()
            .checked_sub(bound)
            .map_or(0, |index| sent[index] + window + 1);
        sent.push(available_at.max(*arrived));
    }
    sent.iter()
        .zip(&requests)
        .map(|(sent, arrived)| Wait {
            arrived: *arrived,
            duration: sent - arrived,
        })
        .collect()
}

/// The durations of the waits that began at or after `from`, in ascending order.
pub(crate) fn waits_from(waits: &[Wait], from: Micros) -> Vec<Micros> {
    let mut waits: Vec<Micros> = waits
        .iter()
        .filter(|wait| wait.arrived >= from)
        .map(|wait| wait.duration)
        .collect();
    waits.sort_unstable();
    waits
}

/// The value at the given fraction of the sorted values; 0 if there are none.
pub(crate) fn quantile(sorted: &[Micros], fraction: f64) -> Micros {
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
