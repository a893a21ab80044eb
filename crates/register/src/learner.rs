//! The learner: what a node knows as chosen, and since when it has had an accepted proposal that it
//! doesn't know as chosen.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::state::{Proposal, State, ballot_of};

#[cfg(test)]
mod tests;

/// The newest proposal that the node knows as chosen.
#[derive(Clone, Debug)]
pub struct Learner<V> {
    chosen: Option<Proposal<V>>,
    unchosen: Option<Unchosen>,
}

/// An accepted proposal that isn't known as chosen.
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

    /// Ballot of the newest proposal known as chosen; zero without one.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        ballot_of(self.chosen())
    }

    /// Sequence number of the newest proposal known as chosen.
    #[must_use]
    pub fn sequence(&self) -> Option<u64> {
        self.chosen.as_ref().map(|proposal| proposal.state.sequence)
    }

    /// Learns that a proposal is chosen. Returns its state if that is newer than what was known.
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

    /// Learns that the state of that sequence number is chosen in a ballot. Returns whether this
    /// node has that state: it does if it knows the sequence number, since only one state is ever
    /// chosen for it.
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

    /// Since when the proposal accepted in that ballot hasn't been known as chosen; nothing if it
    /// is. The time counts from the first call with the ballot.
    pub fn unchosen_since(&mut self, now: Duration, accepted: Option<Ballot>) -> Option<Duration> {
        let ballot = accepted.filter(|&ballot| self.chosen.is_none() || ballot > self.ballot());
        self.unchosen = ballot.map(|ballot| match self.unchosen {
            Some(unchosen) if unchosen.ballot == ballot => unchosen,
            _ => Unchosen { ballot, since: now },
        });
        self.unchosen.map(|unchosen| unchosen.since)
    }
}
