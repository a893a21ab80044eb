//! The client proxy accepts HTTP requests from clients and forwards each to one of the backend
//! servers that discovery lists. Which server gets a request, when it is retried and when it is
//! rejected is decided by the decision module (`ironmast_balancer`), which does no I/O; this crate
//! provides its sockets, timers and log.
//!
//! - `listener` serves clients, `upstream` sends requests and health checks to servers, `discovery`
//!   watches the endpoint list, `peers` exchanges datagrams with the other proxies, and `ops`
//!   accepts operators' commands. `members` sets up cluster membership among the proxies.
//! - `driver` owns the decision module. The tasks above send to it through the queues defined in
//!   `message`.
//! - `hot_restart` connects to the processes before and after this one in a hot restart;
//!   `runtime_files` stores state for them in `$TMPDIR`.
//! - [`config`] reads the settings, and [`serve`] starts and connects the tasks.
//!
//! Connection handling and HTTP framing are implemented in `ironmast_transport`.
#![forbid(unsafe_code)]

pub mod config;
mod discovery;
mod driver;
mod hot_restart;
mod listener;
mod members;
mod message;
mod ops;
mod peers;
mod runtime_files;
pub mod serve;
#[cfg(test)]
mod testing;
mod upstream;
