//! Confirmation by a majority of acceptors that an epoch is still the newest one.
//!
//! An acceptor stores the newest epoch it accepted and never answers with an older one, across
//! restarts too (one that has lost it must not answer). A view is installed once a majority of the
//! acceptors has it. A confirmation needs a majority that answers with exactly the epoch in
//! question. Any two majorities share an acceptor, so a confirmation was requested before any later
//! view was installed.

use std::collections::BTreeSet;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A majority answered that `epoch` is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedEpoch {
    /// The epoch.
    pub epoch: u64,
    /// When the confirmation was requested, by the clock of the process that requested it.
    pub requested_at: Duration,
}

/// One request for confirmation to all acceptors, and their answers.
#[derive(Clone, Debug)]
pub struct EpochConfirmation {
    epoch: u64,
    requested_at: Duration,
    majority: usize,
    /// The acceptors that answered with the epoch.
    agreeing: BTreeSet<u32>,
    complete: bool,
}

impl EpochConfirmation {
    /// A request sent to all `acceptors` acceptors at `requested_at`, by the clock of the process
    /// that sends it. More than half of them must agree.
    #[must_use]
    pub fn new(epoch: u64, requested_at: Duration, acceptors: usize) -> Self {
        Self {
            epoch,
            requested_at,
            majority: acceptors / 2 + 1,
            agreeing: BTreeSet::new(),
            complete: false,
        }
    }

    /// Counts the answer of an acceptor, which is the newest epoch that it knows. Returns the
    /// confirmation once, when a majority has agreed.
    pub fn answer(&mut self, acceptor: u32, newest: u64) -> Option<ConfirmedEpoch> {
        if newest == self.epoch {
            self.agreeing.insert(acceptor);
        }
        if self.complete || self.agreeing.len() < self.majority {
            return None;
        }
        self.complete = true;
        Some(ConfirmedEpoch {
            epoch: self.epoch,
            requested_at: self.requested_at,
        })
    }
}
