//! Messages between nodes. Any message may be lost, duplicated, delayed or reordered.
//!
//! Messages are encoded by position (postcard): the order of fields and variants is the wire
//! format. Names may change, the order may not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::quorum_lease::HeartbeatId;
use crate::state::Proposal;

/// Number of a proposer's round; replies to any other round than the current one are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoundId(pub u64);

impl RoundId {
    /// The number of the next round.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message<V> {
    /// Identity of the sender.
    pub sender: Identity,
    /// Address at which the sender listens; replies go there.
    pub address: SocketAddr,
    /// The content.
    pub body: MessageBody<V>,
}

/// A proposer's request to an acceptor, which answers only as the replica that is addressed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request<V> {
    /// Round of the proposer.
    pub round: RoundId,
    /// The replica that is addressed.
    pub to: Identity,
    /// The content.
    pub body: RequestBody<V>,
}

/// The content of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestBody<V> {
    /// Report what is accepted, without a promise.
    Query {
        /// Highest ballot known as chosen by the proposer, which has its state.
        known: Ballot,
    },
    /// Promise to accept nothing below the ballot, and report what is accepted (phase 1).
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// Ballot of the state whose membership led to this replica.
        view: Ballot,
        /// Highest ballot known as chosen by the proposer, which has its state.
        known: Ballot,
    },
    /// Accept the proposal (phase 2).
    Accept {
        /// The proposal.
        proposal: Proposal<V>,
    },
}

/// An acceptor's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply<V> {
    /// Round of the request.
    pub round: RoundId,
    /// The content.
    pub body: ReplyBody<V>,
}

/// What an acceptor has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptorState<V> {
    /// Ballot of the accepted proposal, if there is one.
    pub accepted: Option<Ballot>,
    /// The accepted proposal, if its ballot is above the one that the proposer knows.
    pub proposal: Option<Proposal<V>>,
    /// Highest ballot known as chosen by the acceptor's node.
    pub chosen: Ballot,
}

/// The content of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplyBody<V> {
    /// Reply to a query.
    QueryResult(AcceptorState<V>),
    /// The promise is durable: nothing below the ballot will be accepted.
    Promise {
        /// The promised ballot.
        ballot: Ballot,
        /// What was accepted before the promise.
        state: AcceptorState<V>,
    },
    /// The proposal is accepted and durable.
    Accepted {
        /// The accepted ballot.
        ballot: Ballot,
    },
    /// Rejected: a higher ballot has been promised.
    Conflict {
        /// The promised ballot.
        promised: Ballot,
    },
    /// Rejected: the addressed replica isn't here, or isn't a member any more.
    NotMember {
        /// Highest ballot known as chosen by the node that replies.
        chosen: Ballot,
    },
}

/// Identifies a chosen state without its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChosenVersion {
    /// Ballot in which the state is known as chosen.
    pub ballot: Ballot,
    /// Sequence number of the state.
    pub sequence: u64,
}

/// What a node periodically reports of itself to all other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The newest state known as chosen.
    pub chosen: Option<ChosenVersion>,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the node gives up its membership: it is about to stop for good, or its disk is
    /// stalled.
    pub leaving: bool,
    /// Members from which the node has received nothing for
    /// [`Settings::unreachable_timeout`](crate::Settings::unreachable_timeout).
    pub unreachable: Vec<Identity>,
    /// What the node's disk may have taken part in.
    pub participation: Participation,
}

/// What a node may have taken part in, as far as it knows. Nodes that check whether the system
/// starts for the first time need it of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Participation {
    /// Nothing: its disk was empty, and it has promised and accepted nothing since it started.
    Blank,
    /// It is a member, but knows of no promise and of no state beyond the initial one.
    Initial,
    /// It has promised, accepted or proposed something, or knows a state beyond the initial one.
    Advanced,
}

/// The response to a heartbeat, and what the responding node knows of the replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The heartbeat that is acknowledged.
    pub id: HeartbeatId,
    /// Ballot of the newest state known, chosen or only accepted.
    pub newest: Ballot,
    /// [`Membership::fingerprint`](crate::Membership::fingerprint) of that state; zero without one.
    pub membership_fingerprint: u64,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody<V> {
    /// From a proposer to an acceptor.
    Request(Request<V>),
    /// From an acceptor to a proposer.
    Reply(Reply<V>),
    /// The sender's status and the newest version that it knows as chosen.
    Status(NodeStatus),
    /// Asks for the chosen state.
    FetchState {
        /// Highest ballot known as chosen by the sender.
        known: Ballot,
    },
    /// A chosen state.
    ChosenState(Proposal<V>),
    /// Asks the receiver to acknowledge, for the sender's quorum lease.
    Heartbeat {
        /// Identifies the heartbeat.
        id: HeartbeatId,
    },
    /// Acknowledges a heartbeat at once.
    HeartbeatResponse(HeartbeatResponse),
}
