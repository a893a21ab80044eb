//! The one clock: Unix time at the start, moved on by the monotonic clock, so that it never goes
//! back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds; as a clock reading, since the Unix epoch.
pub type Micros = u64;

/// Reads the time; copies agree.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock started now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros);
        Clock {
            start: Instant::now(),
            unix,
        }
    }

    /// The reading now.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The moment of a reading.
    #[must_use]
    pub fn at(&self, reading: Micros) -> Instant {
        self.start + Duration::from_micros(reading.saturating_sub(self.unix))
    }
}
