//! Tracks which servers are warming up, from what they report about themselves.
//!
//! An instance counts as warming up from its discovery until it reports that it is warm, or until
//! the remaining time that it reported has passed. After a restart, a timeout or the end of an
//! evacuation its state is reset, and it counts as warming up until it makes a new report.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

#[cfg(test)]
mod tests;

/// The time added to each reported remaining warm-up time, to allow for the delay of the report and
/// the granularity of the instance's clock.
pub const REPORT_MARGIN: Duration = Duration::from_millis(250);

/// An instance's report about its warm-up: `warmup_left_ms` in a heartbeat, `X-Ironmast-Warmup-Ms`
/// in the response to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupReport {
    /// A reading of the local monotonic clock no later than the time at which the report was made:
    /// when the health check was sent, or when the heartbeat was received, less its longest delay.
    pub made_at: Duration,
    /// The remaining time of the warm-up; zero if the instance is warm.
    pub remaining: Duration,
}

/// The warm-up state of an instance, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmupState {
    /// The instance has not reported since its discovery or reset, and counts as warming up.
    Unknown,
    WarmingUp {
        until: Duration,
    },
    Warm,
}

#[derive(Clone, Copy, Debug)]
struct Instance {
    state: WarmupState,
    /// Reports made at or before this time are outdated; zero if the instance has never reported.
    last_update: Duration,
}

/// Tracks the warm-up state of each known instance.
#[derive(Clone, Debug)]
pub struct WarmupTracker<K> {
    margin: Duration,
    instances: FxHashMap<K, Instance>,
}

impl<K: Eq + Hash + Clone> Default for WarmupTracker<K> {
    fn default() -> Self {
        Self::new(REPORT_MARGIN)
    }
}

impl<K: Eq + Hash + Clone> WarmupTracker<K> {
    /// A tracker that adds `margin` to each reported remaining warm-up time.
    #[must_use]
    pub fn new(margin: Duration) -> Self {
        Self {
            margin,
            instances: FxHashMap::default(),
        }
    }

    /// Adds an instance that was discovered; it counts as warming up. Changes nothing if the
    /// instance is known.
    pub fn insert(&mut self, instance: &K) {
        if !self.instances.contains_key(instance) {
            let discovered = Instance {
                state: WarmupState::Unknown,
                last_update: Duration::ZERO,
            };
            self.instances.insert(instance.clone(), discovered);
        }
    }

    /// Applies a report that was received at `now`. A report that is older than the last one, or
    /// than the last [`reset`](Self::reset), changes nothing.
    pub fn report(&mut self, now: Duration, instance: &K, report: WarmupReport) {
        self.insert(instance);
        let Some(known) = self.instances.get_mut(instance) else {
            return;
        };
        let is_first = known.state == WarmupState::Unknown && known.last_update == Duration::ZERO;
        if report.made_at <= known.last_update && !is_first {
            return;
        }
        known.last_update = report.made_at;
        known.state = match report.remaining {
            Duration::ZERO => WarmupState::Warm,
            remaining => WarmupState::WarmingUp {
                until: now + remaining + self.margin,
            },
        };
    }

    /// Marks the state of an instance as unknown at `now`, because it restarted, timed out, or
    /// returned from an evacuation. It counts as warming up until a report made after `now` says
    /// otherwise.
    pub fn reset(&mut self, now: Duration, instance: &K) {
        let unknown = Instance {
            state: WarmupState::Unknown,
            // Zero marks an instance that has never reported.
            last_update: now.max(Duration::from_nanos(1)),
        };
        self.instances.insert(instance.clone(), unknown);
    }

    /// Whether the instance is warming up; true for one that is not known. Must not be called for
    /// instances of a service without `warmup_per_s`.
    #[must_use]
    pub fn is_warming_up(&self, now: Duration, instance: &K) -> bool {
        match self.instances.get(instance).map(|known| known.state) {
            None | Some(WarmupState::Unknown) => true,
            Some(WarmupState::WarmingUp { until }) => now < until,
            Some(WarmupState::Warm) => false,
        }
    }

    /// Removes an instance that has terminated. Instance ids are never reused.
    pub fn remove(&mut self, instance: &K) {
        self.instances.remove(instance);
    }

    /// Removes all instances for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.instances.retain(|instance, _| keep(instance));
    }
}
