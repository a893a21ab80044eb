//! The record of what pay servers executed: the ground truth for "nothing is executed twice", which
//! does not depend on what the proxy reports.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long after an execution a repetition with the same `Idempotency-Key` is answered without
/// being executed.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(4);

/// The execution of one request on a pay server.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// The request's `X-Txn`.
    pub txn: String,
    /// The request's class: the first segment of its path.
    pub class: String,
    /// The uid of the pay server.
    pub server: String,
    /// When it began, since the start of the record.
    pub at: Duration,
}

/// Every execution on every pay server of a deployment, in the order in which they began.
#[derive(Debug)]
pub struct ExecutionRecord {
    start: Mutex<Instant>,
    /// When a request with each `Idempotency-Key` was last executed.
    keys: Mutex<HashMap<String, Instant>>,
    executions: Mutex<Vec<Execution>>,
}

impl Default for ExecutionRecord {
    fn default() -> ExecutionRecord {
        ExecutionRecord {
            start: Mutex::new(Instant::now()),
            keys: Mutex::default(),
            executions: Mutex::default(),
        }
    }
}

impl ExecutionRecord {
    /// Counts times from `start`, when the load begins.
    pub fn begin(&self, start: Instant) {
        *self.start.lock().expect("not poisoned") = start;
    }

    /// A copy of all executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("not poisoned").clone()
    }

    /// The number of executions of each `X-Txn`.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for execution in self.executions() {
            *counts.entry(execution.txn).or_insert(0) += 1;
        }
        counts
    }

    /// Whether a request with this key is executed now; if so, remembers the key. The window is
    /// shared by all pay servers.
    pub(super) fn admit(&self, key: Option<&str>) -> bool {
        let Some(key) = key else { return true };
        let mut keys = self.keys.lock().expect("not poisoned");
        let is_repetition = keys
            .get(key)
            .is_some_and(|at| at.elapsed() < DEDUPLICATION_WINDOW);
        if !is_repetition {
            keys.insert(key.to_string(), Instant::now());
        }
        !is_repetition
    }

    pub(super) fn push(&self, txn: &str, class: &str, server: &str) {
        let execution = Execution {
            txn: txn.into(),
            class: class.into(),
            server: server.into(),
            at: self.start.lock().expect("not poisoned").elapsed(),
        };
        self.executions
            .lock()
            .expect("not poisoned")
            .push(execution);
    }
}
