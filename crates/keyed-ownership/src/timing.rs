//! The durations of permits and leases, and why they keep the permits of two owners apart.
//!
//! An old owner requested its last confirmation before the new view was installed
//! ([`crate::confirmation`]). Four durations follow that request:
//!
//! 1. The old owner grants for less than [`PermitTiming::lease_duration`].
//! 2. A gate uses a permit within [`PermitTiming::lifetime`] after sending its permit request, and
//!    thus within that time after the owner received it.
//! 3. The request to the server that uses the permit is delayed by at most
//!    [`PermitTiming::delay_variation`] more than others.
//! 4. That request counts for [`PermitTiming::window`].
//!
//! A new owner waits for [`PermitTiming::takeover_delay`], the sum of the four, after its view was
//! confirmed. Its permits therefore share no window with those of the old owner.
//!
//! The takeover delay follows a rule of Gray and Cheriton (1989): a lease that cannot be revoked is
//! waited out. Only durations are compared, never the clocks of two machines; the drift of two
//! clocks over the takeover delay is part of [`PermitTiming::delay_variation`].

use std::time::Duration;

use ironmast_limits::sliding_window::MAX_DELAY_VARIATION;
use ironmast_limits::slow_start::WINDOW;

#[cfg(test)]
mod tests;

/// The shortest lifetime of a permit, which allows for one scheduling delay of the owner's process
/// and one of the gate's.
const MIN_LIFETIME: Duration = Duration::from_millis(40);

/// The durations of one kind of permit; all gates must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitTiming {
    /// The window over which the bound counts requests.
    pub window: Duration,
    /// The largest difference between the network delays of two requests, plus the drift between
    /// two clocks over [`takeover_delay`](Self::takeover_delay).
    pub delay_variation: Duration,
    /// How long after sending a permit request a gate may use its permits.
    pub lifetime: Duration,
    /// The term of the lease: how long after requesting a confirmation the owner may grant under
    /// it. A longer term needs fewer confirmations but lengthens the takeover delay.
    pub lease_duration: Duration,
    /// How long a new owner grants nothing for a key that another gate may have owned. If it is
    /// shorter than [`new`](Self::new) computes, the permits of two owners may share a window.
    pub takeover_delay: Duration,
    /// The shortest lifetime that a gate requests. If it is too short, permits expire before they
    /// can be used.
    pub min_lifetime: Duration,
}

impl PermitTiming {
    /// The timing with the takeover delay that the other durations require: their sum.
    #[must_use]
    pub fn new(
        window: Duration,
        delay_variation: Duration,
        lifetime: Duration,
        lease_duration: Duration,
    ) -> Self {
        Self {
            window,
            delay_variation,
            lifetime,
            lease_duration,
            takeover_delay: lease_duration + lifetime + delay_variation + window,
            min_lifetime: MIN_LIFETIME,
        }
    }

    /// The timing of the permits for servers that are warming up.
    #[must_use]
    pub fn slow_start() -> Self {
        Self::new(
            WINDOW,
            MAX_DELAY_VARIATION,
            Duration::from_millis(300),
            Duration::from_secs(1),
        )
    }

    /// The timing of the permits from the burst of a retry budget, which counts over `window`.
    #[must_use]
    pub fn retry_burst(window: Duration) -> Self {
        Self::new(
            window,
            MAX_DELAY_VARIATION,
            Duration::from_secs(1),
            Duration::from_secs(1),
        )
    }

    /// How long after the owner received a request for `lifetime` a permit counts against the pool
    /// if its use is never reported.
    #[must_use]
    pub fn unreported_charge(&self, lifetime: Duration) -> Duration {
        lifetime.min(self.lifetime) + self.charge_after_use()
    }

    /// How long a permit counts against the pool after its use.
    #[must_use]
    pub fn charge_after_use(&self) -> Duration {
        self.delay_variation + self.window
    }
}
