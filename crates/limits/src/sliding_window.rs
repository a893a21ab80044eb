//! Counts of events over a sliding window of time.
//!
//! [`SlidingLog`] stores the timestamp of each event and suits small counts. [`SlidingCounter`] stores
//! sums over slices of the window and suits large ones; its count is rounded to the side that the
//! caller chooses.

use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The largest difference between the network delays of two requests to one server.
pub const MAX_DELAY_VARIATION: Duration = Duration::from_millis(100);

/// The number of slices into which a [`SlidingCounter`] divides its window.
const SLICES: u32 = 128;

/// The window in which requests were sent that arrive within one `window` at their server.
#[must_use]
pub fn send_window(window: Duration) -> Duration {
    window + MAX_DELAY_VARIATION
}

/// The timestamps of the events of one window (a sliding-window log).
#[derive(Clone, Debug, Default)]
pub struct SlidingLog {
    /// Ascending.
    timestamps: VecDeque<Duration>,
}

impl SlidingLog {
    /// Counts an event at `now`.
    pub fn record(&mut self, now: Duration) {
        let latest = self.timestamps.back().copied().unwrap_or_default();
        self.timestamps.push_back(now.max(latest));
    }

    /// The number of events at most `window` before `now`. Older ones are dropped.
    pub fn count(&mut self, now: Duration, window: Duration) -> usize {
        while self
            .timestamps
            .front()
            .is_some_and(|timestamp| *timestamp + window < now)
        {
            self.timestamps.pop_front();
        }
        self.timestamps.len()
    }

    /// The first moment at which fewer than `limit` events remain in the window; `None` if `limit`
    /// is 0 or fewer events are stored already.
    #[must_use]
    pub fn available_at(&self, window: Duration, limit: usize) -> Option<Duration> {
        let surplus = self.timestamps.len().checked_sub(limit)?;
        let timestamp = self.timestamps.get(surplus)?;
        Some(*timestamp + window + Duration::from_nanos(1))
    }
}

/// How a [`SlidingCounter`] counts the slice that lies only partly in the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rounding {
    /// The slice counts in full: the count is never below the true one.
    Up,
    /// The slice does not count: the count is never above the true one.
    Down,
}

/// The events of one slice of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// The slices of the clock are numbered from its zero.
    index: u64,
    events: u64,
}

/// Sums of events over the slices of a window (a sliding-window counter).
#[derive(Clone, Debug)]
pub struct SlidingCounter {
    slice_length: Duration,
    rounding: Rounding,
    /// By ascending index.
    slices: VecDeque<Slice>,
    total: u64,
}

impl SlidingCounter {
    /// A counter over `window`, which must not be zero.
    #[must_use]
    pub fn new(window: Duration, rounding: Rounding) -> Self {
        let slice_length = (window / SLICES).max(Duration::from_nanos(1));
        Self {
            slice_length,
            rounding,
            slices: VecDeque::new(),
            total: 0,
        }
    }

    /// Counts an event at `now`.
    pub fn record(&mut self, now: Duration) {
        let index = self.slice_index(now);
        self.total += 1;
        match self.slices.back_mut() {
            Some(last) if last.index >= index => last.events += 1,
            _ => self.slices.push_back(Slice { index, events: 1 }),
        }
    }

    /// The number of events in the window that ends at `now`. Older ones are dropped.
    pub fn count(&mut self, now: Duration) -> u64 {
        let oldest = self.oldest_index(now);
        while let Some(expired) = self.slices.front().filter(|slice| slice.index < oldest) {
            self.total -= expired.events;
            self.slices.pop_front();
        }
        self.total
    }

    /// The first moment at which the oldest events leave the count; `None` if no event is stored.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        let oldest = self.slices.front()?;
        Some(self.slice_start(oldest.index + self.slices_before_current() + 1))
    }

    fn slice_index(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.slice_length.as_nanos()).unwrap_or(u64::MAX)
    }

    fn slice_start(&self, index: u64) -> Duration {
        let nanos = self.slice_length.as_nanos() * u128::from(index);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn oldest_index(&self, now: Duration) -> u64 {
        self.slice_index(now)
            .saturating_sub(self.slices_before_current())
    }

    /// The number of slices that count besides the one that contains the present moment.
    fn slices_before_current(&self) -> u64 {
        match self.rounding {
            Rounding::Up => u64::from(SLICES),
            Rounding::Down => u64::from(SLICES) - 1,
        }
    }
}
