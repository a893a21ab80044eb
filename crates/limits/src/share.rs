//! The part of the cold-start bound that a gate may use without asking anybody.
//!
//! The bound is divided by the largest number of gates that can exist, so the sum of all shares
//! stays under it whatever the gates know of each other. A gate that starts has lost the count of
//! what its former process sent, and therefore sends nothing for one span first.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::wait::Wait;
use crate::window::Exact;

#[cfg(test)]
mod tests;

/// The span of the cold-start bound.
pub const COLD_SPAN: Duration = Duration::from_secs(1);

/// The longest difference between the time on the way of two requests to one server. Requests that
/// arrive within one second were sent within one second and this.
pub const FLIGHT: Duration = Duration::from_millis(100);

/// Requests a second that a cold server may get from all gates together, rounded down; 0 if
/// `per_second` is 0 or less, in which case the service has no bound and no limiter must be asked.
#[must_use]
pub fn cold_bound(per_second: f64, overshoot: f64, tolerance: f64) -> u32 {
    if per_second <= 0.0 {
        return 0;
    }
    let bound = per_second.mul_add(overshoot, tolerance).floor();
    // A float that is too large saturates, a negative one becomes 0.
    bound as u32
}

/// A gate's own share of the bound of each cold server, by key (the instance).
#[derive(Clone, Debug)]
pub struct ColdLimiter<K> {
    share: usize,
    span: Duration,
    /// Nothing may go before this moment, for what the process before this one may have sent.
    opens: Duration,
    sent: FxHashMap<K, Exact>,
}

impl<K: Eq + Hash + Clone> ColdLimiter<K> {
    /// A share of `bound_per_second` divided by `gates_upper_bound`, rounded down, for a process
    /// started at `started`.
    ///
    /// A share of 0 refuses everything with [`Wait::Unknown`].
    #[must_use]
    pub fn static_share(bound_per_second: u32, gates_upper_bound: u32, started: Duration) -> Self {
        let share = bound_per_second / gates_upper_bound.max(1);
        Self::with_span(share, COLD_SPAN + FLIGHT, started)
    }

    /// `share` requests in any `span`, for a process started at `started`.
    #[must_use]
    pub fn with_span(share: u32, span: Duration, started: Duration) -> Self {
        Self {
            share: share as usize,
            span,
            opens: started + span,
            sent: FxHashMap::default(),
        }
    }

    /// Requests this gate may send in one span.
    #[must_use]
    pub fn share(&self) -> u32 {
        u32::try_from(self.share).unwrap_or(u32::MAX)
    }

    /// Sets the share anew, after a change of the configuration or of the number of gates; what was
    /// sent still counts.
    pub fn set_share(&mut self, bound_per_second: u32, gates_upper_bound: u32) {
        self.share = (bound_per_second / gates_upper_bound.max(1)) as usize;
    }

    /// Takes the permission for one request, which must be written to the server at once.
    ///
    /// # Errors
    /// [`Wait`] with the moment of the next permission, if there is any.
    pub fn try_take(&mut self, now: Duration, key: &K) -> Result<(), Wait> {
        self.try_take_of(now, key, self.share())
    }

    /// As [`try_take`](Self::try_take) with another share, for a key whose bound is its own.
    ///
    /// # Errors
    /// As [`try_take`](Self::try_take).
    pub fn try_take_of(&mut self, now: Duration, key: &K, share: u32) -> Result<(), Wait> {
        self.check_of(now, key, share)?;
        self.record(now, key);
        Ok(())
    }

    /// Whether [`try_take`](Self::try_take) would give permission, without taking it.
    ///
    /// # Errors
    /// As [`try_take`](Self::try_take).
    pub fn check(&mut self, now: Duration, key: &K) -> Result<(), Wait> {
        self.check_of(now, key, self.share())
    }

    fn check_of(&mut self, now: Duration, key: &K, share: u32) -> Result<(), Wait> {
        let share = share as usize;
        if share == 0 {
            return Err(Wait::Unknown);
        }
        if now < self.opens {
            return Err(Wait::Until(self.opens));
        }
        let Some(window) = self.sent.get_mut(key) else {
            return Ok(());
        };
        if window.count(now, self.span) < share {
            return Ok(());
        }
        Err(window
            .room_at(self.span, share)
            .map_or(Wait::Unknown, Wait::Until))
    }

    /// Counts a request that went without permission, such as one sent just before the server was
    /// known to be cold.
    pub fn record(&mut self, now: Duration, key: &K) {
        if let Some(window) = self.sent.get_mut(key) {
            window.record(now);
            return;
        }
        let mut window = Exact::default();
        window.record(now);
        self.sent.insert(key.clone(), window);
    }

    /// Drops the keys to which nothing was sent within the span. To be called now and then.
    pub fn sweep(&mut self, now: Duration) {
        let span = self.span;
        self.sent.retain(|_, window| window.count(now, span) > 0);
    }
}
