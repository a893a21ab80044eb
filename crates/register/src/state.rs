//! What the register holds, and a proposal of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::replicas::Membership;

#[cfg(test)]
mod tests;

/// Changes of which a state remembers the ballot.
pub const MAX_HISTORY: usize = 32;

/// What the register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State<V> {
    /// Raised by one with every decided change of the value or the membership.
    pub sequence: u64,
    /// The replicas that decide about what follows.
    pub members: Membership,
    /// The caller's value.
    pub value: Arc<V>,
    /// Ballots in which the latest changes were proposed first, oldest first; the last belongs to
    /// `sequence`.
    pub history: Vec<Ballot>,
}

impl<V> State<V> {
    /// The state of a register that has never been changed.
    pub fn initial(members: Membership, value: V) -> Self {
        Self {
            sequence: 0,
            members,
            value: Arc::new(value),
            history: Vec::new(),
        }
    }

    /// The state that follows by a change proposed in that ballot.
    pub fn successor(&self, ballot: Ballot, members: Membership, value: Arc<V>) -> Self {
        let excess = (self.history.len() + 1).saturating_sub(MAX_HISTORY);
        let mut history = self.history[excess..].to_vec();
        history.push(ballot);
        Self {
            sequence: self.sequence + 1,
            members,
            value,
            history,
        }
    }

    /// Whether a change, proposed in `ballot` as number `sequence`, is part of this state's
    /// history.
    #[must_use]
    pub fn lookup_change(&self, sequence: u64, ballot: Ballot) -> HistoryLookup {
        let Some(age) = self.sequence.checked_sub(sequence) else {
            return HistoryLookup::Excluded;
        };
        let index = usize::try_from(age)
            .ok()
            .and_then(|age| self.history.len().checked_sub(age + 1));
        match index {
            Some(index) if self.history[index] == ballot => HistoryLookup::Included,
            Some(_) => HistoryLookup::Excluded,
            None => HistoryLookup::Truncated,
        }
    }
}

/// Answer to whether a change is part of a state's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryLookup {
    /// It is.
    Included,
    /// Another change took its place.
    Excluded,
    /// It is longer ago than the state remembers.
    Truncated,
}

/// A state proposed in a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal<V> {
    /// The ballot; at most one state is ever proposed in it.
    pub ballot: Ballot,
    /// The state.
    pub state: Arc<State<V>>,
}
