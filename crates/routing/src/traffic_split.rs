//! The part of a split route that a request goes to. Drawn by chance, the parts of a few hundred
//! requests would stray by several hundredths from their weights; taken by equal steps, each gate's
//! stray by one request.

use std::sync::Arc;

use ironmast_balancer::Rng;
use rustc_hash::FxHashMap;

/// The golden ratio: multiples of it, less their whole part, fall evenly between 0 and 1 however
/// many there are.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The last step of each route, by name.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits(FxHashMap<Arc<str>, f64>);

impl TrafficSplits {
    /// The next point of a route, from 0 up to 1. The first is drawn: gates must not all begin with
    /// the same part.
    pub fn next(&mut self, route: &Arc<str>, rng: &mut Rng) -> f64 {
        let point = self.0.entry(route.clone()).or_insert_with(|| rng.unit());
        *point = (*point + STEP).fract();
        *point
    }

    /// Forgets routes that are gone.
    pub fn keep(&mut self, known: impl Fn(&str) -> bool) {
        self.0.retain(|route, _| known(route));
    }
}

#[cfg(test)]
mod tests;
