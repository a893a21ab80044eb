//! Confirmation by a majority of acceptors that an epoch is still the newest one.
//!
//! An acceptor stores the newest epoch that it has accepted and never answers with an older one,
//! not even after a restart; an acceptor that has lost its state must not answer. A view is
//! installed once a majority of the acceptors has accepted it. A confirmation needs a majority that
//! answers with exactly the epoch in question. Any two majorities share an acceptor, so every
//! completed confirmation was requested before any later view was installed.

use std::collections::BTreeSet;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The confirmation by a majority of the acceptors that `epoch` is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedEpoch {
    /// The confirmed epoch.
    pub epoch: u64,
    /// When the confirmation was requested, by the clock of the process that requested it.
    pub requested_at: Duration,
}

/// One confirmation request to all acceptors, which counts their answers.
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
    /// A confirmation of `epoch`, requested at `requested_at` by the clock of the requesting
    /// process. `acceptors` is the number of all acceptors, of which more than half must agree.
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

    /// Counts the answer of an acceptor, whose newest epoch is `newest`. Returns the confirmation
    /// once, when a majority has agreed.
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
