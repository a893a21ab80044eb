//! Limits over all gates together: the cold-start bound and the retry budget, without I/O.
//!
//! Two bounds hold for the sum of what all gates send, whether or not the gates reach each other:
//!
//! - **Cold start**: a server that is warming up gets at most `warmup_per_s * warmup_overshoot +
//!   warmup_tolerance` requests in any second.
//! - **Retry budget**: a service gets, in any `retry_window_s`, at most `retry_budget_ratio` of its
//!   requests plus `retry_burst` as retries.
//!
//! Each gate has a part of either bound that needs nobody else ([`ColdLimiter`], [`RetryBudget`]):
//! of the retry budget the bound divided by the largest number of gates that can exist, of the
//! cold-start bound what its [`Tier`] says. [`ColdTracker`] says which servers are warming up.
//!
//! # What the caller must ensure
//!
//! - `now` is read after the event that it comes with, and a permission is used at once: when the
//!   request is written, not before a connection is made.
//! - The number of gates by which bounds are divided is never below the number that run.
//!
//! # Times
//!
//! Times are [`std::time::Duration`]s of the steady clock of the machine that runs the code;
//! nothing compares the clocks of two machines. Methods take `now` and never read a clock.
#![forbid(unsafe_code)]

pub mod cold;
pub mod retry;
pub mod share;
pub mod tier;
mod wait;
pub mod window;

pub use cold::{ColdTracker, Report};
pub use retry::{RetryBudget, RetryTerms};
pub use share::{ColdLimiter, cold_bound};
pub use tier::{GateNumber, Tier};
pub use wait::Wait;
