//! The judges: every span of the rule's length is counted, on the moments of arrival.

use ironmast_limits::RetryBudgetSettings;

use super::world::Trace;
use super::{Micros, micros};

/// The span of the cold-start bound.
const SECOND: Micros = 1_000_000;

/// The most arrivals of one key in any second.
pub(crate) fn worst_second(trace: &Trace, keys: usize) -> usize {
    (0..keys)
        .map(|key| worst_span(&arrivals(trace, key), SECOND))
        .max()
        .unwrap_or(0)
}

fn worst_span(arrivals: &[Micros], span: Micros) -> usize {
    let mut worst = 0;
    let mut first = 0;
    for (last, moment) in arrivals.iter().enumerate() {
        while arrivals[first] + span < *moment {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}

/// By how much the repeats to a service go over what the rule allows in the worst window; 0 if in
/// none.
pub(crate) fn worst_excess(trace: &Trace, terms: &RetryBudgetSettings, keys: usize) -> f64 {
    let excess = |key| excess(&requests(trace, key), &arrivals(trace, key), terms);
    (0..keys).map(excess).fold(0.0, f64::max)
}

fn excess(requests: &[Micros], repeats: &[Micros], terms: &RetryBudgetSettings) -> f64 {
    let window = micros(terms.window);
    let mut worst: f64 = 0.0;
    // The excess changes only where an event enters or leaves one of the three windows.
    for start in starts(requests, repeats, window) {
        let repeated = between(repeats, start, start + window) as f64;
        let here = between(requests, start, start + window);
        let half = between(
            requests,
            start.saturating_sub(window / 2),
            start + window / 2,
        );
        let before = between(requests, start.saturating_sub(window), start);
        let most = here.max(half).max(before) as f64;
        worst = worst.max(repeated - terms.ratio * most - f64::from(terms.burst));
    }
    worst
}

fn starts(requests: &[Micros], repeats: &[Micros], window: Micros) -> Vec<Micros> {
    let mut starts = Vec::new();
    for moment in repeats {
        starts.push(*moment);
        starts.push((moment + 1).saturating_sub(window));
    }
    for moment in requests {
        for offset in [0, window / 2, window] {
            starts.push(moment + 1 + offset);
            starts.push((moment + 1).saturating_sub(offset));
        }
    }
    starts
}

fn between(sorted: &[Micros], from: Micros, to: Micros) -> usize {
    let before = |end: Micros| sorted.partition_point(|moment| *moment < end);
    before(to) - before(from)
}

fn arrivals(trace: &Trace, key: usize) -> Vec<Micros> {
    of_key(&trace.arrivals, key)
}

fn requests(trace: &Trace, key: usize) -> Vec<Micros> {
    of_key(&trace.requests, key)
}

fn of_key(moments: &[(usize, Micros)], key: usize) -> Vec<Micros> {
    let mut of: Vec<Micros> = moments
        .iter()
        .filter(|(other, _)| *other == key)
        .map(|(_, moment)| *moment)
        .collect();
    of.sort_unstable();
    of
}

/// (moment it came, wait) of each request, had an owner limited them that sees every gate at once:
/// the same bound over `span`, first come first served, without messages.
pub(crate) fn ideal_waits(
    trace: &Trace,
    key: usize,
    bound: usize,
    span: Micros,
) -> Vec<(Micros, Micros)> {
    let requests = requests(trace, key);
    let mut sent: Vec<Micros> = Vec::with_capacity(requests.len());
    for came in &requests {
        let room = sent
            .len()
            .checked_sub(bound)
            .map_or(0, |place| sent[place] + span + 1);
        sent.push(room.max(*came));
    }
    sent.iter()
        .zip(&requests)
        .map(|(sent, came)| (*came, sent - came))
        .collect()
}

/// The waits of the requests that came at or after `from`, in rising order.
pub(crate) fn waits_from(waits: &[(Micros, Micros)], from: Micros) -> Vec<Micros> {
    let mut waits: Vec<Micros> = waits
        .iter()
        .filter(|(came, _)| *came >= from)
        .map(|(_, wait)| *wait)
        .collect();
    waits.sort_unstable();
    waits
}

/// The value below which the part `part` of sorted values lies.
pub(crate) fn quantile(sorted: &[Micros], part: f64) -> Micros {
    let place = (sorted.len() as f64 * part) as usize;
    sorted
        .get(place.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
