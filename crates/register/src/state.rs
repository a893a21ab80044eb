//! The register's state, with the history of its changes, and proposals of a state.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ballot::Ballot;
use crate::replicas::Membership;

#[cfg(test)]
mod tests;

/// Maximum number of changes whose ballots a state keeps.
pub const MAX_HISTORY: usize = 32;

/// The register's state. It is encoded by position (postcard): the order of the fields is the wire
/// and disk format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State<V> {
    /// Number of changes of the value or the membership since the initial state.
    pub sequence: u64,
    /// The replicas that decide on the next state.
    pub members: Membership,
    /// The value that the caller stores in the register.
    pub value: Arc<V>,
    /// Ballots in which the latest changes were first proposed, oldest first; the last one is that
    /// of the change numbered `sequence`. At most [`MAX_HISTORY`] ballots are kept.
    pub history: Vec<Ballot>,
}

impl<V> State<V> {
    /// Creates the state of a register that has never been changed.
    pub fn initial(members: Membership, value: V) -> Self {
        Self {
            sequence: 0,
            members,
            value: Arc::new(value),
            history: Vec::new(),
        }
    }

    /// Returns the state that results from a change first proposed in this ballot.
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

    /// Looks up whether the change proposed in `ballot` as number `sequence` is part of this
    /// state's history. A proposer whose round failed learns from this whether another proposer
    /// completed its change, so that no change is applied twice.
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

/// Result of the lookup of a change in a state's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryLookup {
    /// The change is part of the history.
    Included,
    /// The change isn't part of the history: another change has its sequence number, or none has
    /// yet.
    Excluded,
    /// Unknown: the change is older than the history that the state keeps.
    Truncated,
}

/// A state proposed in a ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal<V> {
    /// Ballot of the proposal; at most one state is ever proposed in a ballot.
    pub ballot: Ballot,
    /// The proposed state.
    pub state: Arc<State<V>>,
}

/// Returns the newer of two proposals, by ballot.
pub(crate) fn newest<'a, V>(
    first: Option<&'a Proposal<V>>,
    second: Option<&'a Proposal<V>>,
) -> Option<&'a Proposal<V>> {
    first
        .into_iter()
        .chain(second)
        .max_by_key(|proposal| proposal.ballot)
}

/// Returns the ballot of a proposal; [`Ballot::ZERO`] without one.
pub(crate) fn ballot_of<V>(proposal: Option<&Proposal<V>>) -> Ballot {
    proposal.map_or(Ballot::ZERO, |proposal| proposal.ballot)
}
