//! Ejection of a server for one class of requests that it does not answer. Ejection of the whole
//! server does not cover this case: responses to other classes keep its failure rate low, and clients
//! disconnect before an unanswered attempt times out.

use crate::api::{AttemptEnded, ClassId, Micros, Outcome};
use crate::fleet::Fleet;
use crate::node::{ClassEjection, EjectionTime, Node};

/// Smoothing factor of a server's rate of unanswered attempts for a class.
const SMOOTHING: f64 = 0.25;
/// Failure rate at which a server is ejected for a class.
const THRESHOLD: f64 = 0.5;
/// Margin by which this rate must exceed the mean of the other servers.
const MARGIN: f64 = 0.25;

/// An attempt that has ended.
pub(crate) struct EndedAttempt<'a> {
    pub ended: &'a AttemptEnded,
    pub class: ClassId,
    /// Clock reading at the send.
    pub sent: Micros,
}

/// Updates from the end of an attempt whether its server answers the class, and ejects the server for
/// the class if it does not. Returns a line for the log if an ejection starts.
pub(crate) fn record_attempt(
    fleet: &mut Fleet,
    attempt: &EndedAttempt,
    now: Micros,
    latency_target: Micros,
    ejection_time: &EjectionTime,
) -> Option<String> {
    let (server, class) = (attempt.ended.server, attempt.class);
    let is_answered = match attempt.ended.outcome {
        Outcome::Ok => true,
        Outcome::Cancelled | Outcome::Timeout if now - attempt.sent >= latency_target => false,
        _ => return None,
    };
    let node = fleet.get(server)?;
    if !is_new_evidence(node, attempt, is_answered) {
        return None;
    }
    let mean_rate_of_others = mean_rate_of_others(fleet, node, class);
    let is_ejected = fleet.change_class_ejection(server, class, |ejection| {
        let sample = if is_answered { 0.0 } else { 1.0 };
        ejection.failure_rate += SMOOTHING * (sample - ejection.failure_rate);
        if is_answered {
            if ejection.since > 0 {
                *ejection = ClassEjection::default();
            }
            return false;
        }
        let is_outlier = ejection.failure_rate >= THRESHOLD
            && ejection.failure_rate - mean_rate_of_others >= MARGIN;
        if is_outlier {
            ejection.backoff = ejection_time.after(ejection.backoff);
            ejection.since = now;
            ejection.until = now + ejection.backoff;
        }
        is_outlier
    });
    is_ejected.filter(|is_ejected| *is_ejected).map(|_| {
        format!("server {server} ejected for class {class} until a trial succeeds: no responses")
    })
}

/// Whether an attempt counts: it was sent to this incarnation of the server and after its latest
/// ejection for the class, and is a failure or follows one.
fn is_new_evidence(node: &Node, attempt: &EndedAttempt, is_answered: bool) -> bool {
    if attempt.sent < node.since {
        return false;
    }
    match node.class_ejections.get(&attempt.class) {
        Some(ejection) => attempt.sent >= ejection.since,
        None => !is_answered,
    }
}

/// The mean failure rate of the other servers for a class.
fn mean_rate_of_others(fleet: &Fleet, node: &Node, class: ClassId) -> f64 {
    let own_rate = node
        .class_ejections
        .get(&class)
        .map_or(0.0, |ejection| ejection.failure_rate);
    let sum = fleet.class_failure_rate(class).without(own_rate);
    sum / (fleet.len() as f64 - 1.0).max(1.0)
}
