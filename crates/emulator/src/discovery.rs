//! The model of discovery: the endpoint list, the log of its changes in the order in which they
//! became visible, and a single-server queue of queries.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Phase};

use crate::scenario::{DiscoverySpec, seconds};

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    /// The server's number.
    pub server: u32,
    /// The phase shown in the list.
    pub phase: Phase,
    /// When the server's process started; 0 if before the run.
    pub started: Micros,
    /// When this entry became visible.
    pub since: Micros,
}

/// The result of a query of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueryResult {
    /// When the query is answered or fails.
    pub at: Micros,
    /// Whether the query is answered.
    pub answered: bool,
}

/// The endpoint list and the queue of queries.
pub(crate) struct Discovery {
    /// All changes so far. The length of the log is the version of the list.
    log: Vec<ListEntry>,
    list: BTreeMap<u32, ListEntry>,
    /// The service time of a query, in microseconds.
    service_time: f64,
    /// The longest time that a query may be queued, in microseconds; after it the query fails.
    max_wait: f64,
    /// When the last queued query is answered, in microseconds.
    busy_until: f64,
    /// Whether an outage is in force: every query fails and no change is notified.
    pub in_outage: bool,
}

impl Discovery {
    /// Creates discovery with an empty list.
    pub(crate) fn new(spec: &DiscoverySpec) -> Self {
        Discovery {
            log: Vec::new(),
            list: BTreeMap::new(),
            service_time: 1e6 / spec.queries_per_s,
            max_wait: seconds(spec.max_wait_s) as f64,
            busy_until: 0.0,
            in_outage: false,
        }
    }

    /// Applies a change to the list and appends it to the log.
    pub(crate) fn publish(&mut self, entry: ListEntry) {
        self.log.push(entry);
        apply(&mut self.list, entry);
    }

    /// The current version of the list, which is the number of changes so far.
    pub(crate) fn version(&self) -> usize {
        self.log.len()
    }

    /// The changes after a version, oldest first.
    pub(crate) fn changes_since(&self, version: usize) -> &[ListEntry] {
        &self.log[version.min(self.log.len())..]
    }

    /// The list at a version, in the order of server numbers.
    pub(crate) fn list_at(&self, version: usize) -> Vec<ListEntry> {
        if version >= self.log.len() {
            return self.list.values().copied().collect();
        }
        let mut list = BTreeMap::new();
        for entry in &self.log[..version] {
            apply(&mut list, *entry);
        }
        list.into_values().collect()
    }

    /// Queues a query that arrives at `now`. During an outage it fails at once.
    pub(crate) fn query(&mut self, now: Micros) -> QueryResult {
        if self.in_outage {
            return QueryResult {
                at: now,
                answered: false,
            };
        }
        let start = self.busy_until.max(now as f64);
        if start - now as f64 > self.max_wait {
            return QueryResult {
                at: now + self.max_wait as Micros,
                answered: false,
            };
        }
        self.busy_until = start + self.service_time;
        QueryResult {
            at: self.busy_until as Micros,
            answered: true,
        }
    }
}

fn apply(list: &mut BTreeMap<u32, ListEntry>, entry: ListEntry) {
    match entry.phase {
        Phase::Gone => list.remove(&entry.server),
        _ => list.insert(entry.server, entry),
    };
}
