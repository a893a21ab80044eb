//! Liveness: decides whether an attempt without progress has stalled, and which servers are due for
//! a health check.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::{HealthCheck, ProgressCheck};
use crate::endpoint::Endpoint;
use crate::limits::{Permits, RetryBudget};
use crate::request::Call;
use crate::table::RouteKind;

/// An attempt without a first byte is stalled after this multiple of the average time to the first
/// byte.
const STALL_FACTOR: f64 = 4.0;
/// A stream is stalled after this multiple of the longest acceptable gap between its events.
const STREAM_STALL_FACTOR: u64 = 2;
/// Minimum time without a byte after which a stream is stalled, in microseconds.
const MIN_STREAM_STALL: Micros = 1_000_000;

/// Interval at which a stalled request for which there is no other server is checked again, in
/// microseconds.
const FAILOVER_RETRY_INTERVAL: Micros = 100_000;

/// A server that owes a response is sent a health check once it has been silent for this multiple
/// of the `unresponsive_after` setting.
const LONG_UNRESPONSIVE_FACTOR: u64 = 2;
/// Interval of the health checks of an unresponsive server, in microseconds.
const HEALTH_CHECK_INTERVAL: Micros = 2_000_000;

impl Decider {
    /// Decides whether the attempt in flight has stalled and the request fails over to another
    /// server. The attempt goes on as long as anything is received from its server, because a
    /// server that answers other requests is still working on this one. It also goes on while no
    /// other server can take the request: a silent server may continue.
    pub fn check_progress<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> ProgressCheck {
        let Some(stalls_at) = self.stalls_at(call) else {
            return ProgressCheck::Ignore;
        };
        if now < stalls_at {
            return ProgressCheck::Wait { until: stalls_at };
        }
        match self.fail_over(now, call, limits) {
            Some(dispatch) => ProgressCheck::FailOver(dispatch),
            None => ProgressCheck::Wait {
                until: now + FAILOVER_RETRY_INTERVAL,
            },
        }
    }

    /// Clock reading at which the attempt in flight counts as stalled unless anything is received
    /// from its server before; `None` if it never does.
    pub(super) fn stalls_at(&self, call: &Call) -> Option<Micros> {
        let latest = call.attempts.last();
        let attempt = latest.filter(|attempt| attempt.outcome.is_none() && !call.is_finished)?;
        let timeout = self.stall_timeout(call)?;
        let endpoint = self.endpoints.get(attempt.server);
        let last_heard = endpoint
            .map_or(0, |endpoint| endpoint.last_heard)
            .max(attempt.sent_at)
            .max(call.last_byte_at);
        Some(last_heard + timeout)
    }

    /// Time without any byte from the server after which the request fails over; `None` if the
    /// request must not, because it is not idempotent, has no attempt left, or has forwarded the
    /// head of a response that has no limit on its gaps.
    fn stall_timeout(&self, call: &Call) -> Option<Micros> {
        let spec = &call.request.route.spec;
        if !call.is_idempotent() || call.arrived_attempts() >= spec.max_attempts as usize {
            return None;
        }
        if call.head_forwarded {
            let is_stream = spec.kind != RouteKind::Idempotent;
            let max_gap = spec.max_event_gap_ms.filter(|_| is_stream)?;
            let timeout = max_gap.saturating_mul(1000 * STREAM_STALL_FACTOR);
            return Some(timeout.max(MIN_STREAM_STALL));
        }
        let timeout = self.baselines.first_byte(&call.request.route) * STALL_FACTOR;
        Some((timeout as Micros).max(call.latency_objective()))
    }

    /// Appends the health checks that are due to `checks`: of ejected servers that no request has
    /// tried since their ejection ended, of servers that have been unresponsive for twice the
    /// `unresponsive_after` setting, and of one server of each unreachable region. Each counts as
    /// started; its result is due in [`Decider::health_check_finished`].
    pub fn due_health_checks(&mut self, now: Micros, checks: &mut Vec<HealthCheck>) {
        let first = checks.len();
        let listed = self.endpoints.listed();
        let due = listed.filter(|endpoint| self.is_health_check_due(now, endpoint));
        checks.extend(due.filter_map(|endpoint| self.health_check(endpoint)));
        self.check_unreachable_regions(now, checks);
        for check in &checks[first..] {
            if let Some(endpoint) = self.endpoints.get_mut(check.server) {
                endpoint.outlier.has_trial = true;
                endpoint.health_checked_at = now;
            }
        }
    }

