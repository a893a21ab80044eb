//! The durable record of a replica.
//!
//! A restarted replica continues from its record. This prevents the acceptor from revoking a
//! promise, and the proposer from using a ballot twice.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::replicas::{Membership, ReplicaSet};
use crate::state::{Proposal, State, ballot_of};

/// Identifies a write. The caller passes it back in [`Event::Persisted`](crate::Event::Persisted)
/// once the write is durable.
pub type PersistToken = u64;

/// The state that a replica stores on its disk. The encoding (postcard) is positional: the order of
/// the fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record<V> {
    /// Identity of the replica to which the record belongs.
    pub identity: Identity,
    /// Highest ballot promised; no proposal below it is accepted.
    pub promised: Ballot,
    /// The last accepted proposal; an initial member starts with that of the initial state.
    pub accepted: Option<Proposal<V>>,
    /// Highest ballot counter reserved; the node's proposer may have used any counter up to it.
    pub reserved: u64,
}

impl<V> Record<V> {
    /// Creates the record of a replica that isn't a member yet.
    #[must_use]
    pub fn empty(identity: Identity) -> Self {
        Self {
            identity,
            promised: Ballot::ZERO,
            accepted: None,
            reserved: 0,
        }
    }

    /// Creates the record of an initial member at the first start of the system. All initial
    /// members must pass the same addresses and equal values.
    pub fn bootstrap(own_address: SocketAddr, members: &[SocketAddr], value: V) -> Self {
        let members = Membership::single(ReplicaSet::from_seed_addresses(members.iter().copied()));
        let state = State::initial(members, value).into();
        let accepted = Some(Proposal {
            ballot: Ballot::ZERO,
            state,
        });
        Self {
            accepted,
            ..Self::empty(Identity::from_seed_address(own_address))
        }
    }

    /// Whether the replica has promised, accepted or proposed anything beyond the initial state.
    #[must_use]
    pub fn has_participated(&self) -> bool {
        let accepted = ballot_of(self.accepted.as_ref());
        self.promised.max(accepted) > Ballot::ZERO || self.reserved > 0
    }

    /// Ballot of the last accepted proposal, if there is one.
    pub(crate) fn accepted_ballot(&self) -> Option<Ballot> {
        self.accepted.as_ref().map(|proposal| proposal.ballot)
    }
}

/// A record to be made durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write<V> {
    /// Token to report once the write is durable.
    pub token: PersistToken,
    /// The whole record, which replaces the one before.
    pub record: Record<V>,
    /// Whether the accepted proposal differs from the one written last.
    pub accepted_changed: bool,
}
