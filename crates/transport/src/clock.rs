//! The clock of a process: the Unix time of its start, advanced by the monotonic clock, so that
//! readings never go back when the system time is set.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A duration in microseconds; as a clock reading, microseconds since the Unix epoch.
pub type Micros = u64;

/// A monotonic clock that reads Unix time in microseconds. Copies give the same readings.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// Starts a clock at the present system time.
    #[must_use]
    pub fn start() -> Self {
        let unix_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_micros() as Micros);
        Clock {
            start: Instant::now(),
            unix_start,
        }
    }

    /// The current time, in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// The [`Instant`] of a reading; the start of the clock for earlier ones.
    #[must_use]
    pub fn at(&self, reading: Micros) -> Instant {
        self.start + Duration::from_micros(reading.saturating_sub(self.unix_start))
    }
}
