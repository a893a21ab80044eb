//! Discovery: what it lists, the changes in the order in which they became visible, and the calls
//! it answers one after another.

use std::collections::BTreeMap;

use ironmast_balancer::{Micros, Phase};

use crate::scenario::{DiscoverySpec, seconds};

/// A server as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    /// The server's number.
    pub server: u32,
    /// Its place in its life.
    pub phase: Phase,
    /// When its process started; 0: long ago.
    pub started: Micros,
    /// Since when the list says so.
    pub since: Micros,
}

/// The list and the calls.
pub(crate) struct Discovery {
    log: Vec<Listed>,
    listed: BTreeMap<u32, Listed>,
    per_call: f64,
    most_wait: f64,
    free_at: f64,
    /// It answers nobody.
    pub out: bool,
}

impl Discovery {
    /// An empty list.
    pub(crate) fn new(spec: &DiscoverySpec) -> Self {
        Discovery {
            log: Vec::new(),
            listed: BTreeMap::new(),
            per_call: 1e6 / spec.calls_per_s,
            most_wait: seconds(spec.most_wait_s) as f64,
            free_at: 0.0,
            out: false,
        }
    }

    /// A change became visible.
    pub(crate) fn list(&mut self, entry: Listed) {
        self.log.push(entry);
        match entry.phase {
            Phase::Gone => drop(self.listed.remove(&entry.server)),
            _ => drop(self.listed.insert(entry.server, entry)),
        }
    }

    /// Number of changes so far.
    pub(crate) fn version(&self) -> usize {
        self.log.len()
    }

    /// The changes after a version.
    pub(crate) fn since(&self, version: usize) -> &[Listed] {
        &self.log[version.min(self.log.len())..]
    }

    /// What the list said at a version.
    pub(crate) fn at(&self, version: usize) -> Vec<Listed> {
        if version >= self.log.len() {
            return self.listed.values().copied().collect();
        }
        let mut list = BTreeMap::new();
        for entry in &self.log[..version] {
            match entry.phase {
                Phase::Gone => drop(list.remove(&entry.server)),
                _ => drop(list.insert(entry.server, *entry)),
            }
        }
        list.into_values().collect()
    }

    /// A call: when it is answered, and whether it is.
    pub(crate) fn call(&mut self, now: Micros) -> (Micros, bool) {
        if self.out {
            return (now, false);
        }
        let start = self.free_at.max(now as f64);
        if start - now as f64 > self.most_wait {
            return (now + self.most_wait as Micros, false);
        }
        self.free_at = start + self.per_call;
        (self.free_at as Micros, true)
    }
}
