//! What a run records for the checks.

use super::Micros;

/// What a run records for the checks.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// (key, moment) of each client's request.
    pub requests: Vec<(usize, Micros)>,
    /// (key, arrival at the server) of each request or retry that is limited.
    pub arrivals: Vec<(usize, Micros)>,
    /// (arrival at the gate, time it waited for its permit) of each of them.
    pub waits: Vec<(Micros, Micros)>,
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
