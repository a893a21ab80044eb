//! Retries: whether a request may go to another server after an attempt ended, and the final
//! decision if it may not.

use ironmast_balancer::Micros;

use crate::decision::Decision;
use crate::guards::Guard;
use crate::outcome::Outcome;
use crate::request::Call;
use crate::table::RouteKind;

/// Maximum number of attempts of one request that end before the request arrives at a server.
const MAX_UNSENT_ATTEMPTS: usize = 4;
/// No further attempt is made with less than this fraction of the latency objective left until the
/// deadline.
const MIN_USEFUL_SHARE: f64 = 0.1;

/// The next step for a request after the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NextStep {
    /// The request has its final decision.
    Finish(Decision),
    /// The request may be sent to another server.
    Retry,
}

/// The next step after the latest attempt ended with `outcome`.
pub(crate) fn next_step(call: &Call, outcome: &Outcome, now: Micros) -> NextStep {
    match outcome {
        Outcome::Success | Outcome::Cancelled => NextStep::Finish(Decision::Finished),
        Outcome::ClientError => NextStep::Finish(final_decision(call, outcome)),
        _ if may_retry(call, outcome) && is_useful(call, now) => NextStep::Retry,
        _ => NextStep::Finish(final_decision(call, outcome)),
    }
}

/// True if another attempt is within the limits and cannot execute a request twice that is not
/// idempotent.
fn may_retry(call: &Call, outcome: &Outcome) -> bool {
    let spec = &call.request.route.spec;
    let arrived = call.arrived_attempts();
    let may_arrive_again = arrived < spec.max_attempts.max(1) as usize;
    let may_fail_to_arrive = call.attempts() - arrived < MAX_UNSENT_ATTEMPTS;
    if !may_arrive_again && Guard::MaxAttempts.on() || !may_fail_to_arrive {
        return false;
    }
    // Once a response has begun, only a resumable stream can continue at another server.
    if call.head_forwarded {
        let is_resumable = spec.kind == RouteKind::Stream { resumable: true };
        let is_truncated = matches!(outcome, Outcome::Truncated { .. });
        return is_resumable && (is_truncated || call.truncated_at.is_some());
    }
    call.is_idempotent() || !call.may_have_run() || !Guard::AtMostOnce.on()
}

/// True if a response could still arrive before the deadline.
fn is_useful(call: &Call, now: Micros) -> bool {
    let min_time = MIN_USEFUL_SHARE * call.latency_objective() as f64;
    now as f64 + min_time <= call.deadline() as f64
}

/// The final decision if no further attempt is made. If no attempt can have been executed, the
/// caller rejects the request instead.
pub(crate) fn final_decision(call: &Call, outcome: &Outcome) -> Decision {
    match outcome {
        _ if call.head_forwarded => Decision::AbortResponse,
        Outcome::ClientError | Outcome::ServerError => Decision::ForwardResponse,
        Outcome::Timeout => Decision::Fail { status: 504 },
        _ => Decision::Fail { status: 502 },
    }
}
