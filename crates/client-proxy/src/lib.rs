//! The client proxy: the sockets around the decision module.
//!
//! `listener`, `upstream`, `discovery`, `peers` and `ops` own the sockets and send to `driver`
//! through the queues of `message`; `driver` alone owns the decision module. `handover` is the link
//! to the process that replaces this one. [`config`] holds the settings and [`serve`] connects the
//! parts. The client and server connections themselves belong to `ironmast_transport`.
#![forbid(unsafe_code)]

pub mod config;
mod discovery;
mod driver;
mod handover;
mod listener;
mod members;
mod message;
mod ops;
mod peers;
pub mod serve;
mod upstream;
