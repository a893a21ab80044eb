//! What follows the end of an attempt: whether the request may go to another server, and what the
//! client gets if not.

use ironmast_balancer::Micros;

use crate::decision::{Decision, Outcome};
use crate::guards::Guard;
use crate::request::Call;
use crate::table::RouteKind;

/// Connections that may fail for one request before it is given up.
const MAX_FAILED_CONNECTS: usize = 4;
/// With less than this part of the objective left, no further attempt is made.
const MIN_USEFUL_SHARE: f64 = 0.1;

/// What may be done next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NextStep {
    /// The request has its final answer.
    Finish(Decision),
    /// It may be sent to another server.
    Retry,
}

/// What the end of the latest attempt means for the request.
pub(crate) fn next(call: &Call, outcome: &Outcome, now: Micros) -> NextStep {
    match outcome {
        Outcome::Success | Outcome::Cancelled => NextStep::Finish(Decision::Finished),
        Outcome::ClientError => NextStep::Finish(final_decision(call, outcome)),
        _ if may_retry(call, outcome) && is_useful(call, now) => NextStep::Retry,
        _ => NextStep::Finish(final_decision(call, outcome)),
    }
}

/// True where another attempt keeps every promise.
fn may_retry(call: &Call, outcome: &Outcome) -> bool {
    let tries_left = call.arrived_attempts() < call.request.route.spec.max_attempts.max(1) as usize;
    let dials_left = call.attempts() - call.arrived_attempts() < MAX_FAILED_CONNECTS;
    if !tries_left && Guard::MaxAttempts.on() || !dials_left {
        return false;
    }
    // Of an answer that has begun only a resumable stream goes on elsewhere.
    if call.head_forwarded {
        let resumable = call.request.route.spec.kind == RouteKind::Stream { resumable: true };
        return resumable
            && (matches!(outcome, Outcome::Truncated { .. }) || call.truncated_at.is_some());
    }
    call.is_idempotent() || !call.may_have_run() || !Guard::AtMostOnce.on()
}

/// True where an answer could still be of worth.
fn is_useful(call: &Call, now: Micros) -> bool {
    now as f64 + MIN_USEFUL_SHARE * call.latency_objective() as f64 <= call.deadline() as f64
}

/// The final answer where no attempt is left. Where nothing can have run, the refusal is made by
/// the caller.
pub(crate) fn final_decision(call: &Call, outcome: &Outcome) -> Decision {
    match outcome {
        _ if call.head_forwarded => Decision::AbortResponse,
        Outcome::ClientError | Outcome::ServerError => Decision::ForwardResponse,
        Outcome::Timeout => Decision::Fail { status: 504 },
        _ => Decision::Fail { status: 502 },
    }
}
