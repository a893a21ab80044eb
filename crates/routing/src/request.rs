//! A client's request as the decisions see it, and what is remembered of it until it has its
//! answer.

use std::sync::Arc;

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::affinity;
use crate::decision::{Outcome, ServerHandle};
use crate::load::TokenDemand;
use crate::table::Route;

/// No request counts for more tokens than this.
const MAX_TOKENS: u64 = 1 << 32;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u64,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its route, from the router of the table in force.
    pub route: Arc<Route>,
    /// The model's name; empty where none is named.
    pub model: Box<str>,
    /// The parts of the prompt in order; the last belongs to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at the most.
    pub max_output_tokens: u64,
    /// Clock reading at which the client gives up.
    pub deadline: Option<Micros>,
    /// Further regions to keep to, such as the tenant's; all where empty.
    pub allowed_regions: Vec<Box<str>>,
    /// The event after which the client takes a stream up again (`Last-Event-Id`).
    pub last_event: Option<u64>,
}

impl Request {
    /// A request without a prompt or a deadline.
    pub fn new(route: Arc<Route>) -> Self {
        Request {
            route,
            model: Box::default(),
            parts: SmallVec::new(),
            prompt_tokens: 0,
            max_output_tokens: 0,
            deadline: None,
            allowed_regions: Vec::new(),
            last_event: None,
        }
    }
}

/// One attempt at a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub server: ServerHandle,
    pub sent: Micros,
    pub first_byte: Option<Micros>,
    pub outcome: Option<Outcome>,
    pub trial: bool,
    /// An earlier attempt may have arrived: the budget paid for this one.
    pub repeat: bool,
    /// Tokens of its prompt that wait to be read, and those of all that waited there when it was
    /// sent.
    pub unread: u64,
    pub backlog: u64,
}

impl Attempt {
    /// True where the server may have worked on it, or work on it still.
    pub fn may_have_run(&self) -> bool {
        self.outcome
            .as_ref()
            .is_none_or(|outcome| !outcome.never_executed())
    }

    /// True where the request may have reached the server, be it to be turned away.
    pub fn may_have_arrived(&self) -> bool {
        self.outcome
            .as_ref()
            .is_none_or(|outcome| !outcome.never_sent())
    }
}

/// A request that is owed an answer. The gate keeps it and hands it to the decider at each event;
/// it must end in a final decision or in [`Decider::cancel`](crate::Decider::cancel).
#[derive(Debug)]
pub struct Call {
    pub(crate) request: Request,
    pub(crate) started_at: Micros,
    /// The affinity key, and the tokens of the parts that are shared.
    pub(crate) key: Option<u64>,
    pub(crate) shared_tokens: u64,
    pub(crate) model: u64,
    /// Its luck in a crowd, 0 to 1: it is turned away the earlier the higher.
    pub(crate) chance: f64,
    /// The service drawn for it, which the later attempts keep to.
    pub(crate) service: Option<Arc<str>>,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// The client has the head of an answer, and the last whole event if there was one.
    pub(crate) head_forwarded: bool,
    pub(crate) last_event: Option<u64>,
    /// When the stream was cut.
    pub(crate) truncated_at: Option<Micros>,
    /// The longest wait that a server named when it turned the request away.
    pub(crate) longest_retry_after: Micros,
    /// The budget has paid for the next attempt.
    pub(crate) paid: bool,
    /// When the last byte of the attempt that is out came.
    pub(crate) last_byte_at: Micros,
    pub(crate) done: bool,
}

impl Call {
    pub(crate) fn new(now: Micros, request: Request, chance: f64) -> Self {
        let affine = request.route.spec.affinity;
        let model = if request.model.is_empty() {
            0
        } else {
            affinity::hash(&request.model)
        };
        Call {
            started_at: now,
            key: affinity::key(model, &request.parts).filter(|_| affine),
            shared_tokens: affinity::shared_tokens(&request.parts),
            model,
            chance,
            service: None,
            attempts: SmallVec::new(),
            head_forwarded: false,
            last_event: request.last_event,
            truncated_at: None,
            longest_retry_after: 0,
            paid: false,
            last_byte_at: now,
            done: false,
            request,
        }
    }

    /// Memory that it needs at a server.
    pub(crate) fn token_demand(&self) -> TokenDemand {
        // Clients name these figures: sums of many must hold.
        let tokens = self
            .request
            .prompt_tokens
            .saturating_add(self.request.max_output_tokens)
            .min(MAX_TOKENS);
        let shared = if self.key.is_some() {
            self.shared_tokens.min(tokens)
        } else {
            0
        };
        TokenDemand {
            key: self.key,
            shared,
            own: tokens - shared,
        }
    }

    /// The request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// True where the request has its final answer.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// The time after which the request is no longer to be held.
    pub(crate) fn deadline(&self) -> Micros {
        let timeout = self
            .started_at
            .saturating_add(self.request.route.spec.timeout_ms.saturating_mul(1000));
        self.request
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout))
    }

    pub(crate) fn latency_objective(&self) -> Micros {
        self.request
            .route
            .latency_objective_ms()
            .saturating_mul(1000)
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.request.route.spec.kind.is_idempotent()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Servers that the request may have reached.
    pub(crate) fn arrived_attempts(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.may_have_arrived())
            .count()
    }

    /// True where the server had an attempt. A connection that ended before a byte was written
    /// tells nothing of its server: it was an idle one, or a permit was gone.
    pub(crate) fn was_tried(&self, server: ServerHandle) -> bool {
        let had = |attempt: &Attempt| {
            attempt.server == server && attempt.outcome != Some(Outcome::NotSent)
        };
        self.attempts.iter().any(had)
    }

    /// Notes the end of the attempt that is out, and tells which it was.
    pub(crate) fn finish_attempt(&mut self, now: Micros, outcome: &Outcome) -> Option<Attempt> {
        let attempt = self.attempt_in_flight()?;
        attempt.outcome = Some(outcome.clone());
        let attempt = attempt.clone();
        self.paid = attempt.repeat && outcome.never_sent();
        if let Outcome::Truncated { last_event } = outcome {
            self.head_forwarded = true;
            self.last_event = last_event.or(self.last_event);
        }
        if self.head_forwarded && !matches!(outcome, Outcome::Success | Outcome::Cancelled) {
            self.truncated_at.get_or_insert(now);
        }
        if let Outcome::NotExecuted {
            retry_after: Some(wait),
        } = outcome
        {
            self.longest_retry_after = self.longest_retry_after.max(*wait);
        }
        Some(attempt)
    }

    /// The attempt that is out.
    pub(crate) fn attempt_in_flight(&mut self) -> Option<&mut Attempt> {
        self.attempts
            .last_mut()
            .filter(|attempt| attempt.outcome.is_none())
    }
}
