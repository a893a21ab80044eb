//! Sockets that both data planes use: descriptor budgets, kept connections, framing, and links
//! between the system's processes.
//!
//! Towards clients, [`listener`] accepts and keeps connections ([`connection`] is one of them) and
//! hands each request to a [`listener::Service`]; [`request_body`] reads what comes with it and
//! [`body`] carries what is too long to be held. Towards servers, [`client`] makes the client of
//! one server, whose streams ([`response_validation`]) let through answers and nothing else, and [`attempt`] is
//! what is known of one request on its way there. [`sockets`] counts descriptors and [`clock`]
//! tells the time.
//!
//! Between the processes of the system, [`link`] carries messages over one connection, and
//! [`frames`] over many, with greetings, bounded queues and a network in memory for tests.
#![forbid(unsafe_code)]

pub mod attempt;
pub mod body;
pub mod client;
pub mod clock;
pub mod connection;
pub mod frames;
mod framing;
pub mod link;
pub mod listener;
mod read_ahead;
pub mod request_body;
pub mod response_validation;
pub mod sockets;
