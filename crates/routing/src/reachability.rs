//! Reachability of other regions, judged by what this gate hears of all servers of a region
//! together. An unreachable region looks like many unresponsive servers; if each were detected on
//! its own, each would cost a request.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

/// Number of servers or attempts without a response from which the cause is taken to be the region
/// rather than one server.
const MIN_UNANSWERED: usize = 2;
/// Interval at which an unreachable region is sent a health check, in microseconds.
pub(crate) const HEALTH_CHECK_INTERVAL: Micros = 400_000;
/// Time within which a client mostly finds a gate in another region, in microseconds: the directory
/// drops unreachable gates within about as much, and clients query it as often.
pub(crate) const GATE_FAILOVER_TIME: Micros = 1_000_000;

/// What is known of the path to one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionStatus {
    /// When anything was last received from a server of the region.
    last_heard: Micros,
    /// Number of attempts since then that ended without a response.
    unanswered: usize,
    health_checked_at: Micros,
}

/// The status of every region that something was sent to, by name.
#[derive(Debug, Default)]
pub(crate) struct RegionReachability(FxHashMap<Arc<str>, RegionStatus>);

impl RegionReachability {
    /// Records that something is sent to a server of the region. The first time starts the clock by
    /// which the region's silence is measured.
    pub(crate) fn record_attempt(&mut self, now: Micros, region: &Arc<str>) {
        if !self.0.contains_key(region) {
            let status = RegionStatus {
                last_heard: now,
                ..RegionStatus::default()
            };
            self.0.insert(region.clone(), status);
        }
    }

    /// Records that something was received from a server of the region.
    pub(crate) fn record_liveness(&mut self, now: Micros, region: &Arc<str>) {
        self.record_attempt(now, region);
        if let Some(status) = self.0.get_mut(region) {
            status.last_heard = now;
            status.unanswered = 0;
        }
    }

    /// Records that an attempt at a server of the region ended without any response.
    pub(crate) fn record_unanswered(&mut self, region: &Arc<str>) {
        self.0.entry(region.clone()).or_default().unanswered += 1;
    }

    /// True if nothing was received from the region for `timeout` although responses are
    /// outstanding. `unresponsive` returns the number of its servers that have owed a response for
    /// that long; it is called only if the attempts alone do not decide.
    pub(crate) fn is_unreachable(
        &self,
        now: Micros,
        region: &str,
        timeout: Micros,
        unresponsive: impl FnOnce() -> usize,
    ) -> bool {
        let Some(status) = self.0.get(region) else {
            return false;
        };
        let is_silent = status.last_heard.saturating_add(timeout) <= now;
        is_silent
            && (status.unanswered >= MIN_UNANSWERED
                || status.unanswered + unresponsive() >= MIN_UNANSWERED)
    }

    /// Returns true if an unreachable region is due for a health check, and then counts it as made.
    pub(crate) fn start_health_check(&mut self, now: Micros, region: &str) -> bool {
        let Some(status) = self.0.get_mut(region) else {
            return false;
        };
        let is_due = status
            .health_checked_at
            .saturating_add(HEALTH_CHECK_INTERVAL)
            <= now;
        if is_due {
            status.health_checked_at = now;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
