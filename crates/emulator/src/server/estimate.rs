//! Estimates of the time that a job would take at a server.

/// The time that a job would take at a server, in microseconds; infinite if it would not finish.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The time until the job enters a slot.
    pub wait: f64,
    /// The time until the job is finished.
    pub total: f64,
}

impl Estimate {
    /// The estimate for a job that would not finish.
    pub const NEVER: Estimate = Estimate {
        wait: f64::INFINITY,
        total: f64::INFINITY,
    };
}
