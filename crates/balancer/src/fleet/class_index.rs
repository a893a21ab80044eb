//! Aggregates over the ejections of servers for single request classes.

use std::collections::BTreeSet;

use super::load::Sum;
use crate::api::{ClassId, ServerId};
use crate::node::{ClassEjection, Node};

/// Which servers are ejected for which class, and the sum of failure rates of each class.
#[derive(Default)]
pub(super) struct ClassIndex {
    /// Servers that are ejected for a class, or on trial for it.
    ejected: BTreeSet<(ClassId, ServerId)>,
    /// The sum of the servers' failure rates for each class.
    failure_rates: Vec<Sum>,
}

impl ClassIndex {
    pub(super) fn new(classes: usize) -> Self {
        ClassIndex {
            ejected: BTreeSet::new(),
            failure_rates: vec![Sum::default(); classes],
        }
    }

    /// Changes a server's ejection for a class, and the aggregates with it.
    pub(super) fn change<R>(
        &mut self,
        node: &mut Node,
        class: ClassId,
        change: impl FnOnce(&mut ClassEjection) -> R,
    ) -> R {
        let id = node.server.id;
        let ejection = node.class_ejections.entry(class).or_default();
        self.failure_rates[class].subtract(ejection.failure_rate);
        let result = change(ejection);
        self.failure_rates[class].add(ejection.failure_rate);
        if ejection.since > 0 {
            self.ejected.insert((class, id));
        } else {
            self.ejected.remove(&(class, id));
        }
        result
    }

    /// Removes a server from the aggregates.
    pub(super) fn remove(&mut self, node: &Node) {
        for (class, ejection) in &node.class_ejections {
            self.failure_rates[*class].subtract(ejection.failure_rate);
            self.ejected.remove(&(*class, node.server.id));
        }
    }

    /// The servers that are ejected for a class, or on trial for it, in order of their ids.
    pub(super) fn ejected_for(&self, class: ClassId) -> impl Iterator<Item = ServerId> {
        let range = (class, ServerId(0))..=(class, ServerId(u64::MAX));
        self.ejected.range(range).map(|(_, id)| *id)
    }

    /// The sum over all servers of the failure rate for a class.
    pub(super) fn failure_rate(&self, class: ClassId) -> Sum {
        self.failure_rates[class]
    }
}
