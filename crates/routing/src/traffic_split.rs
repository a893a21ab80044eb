//! Traffic splitting by weight. With random draws the shares of a few hundred requests would
//! deviate from the weights by several percentage points. A low-discrepancy sequence keeps the
//! requests of each gate within about one request of their shares.

use std::sync::Arc;

use ironmast_balancer::Rng;
use rustc_hash::FxHashMap;

/// Step of the sequence: the inverse of the golden ratio. The fractional parts of its multiples are
/// spread evenly over `[0, 1)` for any number of multiples (Kronecker sequence).
const STEP: f64 = 0.618_033_988_749_894_9;

/// The latest point of each route's sequence, by the name of the route.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplits(FxHashMap<Arc<str>, f64>);

impl TrafficSplits {
    /// The next point of a route's sequence, in `[0, 1)`. The first one is random, so that the
    /// gates do not all begin with the same backend.
    pub(crate) fn next_point(&mut self, route: &Arc<str>, rng: &mut Rng) -> f64 {
        let point = self.0.entry(route.clone()).or_insert_with(|| rng.unit());
        *point = (*point + STEP).fract();
        *point
    }

    /// Drops routes that no longer exist.
    pub(crate) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.0.retain(|route, _| exists(route));
    }
}

#[cfg(test)]
mod tests;
