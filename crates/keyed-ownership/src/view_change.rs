//! Installation of views at a quorum of acceptors, without a leader.
//!
//! Any coordinator may propose a view. Its epoch contains the coordinator's number and is never
//! used twice, so no two views share one. An [`Acceptor`] accepts a view whose epoch is above its
//! own and, if the view names the one that it follows, only directly after that one. A view is
//! installed, and may be sent to gates, once a majority of the acceptors has accepted it this way;
//! then no other view lies between it and the one that it follows. The other acceptors are brought
//! up to date regardless.
//!
//! Any two majorities share an acceptor, as in Paxos (Lamport, 1998), and acceptors promise nothing
//! ahead of a proposal: a rejected proposer determines the members anew and proposes under a higher
//! epoch. Which view wins does not matter for safety, only that each epoch names one view.
//!
//! An acceptor must have its newest view on disk before it answers, or stay silent for good after
//! it has lost it.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::view::{GateId, View};

#[cfg(test)]
mod tests;

/// The low bits of an epoch, which hold the number of the coordinator that proposed it.
const PROPOSER_BITS: u32 = 8;

/// A new epoch of this proposer, above `highest`.
fn next_epoch(highest: u64, proposer: u8) -> u64 {
    ((highest >> PROPOSER_BITS) + 1) << PROPOSER_BITS | u64::from(proposer)
}

/// An acceptor's answer to a proposed view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalReply {
    /// It is the acceptor's newest view now, or was already.
    Accepted,
    /// The acceptor's newest view is not the one that the proposed view follows, or is a later one.
    Rejected {
        /// The epoch of its newest view; 0 if it has none.
        newest: u64,
    },
}

/// The acceptor beside each coordinator.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    newest: Option<Arc<View>>,
}

impl Acceptor {
    /// An acceptor that restarts with the view that it had on disk.
    #[must_use]
    pub fn restore(newest: Option<Arc<View>>) -> Self {
        Self { newest }
    }

    /// The newest view, to be written to disk after each change and sent to those who ask.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<View>> {
        self.newest.as_ref()
    }

    /// The epoch of the newest view; 0 without one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.newest.as_ref().map_or(0, |view| view.epoch)
    }

    /// Accepts a proposed view if it may follow the newest one.
    pub fn handle_proposal(&mut self, view: Arc<View>) -> ProposalReply {
        let newest = self.epoch();
        if view.epoch == newest {
            return ProposalReply::Accepted;
        }
        let follows_newest = view.follows.is_none_or(|follows| follows == newest);
        if view.epoch < newest || !follows_newest {
            return ProposalReply::Rejected { newest };
        }
        self.newest = Some(view);
        ProposalReply::Accepted
    }

    /// Stores a view that a majority of the acceptors accepted, unless it has a later one.
    pub fn catch_up(&mut self, view: Arc<View>) {
        if view.epoch > self.epoch() {
            self.newest = Some(view);
        }
    }
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority accepted it: it may be sent to gates and to the other acceptors.
    Installed(Arc<View>),
    /// No majority can accept it any more: the members must be determined and proposed anew.
    Rejected,
}

/// The answers to one proposal.
#[derive(Clone, Debug)]
struct OpenProposal {
    view: Arc<View>,
    accepted: BTreeSet<u32>,
    rejected: BTreeSet<u32>,
}

/// A coordinator's side of installing views.
///
/// A proposal goes to the acceptor beside the coordinator first, and to the others only once that
/// one has accepted it and has it on disk. A coordinator that restarts therefore finds there
/// whatever epoch it may have used.
#[derive(Clone, Debug)]
pub struct Proposer {
    number: u8,
    acceptors: usize,
    /// The highest epoch that was seen or used.
    highest: u64,
    installed: Option<Arc<View>>,
    open: Option<OpenProposal>,
}

impl Proposer {
    /// Coordinator `number` of a group with `acceptors` acceptors; `highest` is the epoch of the
    /// acceptor beside it.
    #[must_use]
    pub fn new(number: u8, acceptors: usize, highest: u64) -> Self {
        Self {
            number,
            acceptors,
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

    /// Learns a view that another coordinator installed.
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

    /// Proposes a view of `gates` under a new epoch; an earlier proposal is abandoned.
    ///
    /// The view names the one that it follows unless another is known to have been proposed since.
    pub fn propose(&mut self, gates: Vec<GateId>) -> Arc<View> {
        let installed = self.installed.as_ref().map_or(0, |view| view.epoch);
        let follows = (installed == self.highest).then_some(installed);
        self.highest = next_epoch(self.highest, self.number);
        let view = Arc::new(View {
            epoch: self.highest,
            follows,
            gates,
        });
        self.open = Some(OpenProposal {
            view: view.clone(),
            accepted: BTreeSet::new(),
            rejected: BTreeSet::new(),
        });
        view
    }

    /// Counts an acceptor's answer to the proposal of `epoch`. Returns the outcome of the last
    /// proposal, once.
    pub fn answer(
        &mut self,
        epoch: u64,
        acceptor: u32,
        reply: ProposalReply,
    ) -> Option<ProposalOutcome> {
        if let ProposalReply::Rejected { newest } = reply {
            self.highest = self.highest.max(newest);
        }
        let proposal = self
            .open
            .as_mut()
            .filter(|proposal| proposal.view.epoch == epoch)?;
        match reply {
            ProposalReply::Accepted => proposal.accepted.insert(acceptor),
            ProposalReply::Rejected { .. } => proposal.rejected.insert(acceptor),
        };
        let majority = self.acceptors / 2 + 1;
        if proposal.accepted.len() >= majority {
            let view = proposal.view.clone();
            self.open = None;
            self.learn(view.clone());
            return Some(ProposalOutcome::Installed(view));
        }
        if self.acceptors - proposal.rejected.len() < majority {
            self.open = None;
            return Some(ProposalOutcome::Rejected);
        }
        None
    }
}
