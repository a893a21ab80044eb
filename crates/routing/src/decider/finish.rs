//! The end of attempts and requests: releases the capacity that an attempt occupied, delays or
//! rejects a request that no server accepts, and makes the final decision.

use ironmast_balancer::Micros;

use super::Decider;
use crate::decision::{Decision, RejectionStatus};
use crate::guards::Guard;
use crate::outcome::Outcome;
use crate::rejection::{self, RejectionReason, SlotWait};
use crate::request::Call;
use crate::retry;

/// Interval at which a truncated stream searches again for a server to resume at, in microseconds.
const RESUME_RETRY_DELAY: Micros = 50_000;
/// Time after its truncation for which a stream searches for a server, in microseconds: half of the
/// shortest silence that clients tolerate.
const MAX_RESUME_TIME: Micros = 1_000_000;

impl Decider {
    /// Delays a request for which only servers that are warming up are left, if a permit may be
    /// available soon: within the configured share of the latency objective and before the
    /// deadline. Otherwise the request is rejected or ends.
    pub(super) fn delay_for_permit(
        &mut self,
        now: Micros,
        call: &mut Call,
        delay: Micros,
    ) -> Decision {
        let until = now.saturating_add(delay.max(1));
        let max_delay = (call.latency_objective() as f64 * self.settings.max_delay_share) as Micros;
        let is_short =
            until <= call.started_at.saturating_add(max_delay) || !Guard::ShortDelay.on();
        if is_short && until < call.deadline() {
            return Decision::Delay { until };
        }
        let retry_after = Some(delay);
        self.handle_unassigned(now, call, RejectionReason::NoServer { retry_after })
    }

    /// Decides on a request that cannot be assigned to a server now. A truncated stream is delayed
    /// and searches again for up to [`MAX_RESUME_TIME`]. A request that cannot have been executed
    /// is rejected; otherwise the outcome of the latest attempt decides.
    pub(super) fn handle_unassigned(
        &mut self,
        now: Micros,
        call: &mut Call,
        reason: RejectionReason,
    ) -> Decision {
        // The client has already received a part of the stream, so the search is repeated for a
        // while before the request fails.
        let may_resume = call
            .truncated_at
            .is_some_and(|truncated_at| now < truncated_at.saturating_add(MAX_RESUME_TIME));
        let until = now + RESUME_RETRY_DELAY;
        if may_resume && until < call.deadline() {
            return Decision::Delay { until };
        }
        if !call.head_forwarded && (!call.may_have_run() || !Guard::RejectOnlyUnexecuted.on()) {
            return self.reject(now, call, reason);
        }
        let latest = call.attempts.last();
        let outcome = latest.and_then(|attempt| attempt.outcome.clone());
        let decision = retry::final_decision(call, &outcome.unwrap_or(Outcome::Timeout));
        self.finish(now, call, decision)
    }

    /// Makes the final decision on a request. A failure becomes a rejection if the request cannot
    /// have been executed, because a rejection tells the client that a retry is safe.
    pub(super) fn finish(&mut self, now: Micros, call: &mut Call, decision: Decision) -> Decision {
        let is_failure = matches!(decision, Decision::Fail { .. } | Decision::ForwardResponse);
        if is_failure && !call.head_forwarded && !call.may_have_run() {
            let retry_after = call.longest_retry_after;
            return self.reject(
                now,
                call,
                RejectionReason::AttemptsExhausted { retry_after },
            );
        }
        call.is_finished = true;
        decision
    }

    /// Rejects a request with the status and retry delay that the reason implies.
    fn reject(&mut self, now: Micros, call: &mut Call, reason: RejectionReason) -> Decision {
        call.is_finished = true;
        let (status, delay) = match reason {
            // Servers were tried, but none is left: the longest delay that they asked for is the
            // best estimate.
            RejectionReason::NoServer { retry_after: None } if call.longest_retry_after > 0 => {
                (RejectionStatus::Unavailable, call.longest_retry_after)
            }
            RejectionReason::NoServer { retry_after } => {
                let default = self.settings.retry_after.max / 2;
                let delay = retry_after.unwrap_or(default);
                (RejectionStatus::Unavailable, delay)
            }
            RejectionReason::AttemptsExhausted { retry_after } => {
                (RejectionStatus::Unavailable, retry_after)
            }
            RejectionReason::Full(wait) => {
                let delay = self.delay_until_slot(now, call, wait);
                (RejectionStatus::Unavailable, delay)
            }
            RejectionReason::ReservedForPriority(wait) => {
                let delay = self.delay_until_slot(now, call, wait);
                (RejectionStatus::TooManyRequests, delay)
            }
        };
        let client_deadline = call.request.deadline.unwrap_or(call.deadline());
        let time_left = client_deadline.saturating_sub(now);
        let rejection = rejection::reject(&self.settings, &mut self.rng, status, delay, time_left);
        Decision::Reject(rejection)
    }

    /// Time until the next slot of the request's service becomes free that is not yet promised to
    /// another client.
    fn delay_until_slot(&mut self, now: Micros, call: &Call, wait: SlotWait) -> Micros {
        let max = self.settings.retry_after.max;
        let delay = match &call.service {
            Some(service) => self
                .retry_schedule
                .next_slot(now, service, wait.interval, max),
            None => wait.interval,
        };
        delay.max(wait.backoff)
    }

    /// Ends the attempt in flight, updates the health of its server, and releases the capacity that
    /// the attempt occupied there. Returns false if no attempt is in flight.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        call: &mut Call,
        outcome: &Outcome,
    ) -> bool {
        let Some(attempt) = call.finish_attempt(now, outcome) else {
            return false;
        };
        if let (Outcome::Success, Some(service)) = (outcome, &call.service) {
            let elapsed = now.saturating_sub(attempt.sent_at);
            let route = &call.request.route;
            self.baselines.record_response(service, route, elapsed);
        }
        let outcome = self.attributed_outcome(now, attempt.server, outcome);
        self.record_attempt_outcome(now, &attempt, &outcome);
        if let Some(endpoint) = self.endpoints.get_mut(attempt.server) {
            endpoint.occupancy.remove(call.token_demand());
            endpoint.prefill_backlog.remove(attempt.pending_tokens);
        }
        self.endpoints.remove_if_obsolete(attempt.server);
        true
    }
}
