//! The record of a replica: what it must not forget when it restarts.
//!
//! Guards against a replica that takes back a promise, and a proposer that uses a ballot twice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::replicas::{Membership, ReplicaSet};
use crate::state::{Proposal, State, ballot_of};

/// Identifies a write; the caller reports it once the write is durable.
pub type PersistToken = u64;

/// What a replica keeps on its disk. It is stored by position: the order of the fields is the
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record<V> {
    /// Identity of the replica.
    pub identity: Identity,
    /// No proposal below this ballot is accepted.
    pub promised: Ballot,
    /// The proposal accepted last.
    pub accepted: Option<Proposal<V>>,
    /// The proposer of this node may have used counters up to this one in its ballots.
    pub reserved: u64,
}

impl<V> Record<V> {
    /// The record of a replica that isn't a member yet.
    #[must_use]
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            promised: Ballot::ZERO,
            accepted: None,
            reserved: 0,
        }
    }

    /// The record of an initial member at the first start of the system. All initial members must
    /// pass the same addresses and an equal value.
    pub fn bootstrap(own: SocketAddr, members: &[SocketAddr], value: V) -> Self {
        let members = Membership::single(ReplicaSet::from_seed_addresses(members.iter().copied()));
        let state = State::initial(members, value).into();
        let accepted = Some(Proposal {
            ballot: Ballot::ZERO,
            state,
        });
        Self {
            accepted,
            ..Self::empty(Identity::from_seed_address(own))
        }
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        let accepted = ballot_of(self.accepted.as_ref());
        self.promised.max(accepted) > Ballot::ZERO || self.reserved > 0
    }

    /// Ballot of the accepted proposal, if there is one.
    pub(crate) fn accepted_ballot(&self) -> Option<Ballot> {
        self.accepted.as_ref().map(|proposal| proposal.ballot)
    }
}

/// A record to be made durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write<V> {
    /// Identifies the write.
    pub token: PersistToken,
    /// The whole record.
    pub record: Record<V>,
    /// Whether the accepted proposal differs from the one written last.
    pub accepted_changed: bool,
}
