//! Installs views by a majority of acceptors, without a leader.
//!
//! Any coordinator may propose a view. Its epoch contains the coordinator's number and is never
//! used twice, so no two views share an epoch. An [`Acceptor`] accepts a view if its epoch is
//! higher than that of the acceptor's newest view. If the proposed view names a predecessor, the
//! newest view must also be that predecessor. Once a majority of the acceptors has accepted a view,
//! it is installed and may be sent to gates; no other view was then installed between it and its
//! predecessor. The remaining acceptors store an installed view without these checks.
//!
//! Any two majorities share an acceptor, as in Paxos (Lamport, 1998). There is no prepare phase: a
//! rejected proposer determines the members again and proposes under a higher epoch. Which view
//! wins does not matter for safety, only that each epoch identifies one view.
//!
//! An acceptor must have its newest view on disk before it answers. One that has lost its view must
//! never answer again.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::view::{GateId, View};

#[cfg(test)]
mod tests;

/// The low bits of an epoch, which hold the number of the coordinator that proposed it.
const PROPOSER_BITS: u32 = 8;

/// The next epoch of `proposer` that is higher than `highest`.
fn next_epoch(highest: u64, proposer: u8) -> u64 {
    ((highest >> PROPOSER_BITS) + 1) << PROPOSER_BITS | u64::from(proposer)
}

/// An acceptor's answer to a proposed view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalReply {
    /// The proposed view is the acceptor's newest view now, or already was.
    Accepted,
    /// The acceptor's newest view has a higher epoch than the proposed view, or is not its
    /// predecessor.
    Rejected {
        /// The epoch of the acceptor's newest view; 0 if it has none.
        newest: u64,
    },
}

/// The acceptor of a coordinator, which stores the newest view that it has accepted.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    newest: Option<Arc<View>>,
}

impl Acceptor {
    /// Restores an acceptor after a restart from the view that it had on disk.
    #[must_use]
    pub fn restore(newest: Option<Arc<View>>) -> Self {
        Self { newest }
    }

    /// The newest view. The caller writes it to disk after each change and sends it on request.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<View>> {
        self.newest.as_ref()
    }

    /// The epoch of the newest view; 0 without one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.newest.as_ref().map_or(0, |view| view.epoch)
    }

    /// Accepts a proposed view if its epoch is higher than that of the newest view and its
    /// predecessor, if it names one, is the newest view. A repeated proposal is accepted again.
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

    /// Stores a view that a majority of the acceptors has accepted, unless the newest view is
    /// later.
    pub fn catch_up(&mut self, view: Arc<View>) {
        if view.epoch > self.epoch() {
            self.newest = Some(view);
        }
    }
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority accepted the view, which may now be sent to gates and to the other acceptors.
    Installed(Arc<View>),
    /// No majority can accept the view any more; the proposer must determine the members again and
    /// make a new proposal.
    Rejected,
}

/// The answers to one proposal.
#[derive(Clone, Debug)]
struct OpenProposal {
    view: Arc<View>,
    accepted: BTreeSet<u32>,
    rejected: BTreeSet<u32>,
}

/// The coordinator's side of a view change.
///
/// A proposal is sent first to the coordinator's own acceptor, and to the others only once that
/// acceptor has accepted it and has it on disk. A restarted coordinator therefore finds the highest
/// epoch that it may have used at its own acceptor.
#[derive(Clone, Debug)]
pub struct Proposer {
    number: u8,
    acceptors: usize,
    /// The highest epoch that this proposer has seen or used.
    highest: u64,
    installed: Option<Arc<View>>,
    open: Option<OpenProposal>,
}

impl Proposer {
    /// The proposer of coordinator `number` in a group with `acceptors` acceptors. `highest` is the
    /// newest epoch of its own acceptor.
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

    /// Records a view that was installed, by this coordinator or another one.
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

    /// Proposes a view of `gates` under a new epoch and abandons an earlier proposal.
    ///
    /// The view names the installed view as its predecessor, unless a later one is known to have
    /// been proposed.
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

    /// Counts an acceptor's answer to the proposal of `epoch`. Returns the outcome of the open
    /// proposal once it is decided; answers to other proposals are ignored.
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
