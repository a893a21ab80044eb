//! One owner for each key, by lease and fencing token, without I/O.
//!
//! **No program uses this crate yet.** The gates divide the cold-start bound by rank
//! (`ironmast_limits::quota`) and the retry budget by the number of gates. It is kept, with its
//! proofs, for the singleton roles of the design: a bound whose pool one process owns, and other
//! tasks that exactly one process may run.
//!
//! Gates are assigned keys by rendezvous hashing over the members of a [`View`]. The agent that
//! owns a key grants permits from the shared part of that key's bound ([`owner`]); gates ask it
//! ([`client`]). An owner acts only while a majority of [`Witness`]es has confirmed its view
//! ([`lease`], [`tenure`]), and each grant carries the view's epoch as its fencing token
//! ([`Token`]). [`terms`] says why the permits of two successive owners never overlap. [`Permits`]
//! and [`RetryPermits`] join a gate's static share (`ironmast_limits`) with what it is granted.
//!
//! The mechanism is Gray and Cheriton's leases (1989) with fencing tokens on top.
//!
//! # What the caller must ensure
//!
//! - A gate's incarnation is new at each start of its process, and so is all state here but the
//!   witness's.
//! - `now` is read after the event that it comes with, and a permission is used at once: when the
//!   request is written, not before a connection is made.
//! - A [`Witness`] has its newest view on disk before it answers, and a coordinator asks its own
//!   witness first.
//! - Terms are the same at all gates, and so are the bounds but for the time a configuration takes
//!   to spread.
//!
//! # Times
//!
//! Times are [`std::time::Duration`]s of the steady clock of the machine that runs the code;
//! nothing compares the clocks of two machines. Methods take `now` and never read a clock.
#![forbid(unsafe_code)]

pub mod client;
pub mod lease;
mod ledger;
pub mod message;
pub mod owner;
pub mod permits;
pub mod tenure;
pub mod terms;
pub mod view;
pub mod witness;

pub use client::Client;
pub use lease::{Confirmation, Confirmed};
pub use message::{Ask, Grant, Message, Return, Settled};
pub use owner::Owner;
pub use permits::{Permits, RetryPermits};
pub use terms::{Split, Terms};
pub use view::{GateId, Instance, Key, Token, View, region_number};
pub use witness::{Installed, Outcome, Proposer, Witness};
