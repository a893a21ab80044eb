//! The compare-and-swap register: a replicated, linearizable state that is changed in two quorum
//! rounds, without a log and without a leader (`CASPaxos`, Rystsov 2018).
//!
//! The crate performs no I/O and reads no clock. A [`Node`] handles [`Event`]s at times of a steady
//! clock and returns [`Action`]s; the caller sends the messages, makes the records durable and
//! keeps one timer. This lets a simulation repeat every run from its seed.
//!
//! Where to read on:
//!
//! - [`acceptor`], [`round`], [`learner`]: the roles of Paxos; the proposer drives the rounds.
//! - [`operation`]: what can be asked of the register, and how it ends.
//! - [`replicas`], [`reconfiguration`]: the replica set, and when it is changed.
//! - [`quorum_lease`]: whether a majority of the replicas is reachable.
//! - [`message`], [`record`]: the formats on the wire and the disk.
//! - [`guard`]: the rules of safety, which mutation tests remove one at a time.
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
