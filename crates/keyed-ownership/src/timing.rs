//! The durations that make permits safe.
//!
//! Let the last confirmation of an old owner have been requested before the new view was installed.
//! The old owner grants for less than [`PermitTiming::lease_duration`] after that request. Each
//! permit is used within [`PermitTiming::lifetime`] after the gate sent its request, and thus after
//! the owner received it. Its request to the server is delayed by at most
//! [`PermitTiming::delay_variation`] and counts for [`PermitTiming::window`]. A new owner that
//! waits for [`PermitTiming::takeover_delay`], the sum of the four, after the new view was
//! confirmed therefore shares no window with the old one.
//!
//! This is the rule of Gray and Cheriton (1989) that a lease which cannot be revoked is waited out.
//! Only lengths of time are compared, never the clocks of two machines; how much two clocks drift
//! apart in such a time is part of [`PermitTiming::delay_variation`].

use std::time::Duration;

use ironmast_limits::sliding_window::MAX_DELAY_VARIATION;
use ironmast_limits::slow_start::WINDOW;

#[cfg(test)]
mod tests;

/// The shortest lifetime of a permit: a scheduling delay of the owner's process and one of the
/// gate's.
const MIN_LIFETIME: Duration = Duration::from_millis(40);

/// The durations of one kind of permit. They are the same at all gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitTiming {
    /// The window over which the bound counts requests.
    pub window: Duration,
    /// The largest difference between the network delays of two requests, plus the drift between
    /// two clocks over `takeover_delay`.
    pub delay_variation: Duration,
    /// The longest time after the sending of a permit request in which its permits may be used.
    pub lifetime: Duration,
    /// How long after a confirmation was requested the owner may grant under it: the term of the
    /// lease. A longer one needs fewer confirmations and lengthens the takeover delay.
    pub lease_duration: Duration,
    /// How long the owner of a key that others may have owned grants nothing. With a shorter one
    /// than [`new`](Self::new) computes, the permits of two owners may share a window.
    pub takeover_delay: Duration,
    /// The shortest lifetime that a gate requests. With a shorter one, permits may expire before
    /// they are used.
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

    /// How long a permit counts against the pool after the receipt of a request for `lifetime`, if
    /// its use is never reported.
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
