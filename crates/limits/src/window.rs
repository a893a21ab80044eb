//! Counts of events over a sliding span of time.
//!
//! [`Exact`] keeps the moment of each event and serves small counts; [`Buckets`] keeps sums over
//! slices of the span and serves large ones, rounded to the side that its caller names.

use std::collections::VecDeque;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Slices a [`Buckets`] divides its span into.
const SLICES: u32 = 128;

/// The moments of the events of one span.
#[derive(Clone, Debug, Default)]
pub struct Exact {
    moments: VecDeque<Duration>,
}

impl Exact {
    /// Counts an event at `now`.
    pub fn record(&mut self, now: Duration) {
        let latest = self.moments.back().copied().unwrap_or_default();
        self.moments.push_back(now.max(latest));
    }

    /// How many events lie less than or exactly `span` before `now`; older ones are dropped.
    pub fn count(&mut self, now: Duration, span: Duration) -> usize {
        while self
            .moments
            .front()
            .is_some_and(|moment| *moment + span < now)
        {
            self.moments.pop_front();
        }
        self.moments.len()
    }

    /// The first moment at which fewer than `limit` events are left in the span; `None` if `limit`
    /// is 0.
    #[must_use]
    pub fn room_at(&self, span: Duration, limit: usize) -> Option<Duration> {
        let surplus = self.moments.len().checked_sub(limit)?;
        let moment = self.moments.get(surplus)?;
        Some(*moment + span + Duration::from_nanos(1))
    }

    /// Whether no event is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.moments.is_empty()
    }
}

/// How a slice that lies only partly in the span counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partial {
    /// Whole: the count is never below the true one.
    Counts,
    /// Not at all: the count is never above the true one.
    Ignored,
}

/// Sums of events over slices of a span.
#[derive(Clone, Debug)]
pub struct Buckets {
    slice: Duration,
    partial: Partial,
    /// (number of the slice, events in it), rising.
    sums: VecDeque<(u64, u64)>,
    total: u64,
}

impl Buckets {
    /// A counter over `span`, which must not be zero.
    #[must_use]
    pub fn new(span: Duration, partial: Partial) -> Self {
        let slice = (span / SLICES).max(Duration::from_nanos(1));
        Self {
            slice,
            partial,
            sums: VecDeque::new(),
            total: 0,
        }
    }

    /// Counts an event at `now`.
    pub fn record(&mut self, now: Duration) {
        let number = self.number(now);
        self.total += 1;
        match self.sums.back_mut() {
            Some((last, sum)) if *last >= number => *sum += 1,
            _ => self.sums.push_back((number, 1)),
        }
    }

    /// The events in the span that ends at `now`.
    pub fn count(&mut self, now: Duration) -> u64 {
        let first = self.first_kept(now);
        while self.sums.front().is_some_and(|(number, _)| *number < first) {
            let (_, sum) = self.sums.pop_front().unwrap_or_default();
            self.total -= sum;
        }
        self.total
    }

    /// The first moment at which the oldest events leave the count; `None` if there are none.
    #[must_use]
    pub fn next_leaves(&self) -> Option<Duration> {
        let (number, _) = self.sums.front()?;
        let slices = match self.partial {
            Partial::Counts => u64::from(SLICES) + 1,
            Partial::Ignored => u64::from(SLICES),
        };
        Some(nanos(self.slice, number + slices))
    }

    /// Whether no event is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    fn number(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.slice.as_nanos()).unwrap_or(u64::MAX)
    }

    fn first_kept(&self, now: Duration) -> u64 {
        let kept = match self.partial {
            Partial::Counts => u64::from(SLICES),
            Partial::Ignored => u64::from(SLICES) - 1,
        };
        self.number(now).saturating_sub(kept)
    }
}

fn nanos(slice: Duration, times: u64) -> Duration {
    let total = slice.as_nanos() * u128::from(times);
    Duration::from_nanos(u64::try_from(total).unwrap_or(u64::MAX))
}
