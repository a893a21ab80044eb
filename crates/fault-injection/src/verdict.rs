//! Compares what clients received with what pay servers executed.
//!
//! The verdict does not depend on what the proxy reports: a request counts as executed if the
//! execution record of the stub servers contains it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::load::{Outcome, SentRequest};
use crate::stub_servers::Execution;

/// Differences between what clients received and what pay servers executed in a run.
#[derive(Debug, Default, PartialEq)]
pub struct Verdict {
    /// The requests that were executed more than once although their class does not allow it, by
    /// `X-Txn`.
    pub executed_twice: Vec<RepeatedExecution>,
    /// The `X-Txn`s that were served to clients although no pay server executed them.
    pub fabricated: Vec<String>,
    /// The number of requests sent.
    pub sent: usize,
    /// The number of those that were served.
    pub served: usize,
}

/// A request that was executed more than once.
#[derive(Clone, Debug, PartialEq)]
pub struct RepeatedExecution {
    /// `X-Txn` of the request.
    pub txn: String,
    /// Executions of the request, in the order in which they began.
    pub executions: Vec<Execution>,
}

impl fmt::Display for RepeatedExecution {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} was executed", self.txn)?;
        for (index, execution) in self.executions.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            let at_s = execution.at.as_secs_f64();
            write!(
                formatter,
                "{separator} on {} at {at_s:.3} s",
                execution.server
            )?;
        }
        Ok(())
    }
}

/// Compares what clients sent with what was executed; requests of the classes in `free` may be
/// executed more than once.
#[must_use]
pub fn check_executions(sent: &[SentRequest], executions: &[Execution], free: &[&str]) -> Verdict {
    let mut by_txn: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        by_txn.entry(&execution.txn).or_default().push(execution);
    }
    let executed_twice = by_txn
        .iter()
        .filter(|(_, executions)| is_forbidden_repetition(executions, free))
        .map(|(txn, executions)| RepeatedExecution {
            txn: (*txn).to_string(),
            executions: executions.iter().copied().cloned().collect(),
        })
        .collect();
    let served: Vec<&SentRequest> = sent.iter().filter(|request| is_served(request)).collect();
    let fabricated = served
        .iter()
        .filter(|request| !by_txn.contains_key(request.txn.as_str()))
        .map(|request| request.txn.clone())
        .collect();
    Verdict {
        executed_twice,
        fabricated,
        sent: sent.len(),
        served: served.len(),
    }
}

/// Whether these executions of one request are more than its class allows.
fn is_forbidden_repetition(executions: &[&Execution], free: &[&str]) -> bool {
    let is_free = |execution: &&Execution| free.contains(&execution.class.as_str());
    executions.len() > 1 && !executions.first().is_some_and(is_free)
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
