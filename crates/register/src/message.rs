//! What the nodes tell one another. Any message may be lost, doubled or late.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ballot::{Ballot, Identity};
use crate::contact::QuestionNumber;
use crate::state::Proposal;

/// Number of a proposer's round; replies to any round but the present one are ignored.
pub type RoundId = u64;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message<V> {
    /// Identity of the sender.
    pub sender: Identity,
    /// Address at which the sender listens; answers go there.
    pub address: SocketAddr,
    /// The content.
    pub body: Body<V>,
}

/// What is asked of an acceptor. It answers only as the replica that is meant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request<V> {
    /// Round of the asking proposer.
    pub round: RoundId,
    /// The replica that is meant.
    pub to: Identity,
    /// What is asked.
    pub ask: Ask<V>,
}

/// The question of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask<V> {
    /// Report what is accepted, without a promise.
    Query {
        /// Highest ballot known as chosen by the asker, which holds its state.
        known: Ballot,
    },
    /// Promise to accept nothing below the ballot and report what is accepted.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// Ballot of the state whose membership led to this replica.
        view: Ballot,
        /// Highest ballot known as chosen by the asker, which holds its state.
        known: Ballot,
    },
    /// Accept the proposal.
    Accept {
        /// The proposal.
        proposal: Proposal<V>,
    },
}

/// An acceptor's answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reply<V> {
    /// Round of the request.
    pub round: RoundId,
    /// The answer.
    pub answer: Answer<V>,
}

/// What an acceptor holds as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report<V> {
    /// Ballot of what is accepted, if anything is.
    pub accepted: Option<Ballot>,
    /// What is accepted, where its ballot is above the one known by the asker.
    pub proposal: Option<Proposal<V>>,
    /// Highest ballot known as chosen by the acceptor's node.
    pub chosen: Ballot,
}

/// The content of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer<V> {
    /// To a query.
    Reported(Report<V>),
    /// Promised; nothing below the ballot will be accepted.
    Promised {
        /// The promised ballot.
        ballot: Ballot,
        /// What was accepted before.
        report: Report<V>,
    },
    /// Accepted and durable.
    Accepted {
        /// The ballot accepted.
        ballot: Ballot,
    },
    /// Refused: a higher ballot has been promised.
    Conflict {
        /// The promised ballot.
        promised: Ballot,
    },
    /// Refused: the replica that was meant isn't here, or isn't a member any more.
    NotMember {
        /// Highest ballot known as chosen by the answering node.
        chosen: Ballot,
    },
}

/// Names a chosen state without its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// Ballot in which the state is known as chosen.
    pub ballot: Ballot,
    /// Sequence of the state.
    pub sequence: u64,
}

/// What a node tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The newest state known as chosen.
    pub chosen: Option<Digest>,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the node gives its place up: it is about to stop for good, or can't vote any more.
    pub leaving: bool,
    /// Members that the node has not heard for
    /// [`Settings::unreachable`](crate::Settings::unreachable).
    pub silent: Vec<Identity>,
    /// What the node's disk may have taken part in.
    pub past: Past,
}

/// What a node may have taken part in, as far as it knows; for those who ask whether the system
/// starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Past {
    /// Nothing: it has given no vote in this life and its disk was empty.
    Blank,
    /// It is a member, but knows of no promise and of no state beyond the initial one.
    Initial,
    /// It has promised, accepted or proposed something, or knows a state beyond the initial one.
    Changed,
}

/// The answer to a question, and what the answering node holds of the replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Echo {
    /// Number of the question.
    pub number: QuestionNumber,
    /// Ballot of the newest state held, chosen or only accepted.
    pub newest: Ballot,
    /// [`Membership::fingerprint`](crate::Membership::fingerprint) of that state; zero without one.
    pub members: u64,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body<V> {
    /// A proposer asks an acceptor.
    Request(Request<V>),
    /// An acceptor answers.
    Reply(Reply<V>),
    /// Announces the sender and what it knows as chosen.
    Announce(Announcement),
    /// Asks for the chosen state.
    Fetch {
        /// Highest ballot known as chosen by the asker.
        known: Ballot,
    },
    /// A chosen state.
    State(Proposal<V>),
    /// Asks whether the replica is there.
    Question {
        /// Number of the question.
        number: QuestionNumber,
    },
    /// Answers a question, at once.
    Echo(Echo),
}
