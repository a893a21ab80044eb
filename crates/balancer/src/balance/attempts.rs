//! Attempts at a request: the first, retries after failures, and hedged requests, within a budget.

use super::Balancer;
use super::health::{EJECTION_THRESHOLD, EJECTION_TIME};
use crate::api::{Action, AttemptEnded, Micros, Outcome, RequestId, ServerId};
use crate::class_ejection::{self, EndedAttempt};
use crate::failure_detector::Liveness;
use crate::open_request::Attempt;

/// Retries and hedged requests earned by each accepted request, at least.
const MIN_BUDGET_EARNED: f64 = 0.03;
/// What is earned besides for each unit by which hedged requests win more often than pays for their
/// work.
const BUDGET_EARNED_BY_WINS: f64 = 2.0;
/// The rate of wins that pays for hedged requests.
const BREAK_EVEN_HEDGE_WIN_RATE: f64 = 0.3;
/// Smoothing factor of that rate.
const HEDGE_WIN_SMOOTHING: f64 = 0.05;
/// The largest retry budget.
const MAX_RETRY_BUDGET: f64 = 20.0;

impl Balancer {
    /// An accepted request earns a part of a retry.
    pub(super) fn deposit_retry_budget(&mut self) {
        let wins = (self.hedge_win_rate - BREAK_EVEN_HEDGE_WIN_RATE).max(0.0);
        let earned = MIN_BUDGET_EARNED + BUDGET_EARNED_BY_WINS * wins;
        self.retry_budget = (self.retry_budget + earned).min(MAX_RETRY_BUDGET);
    }

    /// Sends an attempt to a server.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let (now, Some(open)) = (self.now, self.open_requests.get_mut(&id)) else {
            return;
        };
        let class = open.request.class;
        let class_settings = &self.settings.classes[class];
        let attempt = self.fleet.change(server, |node| {
            node.in_flight += 1;
            node.warm_up_budget -= 1.0;
            node.start_due_trial(now);
            // A trial of a class for which the server is ejected has a short timeout, so that the
            // request can still go elsewhere.
            let is_trial = node.start_due_class_trial(class, now);
            let timeout = is_trial.then_some(class_settings.latency_target);
            let attempt = Attempt {
                server,
                zone: node.server.zone,
                cell: node.server.cell,
                sent: now,
                outcome: None,
            };
            (attempt, timeout)
        });
        let Some((attempt, timeout)) = attempt else {
            return;
        };
        self.failure_detector
            .attempt_sent(server, attempt.zone, now);
        self.queue.remove(&open.queue_position);
        let start_deadline = open.start_deadline(class_settings.effect);
        open.attempts.push(attempt);
        actions.push(Action::Send {
            id,
            server,
            timeout,
            start_deadline,
        });
        if open.attempts.len() == 1 && self.settings.limits.allow_hedging {
            let hedge_at = now + self.latencies[class].high as Micros;
            self.due_requests.insert((hedge_at, id));
        }
    }

    /// An attempt ended: judges its server, then ends the request, retries it, or waits for its other
    /// attempt.
    pub(super) fn attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let open = self.open_requests.get_mut(&ended.id);
        let class = open.as_ref().map(|open| open.request.class);
        let attempt = open.and_then(|open| open.attempts.get_mut(ended.attempt as usize));
        let sent = attempt
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt| attempt.end(ended.outcome));
        self.record_outcome(ended, class, sent, actions);
        if let Some((class, sent)) = class.zip(sent) {
            self.record_attempt_end(&EndedAttempt { ended, class, sent }, actions);
        }
        let Some(open) = self.open_requests.get(&ended.id) else {
            return;
        };
        if ended.finished || open.done {
            if !open.done && open.in_flight() > 0 {
                // A hedged request that loses shows an expensive request, not a slow server: guards
                // against hedging those.
                let won = f64::from(ended.attempt.min(1));
                self.hedge_win_rate += HEDGE_WIN_SMOOTHING * (won - self.hedge_win_rate);
            }
            self.close(ended.id, actions);
        } else if open.in_flight() == 0 {
            self.after_failure(ended.id, ended.outcome, actions);
        }
    }

    /// Whether the server of an attempt answers its class and is alive.
    fn record_attempt_end(&mut self, attempt: &EndedAttempt, actions: &mut Vec<Action>) {
        let (ended, now) = (attempt.ended, self.now);
        let target = self.settings.classes[attempt.class].latency_target;
        let log =
            class_ejection::record_attempt(&mut self.fleet, attempt, now, target, &EJECTION_TIME);
        actions.extend(log.map(Action::Log));
        self.failure_detector.attempt_ended(ended.server);
        if let Some(liveness) = Liveness::of(ended.outcome, ended.latency) {
            self.record_liveness(ended.server, liveness, actions);
        }
        // Two failures in a row are checked by a probe: guards requests that must not be retried, for
        // a dead process resets and then refuses connections.
        let node = self.fleet.get(ended.server);
        let has_failed = node.is_some_and(|node| node.failure_rate > EJECTION_THRESHOLD / 4.0);
        if ended.outcome == Outcome::Reset && self.settings.limits.probes && has_failed {
            let server = ended.server;
            actions.push(Action::Probe { server });
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
        // Without cost only where the server is likely dead: guards against retry storms among
        // overloaded servers.
        let is_free = matches!(outcome, Outcome::ConnectFailed | Outcome::Cancelled);
        let cost = if is_free { 0.0 } else { 1.0 };
        let is_retry_useless = self.now >= open.end_at.min(open.target_at)
            || !is_sendable
            || outcome == Outcome::ClientError;
        let may_retry = open.has_attempts_left(&self.settings.limits) && self.retry_budget >= cost;
        if is_retry_useless || !may_retry {
            return self.end(id, actions);
        }
        self.retry_budget -= cost;
        self.send_or_queue(id, actions);
    }
}
