//! Jobs, which are requests at a server, and their events.

use ironmast_balancer::Micros;
use slotmap::DefaultKey;

/// The key of a job at its server.
pub(crate) type JobKey = DefaultKey;

/// A request at a server, queued or in a slot.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The id of the request.
    pub request: u64,
    /// The index of the attempt at the request.
    pub attempt: u8,
    /// The key of the operation, which the caller stores.
    pub operation: DefaultKey,
    /// The index of the class.
    pub class: u8,
    /// The work, in core-microseconds.
    pub work: f64,
    /// When the client's timeout ends.
    pub expires: Micros,
    /// When the job arrived at the server.
    pub arrived: Micros,
    /// Whether the proxy has abandoned the attempt.
    pub cancelled: bool,
    /// Whether the job is in a slot.
    pub started: bool,
}

/// A change of the state of a job.
#[derive(Debug)]
pub(crate) enum JobEvent {
    /// The job entered a slot.
    Started(JobKey),
    /// All work of the job is done.
    Finished(Job),
    /// The job was removed from the queue without having started.
    Dropped(Job),
}
