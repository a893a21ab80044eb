//! Reachability of other regions, judged by what this gate receives from all servers of a region
//! together. An unreachable region looks like many unresponsive servers; if each were detected on
//! its own, each would cost a request.

use std::sync::Arc;

use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;

/// Minimum number of servers or attempts without a response for the region, rather than one server,
/// to be taken as the cause.
const MIN_UNANSWERED: usize = 2;
/// Interval of the health checks of an unreachable region, in microseconds.
pub(crate) const HEALTH_CHECK_INTERVAL: Micros = 400_000;
/// Usual time in which a client fails over to a gate in another region, in microseconds. Clients
/// that are rejected because a region is unreachable retry after it: the directory drops
/// unreachable gates within about one second, and clients query it about once a second.
pub(crate) const GATE_FAILOVER_TIME: Micros = 1_000_000;

/// Status of the network path to one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionStatus {
    /// Clock reading at which anything was last received from a server of the region.
    last_heard: Micros,
    /// Number of attempts that ended without a response since `last_heard`.
    unanswered: usize,
    /// Clock reading of the last health check; 0 if there was none.
    health_checked_at: Micros,
}

/// Status of every region to which something was sent, by name.
#[derive(Debug, Default)]
pub(crate) struct RegionReachability(FxHashMap<Arc<str>, RegionStatus>);

impl RegionReachability {
    /// Records that something is sent to a server of the region. From the first time on, the time
    /// without any receipt from the region is measured.
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

    /// True if nothing was received from the region for `timeout` microseconds and at least
    /// [`MIN_UNANSWERED`] responses are missing. `unresponsive` returns the number of servers that
    /// have owed a response for that long; it is called only if the ended attempts do not suffice.
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

    /// Returns true if a health check of an unreachable region is due, and then records it as made.
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
