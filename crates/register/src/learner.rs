//! What a node knows as chosen, and how long it holds something that it doesn't know as chosen.

use std::time::Duration;

use crate::ballot::Ballot;
use crate::state::{Proposal, State};

#[cfg(test)]
mod tests;

/// The newest chosen proposal known.
#[derive(Clone, Debug)]
pub struct Learner<V> {
    chosen: Option<Proposal<V>>,
    unconfirmed: Option<(Ballot, Duration)>,
}

impl<V> Default for Learner<V> {
    fn default() -> Self {
        Self {
            chosen: None,
            unconfirmed: None,
        }
    }
}

impl<V: Clone> Learner<V> {
    /// The newest proposal known as chosen.
    #[must_use]
    pub fn chosen(&self) -> Option<&Proposal<V>> {
        self.chosen.as_ref()
    }

    /// Ballot of the newest proposal known as chosen.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.chosen
            .as_ref()
            .map_or(Ballot::ZERO, |proposal| proposal.ballot)
    }

    /// Sequence of the newest proposal known as chosen.
    #[must_use]
    pub fn sequence(&self) -> Option<u64> {
        self.chosen.as_ref().map(|proposal| proposal.state.sequence)
    }

    /// Takes in a chosen proposal. Returns its state if it is newer than what was known.
    pub fn learn(&mut self, proposal: &Proposal<V>) -> Option<&State<V>> {
        if self
            .chosen
            .as_ref()
            .is_some_and(|known| known.ballot >= proposal.ballot)
        {
            return None;
        }
        let news = self
            .sequence()
            .is_none_or(|known| known < proposal.state.sequence);
        self.chosen = Some(proposal.clone());
        self.chosen
            .as_ref()
            .filter(|_| news)
            .map(|proposal| &*proposal.state)
    }

    /// Takes in that a ballot is chosen with the state of that sequence. Returns whether its state
    /// is at hand: the one known already, since a sequence has one state.
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

    /// Since when the proposal of that ballot has been held without being known as chosen.
    pub fn unchosen_since(&mut self, now: Duration, accepted: Option<Ballot>) -> Option<Duration> {
        let open = accepted.filter(|&ballot| self.chosen.is_none() || ballot > self.ballot());
        self.unconfirmed = match (open, self.unconfirmed) {
            (Some(ballot), Some((held, since))) if held == ballot => Some((ballot, since)),
            (Some(ballot), _) => Some((ballot, now)),
            (None, _) => None,
        };
        self.unconfirmed.map(|(_, since)| since)
    }
}
