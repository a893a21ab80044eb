//! What the clients saw, reconciled with what the pay servers ran.
//!
//! The verdict never takes the proxy's word: a request counts as run when a stand-in's record says
//! so.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::{Outcome, Sent};
use crate::standin::Run;

/// One verdict on a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// `X-Txn`s that ran more than once where their class does not allow it.
    pub twice: Vec<String>,
    /// `X-Txn`s the clients saw served that no pay server ran.
    pub made_up: Vec<String>,
    /// Requests sent and served.
    pub sent: usize,
    /// Of those, served.
    pub served: usize,
}

/// Judges `sent` against `runs`; a class in `free` may run twice.
#[must_use]
pub fn judge(sent: &[Sent], runs: &[Run], free: &[&str]) -> Verdict {
    let mut counts: HashMap<&str, (usize, &str)> = HashMap::new();
    for run in runs {
        counts.entry(&run.txn).or_insert((0, &run.class)).0 += 1;
    }
    let mut twice: Vec<String> = counts
        .iter()
        .filter(|(_, (n, class))| *n > 1 && !free.contains(class))
        .map(|(txn, _)| txn.to_string())
        .collect();
    twice.sort();
    let served: Vec<&Sent> = sent
        .iter()
        .filter(|s| s.outcome == Outcome::Served)
        .collect();
    let made_up = served
        .iter()
        .filter(|s| !counts.contains_key(s.txn.as_str()))
        .map(|s| s.txn.clone())
        .collect();
    Verdict {
        twice,
        made_up,
        sent: sent.len(),
        served: served.len(),
    }
}

/// The first moment at or after `from` from which every request meant to go was served for `span`:
/// when service was back. None where it never came back.
#[must_use]
pub fn back(sent: &[Sent], from: Duration, span: Duration) -> Option<Duration> {
    let later: Vec<&Sent> = sent.iter().filter(|s| s.at >= from).collect();
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
