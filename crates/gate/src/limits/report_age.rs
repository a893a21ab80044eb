//! Whether the age of the servers' warm-up reports is known.
//!
//! A coordinator distributes a heartbeat only if it changes something, so a report that a server is
//! warm holds for as long as this gate hears of changes without a gap. After a gap (the gate has
//! started, its agent was restarted or stalled, or the gate itself was suspended) a server may have
//! turned cold unnoticed, for example because its zone was evacuated and put back in service. Its
//! reports are then undated until either
//!
//! - a health check that was sent after the gap has reported its warm-up, or
//! - the feed has been continuous for as long as a heartbeat of a cold server needs to arrive.
//!
//! During a gap no report can be dated: the server may turn cold right after a health check.

use std::sync::Arc;

use ironmast_routing::Micros;
use rustc_hash::FxHashMap;

use super::{MAX_HEARTBEAT_DELAY, to_micros};

/// Time without a sign of life from the agent after which the feed counts as interrupted: three
/// intervals of the agent's keep-alives.
const FEED_TIMEOUT: Micros = 1_500_000;

/// Time after which a health check is requested again that has not reported the warm-up.
const CHECK_RETRY_INTERVAL: Micros = 200_000;

/// The gaps in the feed, and the health checks since the last one.
#[derive(Debug, Default)]
pub(super) struct ReportAge {
    /// When the agent last confirmed that the feed is up to date; `None` since a new connection.
    confirmed_at: Option<Micros>,
    /// When the last gap ended.
    resumed_at: Micros,
    /// When a heartbeat of each server that is cold has arrived since the last gap.
    dated_at: Micros,
    /// When a health check of each incarnation was last requested.
    requested: FxHashMap<Arc<str>, Micros>,
    /// When the last successful health check of each incarnation was sent.
    checks: FxHashMap<Arc<str>, Micros>,
}

impl ReportAge {
    /// Begins a gap: the feed has been connected anew, and what the agent sends may be old.
    pub(super) fn begin_gap(&mut self) {
        self.confirmed_at = None;
    }

    /// Records that the agent passes on all changes. After a gap, reports are dated once a server
    /// has sent a heartbeat, which it does every `heartbeat_interval`. Returns true if a gap ends.
    pub(super) fn confirm(&mut self, now: Micros, heartbeat_interval: Micros) -> bool {
        let ends_gap = self.is_interrupted(now);
        if ends_gap {
            self.resumed_at = now;
            self.dated_at = now
                .saturating_add(heartbeat_interval)
                .saturating_add(to_micros(MAX_HEARTBEAT_DELAY));
        }
        self.confirmed_at = Some(now);
        ends_gap
    }

    /// Whether a health check of an incarnation is to be requested now, because its report is undated
    /// and none was requested recently. Records the request.
    pub(super) fn request_check(&mut self, now: Micros, instance: &Arc<str>) -> bool {
        if self.is_dated(now, instance) {
            return false;
        }
        let is_recent = self.requested.get(instance).is_some_and(|at| {
            now < at.saturating_add(CHECK_RETRY_INTERVAL) && *at >= self.resumed_at
        });
        if !is_recent {
            self.requested.insert(instance.clone(), now);
        }
        !is_recent
    }

    /// Records a health check that was sent at `sent_at` and has reported the warm-up.
    pub(super) fn record_check(&mut self, instance: &Arc<str>, sent_at: Micros) {
        self.checks.insert(instance.clone(), sent_at);
    }

    /// Whether the newest report of an incarnation can be relied upon.
    pub(super) fn is_dated(&self, now: Micros, instance: &str) -> bool {
        !self.is_interrupted(now)
            && (now >= self.dated_at
                || self
                    .checks
                    .get(instance)
                    .is_some_and(|checked_at| *checked_at >= self.resumed_at))
    }

    /// Drops the checks of incarnations for which `is_known` is false.
    pub(super) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.checks.retain(|instance, _| is_known(instance));
        self.requested.retain(|instance, _| is_known(instance));
    }

    /// Whether the agent has not confirmed the feed within [`FEED_TIMEOUT`].
    fn is_interrupted(&self, now: Micros) -> bool {
        self.confirmed_at
            .is_none_or(|at| now > at.saturating_add(FEED_TIMEOUT))
    }
}

#[cfg(test)]
mod tests;
