//! A job: a request at a server, and what becomes of it.

use ironmast_balancer::Micros;
use slotmap::DefaultKey;

/// The key of a job at its server.
pub(crate) type JobKey = DefaultKey;

/// A request at a server.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The request that it belongs to.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u8,
    /// The key of its operation, which the caller stores.
    pub operation: DefaultKey,
    /// Its class.
    pub class: u8,
    /// Its work, in core-microseconds.
    pub work: f64,
    /// When its client gives up.
    pub expires: Micros,
    /// When it arrived.
    pub arrived: Micros,
    /// The proxy no longer waits for it.
    pub cancelled: bool,
    /// It is in a slot.
    pub started: bool,
}

/// What became of a job at a server.
#[derive(Debug)]
pub(crate) enum JobEvent {
    /// The job entered a slot.
    Started(JobKey),
    /// The job's work is done.
    Finished(Job),
    /// The job was removed from the queue without having started.
    Dropped(Job),
}
