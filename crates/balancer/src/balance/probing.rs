//! Health checks (probes) and signs of life: the end of ejections, and reports to the failure detector.

use super::Balancer;
use super::health::{EJECTION_THRESHOLD, EJECTION_TIME};
use crate::api::{Action, Micros, Outcome, ServerId};
use crate::failure_detector::Liveness;
use crate::node::EjectionTime;
use crate::open_request::Attempt;

/// Probes start when responses are overdue by the 0.9 latency quantile, but no later than after this
/// many maintenance intervals.
const PROBE_AFTER_RUNS: f64 = 5.0;

impl Balancer {
    /// Handles the end of a health check. An answer ends an ejection, but with half the ejecting
    /// failure rate, as it shows that the server is reachable, not that it serves requests. A server
    /// that does not answer is ejected, longer each time.
    pub(super) fn probe_ended(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let is_reachable = matches!(outcome, Outcome::Ok | Outcome::Overloaded);
        // A lower maximum, so that a zone without a healthy server is used again soon.
        let node = self.fleet.get(server);
        let is_zone_down = node.is_some_and(|node| self.fleet.zone(node.server.zone).healthy == 0);
        let longest = if is_zone_down {
            2 * EJECTION_TIME.first
        } else {
            EJECTION_TIME.longest
        };
        self.fleet.change(server, |node| {
            if !is_reachable {
                let since = node.ejected.map_or(now, |ejection| ejection.since);
                let first = EJECTION_TIME.first;
                node.eject(since, now, &EjectionTime { first, longest });
            } else if node.ejected.take().is_some() {
                node.failure_rate = EJECTION_THRESHOLD / 2.0;
            }
        });
        let is_alive = is_reachable || Liveness::of(outcome, latency) == Some(Liveness::Alive);
        let liveness = if is_alive {
            Liveness::Alive
        } else {
            Liveness::Unanswered
        };
        self.record_liveness(server, liveness, actions);
    }

    /// Records a sign of life of a server, or the lack of one that was due. An unreachable zone is not
    /// used until one of its servers gives a sign of life; attempts in flight there are cancelled if a
    /// retry is safe and in time.
    pub(super) fn record_liveness(
        &mut self,
        server: ServerId,
        liveness: Liveness,
        actions: &mut Vec<Action>,
    ) {
        let detector = &mut self.failure_detector;
        let finding = detector.record(&self.fleet, server, liveness, self.now, &mut self.rng);
        actions.extend(finding.log.map(Action::Log));
        actions.extend(probes(finding.probe));
        // Scans all requests, so it is not done for signs of life, which are frequent.
        if liveness == Liveness::Unanswered && self.settings.limits.cancel {
            self.cancel_unreachable_attempts(server, actions);
        }
    }

    /// Cancels attempts at an unreachable server or zone if a retry is safe and in time.
    fn cancel_unreachable_attempts(&self, server: ServerId, actions: &mut Vec<Action>) {
        let is_unreachable = |attempt: &Attempt| {
            attempt.server == server || self.failure_detector.is_unreachable(attempt.zone)
        };
        for (&id, open) in &self.open_requests {
            let class = &self.settings.classes[open.request.class];
            let median_latency = self.latencies[open.request.class].median as Micros;
            if self.now + median_latency < open.target_at {
                let limits = &self.settings.limits;
                let unreachable = open.unreachable_attempt_to_retry(class, limits, is_unreachable);
                actions.extend(unreachable.map(|attempt| Action::Cancel { id, attempt }));
            }
        }
    }

    /// Probes servers of zones from which responses are overdue, or that are unreachable.
    pub(super) fn probe_silent_zones(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.limits.probes {
            return;
        }
        let longest = PROBE_AFTER_RUNS * self.maintenance_interval as f64;
        let quantiles = self.latencies.iter().map(|latency| latency.p90);
        let overdue = quantiles.fold(longest, f64::min) as Micros;
        let detector = &mut self.failure_detector;
        let due = detector.due_probes(&self.fleet, self.now, overdue, &mut self.rng);
        actions.extend(probes(due));
    }
}

fn probes(servers: Vec<ServerId>) -> impl Iterator<Item = Action> {
    let probe = |server| Action::Probe { server };
    servers.into_iter().map(probe)
}
