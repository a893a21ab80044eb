//! Limits that hold over all gates together: slow start and the retry budget, without I/O.
//!
//! Each gate enforces its own part of two bounds, so that they hold for the sum of what all gates
//! send whether or not the gates can reach each other:
//!
//! - **Slow start**: a server that is warming up receives at most `warmup_per_s *
//!   warmup_overshoot + warmup_tolerance` requests in any second.
//! - **Retry budget**: a service receives, in any `retry_window_s`, at most `retry_budget_ratio` of
//!   its requests plus `retry_burst` as retries.
//!
//! # Modules
//!
//! [`slow_start`] has the limiter of requests to servers that are warming up; [`warmup`] says which
//! servers those are, and [`quota`] divides the bound of each among the gates. [`retry_budget`] has
//! the budget of retries for each service, whose burst is divided evenly by the number of gates
//! that the caller passes. Both limiters count events with [`sliding_window`] and reject with
//! [`LimitExceeded`].
//!
//! # Requirements on the caller
//!
//! - `now` is read after the event that it is passed with.
//! - A permit is used at once: it is acquired when the request is written, not before a connection
//!   is established.
//! - The number of gates by which bounds are divided is never below the number of running gates.
//!
//! # Clocks
//!
//! Points in time are [`std::time::Duration`]s since the zero of the local monotonic clock; clocks
//! of different machines are never compared. Methods take the current time as `now` and never read
//! a clock.
#![forbid(unsafe_code)]

mod error;
pub mod quota;
pub mod retry_budget;
pub mod sliding_window;
pub mod slow_start;
pub mod warmup;

pub use error::LimitExceeded;
pub use quota::{GateId, GateMember, GateSet};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use slow_start::{SlowStartLimiter, slow_start_bound};
pub use warmup::{WarmupReport, WarmupTracker};
