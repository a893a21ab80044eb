//! Counts of events over a sliding window of time.
//!
//! [`SlidingLog`] stores the timestamp of each event and is exact, for small counts.
//! [`SlidingCounter`] stores sums over slices of the window, for large counts; its count is rounded
//! up or down as the caller chooses.

use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The largest assumed difference between the network delays of two requests to one server.
pub const MAX_DELAY_VARIATION: Duration = Duration::from_millis(100);

/// The number of slices into which a [`SlidingCounter`] divides its window.
const SLICES: u32 = 128;

/// The longest time over which requests may have been sent that arrive at their server within one
/// `window`.
#[must_use]
pub fn send_window(window: Duration) -> Duration {
    window + MAX_DELAY_VARIATION
}

/// The timestamps of the events in a window (a sliding-window log).
#[derive(Clone, Debug, Default)]
pub struct SlidingLog {
    /// In ascending order.
    timestamps: VecDeque<Duration>,
}

impl SlidingLog {
    /// Records an event at `now`, or at the time of the latest event if that is later.
    pub fn record(&mut self, now: Duration) {
        let latest = self.timestamps.back().copied().unwrap_or_default();
        self.timestamps.push_back(now.max(latest));
    }

    /// The number of events no earlier than `window` before `now`. Drops older ones.
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

    /// Drops the events at or before `time`.
    pub fn forget_until(&mut self, time: Duration) {
        let dropped = self
            .timestamps
            .partition_point(|timestamp| *timestamp <= time);
        self.timestamps.drain(..dropped);
    }

    /// The earliest time at which fewer than `limit` events remain in the window; `None` if `limit`
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

/// The number of events in one slice of time.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    /// The number of the slice, counted from the zero of the clock.
    index: u64,
    events: u64,
}

/// The numbers of events in the slices of a window (a sliding-window counter).
#[derive(Clone, Debug)]
pub struct SlidingCounter {
    slice_length: Duration,
    rounding: Rounding,
    /// The slices with events, in ascending order of their indexes.
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

    /// Records an event at `now`, or in the latest slice if that is later.
    pub fn record(&mut self, now: Duration) {
        let index = self.slice_index(now);
        self.total += 1;
        match self.slices.back_mut() {
            Some(last) if last.index >= index => last.events += 1,
            _ => self.slices.push_back(Slice { index, events: 1 }),
        }
    }

    /// The number of events in the window that ends at `now`, rounded by slices. Drops older
    /// events.
    pub fn count(&mut self, now: Duration) -> u64 {
        let oldest = self.oldest_index(now);
        while let Some(expired) = self.slices.front().filter(|slice| slice.index < oldest) {
            self.total -= expired.events;
            self.slices.pop_front();
        }
        self.total
    }

    /// The earliest time at which the oldest events leave the count; `None` if no event is stored.
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

    /// The number of slices that count in addition to the one that contains the current time.
    fn slices_before_current(&self) -> u64 {
        match self.rounding {
            Rounding::Up => u64::from(SLICES),
            Rounding::Down => u64::from(SLICES) - 1,
        }
    }
}
