//! A gate's part of the retry budget of each service.
//!
//! The retries that a gate sends to a service within the window are at most its requests within the
//! window times the ratio times [`RATIO_SAFETY_FACTOR`], plus its share of the burst.
//!
//! The factor is needed because the bound compares the retries of a window with the largest count
//! of requests in three windows, over all gates together: the same window, the one before it, and
//! the one that starts half a window before it. Each gate compares its retries with its requests in
//! the window that ends at its latest retry. That window may lie anywhere in the first two, so the
//! requests that all gates have counted are at most those of the first two together, which is at
//! most twice the largest of the three counts. With half of the ratio the bound therefore holds for
//! any arrivals.
//!
//! Deposits and withdrawals have the names that the retry budgets of tower and Finagle use.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::error::LimitExceeded;
use crate::sliding_window::{MAX_DELAY_VARIATION, Rounding, SlidingCounter, send_window};

#[cfg(test)]
mod tests;

/// The factor by which a gate multiplies the ratio for its own requests; the module documentation
/// derives it.
pub const RATIO_SAFETY_FACTOR: f64 = 0.5;

/// The bound on the retries to each service, over all gates together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// `retry_budget_ratio`: retries per request.
    pub ratio: f64,
    /// `retry_burst`: retries in a window that are permitted in addition to the ratio.
    pub burst: u32,
    /// `retry_window_s` as a duration: the window over which requests and retries are counted.
    pub window: Duration,
}

/// The requests and retries that this gate sent to one service within the window.
#[derive(Clone, Debug)]
struct Usage {
    requests: SlidingCounter,
    retries: SlidingCounter,
}

/// A gate's part of the retry budget, by key (the service).
#[derive(Clone, Debug)]
pub struct RetryBudget<K> {
    settings: RetryBudgetSettings,
    burst_share: u32,
    /// The burst is not available before this time, because the previous process may have used it.
    burst_from: Duration,
    services: FxHashMap<K, Usage>,
}

impl<K: Eq + Hash + Clone> RetryBudget<K> {
    /// The budget of a gate with an even share of the burst among `max_gates` gates, for a process
    /// that started at `started`.
    #[must_use]
    pub fn with_even_share(
        settings: RetryBudgetSettings,
        max_gates: u32,
        started: Duration,
    ) -> Self {
        Self::with_burst_share(settings, settings.burst / max_gates.max(1), started)
    }

    /// The budget of a gate that may use `burst_share` of the burst, for a process that started at
    /// `started`.
    #[must_use]
    pub fn with_burst_share(
        settings: RetryBudgetSettings,
        burst_share: u32,
        started: Duration,
    ) -> Self {
        Self {
            settings,
            burst_share,
            burst_from: started + send_window(settings.window),
            services: FxHashMap::default(),
        }
    }

    /// Divides the burst evenly among another number of gates. Counts are kept, so that a gate that
    /// has sent more than its new share waits until those retries have left the window.
    pub fn set_even_share(&mut self, max_gates: u32) {
        self.burst_share = self.settings.burst / max_gates.max(1);
    }

    /// Replaces the bound, with an even share of its burst among `max_gates` gates. Counts are kept
    /// unless the length of the window changes: it is then unknown what was sent within it, and the
    /// budget starts again as that of a process started at `now`.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings, max_gates: u32, now: Duration) {
        if settings.window != self.settings.window {
            *self = Self::with_even_share(settings, max_gates, now);
            return;
        }
        self.settings = settings;
        self.set_even_share(max_gates);
    }

    /// The number of retries that this gate may send in a window in addition to the ratio.
    #[must_use]
    pub fn burst_share(&self) -> u32 {
        self.burst_share
    }

    /// Counts a client's request to the service, which raises the budget. Must not be called for
    /// retries.
    pub fn deposit(&mut self, now: Duration, service: &K) {
        self.usage(service).requests.record(now);
    }

    /// Withdraws one retry, which must be sent at once.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the earliest time at which the budget may rise without further
    /// requests, if it is known.
    pub fn withdraw(&mut self, now: Duration, service: &K) -> Result<(), LimitExceeded> {
        self.check(now, service)?;
        self.usage(service).retries.record(now);
        Ok(())
    }

    /// Drops the services without requests and retries within the window. Must be called
    /// periodically to bound memory.
    pub fn sweep(&mut self, now: Duration) {
        self.services
            .retain(|_, usage| usage.requests.count(now) + usage.retries.count(now) > 0);
    }

    fn check(&mut self, now: Duration, service: &K) -> Result<(), LimitExceeded> {
        let burst_available = now >= self.burst_from;
        let burst = if burst_available { self.burst_share } else { 0 };
        let ratio = self.settings.ratio * RATIO_SAFETY_FACTOR;
        let usage = self.usage(service);
        let allowed = ratio.mul_add(usage.requests.count(now) as f64, f64::from(burst));
        if (usage.retries.count(now) + 1) as f64 <= allowed {
            return Ok(());
        }
        let next_expiry = usage.retries.next_expiry();
        let exceeded = next_expiry.map_or(LimitExceeded::Indefinitely, LimitExceeded::Until);
        if burst_available || self.burst_share == 0 {
            Err(exceeded)
        } else {
            Err(exceeded.earlier(LimitExceeded::Until(self.burst_from)))
        }
    }

    fn usage(&mut self, service: &K) -> &mut Usage {
        let window = self.settings.window;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Usage::new(window))
    }
}

impl Usage {
    fn new(window: Duration) -> Self {
        // The gate counts a request when it reads it, up to a network delay after the client sent
        // it.
        let requests_window = window.saturating_sub(MAX_DELAY_VARIATION);
        Self {
            requests: SlidingCounter::new(requests_window, Rounding::Down),
            retries: SlidingCounter::new(send_window(window), Rounding::Up),
        }
    }
}
