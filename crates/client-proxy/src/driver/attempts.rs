//! Sends the attempts that the decision module requests, and reports their results to it.

use std::rc::Rc;

use ironmast_balancer::{AttemptEnded, Event, Limits, Micros, Outcome, RequestId, ServerId};
use slog::{debug, warn};

use super::Driver;
use super::open_requests::{AttemptState, OpenRequest};
use crate::message::{Attempt, AttemptResult, FinalResponse, UpstreamCommand};

/// Reason for which a requested attempt is not sent.
#[derive(Debug, thiserror::Error)]
enum Suppression {
    /// Part of a streamed body has been consumed, so the body cannot be sent again.
    #[error("the streamed request body has been consumed and cannot be replayed")]
    BodyConsumed,
    /// The request has its final response, no attempts left, or has passed its deadline.
    #[error("the request has finished, has no attempts left, or has expired")]
    RequestFinished,
    /// Another attempt is in flight, and the settings forbid hedging.
    #[error("another attempt is in flight and hedging is disabled")]
    HedgingNotAllowed,
    /// Discovery has removed the server since the decision.
    #[error("the server is not listed")]
    ServerNotListed,
}

impl Driver {
    /// Sends an attempt, unless a limit forbids it; a suppressed attempt ends as
    /// [`Outcome::NotSent`]. The limits are enforced here whatever the decision module requests: a
    /// request never has more attempts, sequential or parallel, than the settings permit.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        start_deadline: Option<Micros>,
    ) {
        let now = self.clock.now();
        let Some(request) = self.open.get_mut(id) else {
            warn!(self.log, "attempt not sent: its request is no longer open"; "request" => id);
            return;
        };
        let number = request.attempts.len() as u32;
        let address = check_permitted(request, &self.settings.limits, now).and_then(|()| {
            let address = self.servers.get(&server).copied();
            address.ok_or(Suppression::ServerNotListed)
        });
        request.attempts.push(AttemptState {
            server,
            sent_at: now,
            in_flight: address.is_ok(),
        });
        let address = match address {
            Ok(address) => address,
            Err(reason) => {
                debug!(self.log, "attempt suppressed"; "request" => id, "server" => %server, "reason" => %reason);
                let ended = not_sent(id, server, number, request.is_answered());
                return self.pending.push_back(Event::AttemptEnded(ended));
            }
        };
        debug!(self.log, "attempt sent"; "at" => now, "request" => id, "attempt" => number,
            "server" => %server);
        let attempt = Attempt {
            id,
            number,
            server,
            address,
            deadline: attempt_deadline(request, now, timeout),
            start_deadline,
            payload: Rc::clone(&request.payload),
        };
        self.outputs
            .command_upstream(UpstreamCommand::Send(attempt));
    }

    pub(super) fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult {
            id,
            number,
            outcome,
            body,
            load,
        } = result;
        let Some(request) = self.open.get_mut(id) else {
            return;
        };
        let attempt = request.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        let server = attempt.server;
        // Excludes the time that the client spent sending its body from the server's latency.
        let sent_at = attempt.sent_at.max(request.complete_at);
        if outcome == Outcome::Ok {
            self.respond(id, FinalResponse::Served(body));
        }
        let finished = self.open.get(id).is_none_or(OpenRequest::is_answered);
        let latency = self.clock.now().saturating_sub(sent_at);
        debug!(self.log, "attempt ended"; "at" => self.clock.now(), "request" => id, "attempt" => number,
            "server" => %server, "outcome" => ?outcome, "took" => latency);
        self.dispatch(Event::AttemptEnded(AttemptEnded {
            id,
            server,
            attempt: number,
            outcome,
            latency,
            finished,
            load,
        }));
        self.open.remove_if_finished(id);
    }
}

/// Checks whether the request may have another attempt at the clock reading `now`.
///
/// # Errors
/// The first [`Suppression`] that applies.
fn check_permitted(request: &OpenRequest, limits: &Limits, now: Micros) -> Result<(), Suppression> {
    let body = request.payload.streamed_body();
    if body.is_some_and(|body| !body.is_replayable()) {
        return Err(Suppression::BodyConsumed);
    }
    let has_attempts_left = (request.attempts.len() as u32) < limits.max_attempts;
    if request.is_answered() || !has_attempts_left || now >= request.expires {
        return Err(Suppression::RequestFinished);
    }
    if !limits.allow_hedging && request.has_attempt_in_flight() {
        return Err(Suppression::HedgingNotAllowed);
    }
    Ok(())
}

/// Result of a suppressed attempt. `finished` tells whether the request has its final response.
fn not_sent(id: RequestId, server: ServerId, attempt: u32, finished: bool) -> AttemptEnded {
    AttemptEnded {
        id,
        server,
        attempt,
        outcome: Outcome::NotSent,
        latency: 0,
        finished,
        load: None,
    }
}

/// Clock reading at which an attempt times out. `timeout` applies to buffered requests only: while
/// a body is streamed, the decision module ends the attempt at the client's deadline.
fn attempt_deadline(request: &OpenRequest, now: Micros, timeout: Option<Micros>) -> Micros {
    match timeout {
        Some(timeout) if request.payload.streamed_body().is_none() => {
            request.expires.min(now + timeout)
        }
        _ => request.expires,
    }
}
