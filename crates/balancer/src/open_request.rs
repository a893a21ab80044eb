//! The state of an open request: its attempts, its deadlines and its position in the queue. Servers
//! are chosen elsewhere (`balance::selection`).

use std::cmp::Reverse;

use crate::api::{
    ClassSettings, Effect, Group, Limits, Micros, Outcome, Request, RequestId, ServerId, ZoneId,
};

/// The position of a request in the queue: the most valuable first, then the newest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// The value of the request's class, in thousandths.
    value: Reverse<u64>,
    arrived: Reverse<Micros>,
    pub id: RequestId,
}

impl QueuePosition {
    /// The position of a request of a class with this value.
    pub(crate) fn new(value: f64, arrived: Micros, id: RequestId) -> Self {
        QueuePosition {
            value: Reverse((value * 1000.0) as u64),
            arrived: Reverse(arrived),
            id,
        }
    }
}

/// One attempt at a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: u64,
    /// Clock reading at the send, or at the last byte of the request if that arrived later.
    pub sent: Micros,
    /// `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Records the outcome; returns when the attempt was sent.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Micros {
        self.outcome = Some(outcome);
        self.sent
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that has no final answer, or whose attempts have not all ended.
pub(crate) struct OpenRequest {
    pub request: Request,
    pub queue_position: QueuePosition,
    /// Clock reading from which on the request may spill over to other zones.
    pub spill_at: Micros,
    /// Clock reading at which the latency target passes.
    pub target_at: Micros,
    /// Clock reading at which the request is rejected if no server has received it.
    pub unsent_until: Micros,
    /// Clock reading by which the request must have its final answer.
    pub end_at: Micros,
    pub attempts: Vec<Attempt>,
    /// The client has its final answer or has disconnected: no more attempts are sent.
    pub done: bool,
    /// A streamed response has started and is being forwarded.
    pub streaming: bool,
}

impl OpenRequest {
    /// Handles the arrival of the request's last byte: target and deadline count from now, and attempts
    /// in flight count as sent now.
    pub(crate) fn complete(&mut self, now: Micros, expires: Micros) {
        let margin = self.request.expires.saturating_sub(self.end_at);
        self.request.expires = expires;
        self.end_at = expires.saturating_sub(margin);
        let arrived = self.queue_position.arrived.0;
        self.target_at = now + self.target_at.saturating_sub(arrived);
        for attempt in &mut self.attempts {
            if attempt.is_in_flight() {
                attempt.sent = now;
            }
        }
    }

    /// The attempt in flight at a server that is unreachable by `is_unreachable`, if the request may
    /// be retried elsewhere: its response has not started, a retry is safe anywhere, and attempts
    /// remain.
    pub(crate) fn unreachable_attempt_to_retry(
        &self,
        class: &ClassSettings,
        limits: &Limits,
        is_unreachable: impl Fn(&Attempt) -> bool,
    ) -> Option<u32> {
        let is_retry_safe = matches!(
            class.effect,
            Effect::Idempotent
                | Effect::Deduplicated {
                    group: Group::All,
                    ..
                }
        );
        if !is_retry_safe || self.done || self.streaming || !self.has_attempts_left(limits) {
            return None;
        }
        self.attempts
            .iter()
            .rposition(|attempt| attempt.is_in_flight() && is_unreachable(attempt))
            .map(|number| number as u32)
    }

    /// Clock reading until which another attempt may start: the end of the class's deduplication
    /// window, which counts from the first attempt that may have run. `None` if there is no limit.
    pub(crate) fn start_deadline(&self, effect: Effect) -> Option<Micros> {
        let Effect::Deduplicated { window, .. } = effect else {
            return None;
        };
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
            .map(|attempt| attempt.sent + window)
            .min()
    }

    pub(crate) fn has_attempts_left(&self, limits: &Limits) -> bool {
        self.attempts.len() < limits.max_attempts as usize
    }

    /// Whether an attempt at the request was sent to the server.
    pub(crate) fn was_tried(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    /// The number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }
}
