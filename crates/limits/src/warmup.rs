//! Which servers are warming up, from what they report about themselves.
//!
//! An instance counts as warming up from its discovery until it reports that it is warm or the time
//! it reported has passed. After a reset, a time-out or the end of an evacuation it counts as
//! warming up again until it makes a new report.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

#[cfg(test)]
mod tests;

/// The time that is added to each reported warm-up to allow for the delay of the report and the
/// granularity of the instance's clock.
pub const REPORT_MARGIN: Duration = Duration::from_millis(250);

/// What an instance reported of its warm-up (a heartbeat's `warmup_left_ms`, a health check's
/// `X-Ironmast-Warmup-Ms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupReport {
    /// A moment of the local steady clock no later than the report was made: the sending of the
    /// health check, or the receipt of the heartbeat less its longest delay.
    pub made_at: Duration,
    /// How much longer the instance is warming up; zero if it is warm.
    pub remaining: Duration,
}

/// What is known of an instance's warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmupState {
    /// It has not reported, or its report was reset: it counts as warming up.
    Unknown,
    WarmingUp {
        until: Duration,
    },
    Warm,
}

#[derive(Clone, Copy, Debug)]
struct Instance {
    state: WarmupState,
    /// Reports made at or before this moment are outdated.
    last_update: Duration,
}

/// The warm-up state of each known instance.
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
    /// A tracker that adds `margin` to each reported warm-up.
    #[must_use]
    pub fn new(margin: Duration) -> Self {
        Self {
            margin,
            instances: FxHashMap::default(),
        }
    }

    /// Adds an instance that was discovered. It counts as warming up if it was not known before.
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

    /// Marks the state of an instance as unknown at `now`, because it was restarted, timed out, or
    /// returned from an evacuation. It counts as warming up until it reports otherwise.
    pub fn reset(&mut self, now: Duration, instance: &K) {
        let unknown = Instance {
            state: WarmupState::Unknown,
            // Zero would stand for an instance that has never reported.
            last_update: now.max(Duration::from_nanos(1)),
        };
        self.instances.insert(instance.clone(), unknown);
    }

    /// Whether the instance is warming up; one that is not known is. Callers do not ask for
    /// instances of a service without `warmup_per_s`.
    #[must_use]
    pub fn is_warming_up(&self, now: Duration, instance: &K) -> bool {
        match self.instances.get(instance).map(|known| known.state) {
            None | Some(WarmupState::Unknown) => true,
            Some(WarmupState::WarmingUp { until }) => now < until,
            Some(WarmupState::Warm) => false,
        }
    }

    /// Removes an instance that has terminated. Instance ids are never used again.
    pub fn remove(&mut self, instance: &K) {
        self.instances.remove(instance);
    }

    /// Removes all instances for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.instances.retain(|instance, _| keep(instance));
    }
}
