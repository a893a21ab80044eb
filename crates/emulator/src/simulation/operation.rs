//! A client's operation, which it completes with one request or several.

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
    /// When it began.
    pub(super) at: Micros,
}

/// What a client wants done, with all its requests.
pub(super) struct Operation {
    /// Its number, in the order of beginning.
    pub(super) number: u64,
    /// The proxy that its client uses.
    pub(super) proxy: u32,
    /// Its class.
    pub(super) class: u8,
    /// Its work, in core-microseconds.
    pub(super) work: f64,
    /// When it began.
    pub(super) start: Micros,
    /// Requests sent so far.
    pub(super) request_count: u32,
    /// Whether its client has a final result or gave up.
    pub(super) ended: bool,
    /// Open requests, scheduled retries and jobs at servers that refer to it.
    pub(super) references: u32,
    /// Where and when it had an effect.
    pub(super) executions: SmallVec<[Execution; 1]>,
}
