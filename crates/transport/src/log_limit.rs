//! Limits how often a message with a persisting cause is logged, such as descriptors that have run
//! out. The first one is logged at once; later ones must not fill the log.

use std::time::{Duration, Instant};

/// The shortest time between two log lines of one message.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// A rate limit for one log message: at most one line per 10 s. It uses no timer.
#[derive(Debug, Default)]
pub struct LogLimit {
    last_logged: Option<Instant>,
    suppressed: u64,
}

impl LogLimit {
    /// Whether the message is to be logged now: `None` if not, else the number of times that it was
    /// suppressed since it was last logged.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        let is_recent = |last: Instant| now.saturating_duration_since(last) < MIN_INTERVAL;
        if self.last_logged.is_some_and(is_recent) {
            self.suppressed += 1;
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
