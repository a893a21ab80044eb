//! The learner: the newest proposal that a node knows as chosen, and for how long the proposal
//! accepted by its own replica has not been known as chosen.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::state::{Proposal, State, ballot_of};

#[cfg(test)]
mod tests;

/// The learner of one node. Its chosen ballot never decreases.
#[derive(Clone, Debug)]
pub struct Learner<V> {
    chosen: Option<Proposal<V>>,
    unchosen: Option<Unchosen>,
}

/// An accepted proposal that isn't known as chosen, with the time at which that was first noticed.
#[derive(Clone, Copy, Debug)]
struct Unchosen {
    ballot: Ballot,
    since: Duration,
}

impl<V> Default for Learner<V> {
    fn default() -> Self {
        Self {
            chosen: None,
            unchosen: None,
        }
    }
}

impl<V: Clone> Learner<V> {
    /// The newest proposal known as chosen.
    #[must_use]
    pub fn chosen(&self) -> Option<&Proposal<V>> {
        self.chosen.as_ref()
    }

    /// Ballot of the newest proposal known as chosen, or [`Ballot::ZERO`] if none is.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        ballot_of(self.chosen())
    }

    /// Sequence number of the newest state known as chosen.
    #[must_use]
    pub fn sequence(&self) -> Option<u64> {
        self.chosen.as_ref().map(|proposal| proposal.state.sequence)
    }

    /// Learns that a proposal is chosen. Returns its state if no state of that sequence number or a
    /// higher one was known as chosen.
    pub fn learn(&mut self, proposal: &Proposal<V>) -> Option<&State<V>> {
        let is_outdated = self
            .chosen
            .as_ref()
            .is_some_and(|known| known.ballot >= proposal.ballot);
        if is_outdated {
            return None;
        }
        let is_new_state = self
            .sequence()
            .is_none_or(|known| known < proposal.state.sequence);
        self.chosen = Some(proposal.clone());
        self.chosen
            .as_ref()
            .filter(|_| is_new_state)
            .map(|proposal| &*proposal.state)
    }

    /// Learns that the state with the sequence number `sequence` is chosen in `ballot`. Returns
    /// whether the node has that state or a newer one. A known sequence number suffices, since only
    /// one state is ever chosen for each.
    pub fn learn_ballot(&mut self, ballot: Ballot, sequence: u64) -> bool {
        match &mut self.chosen {
            Some(known) if known.ballot >= ballot => true,
            Some(known) if known.state.sequence == sequence => {
                known.ballot = ballot;
                true
            }
            _ => false,
        }
    }

    /// The time since which the proposal accepted in the ballot has not been known as chosen: that
    /// of the first call with this ballot. `None` if the proposal is known as chosen or none is
    /// accepted.
    pub fn unchosen_since(&mut self, now: Duration, accepted: Option<Ballot>) -> Option<Duration> {
        let ballot = accepted.filter(|&ballot| self.chosen.is_none() || ballot > self.ballot());
        self.unchosen = ballot.map(|ballot| match self.unchosen {
            Some(unchosen) if unchosen.ballot == ballot => unchosen,
            _ => Unchosen { ballot, since: now },
        });
        self.unchosen.map(|unchosen| unchosen.since)
    }
}
