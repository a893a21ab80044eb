//! The times by which permits are safe.
//!
//! Let an old owner's last confirmation have been asked for before the new view was installed. It
//! grants for less than [`Terms::lease`] after that; each permit is used within [`Terms::life`]
//! after the gate sent its ask, thus after the owner read it; the request is on the way for at most
//! [`Terms::flight`]; and it counts for [`Terms::span`]. A new owner that begins [`Terms::quiet`],
//! the sum of the four, after the new view was confirmed shares no span with it.

use std::time::Duration;

use ironmast_limits::sliding_window::MAX_DELAY_VARIATION;
use ironmast_limits::slow_start::WINDOW;

#[cfg(test)]
mod tests;

/// The shortest life of a permit: a turn of the owner's process and of the gate's.
const SHORTEST: Duration = Duration::from_millis(40);

/// Times of one kind of permit; the same at all gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The span over which the bound counts.
    pub span: Duration,
    /// The longest difference between two requests' times on the way, plus what clocks differ in
    /// rate over `quiet`.
    pub flight: Duration,
    /// How long after the sending of the ask its permits may be used at most.
    pub life: Duration,
    /// How long after a confirmation was asked for the owner may grant by it.
    pub lease: Duration,
    /// How long an owner of a key that others may have owned grants nothing.
    pub quiet: Duration,
    /// The shortest life that a gate asks for.
    pub shortest: Duration,
}

impl Terms {
    /// Terms with the quiet period that the other times ask for.
    #[must_use]
    pub fn new(span: Duration, flight: Duration, life: Duration, lease: Duration) -> Self {
        Self {
            span,
            flight,
            life,
            lease,
            quiet: lease + life + flight + span,
            shortest: SHORTEST,
        }
    }

    /// Terms of the permits for cold servers.
    #[must_use]
    pub fn cold() -> Self {
        Self::new(
            WINDOW,
            MAX_DELAY_VARIATION,
            Duration::from_millis(300),
            Duration::from_secs(1),
        )
    }

    /// Terms of the retry burst, which counts over `window`.
    #[must_use]
    pub fn retry(window: Duration) -> Self {
        Self::new(
            window,
            MAX_DELAY_VARIATION,
            Duration::from_secs(1),
            Duration::from_secs(1),
        )
    }

    /// How long a permit counts against the pool, from the receipt of an ask for `life`, if nothing
    /// is heard of its use.
    #[must_use]
    pub fn charged(&self, life: Duration) -> Duration {
        life.min(self.life) + self.settles()
    }

    /// How long a permit counts against the pool after its use.
    #[must_use]
    pub fn settles(&self) -> Duration {
        self.flight + self.span
    }
}

/// How a bound is divided between the gates' own shares and the owner's pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// What each gate may use in a span without asking.
    pub share: u32,
    /// What the owner may have out in a span.
    pub pool: u32,
}

impl Split {
    /// Divides `bound` among at most `gates` gates, all of them or those of the server's region:
    /// `reserved_percent` of it goes to shares, rounded down, the rest to the pool.
    #[must_use]
    pub fn new(bound: u32, gates: u32, reserved_percent: u32) -> Self {
        let gates = gates.max(1);
        let reserved = u64::from(bound) * u64::from(reserved_percent.min(100)) / 100;
        let share = u32::try_from(reserved / u64::from(gates)).unwrap_or(0);
        Self {
            share,
            pool: bound - share * gates,
        }
    }

    /// The division for a gate that has no share, where only the gates of the server's region were
    /// counted.
    #[must_use]
    pub fn without_share(self) -> Self {
        Self { share: 0, ..self }
    }
}
