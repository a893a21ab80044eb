//! Administration of a running proxy: operators' commands, the servers that they have disabled, and
//! the hot restart of the proxy. Everything here is parsing, formatting and state machines without
//! I/O; the client proxy owns the sockets and files.
//!
//! - [`command`] parses the lines that operators send and formats the replies.
//! - [`endpoint`] defines an endpoint of discovery's list, which the other modules share.
//! - [`overrides`] records which servers operators have disabled and applies that to discovery's
//!   list before the decision module receives it.
//! - [`hot_restart`] decides what an old and a new process do while both run.
//! - [`handover`] defines the messages between these two processes.
#![forbid(unsafe_code)]

pub mod command;
pub mod endpoint;
pub mod handover;
pub mod hot_restart;
pub mod overrides;
