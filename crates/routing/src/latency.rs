//! What is usual: running means of the time to the first byte and of a whole answer.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

use crate::table::Route;

/// PrefillRate of the means.
const PACE: f64 = 0.05;
/// One answer moves a mean as if it took no longer than this many times the mean.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Before any answer the first byte is taken to come after this part of the objective.
const FIRST_SHARE: f64 = 0.5;

/// Usual times, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct LatencyBaselines {
    /// To the first byte, by route.
    first: FxHashMap<Arc<str>, f64>,
    /// Of a whole answer, by service: what its slots are taken for, whatever the mix.
    whole: FxHashMap<Arc<str>, f64>,
}

impl LatencyBaselines {
    /// The usual time to the first byte on a route.
    pub fn first(&self, route: &Route) -> f64 {
        let hoped = (target(route) * FIRST_SHARE).max(1.0);
        self.first.get(&route.spec.name).copied().unwrap_or(hoped)
    }

    /// The usual time of a whole answer at a service; before any answer the objective of the route
    /// that asks.
    pub fn whole(&self, service: &str, route: &Route) -> f64 {
        self.whole
            .get(service)
            .copied()
            .unwrap_or(target(route).max(1.0))
    }

    /// An answer's first byte came after so long; tells that time as a multiple of the usual.
    pub fn record_first_byte(&mut self, route: &Route, took: Micros) -> f64 {
        let usual = self.first(route);
        self.first
            .insert(route.spec.name.clone(), follow(usual, took));
        took as f64 / usual
    }

    /// A whole answer of a service took so long.
    pub fn served(&mut self, service: &Arc<str>, route: &Route, took: Micros) {
        let usual = self.whole(service, route);
        self.whole.insert(service.clone(), follow(usual, took));
    }

    /// Forgets routes and services that are gone.
    pub fn keep(&mut self, route: impl Fn(&str) -> bool, service: impl Fn(&str) -> bool) {
        self.first.retain(|name, _| route(name));
        self.whole.retain(|name, _| service(name));
    }
}

fn target(route: &Route) -> f64 {
    route.latency_objective_ms() as f64 * 1000.0
}

fn follow(mean: f64, took: Micros) -> f64 {
    mean + PACE * ((took as f64).clamp(1.0, MAX_SAMPLE_RATIO * mean) - mean)
}

#[cfg(test)]
mod tests;
