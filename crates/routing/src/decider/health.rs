//! Outlier detection: ends of attempts, first bytes and health checks update the health of a server
//! and may eject it or return it to service.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::{EjectionChange, HealthCheckOutcome, ServerHandle};
use crate::guards::Guard;
use crate::occupancy::PoolAverages;
use crate::outcome::Outcome;
use crate::outlier::{EjectionCause, FirstByte, GroupHealth, OutlierDetector};
use crate::request::{Attempt, Call};

/// Maximum number of ejection changes that are buffered until the gate takes them. Further changes
/// are dropped.
const MAX_EJECTION_CHANGES: usize = 256;

impl Decider {
    /// Records that the first byte of a response was received. Its latency updates the baseline of
    /// the route and the prefill rate, and may eject the server as slow.
    pub fn first_byte_received(&mut self, now: Micros, call: &mut Call) {
        call.last_byte_at = now;
        let route = call.request.route.clone();
        let in_flight = call.attempt_in_flight();
        let Some(attempt) = in_flight.filter(|attempt| attempt.first_byte_at.is_none()) else {
            return;
        };
        attempt.first_byte_at = Some(now);
        let (server, backlog) = (attempt.server, attempt.backlog);
        let elapsed = now.saturating_sub(attempt.sent_at);
        let pending_tokens = std::mem::take(&mut attempt.pending_tokens);
        self.record_prefill(server, pending_tokens, backlog, elapsed);
        let ratio = self.baselines.record_first_byte(&route, elapsed);
        let lateness = elapsed as f64 / call.latency_objective().max(1) as f64;
        self.record_liveness(now, server);
        let Some(endpoint) = self.endpoints.get(server) else {
            return;
        };
        let max_age = self.settings.load_report_max_age;
        let averages = PoolAverages::default();
        let load = endpoint
            .occupancy
            .load(now, max_age, &endpoint.limits, averages);
        let first_byte = FirstByte {
            ratio,
            lateness,
            utilization: load.utilization(),
        };
        let group = if endpoint.outlier.may_be_slow(ratio) {
            self.endpoints.group_health(endpoint)
        } else {
            GroupHealth::default()
        };
        let ejection_time = self.settings.ejection;
        self.update_outlier_detector(server, |outlier| {
            outlier.first_byte_received(now, first_byte, group, ejection_time)
        });
    }

    /// The outcome of an attempt that its server is held responsible for, which may differ from the
    /// outcome that the gate observed.
    pub(super) fn attributed_outcome(
        &self,
        now: Micros,
        server: ServerHandle,
        outcome: &Outcome,
    ) -> Outcome {
        let Some(endpoint) = self.endpoints.get(server) else {
            return outcome.clone();
        };
        let serves_others = endpoint.was_heard_recently(now) && endpoint.occupancy.in_flight > 1;
        match outcome {
            // The client may have disconnected because the server is silent.
            Outcome::Cancelled
                if endpoint.is_unresponsive(now, self.settings.unresponsive_after)
                    && Guard::UnresponsiveCancelCounts.on() =>
            {
                Outcome::Timeout
            }
            // A server that accepts no connection but responds to other requests is overloaded, not
            // dead: all connections to a dead server break.
            Outcome::ConnectFailed if serves_others && Guard::ConnectFailureOfLiveServer.on() => {
                Outcome::NotExecuted { retry_after: None }
            }
            _ => outcome.clone(),
        }
    }

    /// Updates the health, liveness and reachability of a server by the outcome of an attempt, as
    /// attributed to it.
    pub(super) fn record_attempt_outcome(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: &Outcome,
    ) {
        let server = attempt.server;
        let Some(endpoint) = self.endpoints.get(server) else {
            return;
        };
        let group = match outcome {
            Outcome::Success => GroupHealth::default(),
            _ => self.endpoints.group_health(endpoint),
        };
        let ejection_time = self.settings.ejection;
        self.update_outlier_detector(server, |outlier| {
            outlier.has_trial &= !attempt.is_trial;
            outlier.attempt_finished(now, outcome, attempt.sent_at, group, ejection_time)
        });
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        endpoint.record_outcome(now, outcome);
        match outcome {
            Outcome::Success
            | Outcome::ClientError
            | Outcome::ServerError
            | Outcome::NotExecuted { .. }
            | Outcome::WrongVersion => self.record_liveness(now, server),
            Outcome::ConnectFailed | Outcome::Timeout => {
                self.reachability.record_unanswered(&endpoint.spec.region);
            }
            _ => {}
        }
    }

    /// Records how a health check ended. A passed check returns an ejected server to service. A
    /// failed one prolongs an ejection; it ejects a server in service only if the server has also
    /// been unresponsive for twice the `unresponsive_after` setting.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        server: ServerHandle,
        outcome: HealthCheckOutcome,
    ) {
        let Some(endpoint) = self.endpoints.get(server) else {
            return;
        };
        let was_unresponsive = self.is_long_unresponsive(now, endpoint);
        let group = self.endpoints.group_health(endpoint);
        let has_passed = matches!(
            outcome,
            HealthCheckOutcome::Healthy | HealthCheckOutcome::Full
        );
        if has_passed {
            self.record_liveness(now, server);
        }
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.is_displaced |= outcome == HealthCheckOutcome::WrongInstance;
        }
        let ejection_time = self.settings.ejection;
        self.update_outlier_detector(server, |outlier| {
            if has_passed {
                outlier.health_check_passed();
                return None;
            }
            outlier.health_check_failed(now, ejection_time);
            if was_unresponsive {
                outlier.eject_unresponsive(now, group, ejection_time)
            } else {
                None
            }
        });
    }

    /// Applies a change to the outlier detector of a server. If this ejects the server or returns
    /// it to service, the change is buffered for [`Decider::take_ejection_changes`].
    fn update_outlier_detector(
        &mut self,
        server: ServerHandle,
        change: impl FnOnce(&mut OutlierDetector) -> Option<EjectionCause>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        let was_ejected = endpoint.outlier.ejection().is_some();
        let cause = change(&mut endpoint.outlier);
        let is_ejected = endpoint.outlier.ejection().is_some();
        self.ejections += u64::from(cause.is_some());
        if was_ejected != is_ejected && self.ejection_changes.len() < MAX_EJECTION_CHANGES {
            self.ejection_changes.push(EjectionChange {
                server,
                instance: endpoint.spec.instance.clone(),
                ejected: cause,
            });
        }
    }

    /// Takes the ejections and returns to service since the last call, in order. At most 256 are
    /// buffered; further ones are dropped.
    pub fn take_ejection_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.ejection_changes)
    }

    /// True if a server is ejected. An ejection lasts until a later attempt or a health
    /// check succeeds.
    #[must_use]
    pub fn is_ejected(&self, server: ServerHandle) -> bool {
        let endpoint = self.endpoints.get(server);
        endpoint.is_some_and(|endpoint| endpoint.outlier.ejection().is_some())
    }

    /// Number of ejections since the start. An ejection that a failed attempt or a slow first byte
    /// prolongs counts again; one that a failed health check prolongs does not.
    #[must_use]
    pub fn ejections(&self) -> u64 {
        self.ejections
    }
}
