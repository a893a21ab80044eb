//! The register's state, and a proposal of it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::replicas::Membership;

#[cfg(test)]
mod tests;

/// Number of changes of which a state keeps the ballot.
pub const MAX_HISTORY: usize = 32;

/// The register's state. It is stored and sent by position: the order of the fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State<V> {
    /// Raised by one with every decided change of the value or the membership.
    pub sequence: u64,
    /// The replicas that decide on the next state.
    pub members: Membership,
    /// The caller's value.
    pub value: Arc<V>,
    /// Ballots in which the latest changes were first proposed, oldest first; the last one belongs
    /// to `sequence`. At most [`MAX_HISTORY`] are kept.
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

    /// The state that results from a change proposed in that ballot.
    #[must_use]
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
    /// history. A proposer that lost a round learns by this whether its change was decided by
    /// another proposer, so that a change is never applied twice.
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

/// Whether a change is part of a state's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryLookup {
    /// It is.
    Included,
    /// It is not: another change has its sequence number, or none has yet.
    Excluded,
    /// It is older than the history that the state keeps.
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

/// The newer one of two proposals that a node knows, by ballot.
pub(crate) fn newest<'a, V>(
    first: Option<&'a Proposal<V>>,
    second: Option<&'a Proposal<V>>,
) -> Option<&'a Proposal<V>> {
    first
        .into_iter()
        .chain(second)
        .max_by_key(|proposal| proposal.ballot)
}

/// The ballot of a proposal; [`Ballot::ZERO`] without one.
pub(crate) fn ballot_of<V>(proposal: Option<&Proposal<V>>) -> Ballot {
    proposal.map_or(Ballot::ZERO, |proposal| proposal.ballot)
}
