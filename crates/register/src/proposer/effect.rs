//! What the proposer needs from its node and the effects that it returns.

use crate::ballot::Ballot;
use crate::message::Request;
use crate::operation::{OperationId, Outcome, RegisterValue};
use crate::replicas::Replica;
use crate::state::Proposal;

/// What the proposer needs to know of its node.
pub(crate) struct Context<'a, V> {
    /// Newest proposal known as chosen.
    pub(crate) chosen: Option<&'a Proposal<V>>,
    /// The proposal accepted by the node's own acceptor.
    pub(crate) accepted: Option<&'a Proposal<V>>,
    /// Highest counter that may be used in a ballot.
    pub(crate) reserved_counter: u64,
    /// Highest ballot promised by the node's own acceptor.
    pub(crate) promised: Ballot,
}

/// What the proposer wants done.
pub(crate) enum Effect<V: RegisterValue> {
    /// Send a request to a replica.
    Send { to: Replica, request: Request<V> },
    /// An operation has ended.
    Completed {
        id: OperationId,
        outcome: Outcome<V>,
    },
    /// A quorum has reported a proposal that is chosen.
    ReadChosen(Proposal<V>),
    /// A quorum has accepted the proposal of this proposer: it is chosen, and others are to know.
    Decided(Proposal<V>),
    /// Reserve ballot counters up to this one and further.
    Reserve { counter: u64 },
}

/// Counts of what a proposer has done since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposerMetrics {
    /// Rounds of queries begun.
    pub queries: u64,
    /// Prepare phases begun.
    pub prepares: u64,
    /// Accept phases begun.
    pub accepts: u64,
    /// Rounds lost to a higher ballot or a change of the replica set.
    pub conflicts: u64,
    /// Rounds abandoned because no quorum replied in time.
    pub timeouts: u64,
}
