//! The state that the tasks of an agent share.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_schema::control::Entry;
use ironmast_schema::settings::Settings;
use tokio::sync::Notify;

use crate::entry_table::EntryTable;
use crate::gate_reporter::GateReporter;

/// Shared ownership of the state by the tasks of the agent, which all run on one thread.
pub(crate) type SharedState = Rc<RefCell<AgentState>>;

/// The entries, the gate's status and the known coordinators.
pub(crate) struct AgentState {
    pub(crate) entries: EntryTable,
    pub(crate) gate_reporter: GateReporter,
    /// Number of connected gates: one, or for a moment two while a gate is replaced.
    pub(crate) connected_gates: usize,
    /// Notified when a gate disconnects.
    pub(crate) gate_disconnected: Rc<Notify>,
    /// Addresses of all coordinators that have become known; none is removed.
    coordinators: BTreeSet<SocketAddr>,
}

impl AgentState {
    /// The state at startup: no entries, no gate and no coordinators.
    pub(crate) fn new(settings: &Settings) -> Self {
        AgentState {
            entries: EntryTable::default(),
            gate_reporter: GateReporter::new(settings),
            connected_gates: 0,
            gate_disconnected: Rc::default(),
            coordinators: BTreeSet::new(),
        }
    }

    /// Merges entries of the control plane. The versions of the gate's own status continue above any
    /// that they contain.
    pub(crate) fn merge(&mut self, entries: Vec<Entry>) {
        for update in self.entries.merge(entries) {
            self.gate_reporter.advance_past(&update);
        }
    }

    /// Adds addresses of coordinators to the known ones.
    pub(crate) fn add_coordinators(&mut self, coordinators: &[SocketAddr]) {
        self.coordinators.extend(coordinators);
    }

    /// The addresses of all known coordinators.
    pub(crate) fn coordinators(&self) -> &BTreeSet<SocketAddr> {
        &self.coordinators
    }
}

#[cfg(test)]
mod tests;
