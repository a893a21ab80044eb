//! Discovery: the endpoint list, its changes in the order in which they became visible, and the
//! queries that it answers one after another.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Phase};

use crate::scenario::{DiscoverySpec, seconds};

/// A server as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    /// The server's number.
    pub server: u32,
    /// Its phase.
    pub phase: Phase,
    /// When its process started; 0 if that was long ago.
    pub started: Micros,
    /// Since when the list says so.
    pub since: Micros,
}

/// The answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueryResult {
    /// When it is answered, or fails.
    pub at: Micros,
    /// Whether it is answered.
    pub answered: bool,
}

/// The list and the queue of queries.
pub(crate) struct Discovery {
    /// All changes so far; their number is the version of the list.
    log: Vec<ListEntry>,
    list: BTreeMap<u32, ListEntry>,
    /// The time that it takes to answer a query, in microseconds.
    service_time: f64,
    /// The longest time that a query is queued, in microseconds.
    max_wait: f64,
    /// When the queries so far are answered.
    busy_until: f64,
    /// It answers no query.
    pub is_out: bool,
}

impl Discovery {
    /// Discovery with an empty list.
    pub(crate) fn new(spec: &DiscoverySpec) -> Self {
        Discovery {
            log: Vec::new(),
            list: BTreeMap::new(),
            service_time: 1e6 / spec.queries_per_s,
            max_wait: seconds(spec.max_wait_s) as f64,
            busy_until: 0.0,
            is_out: false,
        }
    }

    /// Makes a change visible.
    pub(crate) fn publish(&mut self, entry: ListEntry) {
        self.log.push(entry);
        apply(&mut self.list, entry);
    }

    /// The version of the list: the number of changes so far.
    pub(crate) fn version(&self) -> usize {
        self.log.len()
    }

    /// The changes after a version.
    pub(crate) fn changes_since(&self, version: usize) -> &[ListEntry] {
        &self.log[version.min(self.log.len())..]
    }

    /// The list at a version.
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

    /// Queues a query that arrives now.
    pub(crate) fn query(&mut self, now: Micros) -> QueryResult {
        if self.is_out {
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
