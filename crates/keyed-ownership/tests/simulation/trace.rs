//! What a run records for the checks.

use super::Micros;

/// An event of one key.
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

/// What a run records for the checks.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// Each client's request, when it arrives at its gate.
    pub requests: Vec<KeyEvent>,
    /// Each request or retry that is limited, when it arrives at the server.
    pub arrivals: Vec<KeyEvent>,
    /// The wait of each of them.
    pub waits: Vec<Wait>,
    /// Requests that waited too long, or whose gate was killed.
    pub abandoned: u64,
    /// Messages that gates sent to owners and owners to gates.
    pub messages: u64,
    /// Messages that each gate sent and received as owner.
    pub owner_messages: Vec<u64>,
    /// Views that a majority of the acceptors accepted.
    pub installed: u64,
    /// Proposals that no majority could accept.
    pub rejected: u64,
    /// Queries for the newest epoch, each to one acceptor.
    pub epoch_queries: u64,
}
