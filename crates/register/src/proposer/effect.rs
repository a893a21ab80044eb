//! Inputs that the proposer reads from its node, and the effects that the node carries out.

use crate::ballot::Ballot;
use crate::message::Request;
use crate::operation::{OperationId, Outcome, RegisterValue};
use crate::replicas::Replica;
use crate::state::Proposal;

/// State of the node that the proposer reads.
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

/// An effect that the node carries out for the proposer.
pub(crate) enum Effect<V: RegisterValue> {
    /// Sends a request to a replica.
    Send { to: Replica, request: Request<V> },
    /// Reports the outcome of an operation.
    Completed {
        id: OperationId,
        outcome: Outcome<V>,
    },
    /// A quorum read has returned a proposal that is known as chosen.
    ReadChosen(Proposal<V>),
    /// A quorum has accepted this proposer's proposal: it is chosen, and the node tells the others.
    Decided(Proposal<V>),
    /// Durably reserves ballot counters up to this one at least.
    Reserve { counter: u64 },
}

/// Counts of a proposer's rounds since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposerMetrics {
    /// Query rounds started.
    pub queries: u64,
    /// Prepare phases started.
    pub prepares: u64,
    /// Accept phases started.
    pub accepts: u64,
    /// Rounds that failed because of a higher ballot or a change of the replica set.
    pub conflicts: u64,
    /// Rounds abandoned because no quorum replied in time.
    pub timeouts: u64,
}
