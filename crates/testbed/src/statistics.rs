//! Means with confidence intervals, and differences between runs of the same seeds.

use std::fmt;

use ironmast_emulator::Report;
use statrs::distribution::{ContinuousCDF as _, StudentsT};

/// A metric of a run, computed from its report.
pub(crate) type Metric = fn(&Report) -> f64;

/// The service of a run: the value served in time divided by the value requested.
pub(crate) const SERVICE: Metric = |report| report.service;

/// The service in the worst window of a run.
pub(crate) const WORST_WINDOW: Metric = |report| report.worst_window;

/// The 99th percentile of latency, in milliseconds.
pub(crate) const P99_MS: Metric = |report| report.latency_us.p99 as f64 / 1e3;

/// The quantile of Student's t distribution at the upper end of a two-sided 95 % interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// The mean; 0 without values.
    pub mean: f64,
    /// Half of the interval's width; infinite for fewer than two values.
    pub half_width: f64,
}

impl Estimate {
    /// The mean of independent values; the interval is that of Student's t distribution.
    pub(crate) fn of(values: &[f64]) -> Estimate {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Estimate {
                mean,
                half_width: f64::INFINITY,
            };
        }
        let squares = values.iter().map(|value| (value - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0);
        let t = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |distribution| {
            distribution.inverse_cdf(UPPER_QUANTILE)
        });
        Estimate {
            mean,
            half_width: t * (variance / count).sqrt(),
        }
    }

    /// The mean of the differences `minuend - subtrahend` of pairs.
    pub(crate) fn of_paired_differences(minuends: &[f64], subtrahends: &[f64]) -> Estimate {
        let pairs = minuends.iter().zip(subtrahends);
        let differences: Vec<f64> = pairs
            .map(|(minuend, subtrahend)| minuend - subtrahend)
            .collect();
        Estimate::of(&differences)
    }

    /// Whether the mean differs significantly from zero: the interval does not contain zero.
    pub(crate) fn is_significant(self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// Formats an estimate as `0.9310 +- 0.0040`; the mean alone if there is no interval.
impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4}", self.mean)?;
        if self.half_width.is_finite() {
            write!(f, " +- {:.4}", self.half_width)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
