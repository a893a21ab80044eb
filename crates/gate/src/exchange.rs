//! One client request, from the route to the end of the response.
//!
//! The decider of `ironmast-routing` makes the decisions. This module carries them out and reports
//! the outcome of each attempt, until a decision is final. [`attempt`] makes one attempt, [`relay`]
//! streams a response to the client, and [`watch`] interrupts an attempt when the client
//! disconnects or the attempt times out.

mod attempt;
mod downstream;
mod relay;
mod state;
mod watch;

use std::rc::Rc;
use std::time::Instant;

use actix_http::StatusCode;
use ironmast_routing::{Decision, Micros, Outcome, Request};
use slog::warn;
use tokio::sync::oneshot;

use crate::attempt::implies_not_executed;
use crate::gate::Gate;
use crate::request::ForwardedRequest;
use crate::response::DownstreamResponse;

use downstream::Downstream;
use state::{Exchange, SavedResponse};

/// Serves a request. The response goes to `reply`, whose receiver must be dropped when the client
/// disconnects.
pub(crate) async fn run(
    gate: Rc<Gate>,
    request: Request,
    forwarded: ForwardedRequest,
    reply: oneshot::Sender<DownstreamResponse>,
) {
    let now = gate.clock.now();
    let last_event = request.last_event;
    let (call, decision) = {
        let mut limits = gate.limits.borrow_mut();
        gate.decider.borrow_mut().begin(now, request, &mut *limits)
    };
    let in_progress = gate.requests_in_progress.start();
    let mut exchange = Exchange {
        gate,
        forwarded,
        call,
        downstream: Downstream::AwaitingHead(reply),
        saved: None,
        instance: None,
        last_event,
        truncation_cause: None,
        _in_progress: in_progress,
    };
    exchange.execute(decision).await;
}

impl Exchange {
    /// Carries out decisions until one is final, or until the client can get no further response.
    async fn execute(&mut self, mut decision: Decision) {
        loop {
            let next = match decision {
                Decision::Send(dispatch) => self.attempt(dispatch).await,
                Decision::Delay { until } => self.wait_until(until).await,
                final_decision => return self.finish(&final_decision),
            };
            let Some(next) = next else { return };
            decision = next;
        }
    }

    fn report_outcome(&mut self, outcome: Outcome) -> Decision {
        let now = self.gate.clock.now();
        let mut limits = self.gate.limits.borrow_mut();
        if outcome == Outcome::ConnectFailed
            && let Some(instance) = &self.instance
        {
            limits.invalidate_warmup(now, instance);
        }
        self.gate
            .decider
            .borrow_mut()
            .attempt_finished(now, &mut self.call, outcome, &mut *limits)
    }

    async fn wait_until(&mut self, until: Micros) -> Option<Decision> {
        let until = self.gate.clock.at(until);
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(until.into()) => {}
            () = self.downstream.disconnected() => return None,
        }
        let now = self.gate.clock.now();
        let mut limits = self.gate.limits.borrow_mut();
        let decision = self
            .gate
            .decider
            .borrow_mut()
            .resume(now, &mut self.call, &mut *limits);
        Some(decision)
    }

    /// Carries out the final decision: responds to the client, if it has no response yet.
    fn finish(&mut self, decision: &Decision) {
        let response = match decision {
            Decision::Reject(rejection) => DownstreamResponse::Rejected(*rejection),
            Decision::ForwardResponse => self.take_saved_response(),
            Decision::Fail { status } => DownstreamResponse::Failed(
                StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY),
            ),
            // Dropping the exchange aborts a response that has not finished.
            Decision::AbortResponse => return self.log_abort(),
            Decision::Finished | Decision::Send(_) | Decision::Delay { .. } => return,
        };
        self.downstream.respond(response);
    }

    /// Logs that the client gets only a part of its response.
    fn log_abort(&self) {
        let Some(suppressed) = self.gate.abort_log.borrow_mut().admit(Instant::now()) else {
            return;
        };
        let id = self.forwarded.id.as_deref().map(String::from_utf8_lossy);
        warn!(
            self.gate.log, "a response was cut off, no server can continue it";
            "request" => id.as_deref(), "server" => self.instance.as_deref(),
            "cause" => ?self.truncation_cause, "last_event" => self.last_event, "suppressed" => suppressed
        );
    }

    /// The saved error response of a server. It is replaced by a 502 if its status would tell the
    /// client that the request was not executed, because the server has not declared that.
    fn take_saved_response(&mut self) -> DownstreamResponse {
        match self.saved.take() {
            Some(SavedResponse { head, body }) if !implies_not_executed(head.status) => {
                DownstreamResponse::Complete { head, body }
            }
            _ => DownstreamResponse::Failed(StatusCode::BAD_GATEWAY),
        }
    }
}
