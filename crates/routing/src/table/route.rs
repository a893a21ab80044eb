//! A validated route, shared by the table and the requests that match it.

use super::spec::RouteSpec;

/// Default latency objective of a route, in milliseconds.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 1000;

/// A validated route of a table.
#[derive(Debug, PartialEq)]
pub struct Route {
    /// The route as the operator wrote it.
    pub spec: RouteSpec,
    /// Sum of the backends' weights.
    pub(crate) total_weight: u64,
}

impl Route {
    /// The latency objective in milliseconds, never 0. The default is one second, or the route's
    /// time-out if that is shorter.
    pub(crate) fn latency_objective_ms(&self) -> u64 {
        match self.spec.target_latency_ms {
            0 => self.spec.timeout_ms.clamp(1, DEFAULT_LATENCY_OBJECTIVE_MS),
            configured => configured,
        }
    }
}
