//! Speaks the simulator's line protocol and hosts instances of the decision module. No decisions
//! are made here.
//!
//! Lines hold fields separated by tabs, with `-` for an absent value. A batch lasts from `CLOCK` to
//! `OVER_TO_YOU`; its reply ends with `EOR`. Instances share nothing: each has its own
//! [`Balancer`](ironmast_balancer::Balancer) and its own tables of names.
//!
//! Malformed input ends the program with an error that names the line and the field, rather than
//! being skipped: the simulator and this program would otherwise disagree silently.

#![forbid(unsafe_code)]

mod actions;
mod events;
mod fields;
mod host;
mod instance;
mod lists;

use std::io;

use thiserror::Error;

pub use host::Host;

/// A line that cannot be understood.
#[derive(Debug, Error)]
#[error("line {line}: {message}: field `{field}`: {problem}")]
pub struct Malformed {
    /// The number of the line in the input, from 1.
    pub line: u64,
    /// The first field of the line, which names its message.
    pub message: String,
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Hosting ended before the input did.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line could not be understood.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}
