//! The attempts that the decision module orders, and how they end.

use std::rc::Rc;

use ironmast_balancer::{AttemptEnded, Event, Limits, Micros, Outcome, RequestId, ServerId};
use slog::{debug, warn};

use super::Driver;
use super::open_requests::{AttemptState, OpenRequest};
use crate::message::{Attempt, AttemptResult, FinalResponse, UpstreamCommand};

/// Why an attempt is suppressed.
#[derive(Debug, thiserror::Error)]
enum Suppression {
    /// A streamed body can't be sent again.
    #[error("its body has been consumed")]
    BodyConsumed,
    /// The request has its final response, its attempts are used up, or its client has given up.
    #[error("it is over")]
    RequestFinished,
    /// Another attempt is in flight, and the settings forbid hedging.
    #[error("hedging is not allowed")]
    HedgingNotAllowed,
    /// Discovery has removed the server.
    #[error("its server is not listed")]
    ServerNotListed,
}

impl Driver {
    /// Sends an attempt, unless a limit forbids it: whatever the decision module asks for, there
    /// are never more attempts, one after another or in parallel, than the settings permit.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        start_deadline: Option<Micros>,
    ) {
        let now = self.clock.now();
        let Some(request) = self.open.get_mut(id) else {
            warn!(self.log, "attempt of a request that is over"; "request" => id);
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
        // The time in which the client was still sending does not count as the server's latency.
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

/// Checks whether the request may have another attempt.
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

/// The end of an attempt that was suppressed. `finished` says whether its request is answered.
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

/// The clock reading at which an attempt times out. While a body is streamed, the decision module
/// ends the attempt at the client's deadline.
fn attempt_deadline(request: &OpenRequest, now: Micros, timeout: Option<Micros>) -> Micros {
    match timeout {
        Some(timeout) if request.payload.streamed_body().is_none() => {
            request.expires.min(now + timeout)
        }
        _ => request.expires,
    }
}