    /// The health check of a server; `None` if its service is not in the table.
    fn health_check(&self, endpoint: &Endpoint) -> Option<HealthCheck> {
        let service = self.table.service(&endpoint.spec.service)?;
        let service = &self.table.services()[service as usize];
        Some(HealthCheck {
            server: endpoint.handle,
            address: endpoint.spec.address,
            expect_instance: endpoint.spec.instance.clone(),
            path: service.health_check.clone(),
        })
    }

    /// Appends a health check of the least recently checked server in each unreachable region. A
    /// response makes the region reachable again.
    fn check_unreachable_regions(&mut self, now: Micros, checks: &mut Vec<HealthCheck>) {
        let servers = self.least_recently_checked(now);
        let due: Vec<_> = servers
            .into_iter()
            .filter_map(|endpoint| {
                let check = self.health_check(endpoint)?;
                Some((endpoint.spec.region.clone(), check))
            })
            .collect();
        for (region, check) in due {
            if self.reachability.start_health_check(now, &region) {
                checks.push(check);
            }
        }
    }

    /// The least recently checked eligible server of each unreachable region.
    fn least_recently_checked(&self, now: Micros) -> Vec<&Endpoint> {
        let mut servers: Vec<&Endpoint> = Vec::new();
        let listed = self.endpoints.listed();
        let eligible =
            listed.filter(|endpoint| endpoint.is_eligible() && !endpoint.outlier.has_trial);
        for endpoint in eligible {
            let region = &endpoint.spec.region;
            let mut selected = servers.iter_mut();
            if let Some(selected) = selected.find(|selected| selected.spec.region == *region) {
                if endpoint.health_checked_at < selected.health_checked_at {
                    *selected = endpoint;
                }
            } else if self.is_unreachable_region(now, region) {
                servers.push(endpoint);
            }
        }
        servers
    }

    /// True if the region is not the own one and is unreachable, judged by its servers of all
    /// services.
    fn is_unreachable_region(&self, now: Micros, region: &str) -> bool {
        let timeout = self.settings.unresponsive_after;
        let unresponsive = || {
            let listed = self.endpoints.listed();
            let in_region = listed.filter(|endpoint| *endpoint.spec.region == *region);
            in_region
                .filter(|endpoint| endpoint.is_unresponsive(now, timeout))
                .count()
        };
        *region != *self.settings.region
            && self
                .reachability
                .is_unreachable(now, region, timeout, unresponsive)
    }

    /// True if the server is due for a health check: because no trial has begun for
    /// `health_check_after` since its ejection ended, or because it has been unresponsive for long
    /// and was not checked within the interval.
    fn is_health_check_due(&self, now: Micros, endpoint: &Endpoint) -> bool {
        if !endpoint.is_eligible() || endpoint.outlier.has_trial {
            return false;
        }
        if let Some(ejection) = endpoint.outlier.ejection() {
            let due_at = ejection
                .until
                .saturating_add(self.settings.health_check_after);
            return due_at <= now;
        }
        let due_at = endpoint
            .health_checked_at
            .saturating_add(HEALTH_CHECK_INTERVAL);
        self.is_long_unresponsive(now, endpoint) && due_at <= now
    }

    /// True if a server owes a response and has been silent for [`LONG_UNRESPONSIVE_FACTOR`] times
    /// the `unresponsive_after` setting.
    pub(super) fn is_long_unresponsive(&self, now: Micros, endpoint: &Endpoint) -> bool {
        let timeout = self.settings.unresponsive_after;
        endpoint.is_unresponsive(now, timeout.saturating_mul(LONG_UNRESPONSIVE_FACTOR))
    }
}
