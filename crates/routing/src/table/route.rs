//! A validated route, shared by the table and the requests on it.

use super::spec::RouteSpec;

/// Latency objective of a route that configures none, in milliseconds.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 1000;

/// A route of a table.
#[derive(Debug, PartialEq)]
pub struct Route {
    /// The route as the operator wrote it.
    pub spec: RouteSpec,
    /// Sum of the backends' weights.
    pub(crate) total_weight: u64,
}

impl Route {
    /// The latency objective in milliseconds, never 0. A route that configures none has one second,
    /// or its time-out if that is shorter.
    pub(crate) fn latency_objective_ms(&self) -> u64 {
        match self.spec.target_latency_ms {
            0 => self.spec.timeout_ms.clamp(1, DEFAULT_LATENCY_OBJECTIVE_MS),
            configured => configured,
        }
    }
}
