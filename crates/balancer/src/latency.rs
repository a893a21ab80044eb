//! Running estimates of latency quantiles.

use crate::api::Micros;

/// The step size of an estimate, relative to it: a smaller one makes the estimate steadier and
/// slower to adapt. At the quantile, steps up and down balance (stochastic approximation of a
/// quantile).
const STEP: f64 = 0.05;
/// The median assumed before any response, as a part of the latency target.
const INITIAL_MEDIAN_SHARE: f64 = 0.2;
/// The 0.9 quantile assumed before any response, as a part of the latency target.
const INITIAL_P90_SHARE: f64 = 0.4;

/// Running estimates of a class's latency quantiles, in microseconds.
#[derive(Clone)]
pub(crate) struct LatencyQuantiles {
    /// The 0.5 quantile.
    pub median: f64,
    /// The 0.9 quantile.
    pub p90: f64,
}

impl LatencyQuantiles {
    /// The estimates before any response.
    pub(crate) fn new(latency_target: Micros) -> Self {
        LatencyQuantiles {
            median: latency_target as f64 * INITIAL_MEDIAN_SHARE,
            p90: latency_target as f64 * INITIAL_P90_SHARE,
        }
    }

    /// Updates the estimates with the latency of one successful response.
    pub(crate) fn record(&mut self, latency: Micros) {
        update_quantile(&mut self.median, latency, 0.5);
        update_quantile(&mut self.p90, latency, 0.9);
    }
}

/// Moves a quantile estimate one step towards a new value.
fn update_quantile(estimate: &mut f64, value: Micros, quantile: f64) {
    let direction = if value as f64 > *estimate {
        quantile
    } else {
        quantile - 1.0
    };
    *estimate *= 1.0 + STEP * direction;
}
