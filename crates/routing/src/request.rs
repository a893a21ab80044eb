//! A client's request, and its state from the start to the final decision.

use std::sync::Arc;

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::affinity;
use crate::decision::ServerHandle;
use crate::load::TokenDemand;
use crate::outcome::Outcome;
use crate::prompt::{self, PromptPart};
use crate::table::Route;

/// Maximum number of tokens that a request counts for, whatever its client claims, so that sums
/// over many requests do not overflow.
const MAX_TOKENS: u64 = 1 << 32;

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Route of the request, from the router of the current table.
    pub route: Arc<Route>,
    /// Name of the model; empty if the request names none.
    pub model: Box<str>,
    /// Parts of the prompt in order. The last one belongs to the request or its session alone.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u64,
    /// Clock reading at which the client gives up; `None` if it is unknown.
    pub deadline: Option<Micros>,
    /// Regions to which the request is restricted besides the route's restriction, such as the
    /// tenant's; empty if there is no further restriction.
    pub allowed_regions: Vec<Box<str>>,
    /// Number of the event after which the client resumes a stream (`Last-Event-Id`).
    pub last_event: Option<u64>,
}

impl Request {
    /// A request without a model, a prompt, a deadline and restrictions of its own.
    #[must_use]
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
    pub(crate) server: ServerHandle,
    pub(crate) sent_at: Micros,
    pub(crate) first_byte_at: Option<Micros>,
    /// Outcome of the attempt; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// The attempt decides whether an ejected server returns to service.
    pub(crate) is_trial: bool,
    /// An earlier attempt may have arrived, so the retry budget was charged for this one.
    pub(crate) is_retry: bool,
    /// Number of tokens of the attempt that are pending prefill at the server; 0 after the first
    /// byte.
    pub(crate) pending_tokens: u64,
    /// Number of tokens that were pending prefill at the server when the attempt was sent, its own
    /// included.
    pub(crate) backlog: u64,
}

impl Attempt {
    /// True if the server may have executed the request, or may still be executing it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome
            .as_ref()
            .is_none_or(|outcome| !outcome.never_executed())
    }

    /// True if the request may have arrived at the server, even if the server rejected it.
    pub(crate) fn may_have_arrived(&self) -> bool {
        self.outcome
            .as_ref()
            .is_none_or(|outcome| !outcome.never_sent())
    }
}

/// A request in progress. The gate keeps it and passes it to the decider at each event. It ends
/// with a final decision or with [`Decider::cancel`](crate::Decider::cancel).
#[derive(Debug)]
pub struct Call {
    pub(crate) request: Request,
    pub(crate) started_at: Micros,
    /// The affinity key, if the route uses affinity.
    pub(crate) affinity_key: Option<u64>,
    /// Number of tokens in the shared prompt parts.
    pub(crate) shared_tokens: u64,
    /// Hash of the model's name; 0 if the request names none.
    pub(crate) model: u64,
    /// Random number in `[0, 1]` for admission under overload: the higher it is, the earlier the
    /// request is rejected.
    pub(crate) admission_draw: f64,
    /// Service that the traffic split selected, then that of the latest attempt. The next attempt
    /// prefers it.
    pub(crate) service: Option<Arc<str>>,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// The client has received the head of a response.
    pub(crate) head_forwarded: bool,
    /// Number of the last complete event that the client has received.
    pub(crate) last_event: Option<u64>,
    /// Clock reading at which the stream broke off; `None` once it continues.
    pub(crate) truncated_at: Option<Micros>,
    /// The longest retry delay that a server asked for, in microseconds.
    pub(crate) longest_retry_after: Micros,
    /// The retry budget need not be charged for the next attempt.
    pub(crate) is_retry_withdrawn: bool,
    /// Clock reading at which anything was last received on the attempt in flight, or at which it
    /// was sent.
    pub(crate) last_byte_at: Micros,
    pub(crate) is_finished: bool,
}

