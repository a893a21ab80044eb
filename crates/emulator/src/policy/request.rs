//! The accepted requests of a reference policy, with their attempts.

use ironmast_balancer::{Effect, Group, Micros, Outcome, Request, Server, ServerId};

/// An attempt at a request.
pub(super) struct Attempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// The server's zone.
    pub zone: usize,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// An accepted request with its attempts.
pub(super) struct AcceptedRequest {
    /// The request as delivered to the policy.
    pub request: Request,
    /// The attempts so far, by index.
    pub attempts: Vec<Attempt>,
    /// Whether the request has its final answer or its client has disconnected.
    pub ended: bool,
}

impl AcceptedRequest {
    pub(super) fn new(request: Request) -> Self {
        AcceptedRequest {
            request,
            attempts: Vec::new(),
            ended: false,
        }
    }

    /// Whether any server may have executed the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_some())
    }

    /// Whether the request may be sent to a server. The server must not have had an attempt of it,
    /// and every earlier attempt that may have run must make a repeat there harmless.
    pub(super) fn may_be_sent_to(&self, server: &Server, effect: &Effect, now: Micros) -> bool {
        let is_harmless = |attempt: &Attempt| match *effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { group, window } => {
                let is_in_group = group == Group::All || attempt.zone == server.zone;
                is_in_group && now < attempt.sent_at + window
            }
        };
        self.attempts.iter().all(|attempt| {
            attempt.server != server.id && (!attempt.may_have_run() || is_harmless(attempt))
        })
    }
}
