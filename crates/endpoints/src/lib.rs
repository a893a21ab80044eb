//! The endpoint table that each coordinator keeps: the latest state of every server instance and
//! gate, when each was last heard from, and the operators' state.
//!
//! Coordinators exchange their entries, and for each key the highest version wins; so all tables
//! converge, whatever order updates arrive in. The table guards against servers that stop without
//! deregistering (they expire), against late or duplicated updates (they carry old versions), and
//! against a partitioned coordinator that would mark every server as unreachable (while it receives
//! no heartbeats, it expires no servers).
//!
//! The crate does no I/O: the caller passes the time and sends what the methods return.
#![forbid(unsafe_code)]

mod contacts;
mod diff;
mod expiry;
mod gates;
mod instances;
mod table;
mod versions;

pub use expiry::Removal;
pub use gates::GateView;
pub use table::{EndpointTable, ExpiryTimeouts, MergeOutcome};

#[cfg(test)]
mod tests;
