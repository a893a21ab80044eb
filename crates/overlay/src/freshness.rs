//! The newest heartbeat of each coordinator, and the time since it was sent.
//!
//! A root heartbeat carries the time since its coordinator started. The monotonic clocks of two
//! machines run at nearly the same rate but start at different times. The heartbeat with the
//! shortest transit time gives the offset between the two clocks, and the age of every other
//! heartbeat follows from the offset: a heartbeat that was delayed at a node or on a link does not
//! count as fresh. Ages are too low by the shortest transit time, from milliseconds up to a
//! few hundred.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::RootHeartbeat;
use crate::node::NodeId;

/// Maximum number of coordinators in the table; the one with the oldest heartbeat is evicted.
const MAX_COORDINATORS: usize = 32;

/// Window over which the offset between two clocks is measured. A drift of 100 ppm amounts to 6 ms
/// in one window.
const OFFSET_WINDOW: Duration = Duration::from_secs(60);

/// The newest heartbeat of one coordinator, and the offset between its clock and the local one.
#[derive(Clone, Copy, Debug)]
struct CoordinatorClock {
    elapsed_ms: u64,
    /// Lowest difference in microseconds between the local time of arrival and `elapsed_ms` in the
    /// current window.
    offset_us: i64,
    /// Lowest difference in the previous window.
    previous_offset_us: i64,
    window_start: Duration,
}

impl CoordinatorClock {
    fn new(now: Duration, elapsed_ms: u64) -> CoordinatorClock {
        let offset_us = clock_offset_us(now, elapsed_ms);
        CoordinatorClock {
            elapsed_ms,
            offset_us,
            previous_offset_us: offset_us,
            window_start: now,
        }
    }

    fn update(&mut self, now: Duration, elapsed_ms: u64) {
        let offset_us = clock_offset_us(now, elapsed_ms);
        if self.window_start + OFFSET_WINDOW <= now {
            self.window_start = now;
            self.previous_offset_us = std::mem::replace(&mut self.offset_us, offset_us);
        }
        self.offset_us = self.offset_us.min(offset_us);
        self.elapsed_ms = elapsed_ms;
    }

    fn age(&self, now: Duration) -> Duration {
        let offset_us = self.offset_us.min(self.previous_offset_us);
        let age_us = clock_offset_us(now, self.elapsed_ms).saturating_sub(offset_us);
        Duration::from_micros(u64::try_from(age_us).unwrap_or(0))
    }
}

/// Difference in microseconds between `now` on the local clock and `elapsed_ms` on the clock of the
/// coordinator.
fn clock_offset_us(now: Duration, elapsed_ms: u64) -> i64 {
    let now_us = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
    let elapsed_us = i64::try_from(elapsed_ms.saturating_mul(1_000)).unwrap_or(i64::MAX);
    now_us.saturating_sub(elapsed_us)
}

/// The newest heartbeats of all coordinators, from which a node computes the age of its state.
#[derive(Clone, Debug, Default)]
pub struct FreshnessTable {
    clocks: BTreeMap<NodeId, CoordinatorClock>,
}

impl FreshnessTable {
    /// Records a heartbeat that arrived at `now`. Returns whether it is newer than all earlier ones
    /// of the same coordinator; an older one is ignored.
    pub fn record(&mut self, now: Duration, heartbeat: &RootHeartbeat) -> bool {
        match self.clocks.get_mut(&heartbeat.coordinator) {
            Some(clock) if clock.elapsed_ms >= heartbeat.elapsed_ms => return false,
            Some(clock) => clock.update(now, heartbeat.elapsed_ms),
            None => self.add(now, heartbeat),
        }
        true
    }

    fn add(&mut self, now: Duration, heartbeat: &RootHeartbeat) {
        let clock = CoordinatorClock::new(now, heartbeat.elapsed_ms);
        self.clocks.insert(heartbeat.coordinator, clock);
        if self.clocks.len() <= MAX_COORDINATORS {
            return;
        }
        let oldest = self
            .clocks
            .iter()
            .max_by_key(|(_, clock)| clock.age(now))
            .map(|(coordinator, _)| *coordinator);
        oldest.map(|coordinator| self.clocks.remove(&coordinator));
    }

    /// Time since the newest heartbeat of any coordinator was sent; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.clocks.values().map(|clock| clock.age(now)).min()
    }

    /// Time since the newest heartbeat of each coordinator was sent.
    pub fn ages(&self, now: Duration) -> impl Iterator<Item = (NodeId, Duration)> {
        self.clocks
            .iter()
            .map(move |(coordinator, clock)| (*coordinator, clock.age(now)))
    }

    /// Returns up to `limit` heartbeats that are newer than those in `sent`, those of the least
    /// recently sent coordinators first, and records them in `sent`.
    pub(crate) fn take_unsent(
        &self,
        limit: usize,
        sent: &mut SentHeartbeats,
    ) -> Vec<RootHeartbeat> {
        sent.round += 1;
        sent.last
            .retain(|coordinator, _| self.clocks.contains_key(coordinator));
        let mut due: Vec<(u64, RootHeartbeat)> = Vec::new();
        for (coordinator, clock) in &self.clocks {
            let last = sent.last.get(coordinator).copied().unwrap_or_default();
            if clock.elapsed_ms > last.elapsed_ms {
                let heartbeat = RootHeartbeat {
                    coordinator: *coordinator,
                    elapsed_ms: clock.elapsed_ms,
                };
                due.push((last.round, heartbeat));
            }
        }
        due.sort_by_key(|(round, heartbeat)| (*round, heartbeat.coordinator));
        due.truncate(limit);
        let heartbeats: Vec<RootHeartbeat> =
            due.into_iter().map(|(_, heartbeat)| heartbeat).collect();
        for heartbeat in &heartbeats {
            sent.record(heartbeat);
        }
        heartbeats
    }
}

/// The last heartbeat of one coordinator that was sent on a link.
#[derive(Clone, Copy, Debug, Default)]
struct LastSent {
    elapsed_ms: u64,
    /// Number of the call of [`FreshnessTable::take_unsent`] that returned the heartbeat.
    round: u64,
}

/// The root heartbeats sent on one link, by coordinator.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentHeartbeats {
    last: BTreeMap<NodeId, LastSent>,
    round: u64,
}

impl SentHeartbeats {
    fn record(&mut self, heartbeat: &RootHeartbeat) {
        let last = LastSent {
            elapsed_ms: heartbeat.elapsed_ms,
            round: self.round,
        };
        self.last.insert(heartbeat.coordinator, last);
    }
}
