//! The compare-and-swap register: two quorum rounds, no log, no leader; without I/O.
//!
//! After `CASPaxos` (Rystsov 2018). A [`Node`] takes [`Event`]s with the time of a steady clock and
//! gives [`Action`]s; the caller sends messages, makes records durable and keeps one timer.
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
pub mod replicas;
pub mod round;
pub mod settings;
pub mod state;

pub use acceptor::{PersistToken, Record, Write};
pub use ballot::{Ballot, Identity};
pub use message::Message;
pub use node::{Action, Event, Node, NodeLocation, RecordSource};
pub use operation::{Decision, Operation, OperationId, Outcome, ReplicaChange, Transition};
pub use proposer::ProposerMetrics;
pub use replicas::{Membership, Replica, ReplicaSet};
pub use settings::Settings;
pub use state::State;
