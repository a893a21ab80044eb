//! The limiter of the requests that a gate sends to a server while it is warming up.
//!
//! The bound of each server is divided among the gates, so that the sum of their quotas stays
//! within it: evenly among a maximum number of gates ([`SlowStartLimiter::with_even_share`]), or as
//! the caller computes it for each key ([`SlowStartLimiter::try_acquire_within`] with
//! [`GateSet::quota`](crate::GateSet::quota), as the gate does). A gate that has just started does
//! not know what its previous process sent, and therefore sends nothing for one window.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::error::LimitExceeded;
use crate::sliding_window::{MAX_DELAY_VARIATION, SlidingLog, send_window};

#[cfg(test)]
mod tests;

/// The window over which the slow-start bound counts requests.
pub const WINDOW: Duration = Duration::from_secs(1);

/// The number of requests per [`WINDOW`] that a server may receive from all gates together while it
/// is warming up, rounded down.
///
/// The result is 0 if `per_second` is 0 or less: the service then has no bound, and its requests
/// must not be passed to a limiter.
#[must_use]
pub fn slow_start_bound(per_second: f64, overshoot: f64, tolerance: f64) -> u32 {
    if per_second <= 0.0 {
        return 0;
    }
    let bound = per_second.mul_add(overshoot, tolerance).floor();
    // The conversion saturates: a value that is too large becomes `u32::MAX`, a negative one 0.
    bound as u32
}

/// A limiter of what this gate sends to each server that is warming up, by key (the instance).
#[derive(Clone, Debug)]
pub struct SlowStartLimiter<K> {
    quota: u32,
    window: Duration,
    /// No request is permitted before this time, because the previous process may have used the
    /// quota.
    available_from: Duration,
    sent: FxHashMap<K, SlidingLog>,
}

impl<K: Eq + Hash + Clone> SlowStartLimiter<K> {
    /// A limiter with an even share of `bound` among `max_gates` gates, rounded down, for a process
    /// that started at `started`.
    ///
    /// A quota of 0 rejects every request with [`LimitExceeded::Indefinitely`].
    #[must_use]
    pub fn with_even_share(bound: u32, max_gates: u32, started: Duration) -> Self {
        let quota = bound / max_gates.max(1);
        Self::with_quota(quota, send_window(WINDOW), started)
    }

    /// A limiter of `quota` requests in any `window`, for a process that started at `started`.
    #[must_use]
    pub fn with_quota(quota: u32, window: Duration, started: Duration) -> Self {
        Self {
            quota,
            window,
            available_from: started + window,
            sent: FxHashMap::default(),
        }
    }

    /// The number of requests that this gate may send to one server in one window.
    #[must_use]
    pub fn quota(&self) -> u32 {
        self.quota
    }

    /// Acquires the permit for one request, which must be written to the server at once.
    ///
    /// # Errors
    /// [`LimitExceeded`] with the time of the next permit, if it is known.
    pub fn try_acquire(&mut self, now: Duration, key: &K) -> Result<(), LimitExceeded> {
        self.try_acquire_within(now, key, self.quota)
    }

    /// Acquires the permit for one request to a key that has its own `quota`; otherwise like
    /// [`try_acquire`](Self::try_acquire).
    ///
    /// # Errors
    /// [`LimitExceeded`] with the time of the next permit, if it is known.
    pub fn try_acquire_within(
        &mut self,
        now: Duration,
        key: &K,
        quota: u32,
    ) -> Result<(), LimitExceeded> {
        self.check(now, key, quota as usize)?;
        self.record(now, key);
        Ok(())
    }

    /// Counts a request that was sent without a permit, such as one sent just before the server
    /// became known to be warming up.
    pub fn record(&mut self, now: Duration, key: &K) {
        if let Some(log) = self.sent.get_mut(key) {
            log.record(now);
            return;
        }
        let mut log = SlidingLog::default();
        log.record(now);
        self.sent.insert(key.clone(), log);
    }

    /// Records that the server was warm at `time`: requests that have certainly arrived by then no
    /// longer count.
    pub fn record_warm(&mut self, time: Duration, key: &K) {
        if let Some(log) = self.sent.get_mut(key) {
            log.forget_until(time.saturating_sub(MAX_DELAY_VARIATION));
        }
    }

    /// Drops the keys to which nothing was sent within the window. Must be called periodically to
    /// bound memory.
    pub fn sweep(&mut self, now: Duration) {
        let window = self.window;
        self.sent.retain(|_, log| log.count(now, window) > 0);
    }

    fn check(&mut self, now: Duration, key: &K, quota: usize) -> Result<(), LimitExceeded> {
        if quota == 0 {
            return Err(LimitExceeded::Indefinitely);
        }
        if now < self.available_from {
            return Err(LimitExceeded::Until(self.available_from));
        }
        let Some(log) = self.sent.get_mut(key) else {
            return Ok(());
        };
        if log.count(now, self.window) < quota {
            return Ok(());
        }
        Err(log
            .available_at(self.window, quota)
            .map_or(LimitExceeded::Indefinitely, LimitExceeded::Until))
    }
}
