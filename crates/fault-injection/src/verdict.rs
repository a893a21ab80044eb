//! Compares what clients received with what pay servers executed.
//!
//! The verdict does not depend on what the proxy reports: a request counts as executed if the
//! execution record of the stub servers contains it.

use std::collections::HashMap;
use std::time::Duration;

use crate::load::{Outcome, SentRequest};
use crate::stub_servers::Execution;

/// The verdict on a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// The `X-Txn`s that were executed more than once although their class does not allow it.
    pub executed_twice: Vec<String>,
    /// The `X-Txn`s that were served to clients although no pay server executed them.
    pub fabricated: Vec<String>,
    /// The number of requests sent.
    pub sent: usize,
    /// The number of those that were served.
    pub served: usize,
}

/// The executions of one `X-Txn`.
struct ExecutionCount<'a> {
    class: &'a str,
    count: usize,
}

/// Compares what clients sent with what was executed; requests of the classes in `free` may be
/// executed more than once.
#[must_use]
pub fn check_executions(sent: &[SentRequest], executions: &[Execution], free: &[&str]) -> Verdict {
    let mut counts: HashMap<&str, ExecutionCount<'_>> = HashMap::new();
    for execution in executions {
        let entry = counts.entry(&execution.txn).or_insert(ExecutionCount {
            class: &execution.class,
            count: 0,
        });
        entry.count += 1;
    }
    let mut executed_twice: Vec<String> = counts
        .iter()
        .filter(|(_, execution)| execution.count > 1 && !free.contains(&execution.class))
        .map(|(txn, _)| txn.to_string())
        .collect();
    executed_twice.sort();
    let served: Vec<&SentRequest> = sent.iter().filter(|request| is_served(request)).collect();
    let fabricated = served
        .iter()
        .filter(|request| !counts.contains_key(request.txn.as_str()))
        .map(|request| request.txn.clone())
        .collect();
    Verdict {
        executed_twice,
        fabricated,
        sent: sent.len(),
        served: served.len(),
    }
}

fn is_served(request: &SentRequest) -> bool {
    request.outcome == Outcome::Served
}

/// When the service had recovered: the first send time at or after `from` such that every request
/// sent in the `span` that follows was served. `None` if the load ends before that.
#[must_use]
pub fn recovery_time(sent: &[SentRequest], from: Duration, span: Duration) -> Option<Duration> {
    let later: Vec<&SentRequest> = sent.iter().filter(|request| request.at >= from).collect();
    let last = later.last()?.at;
    let is_served_throughout = |start: &Duration| {
        let in_span = |request: &&&SentRequest| (*start..*start + span).contains(&request.at);
        *start + span <= last && later.iter().filter(in_span).copied().all(is_served)
    };
    later
        .iter()
        .map(|request| request.at)
        .find(is_served_throughout)
}

#[cfg(test)]
mod tests;
