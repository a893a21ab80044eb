//! What the clients saw, reconciled with what the pay servers ran.
//!
//! The verdict never takes the proxy's word: a request counts as run when a stand-in's record says
//! so.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::{Outcome, SentRequest};
use crate::stub_servers::Execution;

/// One verdict on a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// `X-Txn`s that ran more than once where their class does not allow it.
    pub executed_twice: Vec<String>,
    /// `X-Txn`s the clients saw served that no pay server ran.
    pub fabricated: Vec<String>,
    /// Requests sent and served.
    pub sent: usize,
    /// Of those, served.
    pub served: usize,
}

/// Compares what clients sent with what was executed; a class in `free` may be executed twice.
#[must_use]
pub fn check_executions(sent: &[SentRequest], runs: &[Execution], free: &[&str]) -> Verdict {
    let mut counts: HashMap<&str, (usize, &str)> = HashMap::new();
    for run in runs {
        counts.entry(&run.txn).or_insert((0, &run.class)).0 += 1;
    }
    let mut executed_twice: Vec<String> = counts
        .iter()
        .filter(|(_, (n, class))| *n > 1 && !free.contains(class))
        .map(|(txn, _)| txn.to_string())
        .collect();
    executed_twice.sort();
    let served: Vec<&SentRequest> = sent
        .iter()
        .filter(|s| s.outcome == Outcome::Served)
        .collect();
    let fabricated = served
        .iter()
        .filter(|s| !counts.contains_key(s.txn.as_str()))
        .map(|s| s.txn.clone())
        .collect();
    Verdict {
        executed_twice,
        fabricated,
        sent: sent.len(),
        served: served.len(),
    }
}

/// The first moment at or after `from` from which every request meant to go was served for `span`:
/// when the service had recovered. `None` if it never did.
#[must_use]
pub fn recovery_time(sent: &[SentRequest], from: Duration, span: Duration) -> Option<Duration> {
    let later: Vec<&SentRequest> = sent.iter().filter(|s| s.at >= from).collect();
    let last = later.last()?.at;
    (0..later.len()).map(|i| later[i].at).find(|&t| {
        t + span <= last
            && later
                .iter()
                .filter(|s| s.at >= t && s.at < t + span)
                .all(|s| s.outcome == Outcome::Served)
    })
}

#[cfg(test)]
mod tests;
