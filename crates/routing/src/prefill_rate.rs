//! The prefill rate of a service's servers, by linear regression of the time to the first byte on
//! the tokens pending prefill. The intercept is the time that does not depend on tokens, such as
//! the network round trip.

use ironmast_balancer::Micros;

/// Factor by which the weight of earlier samples decays with each new one.
const DECAY: f64 = 0.99;
/// Multiple of the expected time to which a sample is limited, so that one outlier hardly changes
/// the rate.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Minimum of `n * sum(t^2) - sum(t)^2` as a fraction of `sum(t^2)`, over `n` samples of `t`
/// tokens. Below it the lengths vary too little to fit a slope, and the whole time is attributed to
/// the tokens.
const MIN_VARIANCE_SHARE: f64 = 0.01;
/// Number of sampled tokens, after decay, from which the rate is known.
const MIN_TOKENS: f64 = 20_000.0;

/// Running sums of a least-squares fit, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillRate {
    count: f64,
    tokens: f64,
    elapsed: f64,
    tokens_squared: f64,
    tokens_elapsed: f64,
}

impl PrefillRate {
    /// Records a time to the first byte, and the number of tokens that were prefilled in this time:
    /// those of the request and those ahead of it.
    pub(crate) fn record(&mut self, tokens: u64, elapsed: Micros) {
        let tokens = tokens as f64;
        let elapsed = self.bounded(tokens, elapsed as f64);
        self.count = self.count * DECAY + 1.0;
        self.tokens = self.tokens * DECAY + tokens;
        self.elapsed = self.elapsed * DECAY + elapsed;
        self.tokens_squared = self.tokens_squared * DECAY + tokens * tokens;
        self.tokens_elapsed = self.tokens_elapsed * DECAY + tokens * elapsed;
    }

    /// The time of a sample, limited to a multiple of the expected time.
    fn bounded(&self, tokens: f64, elapsed: f64) -> f64 {
        if self.is_known() {
            elapsed.min(MAX_SAMPLE_RATIO * (self.intercept() + self.slope() * tokens))
        } else {
            elapsed
        }
    }

    fn is_known(&self) -> bool {
        self.tokens >= MIN_TOKENS
    }

    /// Fitted time per token, in microseconds.
    fn slope(&self) -> f64 {
        let variance = self.count * self.tokens_squared - self.tokens * self.tokens;
        if variance <= self.tokens_squared * MIN_VARIANCE_SHARE {
            return self.elapsed / self.tokens;
        }
        let covariance = self.count * self.tokens_elapsed - self.tokens * self.elapsed;
        (covariance / variance).max(0.0)
    }

    /// Time to the first byte without any token, in microseconds.
    fn intercept(&self) -> f64 {
        ((self.elapsed - self.slope() * self.tokens) / self.count).max(0.0)
    }

    /// Time to prefill `tokens` tokens, in microseconds; 0 while the rate is unknown.
    pub(crate) fn time_for(&self, tokens: u64) -> f64 {
        if self.is_known() {
            tokens as f64 * self.slope()
        } else {
            0.0
        }
    }
}

#[cfg(test)]
mod tests;
