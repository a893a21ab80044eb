//! Views and the witnesses that confirm them, without a leader.
//!
//! Any coordinator may propose a view. Its epoch holds the coordinator's number and is never used
//! twice, so no two views share one. A witness takes a view whose epoch is above its own and, if
//! the view names the one it follows, only directly after that one. A view is installed, and may be
//! told to gates, once a majority of the witnesses took it this way; then no other view lies
//! between it and the one it follows. The other witnesses are brought up to it regardless.
//!
//! A witness must have its newest view on disk before it answers, or stay silent for good after it
//! lost it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::view::{GateId, View};

#[cfg(test)]
mod tests;

/// Bits of an epoch that hold the number of the coordinator that proposed it.
const PROPOSER_BITS: u32 = 8;

fn next_epoch(highest: u64, proposer: u8) -> u64 {
    ((highest >> PROPOSER_BITS) + 1) << PROPOSER_BITS | u64::from(proposer)
}

/// A witness's answer to a proposed view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Installed {
    /// It is the witness's newest view now, or was already.
    Taken,
    /// The witness has another newest view than the proposed one follows, or a later one.
    Refused {
        /// The epoch of its newest view; 0 if it has none.
        newest: u64,
    },
}

/// A witness, beside each coordinator.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    newest: Option<Arc<View>>,
}

impl Witness {
    /// A witness that comes back with what it had on disk.
    #[must_use]
    pub fn restore(newest: Option<Arc<View>>) -> Self {
        Self { newest }
    }

    /// The newest view, to be written to disk after each change and to be told to those who ask.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<View>> {
        self.newest.as_ref()
    }

    /// The epoch of the newest view; 0 without one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.newest.as_ref().map_or(0, |view| view.epoch)
    }

    /// Takes a proposed view, if it may follow the newest one.
    pub fn propose(&mut self, view: Arc<View>) -> Installed {
        let newest = self.epoch();
        if view.epoch == newest {
            return Installed::Taken;
        }
        let follows = view.follows.is_none_or(|follows| follows == newest);
        if view.epoch < newest || !follows {
            return Installed::Refused { newest };
        }
        self.newest = Some(view);
        Installed::Taken
    }

    /// Takes a view that a majority of the witnesses took, unless it has a later one.
    pub fn catch_up(&mut self, view: Arc<View>) {
        if view.epoch > self.epoch() {
            self.newest = Some(view);
        }
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A majority took it: gates may be told, and the other witnesses caught up.
    Installed(Arc<View>),
    /// No majority can take it any more; the members must be counted and proposed anew.
    Refused,
}

/// The answers to one proposal.
#[derive(Clone, Debug)]
struct Tally {
    view: Arc<View>,
    taken: BTreeSet<u32>,
    refused: BTreeSet<u32>,
}

/// A coordinator's side of installing views.
///
/// A proposal goes to the witness beside the coordinator first, and to the others only once that
/// one has taken it and has it on disk. So a coordinator that starts anew finds there whatever
/// epoch it may have used.
#[derive(Clone, Debug)]
pub struct Proposer {
    number: u8,
    witnesses: usize,
    /// The highest epoch that was seen or used.
    highest: u64,
    installed: Option<Arc<View>>,
    open: Option<Tally>,
}

impl Proposer {
    /// Coordinator `number` of a group with `witnesses` witnesses; `highest` is the epoch of the
    /// witness beside it.
    #[must_use]
    pub fn new(number: u8, witnesses: usize, highest: u64) -> Self {
        Self {
            number,
            witnesses,
            highest,
            installed: None,
            open: None,
        }
    }

    /// The newest view that is known to be installed.
    #[must_use]
    pub fn installed(&self) -> Option<&Arc<View>> {
        self.installed.as_ref()
    }

    /// Another coordinator installed a view.
    pub fn learn(&mut self, view: Arc<View>) {
        self.highest = self.highest.max(view.epoch);
        if self
            .installed
            .as_ref()
            .is_none_or(|known| known.epoch < view.epoch)
        {
            self.installed = Some(view);
        }
    }

    /// Proposes a view of `gates`, under an epoch of its own; an earlier proposal is given up.
    ///
    /// It names the view that it follows unless it is known that another was proposed since.
    pub fn propose(&mut self, gates: Vec<GateId>) -> Arc<View> {
        let installed = self.installed.as_ref().map_or(0, |view| view.epoch);
        let follows = (installed == self.highest).then_some(installed);
        self.highest = next_epoch(self.highest, self.number);
        let view = Arc::new(View {
            epoch: self.highest,
            follows,
            gates,
        });
        let tally = Tally {
            view: view.clone(),
            taken: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        self.open = Some(tally);
        view
    }

    /// A witness answered the proposal of `epoch`. Gives the outcome of the last proposal, once.
    pub fn answer(&mut self, epoch: u64, witness: u32, installed: Installed) -> Option<Outcome> {
        if let Installed::Refused { newest } = installed {
            self.highest = self.highest.max(newest);
        }
        let tally = self
            .open
            .as_mut()
            .filter(|tally| tally.view.epoch == epoch)?;
        match installed {
            Installed::Taken => tally.taken.insert(witness),
            Installed::Refused { .. } => tally.refused.insert(witness),
        };
        let majority = self.witnesses / 2 + 1;
        if tally.taken.len() >= majority {
            let view = tally.view.clone();
            self.open = None;
            self.learn(view.clone());
            return Some(Outcome::Installed(view));
        }
        if self.witnesses - tally.refused.len() < majority {
            self.open = None;
            return Some(Outcome::Refused);
        }
        None
    }
}
