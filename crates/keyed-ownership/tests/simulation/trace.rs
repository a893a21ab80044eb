//! The record of a run, from which the checks and the statistics are computed.

use super::Micros;

/// The time of an event of one key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyEvent {
    pub key: usize,
    pub at: Micros,
}

/// How long a request waited for its permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// When the request arrived at the gate.
    pub arrived: Micros,
    pub duration: Micros,
}

/// The record of a run.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// The arrivals of client requests at the gates.
    pub requests: Vec<KeyEvent>,
    /// The arrivals at the servers of the requests or retries that need a permit.
    pub arrivals: Vec<KeyEvent>,
    /// The wait of each request or retry that got a permit.
    pub waits: Vec<Wait>,
    /// The number of requests that waited too long or whose gate was killed.
    pub abandoned: u64,
    /// The number of messages between gates and owners, without those of a gate to itself.
    pub messages: u64,
    /// The number of messages that each gate sent and received as owner.
    pub owner_messages: Vec<u64>,
    /// The number of views that a majority of the acceptors accepted.
    pub installed: u64,
    /// The number of proposals that no majority could accept.
    pub rejected: u64,
    /// The number of queries for the newest epoch, each to one acceptor.
    pub epoch_queries: u64,
}
