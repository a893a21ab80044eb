//! Which servers are cold, from what they report about themselves.
//!
//! An instance is cold from its first sight until a report says it is warm or the time it told has
//! run out. After a reset, a silence or the end of an evacuation it is cold again until a report
//! made after that moment.

use std::hash::Hash;
use std::time::Duration;

use rustc_hash::FxHashMap;

#[cfg(test)]
mod tests;

/// Time an instance stays cold beyond what it told, for the way of the report and the granularity
/// of its clock.
pub const MARGIN: Duration = Duration::from_millis(250);

/// What an instance said of its warm-up (a heartbeat's `warmup_left_ms`, a health answer's
/// `X-Ironmast-Warmup-Ms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// A moment of the local steady clock at or before that at which the instance said it: the
    /// sending of the health check, or the receipt of the heartbeat less its longest time on the
    /// way.
    pub said_at: Duration,
    /// How much longer it is cold; zero if it is warm.
    pub left: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unknown,
    Cold { until: Duration },
    Warm,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    /// Reports said at or before this moment say nothing.
    since: Duration,
}

/// The warm-up state of each known instance.
#[derive(Clone, Debug)]
pub struct ColdTracker<K> {
    margin: Duration,
    instances: FxHashMap<K, Record>,
}

impl<K: Eq + Hash + Clone> Default for ColdTracker<K> {
    fn default() -> Self {
        Self::new(MARGIN)
    }
}

impl<K: Eq + Hash + Clone> ColdTracker<K> {
    /// A tracker that adds `margin` to each time an instance tells.
    #[must_use]
    pub fn new(margin: Duration) -> Self {
        Self {
            margin,
            instances: FxHashMap::default(),
        }
    }

    /// An instance is on the list; it is cold if it was not known before.
    pub fn seen(&mut self, instance: &K) {
        if !self.instances.contains_key(instance) {
            let record = Record {
                state: State::Unknown,
                since: Duration::ZERO,
            };
            self.instances.insert(instance.clone(), record);
        }
    }

    /// An instance reported; `now` is the receipt. A report that is older than the last one, or
    /// than the last disturbance, changes nothing.
    pub fn report(&mut self, now: Duration, instance: &K, report: Report) {
        self.seen(instance);
        let Some(record) = self.instances.get_mut(instance) else {
            return;
        };
        let first = record.state == State::Unknown && record.since == Duration::ZERO;
        if report.said_at <= record.since && !first {
            return;
        }
        record.since = report.said_at;
        record.state = match report.left {
            Duration::ZERO => State::Warm,
            left => State::Cold {
                until: now + left + self.margin,
            },
        };
    }

    /// An instance was reset, was silent, or returned from an evacuation at `now`: it is cold until
    /// it says otherwise.
    pub fn disturbed(&mut self, now: Duration, instance: &K) {
        let record = Record {
            state: State::Unknown,
            since: now.max(Duration::from_nanos(1)),
        };
        self.instances.insert(instance.clone(), record);
    }

    /// Whether the instance is cold; one that is not known is. A service without `warmup_per_s` is
    /// not to be asked for.
    #[must_use]
    pub fn is_cold(&self, now: Duration, instance: &K) -> bool {
        match self.instances.get(instance).map(|record| record.state) {
            None | Some(State::Unknown) => true,
            Some(State::Cold { until }) => now < until,
            Some(State::Warm) => false,
        }
    }

    /// Drops an instance that is gone for good. Its id never comes back, so nothing is lost.
    pub fn forget(&mut self, instance: &K) {
        self.instances.remove(instance);
    }

    /// Drops all instances that `keep` refuses.
    pub fn retain(&mut self, mut keep: impl FnMut(&K) -> bool) {
        self.instances.retain(|instance, _| keep(instance));
    }
}
