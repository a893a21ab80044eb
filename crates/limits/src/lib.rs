//! Limits that hold over all gates together: slow start and the retry budget, without I/O.
//!
//! Two bounds hold for the sum of what all gates send, whether or not the gates reach each other:
//!
//! - **Slow start**: a server that is warming up receives at most `warmup_per_s *
//!   warmup_overshoot + warmup_tolerance` requests in any second.
//! - **Retry budget**: a service receives, in any `retry_window_s`, at most `retry_budget_ratio` of
//!   its requests plus `retry_burst` as retries.
//!
//! Each gate enforces its own part of either bound without coordination ([`SlowStartLimiter`],
//! [`RetryBudget`]). The burst of the retry budget is divided evenly by the number of gates that
//! the caller passes; [`GateSet`] divides the slow-start bound. [`WarmupTracker`] says which
//! servers are warming up.
//!
//! # What the caller must ensure
//!
//! - `now` is read after the event that it is passed with, and a permit is used at once: when the
//!   request is written, not before a connection is made.
//! - The number of gates by which bounds are divided is never below the number that run.
//!
//! # Times
//!
//! Times are [`std::time::Duration`]s of the steady clock of the machine that runs the code;
//! nothing compares the clocks of two machines. Methods take `now` and never read a clock.
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
