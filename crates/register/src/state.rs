//! What the register holds, and a proposal of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::replicas::Membership;

#[cfg(test)]
mod tests;

/// Changes of which a state remembers the ballot.
pub const LINEAGE_LENGTH: usize = 32;

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
    pub lineage: Vec<Ballot>,
}

impl<V> State<V> {
    /// The state of a register that has never been changed.
    pub fn initial(members: Membership, value: V) -> Self {
        Self {
            sequence: 0,
            members,
            value: Arc::new(value),
            lineage: Vec::new(),
        }
    }

    /// The state that follows by a change proposed in that ballot.
    pub fn successor(&self, ballot: Ballot, members: Membership, value: Arc<V>) -> Self {
        let excess = (self.lineage.len() + 1).saturating_sub(LINEAGE_LENGTH);
        let mut lineage = self.lineage[excess..].to_vec();
        lineage.push(ballot);
        Self {
            sequence: self.sequence + 1,
            members,
            value,
            lineage,
        }
    }

    /// Whether a change, proposed in `ballot` as number `sequence`, is part of this state's
    /// history.
    #[must_use]
    pub fn descends_from(&self, sequence: u64, ballot: Ballot) -> Descent {
        let Some(age) = self.sequence.checked_sub(sequence) else {
            return Descent::No;
        };
        let index = usize::try_from(age)
            .ok()
            .and_then(|age| self.lineage.len().checked_sub(age + 1));
        match index {
            Some(index) if self.lineage[index] == ballot => Descent::Yes,
            Some(_) => Descent::No,
            None => Descent::Forgotten,
        }
    }
}

/// Answer to whether a change is part of a state's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Descent {
    /// It is.
    Yes,
    /// Another change took its place.
    No,
    /// It is longer ago than the state remembers.
    Forgotten,
}

/// A state proposed in a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal<V> {
    /// The ballot; at most one state is ever proposed in it.
    pub ballot: Ballot,
    /// The state.
    pub state: Arc<State<V>>,
}
