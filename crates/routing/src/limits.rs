//! What the decisions ask of the limits that hold over all gates together.

use ironmast_balancer::Micros;

use crate::table::{ServerSpec, ServiceSpec};

/// How long until it is of use to ask again, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter(pub Micros);

/// Permits to send a request to a cold server, counted over all gates.
pub trait Permits {
    /// Takes one permit for one request to be sent now; it is spent also where the send fails.
    /// Where the bound is on the moment at which a request is written, this may only look whether
    /// there is one: the gate then takes it when it writes a [`Dispatch`](crate::Dispatch) that is
    /// `cold`, and tells [`Outcome::NotSent`](crate::Outcome) if there is none any more.
    ///
    /// # Errors
    /// The wait after which one may be there.
    fn try_acquire(&mut self, now: Micros, server: &ServerSpec) -> Result<(), RetryAfter>;
}

/// The budget for arrivals past the first of each request, counted over all gates.
pub trait RetryBudget {
    /// A client's request for a service was taken; called once for each.
    fn deposit(&mut self, _now: Micros, _service: &ServiceSpec) {}

    /// Takes one repeat out of the budget, if there is one.
    fn withdraw(&mut self, now: Micros, service: &ServiceSpec) -> bool;
}

/// Grants everything: for tests and for fleets without limits.
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
