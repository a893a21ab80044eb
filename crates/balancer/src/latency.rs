//! Running estimates of latency quantiles.

use crate::api::Micros;

/// Running estimates of a class's latency quantiles, 0.5 and 0.9, in microseconds.
#[derive(Clone)]
pub(crate) struct LatencyQuantiles {
    pub median: f64,
    pub high: f64,
}

/// Moves a quantile estimate towards a new value.
pub(crate) fn follow(estimate: &mut f64, value: Micros, quantile: f64) {
    let up = if value as f64 > *estimate {
        quantile
    } else {
        quantile - 1.0
    };
    *estimate *= 1.0 + 0.05 * up;
}
