//! The part of the retry budget that a gate may use without asking anybody.
//!
//! A gate's repeats to a service within the window stay under [`SAFETY`] of the ratio times its own
//! requests within the window, plus its share of the burst. Why the safety: the rule compares the
//! repeats of a window with the requests of that window, of the one before it, or of the one half
//! before it, all gates together. The windows of two gates that end at their last repeats lie
//! anywhere in those two windows, so the sum of the gates' requests is at most twice the largest of
//! the three counts; half of the ratio holds for any arrivals.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::share::FLIGHT;
use crate::wait::Wait;
use crate::window::{Buckets, Partial};

#[cfg(test)]
mod tests;

/// The part of the ratio that a gate uses of its own requests.
pub const SAFETY: f64 = 0.5;

/// The bound of the retry budget for each service, all gates together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// `retry_budget_ratio`: repeats for each request.
    pub ratio: f64,
    /// `retry_burst`: repeats besides, in a window.
    pub burst: u32,
    /// `retry_window_s` as a span.
    pub window: Duration,
}

#[derive(Clone, Debug)]
struct Counts {
    requests: Buckets,
    repeats: Buckets,
}

/// A gate's own part of the retry budget, by key (the service).
#[derive(Clone, Debug)]
pub struct RetryBudget<K> {
    ratio: f64,
    share: u32,
    window: Duration,
    /// The burst share is not available before this moment, for what the process before this one
    /// may have used.
    opens: Duration,
    services: FxHashMap<K, Counts>,
}

impl<K: Eq + Hash + Clone> RetryBudget<K> {
    /// The part of one of at most `gates_upper_bound` gates, for a process started at `started`.
    #[must_use]
    pub fn local(terms: RetryTerms, gates_upper_bound: u32, started: Duration) -> Self {
        Self::with_share(terms, terms.burst / gates_upper_bound.max(1), started)
    }

    /// The part of a gate that may use `share` of the burst, for a process started at `started`.
    #[must_use]
    pub fn with_share(terms: RetryTerms, share: u32, started: Duration) -> Self {
        Self {
            ratio: terms.ratio * SAFETY,
            share,
            window: terms.window,
            opens: started + span(terms.window),
            services: FxHashMap::default(),
        }
    }

    /// Repeats this gate may send in a window beyond the ratio.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.share
    }

    /// A client's request for a route of the service was read. Repeats must not be reported here.
    pub fn on_request(&mut self, now: Duration, service: &K) {
        self.counts(service).requests.record(now);
    }

    /// Takes the permission for one repeat, which must be sent at once.
    ///
    /// # Errors
    /// [`Wait`] with the first moment at which more may be permitted even without further requests.
    pub fn try_take(&mut self, now: Duration, service: &K) -> Result<(), Wait> {
        self.check(now, service)?;
        self.record(now, service);
        Ok(())
    }

    /// Whether [`try_take`](Self::try_take) would give permission, without taking it.
    ///
    /// # Errors
    /// As [`try_take`](Self::try_take).
    pub fn check(&mut self, now: Duration, service: &K) -> Result<(), Wait> {
        let opened = now >= self.opens;
        let opens = self.opens;
        let burst = if opened { f64::from(self.share) } else { 0.0 };
        let ratio = self.ratio;
        let counts = self.counts(service);
        let allowed = ratio.mul_add(counts.requests.count(now) as f64, burst);
        if (counts.repeats.count(now) + 1) as f64 <= allowed {
            return Ok(());
        }
        let leaves = counts
            .repeats
            .next_leaves()
            .map_or(Wait::Unknown, Wait::Until);
        if opened || self.share == 0 {
            Err(leaves)
        } else {
            Err(leaves.sooner(Wait::Until(opens)))
        }
    }

    /// Counts a repeat that went by another permission.
    pub fn record(&mut self, now: Duration, service: &K) {
        self.counts(service).repeats.record(now);
    }

    /// Drops the services without requests and repeats within the window. To be called now and
    /// then.
    pub fn sweep(&mut self, now: Duration) {
        self.services
            .retain(|_, counts| counts.requests.count(now) + counts.repeats.count(now) > 0);
    }

    fn counts(&mut self, service: &K) -> &mut Counts {
        let window = self.window;
        self.services
            .entry(service.clone())
            .or_insert_with(|| Counts::new(window))
    }
}

impl Counts {
    fn new(window: Duration) -> Self {
        Self {
            // A request is read up to its time on the way after the client sent it.
            requests: Buckets::new(window.saturating_sub(FLIGHT), Partial::Ignored),
            repeats: Buckets::new(span(window), Partial::Counts),
        }
    }
}

/// The span in which repeats must have been sent that arrive within one window.
fn span(window: Duration) -> Duration {
    window + FLIGHT
}
