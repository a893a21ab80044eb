//! Messages between nodes. Any message may be lost, duplicated, delayed or reordered.
//!
//! The encoding (postcard) is positional: the order of fields and variants is the wire format.
//! Names may change, the order may not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::quorum_lease::HeartbeatId;
use crate::state::Proposal;

/// Number of a proposer's round. The proposer ignores replies to any round but the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoundId(pub u64);

impl RoundId {
    /// The number of the next round; wraps around at the end of `u64`.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message<V> {
    /// Identity of the sender's replica.
    pub sender: Identity,
    /// Address at which the sender listens and to which replies are sent.
    pub address: SocketAddr,
    /// Content of the message.
    pub body: MessageBody<V>,
}

/// A proposer's request to an acceptor. An acceptor of another identity than the addressed one
/// rejects it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request<V> {
    /// Round of the proposer, repeated in the reply.
    pub round: RoundId,
    /// Identity of the addressed replica.
    pub to: Identity,
    /// What the acceptor is asked to do.
    pub body: RequestBody<V>,
}

/// What a request asks of the acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestBody<V> {
    /// Asks for the accepted proposal, without a promise.
    Query {
        /// Highest ballot that the proposer knows as chosen; it has the state of that ballot.
        known: Ballot,
    },
    /// Phase 1: asks for a promise to accept no proposal below the ballot, and for the accepted
    /// proposal.
    Prepare {
        /// The ballot to be promised.
        ballot: Ballot,
        /// Ballot of the state from whose membership the proposer took this replica.
        view: Ballot,
        /// Highest ballot that the proposer knows as chosen; it has the state of that ballot.
        known: Ballot,
    },
    /// Phase 2: asks the acceptor to accept the proposal.
    Accept {
        /// The proposal, with the ballot that phase 1 prepared.
        proposal: Proposal<V>,
    },
}

/// An acceptor's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply<V> {
    /// Round of the request.
    pub round: RoundId,
    /// The acceptor's answer.
    pub body: ReplyBody<V>,
}

/// The accepted proposal of an acceptor, as reported to a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// Ballot of the accepted proposal, if there is one.
    pub accepted: Option<Ballot>,
    /// The accepted proposal, if its ballot is above the one that the proposer knows as chosen.
    pub proposal: Option<Proposal<V>>,
    /// Highest ballot that the acceptor's node knows as chosen.
    pub chosen: Ballot,
}

/// An acceptor's answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplyBody<V> {
    /// Answers a query with the durable state.
    QueryResult(AcceptorState<V>),
    /// The promise is durable: the acceptor will accept no proposal below the ballot.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// The proposal accepted before the promise.
        state: AcceptorState<V>,
    },
    /// The proposal is accepted and durable.
    Accepted {
        /// Ballot of the accepted proposal.
        ballot: Ballot,
    },
    /// The request is rejected, since a higher ballot has been promised.
    Conflict {
        /// Highest ballot promised.
        promised: Ballot,
    },
    /// The request is rejected, since the node's replica has another identity than the addressed
    /// one, or isn't a member of the replica set.
    NotMember {
        /// Highest ballot that the replying node knows as chosen.
        chosen: Ballot,
    },
}

/// Version of a chosen state, sent in place of the state itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChosenVersion {
    /// Highest ballot in which the state is known as chosen.
    pub ballot: Ballot,
    /// Sequence number of the state.
    pub sequence: u64,
}

/// The status that a node periodically sends to all other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Version of the newest state known as chosen.
    pub chosen: Option<ChosenVersion>,
    /// Availability zone of the node's machine.
    pub zone: String,
    /// Whether the node gives up its membership, because it is about to stop for good or its disk
    /// is stalled.
    pub leaving: bool,
    /// Members from which the node has received nothing for
    /// [`Settings::unreachable_timeout`](crate::Settings::unreachable_timeout).
    pub unreachable: Vec<Identity>,
    /// Whether the node's replica may have voted; see [`Participation`].
    pub participation: Participation,
}

/// How far a node may have taken part in decisions, as far as the node knows. Other nodes use the
/// reports to check whether the system starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Participation {
    /// The disk was empty, and the node has promised and accepted nothing since it started.
    Blank,
    /// The node is a member, but has given no promise and knows no state beyond the initial one.
    Initial,
    /// The node has promised, accepted or proposed something, or knows a state beyond the initial
    /// one.
    Advanced,
}

/// The response to a heartbeat, with the version of the replica set that the responding node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Identifier of the acknowledged heartbeat.
    pub id: HeartbeatId,
    /// Ballot of the newest state that the node has, chosen or only accepted.
    pub newest: Ballot,
    /// [`Membership::fingerprint`](crate::Membership::fingerprint) of that state; zero without one.
    pub membership_fingerprint: u64,
}

/// Content of a message, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody<V> {
    /// A request of a proposer to an acceptor.
    Request(Request<V>),
    /// The reply of an acceptor to a proposer.
    Reply(Reply<V>),
    /// The sender's status, with the newest version that it knows as chosen.
    Status(NodeStatus),
    /// Asks for the newest chosen state, if it is above the ballot that the sender knows.
    FetchState {
        /// Highest ballot that the sender knows as chosen.
        known: Ballot,
    },
    /// A chosen proposal with its state, in response to [`FetchState`](Self::FetchState).
    ChosenState(Proposal<V>),
    /// Asks the receiver for an acknowledgement, which counts towards the sender's quorum lease.
    Heartbeat {
        /// Identifier to repeat in the response.
        id: HeartbeatId,
    },
    /// Acknowledges a heartbeat at once. A node whose record isn't durable yet sends none.
    HeartbeatResponse(HeartbeatResponse),
}
