//! What the proposer is told by its node and what it wants done.

use crate::ballot::Ballot;
use crate::message::Request;
use crate::operation::{OperationId, Outcome};
use crate::replicas::Replica;
use crate::state::Proposal;

/// What the proposer needs to know of its node.
pub(crate) struct Context<'a, V> {
    /// Newest proposal known as chosen.
    pub(crate) chosen: Option<&'a Proposal<V>>,
    /// What the node's own acceptor holds.
    pub(crate) accepted: Option<&'a Proposal<V>>,
    /// Highest counter that may be used in a ballot.
    pub(crate) reserved: u64,
    /// Highest ballot promised by the node's own acceptor.
    pub(crate) promised: Ballot,
}

/// What the proposer wants done.
pub(crate) enum Effect<V> {
    Send {
        to: Replica,
        request: Request<V>,
    },
    Done {
        id: OperationId,
        outcome: Outcome<V>,
    },
    Chosen {
        proposal: Proposal<V>,
        announce: bool,
    },
    Reserve {
        counter: u64,
    },
}

/// Counts of what a proposer has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProposerMetrics {
    /// Rounds of reports.
    pub queries: u64,
    /// Rounds of promises.
    pub prepares: u64,
    /// Rounds of acceptances.
    pub accepts: u64,
    /// Rounds lost to a higher ballot.
    pub conflicts: u64,
    /// Rounds given up for want of answers.
    pub timeouts: u64,
}
