//! The client proxy: the sockets around the decision module.
//!
//! `listener`, `upstream`, `discovery`, `peers` and `ops` own the sockets and send to `driver`
//! through the queues of `message`; `driver` alone owns the decision module. `hot_restart` is the
//! link to the processes before and after this one, `runtime_files` what they find in `$TMPDIR`.
//! [`config`] holds the settings and [`serve`] connects the parts. The client and server
//! connections themselves belong to `ironmast_transport`.
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
