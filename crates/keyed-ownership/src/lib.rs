//! Assigns one owner to each key by rendezvous hashing, with leases and fencing tokens. The owner
//! of a key grants permits from a pool that all gates share, so that the gates together stay within
//! one bound. The code is a set of state machines: they perform no I/O and read no clock.
//!
//! # Modules
//!
//! - [`view`]: a [`View`] is the set of gates of one epoch and determines the owner of each key.
//!   The [`FencingToken`] carries that epoch in every grant.
//! - [`view_change`]: coordinators propose views, and the [`Acceptor`] that runs with each
//!   coordinator accepts or rejects them. A majority of acceptors installs a view.
//! - [`confirmation`] and [`lease`]: an owner acts only while a majority of the acceptors has
//!   recently confirmed that its view is the newest.
//! - [`timing`]: the durations of leases and permits, and why the permits of two successive owners
//!   never count in the same window.
//! - [`message`], [`owner`] and [`client`]: gates request permits through a [`PermitClient`], and
//!   the [`PermitOwner`] of the key grants them.
//! - [`permits`]: [`SlowStartPermits`] and [`RetryPermits`] combine a gate's own quota
//!   (`ironmast_limits`) with the permits that it is granted. [`BoundSplit`] divides the bound
//!   between the two.
//!
//! # Status
//!
//! **No program uses this crate yet.** The gates divide the slow-start bound by rank
//! (`ironmast_limits::quota`) and the retry budget by the number of gates. The crate is retained,
//! with its tests, for the singleton roles of the design: a bound whose pool is owned by one
//! process, and other tasks that exactly one process may perform.
//!
//! # What the caller must ensure
//!
//! - Each start of a gate's process uses a new incarnation and starts without state. Only the state
//!   of an [`Acceptor`] survives a restart.
//! - `now` is read after the event that it is passed with. A permit is used at once: when the
//!   request is written, not before a connection is made.
//! - An [`Acceptor`] has its newest view on disk before it answers, and a coordinator proposes to
//!   its own acceptor first.
//! - All gates use the same [`PermitTiming`]. They use the same bounds too, except while a changed
//!   configuration spreads.
//!
//! # Times
//!
//! Times are [`std::time::Duration`]s of the steady clock of the machine that runs the code; the
//! clocks of two machines are never compared. Methods take `now` and never read a clock.
//!
//! # Sources
//!
//! The leases are those of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
//! Distributed File Cache Consistency" (1989). The fencing tokens are the sequencers of Burrows,
//! "The Chubby Lock Service" (2006).
#![forbid(unsafe_code)]

pub mod client;
pub mod confirmation;
pub mod lease;
pub mod message;
pub mod owner;
pub mod permits;
mod pool;
mod split;
#[cfg(test)]
mod test_support;
pub mod timing;
pub mod view;
pub mod view_change;

pub use client::PermitClient;
pub use confirmation::{ConfirmedEpoch, EpochConfirmation};
pub use message::{CompletedGrant, Grant, Message, PermitRequest, Release};
pub use owner::PermitOwner;
pub use permits::{RetryPermits, SlowStartPermits};
pub use split::BoundSplit;
pub use timing::PermitTiming;
pub use view::{FencingToken, GateId, Instance, OwnedKey, View, region_number};
pub use view_change::{Acceptor, ProposalOutcome, ProposalReply, Proposer};
