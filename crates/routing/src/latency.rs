//! Latency baselines: exponentially weighted moving averages of the time to the first byte and of
//! the duration of a complete response.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

use crate::table::Route;

/// Weight of a new sample in an average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// A sample counts for at most this multiple of the average, so that one outlier moves it little.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Before any sample, the time to the first byte is assumed to be this fraction of the latency
/// objective.
const INITIAL_FIRST_BYTE_SHARE: f64 = 0.5;

/// Average latencies of routes and services, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    /// Time to the first byte, by name of the route.
    first_byte: FxHashMap<Arc<str>, f64>,
    /// Duration of a complete response, by name of the service: the time for which a request
    /// occupies a slot, over the service's mix of routes.
    response: FxHashMap<Arc<str>, f64>,
}

impl LatencyBaselines {
    /// Average time to the first byte on a route. Before any sample it is
    /// [`INITIAL_FIRST_BYTE_SHARE`] of the latency objective.
    pub(crate) fn first_byte(&self, route: &Route) -> f64 {
        let assumed = (objective(route) * INITIAL_FIRST_BYTE_SHARE).max(1.0);
        let known = self.first_byte.get(&route.spec.name);
        known.copied().unwrap_or(assumed)
    }

    /// Average duration of a complete response of a service. Before any sample it is the latency
    /// objective of `route`.
    pub(crate) fn response(&self, service: &str, route: &Route) -> f64 {
        let known = self.response.get(service);
        known.copied().unwrap_or(objective(route).max(1.0))
    }

    /// Records the time to a first byte, and returns it as a multiple of the previous average.
    pub(crate) fn record_first_byte(&mut self, route: &Route, elapsed: Micros) -> f64 {
        let average = self.first_byte(route);
        self.first_byte
            .insert(route.spec.name.clone(), updated(average, elapsed));
        elapsed as f64 / average
    }

    /// Records the duration of a complete response of a service.
    pub(crate) fn record_response(&mut self, service: &Arc<str>, route: &Route, elapsed: Micros) {
        let average = self.response(service, route);
        self.response
            .insert(service.clone(), updated(average, elapsed));
    }

    /// Drops routes and services that no longer exist.
    pub(crate) fn retain(
        &mut self,
        route_exists: impl Fn(&str) -> bool,
        service_exists: impl Fn(&str) -> bool,
    ) {
        self.first_byte.retain(|name, _| route_exists(name));
        self.response.retain(|name, _| service_exists(name));
    }
}

/// The latency objective of a route, in microseconds.
fn objective(route: &Route) -> f64 {
    route.latency_objective_ms() as f64 * 1000.0
}

/// The average after one more sample.
fn updated(average: f64, sample: Micros) -> f64 {
    let bounded = (sample as f64).clamp(1.0, MAX_SAMPLE_RATIO * average);
    average + SAMPLE_WEIGHT * (bounded - average)
}

#[cfg(test)]
mod tests;
