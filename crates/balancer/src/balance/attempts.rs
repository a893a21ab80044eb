//! Attempts at a request: the first, retries after failures, and hedged requests, within a budget.

use super::Balancer;
use super::health::{EJECTION_THRESHOLD, EJECTION_TIME};
use crate::api::{Action, AttemptEnded, Micros, Outcome, RequestId, ServerId};
use crate::class_ejection::{self, EndedAttempt};
use crate::failure_detector::Liveness;
use crate::open_request::Attempt;

/// Minimum retry budget earned by each accepted request.
const MIN_BUDGET_EARNED: f64 = 0.03;
/// Additional budget earned for each unit by which the hedge win rate exceeds break-even.
const BUDGET_EARNED_BY_WINS: f64 = 2.0;
/// Hedge win rate at which hedged requests pay for their work.
const BREAK_EVEN_HEDGE_WIN_RATE: f64 = 0.3;
/// Smoothing factor of the hedge win rate.
const HEDGE_WIN_SMOOTHING: f64 = 0.05;
/// Upper bound of the retry budget, in attempts.
const MAX_RETRY_BUDGET: f64 = 20.0;

impl Balancer {
    /// Adds the fraction of a retry that an accepted request earns to the retry budget.
    pub(super) fn deposit_retry_budget(&mut self) {
        let wins = (self.hedge_win_rate - BREAK_EVEN_HEDGE_WIN_RATE).max(0.0);
        let earned = MIN_BUDGET_EARNED + BUDGET_EARNED_BY_WINS * wins;
        self.retry_budget = (self.retry_budget + earned).min(MAX_RETRY_BUDGET);
    }

    /// Sends an attempt to a server; schedules hedging after the first if it is allowed.
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
            // request can still be sent elsewhere.
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
            let hedge_at = now + self.latencies[class].p90 as Micros;
            self.due_requests.insert((hedge_at, id));
        }
    }

    /// Handles the end of an attempt: updates the health of its server, then ends the request, retries
    /// it, or waits for its other attempt.
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
                // A hedged request that loses indicates an expensive request, not a slow server; a
                // lower win rate makes hedging rarer.
                let won = f64::from(ended.attempt.min(1));
                self.hedge_win_rate += HEDGE_WIN_SMOOTHING * (won - self.hedge_win_rate);
            }
            self.close(ended.id, actions);
        } else if open.in_flight() == 0 {
            self.after_failure(ended.id, ended.outcome, actions);
        }
    }

    /// Updates class ejection and failure detection with the end of an attempt.
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
        // Repeated resets are checked by a probe, which saves requests that must not be retried: a
        // dead process resets connections, then refuses new ones.
        let node = self.fleet.get(ended.server);
        let has_failed = node.is_some_and(|node| node.failure_rate > EJECTION_THRESHOLD / 4.0);
        if ended.outcome == Outcome::Reset && self.settings.limits.probes && has_failed {
            let server = ended.server;
            actions.push(Action::Probe { server });
        }
    }

    /// Retries an unanswered request without attempts in flight where that is allowed and useful;
    /// otherwise ends it.
    pub(super) fn after_failure(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&id) else {
            return;
        };
        // A request that may be sent to no server would block those behind it in the queue.
        let is_sendable = self.fleet.ready().any(|node| self.may_send(open, node));
        // Free only where the server is likely dead: free retries of rejected requests caused retry
        // storms among overloaded servers.
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
