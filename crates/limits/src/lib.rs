//! Limits over all gates together: cold-start permits under fencing tokens and the retry budget, without I/O.
//!
//! Two bounds hold for the sum of what all gates send, whether or not the gates reach each other:
//!
//! - **Cold start**: a cold server gets at most `warmup_per_s * warmup_overshoot + warmup_tolerance` requests in any
//!   second.
//! - **Retry budget**: a service gets, in any `retry_window_s`, at most `retry_budget_ratio` of its requests plus
//!   `retry_burst` as repeats.
//!
//! Each gate has a part of either bound that needs nobody else ([`ColdLimiter`], [`RetryBudget`]): of the second the
//! bound divided by the largest number of gates that can exist, of the first what its [`Tier`] says. [`ColdTracker`]
//! says which servers the first bound is for.
//!
//! The rest of a bound is a pool that one gate's agent owns, by rendezvous hashing of the instance or service over the
//! gates of a [`View`]. Gates ask it for permits ([`client`]); it grants them under a fencing token and a lease
//! ([`owner`]). [`terms`] says why two owners' permits never meet.
//!
//! # What its caller must keep
//!
//! - A gate's incarnation is new at each start of its process, and so is all state here but the witness's.
//! - `now` is read after the event that it comes with, and a permission is used at once: when the request is written,
//!   not before a connection is made.
//! - The number of gates by which bounds are divided is never below the number that run.
//! - A [`Witness`] has its newest view on disk before it answers, and a coordinator asks its own witness first.
//! - Terms are the same at all gates, and so are the bounds but for the time a configuration takes to spread.
//!
//! # Times
//!
//! Times are [`std::time::Duration`]s of the steady clock of the machine that runs the code; nothing compares the
//! clocks of two machines. Methods take `now` and never read a clock.
#![forbid(unsafe_code)]

pub mod client;
pub mod cold;
pub mod lease;
mod ledger;
pub mod message;
pub mod owner;
pub mod permits;
pub mod retry;
pub mod share;
pub mod tenure;
pub mod terms;
pub mod tier;
pub mod view;
mod wait;
pub mod window;
pub mod witness;

pub use client::Client;
pub use cold::{ColdTracker, Report};
pub use lease::{Confirmation, Confirmed};
pub use message::{Ask, Grant, Message, Return, Settled};
pub use owner::Owner;
pub use permits::{Permits, RetryPermits};
pub use retry::{RetryBudget, RetryTerms};
pub use share::{ColdLimiter, cold_bound};
pub use terms::{Split, Terms};
pub use tier::{GateNumber, Tier};
pub use view::{GateId, Instance, Key, Token, View, region_number};
pub use wait::Wait;
pub use witness::{Installed, Outcome, Proposer, Witness};
