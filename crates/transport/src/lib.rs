//! The transport that the data planes (the client proxy and the gate) share, and the links between
//! the system's processes: an HTTP/1.1 server and client with limits on time, memory and file
//! descriptors, and message streams over TCP.
//!
//! - Downstream, towards clients: [`listener`] accepts connections and hands each request to a
//!   [`listener::Service`]; [`connection`] is the state of one connection, [`request_body`] reads
//!   the body of a request, and [`body`] carries bodies that are too long to be buffered.
//! - Upstream, towards servers: [`client`] builds the HTTP client for one server,
//!   [`response_validation`] delivers well-framed responses and nothing else, and [`attempt`] is
//!   the state of one attempt at a request.
//! - Sockets: [`descriptors`] limits how many are open, [`observed_stream`] reports their traffic,
//!   [`sockets`] opens them, and [`clock`] reads the time.
//! - Logs: [`log_limit`] limits how often a message with a persisting cause is logged.
//! - Tasks: [`tasks`] aborts tasks with their owner and reports the panics of essential ones.
//! - Between processes: [`link`] carries messages over one connection; [`frames`] does so over many
//!   connections, with handshakes, bounded queues and an in-memory network for tests.
#![forbid(unsafe_code)]

pub mod attempt;
pub mod body;
pub mod client;
pub mod clock;
pub mod connection;
pub mod descriptors;
pub mod frames;
mod framing;
pub mod link;
pub mod listener;
pub mod log_limit;
pub mod malformed_response;
pub mod observed_stream;
mod read_ahead;
pub mod request_body;
pub mod response_validation;
pub mod sockets;
pub mod tasks;
