//! Operations of clients. An operation takes one request, or several if the client retries.

use ironmast_balancer::Micros;
use slotmap::DefaultKey;
use smallvec::SmallVec;

/// The key of an operation in the simulation.
pub(super) type OperationKey = DefaultKey;

/// One execution of an operation, with its effect.
#[derive(Clone, Copy)]
pub(super) struct Execution {
    /// The zone of the server.
    pub(super) zone: usize,
    /// When the execution began.
    pub(super) at: Micros,
}

/// An operation of a client, with the state of all its requests.
pub(super) struct Operation {
    /// The number, from 1 in the order in which operations begin.
    pub(super) number: u64,
    /// The number of the proxy that the client uses.
    pub(super) proxy: u32,
    /// The index of the class.
    pub(super) class: u8,
    /// The work, in core-microseconds.
    pub(super) work: f64,
    /// When the operation began.
    pub(super) start: Micros,
    /// The number of requests sent so far.
    pub(super) request_count: u32,
    /// Whether the client has a final result or gave up.
    pub(super) ended: bool,
    /// The number of open requests, scheduled retries and jobs at servers that refer to the
    /// operation.
    pub(super) references: u32,
    /// The executions so far, each of which had an effect.
    pub(super) executions: SmallVec<[Execution; 1]>,
}
