//! A replicated, linearizable compare-and-swap register. A proposer changes its state in two quorum
//! rounds, prepare and accept, without a log and without a leader (`CASPaxos`, Rystsov 2018). The
//! replica set is changed by joint consensus.
//!
//! The crate performs no I/O and reads no clock. A [`Node`] handles [`Event`]s, each with the time
//! of the caller's monotonic clock, and returns [`Action`]s; the caller sends the messages, makes
//! the records durable and runs one timer. A simulation can therefore repeat every run from its
//! seed.
//!
//! Modules:
//!
//! - [`node`]: one coordinator's acceptor, proposer and learner behind one interface.
//! - [`acceptor`], [`round`], [`learner`]: the roles of Paxos; the proposer runs the rounds.
//! - [`ballot`], [`state`]: the order of proposals, and the state that a proposal carries.
//! - [`operation`]: the operations of the register and their outcomes.
//! - [`replicas`], [`reconfiguration`]: the replica set and the rules by which it is changed.
//! - [`quorum_lease`]: whether a majority of the replicas is reachable.
//! - [`message`], [`record`]: the formats on the wire and on disk.
//! - [`settings`]: timeouts and intervals.
//! - [`guard`]: the safety rules, which mutation tests disable one at a time.
#![forbid(unsafe_code)]

pub mod acceptor;
pub mod ballot;
mod bootstrap;
pub mod guard;
pub mod learner;
pub mod message;
pub mod node;
pub mod operation;
mod proposer;
pub mod quorum_lease;
mod random;
pub mod reconfiguration;
pub mod record;
pub mod replicas;
pub mod round;
pub mod settings;
pub mod state;

pub use ballot::{Ballot, Identity};
pub use message::Message;
pub use node::{Action, Event, Node, NodeLocation, RecordSource};
pub use operation::{
    Decision, Operation, OperationId, Outcome, RegisterValue, RejectionReason, ReplicaChange,
    Transition,
};
pub use proposer::ProposerMetrics;
pub use record::{PersistToken, Record, Write};
pub use replicas::{Membership, Replica, ReplicaSet};
pub use settings::Settings;
pub use state::State;
