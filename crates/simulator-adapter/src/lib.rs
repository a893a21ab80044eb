//! Adapter between the simulator and the decision module: it hosts instances of the module, decodes
//! the simulator's lines into their events and encodes their actions as lines. It makes no decisions
//! of its own.
//!
//! - `host` reads batches and passes each line to the instance that it addresses.
//! - `instance` holds one [`Balancer`](ironmast_balancer::Balancer) with its tables of names.
//!   Instances share nothing.
//! - `events` decodes lines into events, and `actions` encodes actions as lines.
//! - `lists` stores the lists of servers to which lines refer, and `fields` splits a line into fields.
//!
//! A line consists of fields separated by tabs, with `-` for an absent value. A batch lasts from
//! `CLOCK` to `OVER_TO_YOU`; its reply ends with `EOR`.
//!
//! Malformed input ends the program with an error that names the line and the field. If such input
//! were skipped, the state of the simulator and that of this program would diverge unnoticed.

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

/// The position and cause of a line that cannot be decoded.
#[derive(Debug, Error)]
#[error("line {line}: {message}: field `{field}`: {problem}")]
pub struct Malformed {
    /// The number of the line in the input, from 1.
    pub line: u64,
    /// The first field of the line, which names its message.
    pub message: String,
    /// The name of the invalid field.
    pub field: String,
    /// The reason why the field is invalid.
    pub problem: String,
}

/// The reason why [`Host::run`] stopped before the end of the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line could not be decoded.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// Reading or writing failed.
    #[error("cannot read the input or write the output: {0}")]
    Io(#[from] io::Error),
}
