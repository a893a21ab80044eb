//! What follows the end of an attempt: whether the request may go to another server, and what the
//! client gets if not.

use ironmast_balancer::Micros;

use crate::decision::{Decision, Outcome};
use crate::guards::Guard;
use crate::request::Call;
use crate::table::RouteKind;

/// Connections that may fail for one request before it is given up.
const DIALS_MOST: usize = 4;
/// With less than this part of the objective left, no further attempt is made.
const USEFUL: f64 = 0.1;

/// What may be done next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Next {
    /// The request has its final answer.
    End(Decision),
    /// It may be sent to another server.
    Again,
}

/// What the end of the latest attempt means for the request.
pub(crate) fn next(call: &Call, outcome: &Outcome, now: Micros) -> Next {
    match outcome {
        Outcome::Success | Outcome::Cancelled => Next::End(Decision::Finished),
        Outcome::ClientError => Next::End(last_word(call, outcome)),
        _ if may_repeat(call, outcome) && is_useful(call, now) => Next::Again,
        _ => Next::End(last_word(call, outcome)),
    }
}

/// True where another attempt keeps every promise.
fn may_repeat(call: &Call, outcome: &Outcome) -> bool {
    let tries_left = call.arrivals() < call.request.route.spec.max_attempts.max(1) as usize;
    let dials_left = call.attempts() - call.arrivals() < DIALS_MOST;
    if !tries_left && Guard::MaxAttempts.on() || !dials_left {
        return false;
    }
    // Of an answer that has begun only a resumable stream goes on elsewhere.
    if call.head_passed {
        let resumable = call.request.route.spec.kind == RouteKind::Stream { resumable: true };
        return resumable
            && (matches!(outcome, Outcome::Truncated { .. }) || call.cut_at.is_some());
    }
    call.idempotent() || !call.may_have_run() || !Guard::Once.on()
}

/// True where an answer could still be of worth.
fn is_useful(call: &Call, now: Micros) -> bool {
    now as f64 + USEFUL * call.target() as f64 <= call.ends() as f64
}

/// The final answer where no attempt is left. Where nothing can have run, the refusal is made by
/// the caller.
pub(crate) fn last_word(call: &Call, outcome: &Outcome) -> Decision {
    match outcome {
        _ if call.head_passed => Decision::AbortResponse,
        Outcome::ClientError | Outcome::ServerError => Decision::ForwardResponse,
        Outcome::Timeout => Decision::Fail { status: 504 },
        _ => Decision::Fail { status: 502 },
    }
}
