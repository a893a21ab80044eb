//! Means with confidence intervals, and differences between runs of the same seeds.

use ironmast_emulator::Report;
use statrs::distribution::{ContinuousCDF as _, StudentsT};

/// One figure of a run.
pub(crate) type Figure = fn(&Report) -> f64;

/// A mean and the half width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mean {
    /// The mean.
    pub value: f64,
    /// Half of the interval's width; infinite for fewer than two values.
    pub half: f64,
}

/// The mean of some values, with Student's t.
pub(crate) fn mean(values: &[f64]) -> Mean {
    let n = values.len() as f64;
    let value = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return Mean {
            value,
            half: f64::INFINITY,
        };
    }
    let variance = values.iter().map(|v| (v - value).powi(2)).sum::<f64>() / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
    Mean {
        value,
        half: t * (variance / n).sqrt(),
    }
}

/// The mean difference of pairs, `a - b`.
pub(crate) fn paired(a: &[f64], b: &[f64]) -> Mean {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| a - b).collect();
    mean(&differences)
}

impl Mean {
    /// Whether it differs from zero by more than chance explains.
    pub(crate) fn is_real(self) -> bool {
        self.value.abs() > self.half
    }

    /// `0.931 +- 0.004`.
    pub(crate) fn text(self) -> String {
        if self.half.is_finite() {
            format!("{:.4} +- {:.4}", self.value, self.half)
        } else {
            format!("{:.4}", self.value)
        }
    }
}

#[cfg(test)]
mod tests;
