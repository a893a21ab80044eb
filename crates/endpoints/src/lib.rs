//! The endpoint table of a coordinator: the latest state of every server instance and gate, the
//! time of the last contact with each, and the control state that operators set.
//!
//! Coordinators exchange their entries, and for each key the highest version wins, so all tables
//! converge whatever the order in which updates arrive. A server that stops without deregistering
//! expires. Late and duplicated updates are ignored because they carry old versions. A coordinator
//! that receives no heartbeats expires no servers: it is probably partitioned, and would otherwise
//! mark every server as unreachable.
//!
//! [`EndpointTable`] is defined in `table`, together with the merge of entries from other nodes.
//! `instances` and `gates` record reports of endpoints, `expiry` expires silent endpoints and
//! removes old entries, `contacts` keeps the time of the last contact, `versions` derives the
//! versions of entries, and `diff` decides which changes other nodes need.
//!
//! The crate does no I/O: the caller passes the current time, as a monotonic duration since an
//! arbitrary origin, and sends the entries and removals that the methods return.
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
