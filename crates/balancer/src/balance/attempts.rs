//! Attempts at a request: the first, retries after failures, and hedged requests, within a budget.

use super::Balancer;
use super::health::{EJECTION_THRESHOLD, EJECTION_TIME};
use crate::api::{Action, AttemptEnded, Micros, Outcome, RequestId, ServerId};
use crate::failure_detector;
use crate::open_request::Attempt;

/// Retries and hedged requests earned by each accepted request: at least, and for each unit by which
/// hedged requests win more often than pays for their work.
pub(super) const RETRY_BUDGET_EARNED: (f64, f64) = (0.03, 2.0);
/// The rate of wins that pays for hedged requests, and the rate assumed at the start.
pub(super) const HEDGE_WIN_RATE: (f64, f64) = (0.3, 0.4);
/// The largest retry budget.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;

impl Balancer {
    /// Sends an attempt to a server.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let (now, Some(open)) = (self.now, self.open_requests.get_mut(&id)) else {
            return;
        };
        let class = open.request.class;
        let sent = self.fleet.change(server, |node| {
            node.in_flight += 1;
            node.warm_up_budget -= 1.0;
            if let Some((_, until)) = node.ejected.as_mut().filter(|(_, until)| *until <= now) {
                // This is the trial; the next follows after another backoff.
                *until = now + node.backoff;
            }
            // A trial of a class for which the server is ejected has a short timeout, so that the
            // request can still go elsewhere.
            let ejection = node
                .class_ejections
                .get_mut(&class)
                .filter(|ejection| ejection.since > 0 && ejection.until <= now);
            let timeout = ejection.map(|ejection| {
                ejection.until = now + ejection.backoff;
                self.settings.classes[class].latency_target
            });
            (node.server.zone, node.server.cell, timeout)
        });
        let Some((zone, cell, timeout)) = sent else {
            return;
        };
        self.failure_detector.sent(server, zone, now);
        self.queue.remove(&open.turn);
        let start_deadline = open.start_deadline(self.settings.classes[class].effect);
        open.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            outcome: None,
        });
        actions.push(Action::Send {
            id,
            server,
            timeout,
            start_deadline,
        });
        if open.attempts.len() == 1 && self.settings.limits.allow_hedging {
            self.due_requests
                .insert((now + self.latencies[class].high as Micros, id));
        }
    }

    /// An attempt ended: judges its server, then ends the request, retries it, or waits for its other
    /// attempt.
    pub(super) fn attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let open = self.open_requests.get_mut(&ended.id);
        let class = open.as_ref().map(|open| open.request.class);
        let attempt = open.and_then(|open| open.attempts.get_mut(ended.attempt as usize));
        let sent = attempt
            .filter(|attempt| attempt.outcome.is_none())
            .map(|attempt| attempt.end(ended.outcome));
        self.record_outcome(ended, class, sent, actions);
        if let Some((class, at)) = class.zip(sent) {
            let target = self.settings.classes[class].latency_target;
            let log = failure_detector::judge_class(
                &mut self.fleet,
                (ended, class, at),
                (self.now, target),
                EJECTION_TIME,
            );
            actions.extend(log.map(Action::Log));
            self.failure_detector.ended(ended.server);
            let sign = failure_detector::sign_of(ended.outcome, ended.latency);
            if let Some(sign) = sign {
                self.record_sign(ended.server, sign, actions);
            }
            // Two failures in a row are checked by a probe: guards requests that must not be retried,
            // for a dead process resets and then refuses connections.
            let is_reset = ended.outcome == Outcome::Reset && self.settings.limits.probes;
            let is_suspect = is_reset
                && self
                    .fleet
                    .get(ended.server)
                    .is_some_and(|node| node.failure_rate > EJECTION_THRESHOLD / 4.0);
            actions.extend(is_suspect.then_some(Action::Probe {
                server: ended.server,
            }));
        }
        let Some(open) = self.open_requests.get(&ended.id) else {
            return;
        };
        if ended.finished || open.done {
            if !open.done && open.outstanding() > 0 {
                // A hedged request that loses shows an expensive request, not a slow server: guards
                // against hedging those.
                self.hedge_win_rate +=
                    0.05 * (f64::from(ended.attempt.min(1)) - self.hedge_win_rate);
            }
            self.close(ended.id, actions);
        } else if open.outstanding() == 0 {
            self.after_failure(ended.id, ended.outcome, actions);
        }
    }

    /// No attempt is in flight and the request is not answered: retries it where that is allowed and
    /// of use, otherwise ends it.
    pub(super) fn after_failure(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&id) else {
            return;
        };
        // Guards the queue: a request that may be sent nowhere would block those behind it.
        let is_sendable = self.fleet.ready().any(|node| self.may_send(open, node));
        // Without cost only where the server is likely gone: guards against retry storms among
        // overloaded servers.
        let cost = if matches!(outcome, Outcome::ConnectFailed | Outcome::Cancelled) {
            0.0
        } else {
            1.0
        };
        let is_hopeless = self.now >= open.last.min(open.target_at)
            || !is_sendable
            || outcome == Outcome::ClientError;
        if is_hopeless || !open.has_attempts_left(&self.settings.limits) || self.retry_budget < cost
        {
            return self.end(id, actions);
        }
        self.retry_budget -= cost;
        self.send_or_queue(id, actions);
    }
}
