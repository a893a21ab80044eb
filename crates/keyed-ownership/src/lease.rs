//! Confirmation that an epoch is still the newest one, by a majority of witnesses.
//!
//! A witness keeps the newest epoch it was told and never answers with an older one, across
//! restarts too (one that has lost it must not answer). A view is installed once a majority of the
//! witnesses has it. A confirmation needs a majority that answers with exactly the epoch asked for.
//! Any two majorities share a witness, so a confirmation was asked for before any later view was
//! installed.

use std::collections::BTreeSet;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A majority answered that `epoch` is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmed {
    /// The epoch.
    pub epoch: u64,
    /// When the question was sent, by the clock of the one who asked.
    pub asked: Duration,
}

/// One question to all witnesses.
#[derive(Clone, Debug)]
pub struct Confirmation {
    epoch: u64,
    asked: Duration,
    majority: usize,
    agree: BTreeSet<u32>,
    done: bool,
}

impl Confirmation {
    /// A question sent at `asked` to `witnesses` witnesses.
    #[must_use]
    pub fn new(epoch: u64, asked: Duration, witnesses: usize) -> Self {
        Self {
            epoch,
            asked,
            majority: witnesses / 2 + 1,
            agree: BTreeSet::new(),
            done: false,
        }
    }

    /// A witness answered this question with the newest epoch it knows. Gives the confirmation
    /// once.
    pub fn answer(&mut self, witness: u32, newest: u64) -> Option<Confirmed> {
        if newest == self.epoch {
            self.agree.insert(witness);
        }
        if self.done || self.agree.len() < self.majority {
            return None;
        }
        self.done = true;
        Some(Confirmed {
            epoch: self.epoch,
            asked: self.asked,
        })
    }
}
