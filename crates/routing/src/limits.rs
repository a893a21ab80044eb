//! Interfaces of the limits that hold over all gates together. The gate implements them.

use ironmast_balancer::Micros;

use crate::table::{ServerSpec, ServiceSpec};

/// Time after which a permit may be available, in microseconds; the error if none is available now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter(pub Micros);

/// Permits to send a request to a server that is warming up, counted over all gates (Envoy calls
/// the mechanism slow start).
pub trait Permits {
    /// Acquires a permit to send one request to a server now. It is used up even if sending fails.
    ///
    /// Where the limit applies to the moment at which a request is written, an implementation may
    /// only test whether a permit is available: the gate then acquires it when it writes a
    /// [`Dispatch`](crate::Dispatch) to a server that is warming up, and reports
    /// [`Outcome::NotSent`](crate::Outcome) if none is available any more.
    ///
    /// # Errors
    /// The time after which a permit may be available.
    fn try_acquire(&mut self, now: Micros, server: &ServerSpec) -> Result<(), RetryAfter>;
}

/// The retry budget of a service, counted over all gates. The names follow `tower::retry::budget`.
pub trait RetryBudget {
    /// Records a client's request for a service, which adds to the budget. Called once for each
    /// request.
    fn deposit(&mut self, _now: Micros, _service: &ServiceSpec) {}

    /// Withdraws one retry from the budget. Returns false if the budget is exhausted.
    fn withdraw(&mut self, now: Micros, service: &ServiceSpec) -> bool;
}

/// Limits that grant every permit and every retry, for tests and for deployments without limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Permits for Unlimited {
    fn try_acquire(&mut self, _now: Micros, _server: &ServerSpec) -> Result<(), RetryAfter> {
        Ok(())
    }
}

impl RetryBudget for Unlimited {
    fn withdraw(&mut self, _now: Micros, _service: &ServiceSpec) -> bool {
        true
    }
}
