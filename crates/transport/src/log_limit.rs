//! Limits how often a message is logged whose cause may persist, such as descriptors that have run
//! out: the log must neither be silent about it nor be filled with it.

use std::time::{Duration, Instant};

/// After a line has been logged, the next one is logged no sooner than this.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// The limit of one message. It costs a few bytes and no timer.
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
