//! The requests that a reference policy has accepted, with their attempts.

use ironmast_balancer::{Effect, Group, Micros, Outcome, Request, Server, ServerId};

/// An attempt.
pub(super) struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// The server's zone.
    pub zone: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// How it ended, unless it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request with its attempts.
pub(super) struct AcceptedRequest {
    /// The request.
    pub request: Request,
    /// Its attempts so far.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or its client has disconnected.
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

    /// Whether a server may have executed it.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_some())
    }

    /// Whether it may be sent to a server: one that it was not sent to before, and at which a
    /// repeat has no further effect.
    pub(super) fn may_be_sent_to(&self, server: &Server, effect: &Effect, now: Micros) -> bool {
        let is_harmless = |attempt: &Attempt| match *effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { group, window } => {
                let knows = group == Group::All || attempt.zone == server.zone;
                knows && now < attempt.sent_at + window
            }
        };
        self.attempts.iter().all(|attempt| {
            attempt.server != server.id && (!attempt.may_have_run() || is_harmless(attempt))
        })
    }
}
