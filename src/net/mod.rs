//! The real client proxy: sockets round the decision module.
//!
//! `listener`, `upstream`, `discovery` and `peers` own the sockets and speak to `driver` through the queue of
//! `message`; `driver` alone owns the module. `sockets` counts descriptors, `clock` tells the time and
//! `config` holds what the program is told.

pub mod clock;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod listener;
pub mod message;
pub mod peers;
pub mod sockets;
pub mod upstream;
