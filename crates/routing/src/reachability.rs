//! Which other regions can be reached, by what this gate hears of the servers there taken together.
//! A region that is lost or cut off looks like many silent servers; learnt one by one, each of them
//! would cost a request.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

/// So many servers or attempts without an answer speak for the region, not for one server.
const MIN_UNANSWERED: usize = 2;
/// A region that can't be reached is asked for a sign this often.
pub(crate) const HEALTH_CHECK_INTERVAL: Micros = 400_000;
/// A client whose requests are all at home in such regions has mostly found a gate elsewhere after
/// this long: the directory forgets gates within about as much, and clients ask it as often.
pub(crate) const GATE_FAILOVER_TIME: Micros = 1_000_000;

/// The way to one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionStatus {
    /// When any server there was heard last.
    last_heard: Micros,
    /// Attempts that have ended without an answer since.
    unanswered: usize,
    asked_at: Micros,
}

/// The ways to all regions, by name.
#[derive(Debug, Default)]
pub(crate) struct RegionReachability(FxHashMap<Arc<str>, RegionStatus>);

impl RegionReachability {
    /// Something was sent to a server of the region: from the first time on an answer can be
    /// missed.
    pub fn record_attempt(&mut self, now: Micros, region: &Arc<str>) {
        if !self.0.contains_key(region) {
            self.0.insert(
                region.clone(),
                RegionStatus {
                    last_heard: now,
                    ..RegionStatus::default()
                },
            );
        }
    }

    /// Something was heard of a server of the region.
    pub fn record_liveness(&mut self, now: Micros, region: &Arc<str>) {
        self.record_attempt(now, region);
        if let Some(path) = self.0.get_mut(region) {
            (path.last_heard, path.unanswered) = (now, 0);
        }
    }

    /// An attempt at a server of the region ended without any answer.
    pub fn unanswered(&mut self, region: &Arc<str>) {
        self.0.entry(region.clone()).or_default().unanswered += 1;
    }

    /// Whether nothing was heard of the region for `patience`, though answers are owed: `quiet`
    /// tells how many servers there owe one for that long.
    pub fn is_dark(
        &self,
        now: Micros,
        region: &str,
        patience: Micros,
        quiet: impl FnOnce() -> usize,
    ) -> bool {
        let silent = self
            .0
            .get(region)
            .filter(|path| path.last_heard.saturating_add(patience) <= now);
        silent.is_some_and(|path| {
            path.unanswered >= MIN_UNANSWERED || path.unanswered + quiet() >= MIN_UNANSWERED
        })
    }

    /// Whether a dark region is to be asked for a sign now; the next time is [`HEALTH_CHECK_INTERVAL`] later.
    pub fn ask(&mut self, now: Micros, region: &str) -> bool {
        let Some(path) = self.0.get_mut(region) else {
            return false;
        };
        let is_due = path.asked_at.saturating_add(HEALTH_CHECK_INTERVAL) <= now;
        if is_due {
            path.asked_at = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
