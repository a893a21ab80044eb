//! How long a job would take at a server.

/// The time that a job would take, in microseconds; infinite if it would not finish.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Until it enters a slot.
    pub wait: f64,
    /// Until it is done.
    pub total: f64,
}

impl Estimate {
    /// The estimate for a job that would not finish.
    pub const NEVER: Estimate = Estimate {
        wait: f64::INFINITY,
        total: f64::INFINITY,
    };
}
