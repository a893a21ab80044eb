//! A request that is being served, its attempts, and its position in the queue. Nothing here decides
//! which server a request is sent to.

use std::cmp::Reverse;

use crate::api::{
    ClassSettings, Effect, Group, Limits, Micros, Outcome, Request, RequestId, ServerId, ZoneId,
};

/// A queued request's position: by value, then newest first.
pub(crate) type QueuePosition = (Reverse<u64>, Reverse<Micros>, RequestId);

/// One attempt at a request.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: u64,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Records how it ended; returns when it was sent.
    pub(crate) fn end(&mut self, outcome: Outcome) -> Micros {
        self.outcome = Some(outcome);
        self.sent
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that is not answered, or whose attempts have not all ended.
pub(crate) struct OpenRequest {
    pub request: Request,
    pub turn: QueuePosition,
    /// From when on it may spill over to other zones, when its latency target passes, and when it must
    /// be ended.
    pub spill_at: Micros,
    pub target_at: Micros,
    /// When it is rejected if no server has seen it.
    pub unsent_until: Micros,
    pub last: Micros,
    pub attempts: Vec<Attempt>,
    /// The client has its response or has disconnected: nothing may be sent any more.
    pub done: bool,
    /// A streamed response has started and is being forwarded.
    pub streaming: bool,
}

impl OpenRequest {
    pub(crate) fn new(
        request: Request,
        turn: QueuePosition,
        spill_at: Micros,
        target_at: Micros,
        unsent_until: Micros,
        last: Micros,
    ) -> Self {
        let (done, streaming) = (false, false);
        OpenRequest {
            request,
            turn,
            spill_at,
            target_at,
            unsent_until,
            last,
            attempts: Vec::new(),
            done,
            streaming,
        }
    }

    /// Its last byte has arrived: target and deadline count from now, and attempts in flight count as
    /// sent now. Returns when it must be ended.
    pub(crate) fn complete(&mut self, now: Micros, expires: Micros) -> (Micros, RequestId) {
        let (margin, arrived) = (
            self.request.expires.saturating_sub(self.last),
            self.turn.1.0,
        );
        (self.request.expires, self.last) = (expires, expires.saturating_sub(margin));
        self.target_at = now + self.target_at.saturating_sub(arrived);
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.outcome.is_none())
            .for_each(|attempt| attempt.sent = now);
        (self.last, self.request.id)
    }

    /// The attempt in flight at a server that is unreachable by `is_unreachable`, if the request may be retried
    /// elsewhere: its response has not started, a retry is safe anywhere, and attempts are left.
    pub(crate) fn stranded_attempt(
        &self,
        class: &ClassSettings,
        limits: &Limits,
        is_unreachable: impl Fn(&Attempt) -> bool,
    ) -> Option<u32> {
        let harmless = matches!(
            class.effect,
            Effect::Idempotent
                | Effect::Deduplicated {
                    group: Group::All,
                    ..
                }
        );
        let moves = harmless && !self.done && !self.streaming && self.has_attempts_left(limits);
        let out = self
            .attempts
            .iter()
            .rposition(|attempt| attempt.outcome.is_none() && is_unreachable(attempt));
        out.filter(|_| moves).map(|n| n as u32)
    }

    /// Until when one more attempt may start: servers deduplicate within the class's window, which
    /// counts from the first attempt that may have run.
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

    pub(crate) fn outstanding(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
            .count()
    }
}