impl Call {
    pub(crate) fn new(now: Micros, request: Request, admission_draw: f64) -> Self {
        let model = if request.model.is_empty() {
            0
        } else {
            affinity::name_hash(&request.model)
        };
        let uses_affinity = request.route.spec.affinity;
        Call {
            started_at: now,
            affinity_key: prompt::affinity_key(model, &request.parts).filter(|_| uses_affinity),
            shared_tokens: prompt::shared_tokens(&request.parts),
            model,
            admission_draw,
            service: None,
            attempts: SmallVec::new(),
            head_forwarded: false,
            last_event: request.last_event,
            truncated_at: None,
            longest_retry_after: 0,
            is_retry_withdrawn: false,
            last_byte_at: now,
            is_finished: false,
            request,
        }
    }

    /// KV-cache tokens that the request needs at a server, at most [`MAX_TOKENS`].
    pub(crate) fn token_demand(&self) -> TokenDemand {
        let request = &self.request;
        let claimed = request
            .prompt_tokens
            .saturating_add(request.max_output_tokens);
        let tokens = claimed.min(MAX_TOKENS);
        let shared = if self.affinity_key.is_some() {
            self.shared_tokens.min(tokens)
        } else {
            0
        };
        TokenDemand {
            key: self.affinity_key,
            shared,
            own: tokens - shared,
        }
    }

    /// The request as the gate passed it to the decider.
    #[must_use]
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// True if the request has its final decision.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_finished
    }

    /// Number of attempts so far.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Clock reading at which the request must end: the client's deadline or the end of the route's
    /// time-out, whichever is earlier.
    pub(crate) fn deadline(&self) -> Micros {
        let timeout = self.request.route.spec.timeout_ms.saturating_mul(1000);
        let timeout_at = self.started_at.saturating_add(timeout);
        let deadline = self.request.deadline;
        deadline.map_or(timeout_at, |deadline| deadline.min(timeout_at))
    }

    /// The route's latency objective, in microseconds.
    pub(crate) fn latency_objective(&self) -> Micros {
        let milliseconds = self.request.route.latency_objective_ms();
        milliseconds.saturating_mul(1000)
    }

    /// True if the request may be executed more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.request.route.spec.kind.is_idempotent()
    }

    /// True if a server may have executed the request, or may still be executing it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Number of attempts that may have arrived at their server.
    pub(crate) fn arrived_attempts(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.may_have_arrived())
            .count()
    }

    /// True if the request was tried at the server. An attempt that was not sent, because an idle
    /// connection had been closed or no permit was available, does not count.
    pub(crate) fn was_tried(&self, server: ServerHandle) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && attempt.outcome != Some(Outcome::NotSent))
    }

    /// Records the end of the attempt in flight, and returns the attempt; `None` if none is in
    /// flight.
    pub(crate) fn finish_attempt(&mut self, now: Micros, outcome: &Outcome) -> Option<Attempt> {
        let attempt = self.attempt_in_flight()?;
        attempt.outcome = Some(outcome.clone());
        let attempt = attempt.clone();
        self.is_retry_withdrawn = attempt.is_retry && outcome.never_sent();
        if let Outcome::Truncated { last_event } = outcome {
            self.head_forwarded = true;
            self.last_event = last_event.or(self.last_event);
        }
        if self.head_forwarded && !matches!(outcome, Outcome::Success | Outcome::Cancelled) {
            self.truncated_at.get_or_insert(now);
        }
        if let Outcome::NotExecuted {
            retry_after: Some(delay),
        } = outcome
        {
            self.longest_retry_after = self.longest_retry_after.max(*delay);
        }
        Some(attempt)
    }

    /// The attempt in flight; `None` if there is none.
    pub(crate) fn attempt_in_flight(&mut self) -> Option<&mut Attempt> {
        let latest = self.attempts.last_mut();
        latest.filter(|attempt| attempt.outcome.is_none())
    }
}
