//! What operators do to a running proxy, as state machines without I/O.
//!
//! - [`command`] parses the lines that operators send and formats the replies.
//! - [`endpoint`] is an endpoint of discovery's list, which the other modules share.
//! - [`overrides`] holds which servers operators have disabled and applies that to discovery's list
//!   before the decision module sees it.
//! - [`hot_restart`] decides what an old and a new process do while both run.
//! - [`handover`] is the protocol between these two processes.
#![forbid(unsafe_code)]

pub mod command;
pub mod endpoint;
pub mod handover;
pub mod hot_restart;
pub mod overrides;
