//! The state of an exchange, and the operations that its submodules share.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use ironmast_routing::{Call, Dispatch, Outcome};

use super::downstream::Downstream;
use super::watch::{AttemptWatch, Interruption};
use crate::attempt::UpstreamResponse;
use crate::gate::Gate;
use crate::in_progress::InProgress;
use crate::request::ForwardedRequest;
use crate::response::{DownstreamResponse, ResponseHead, body_channel};

/// One request in progress.
pub(super) struct Exchange {
    /// The gate that serves the request.
    pub gate: Rc<Gate>,
    /// The request as servers get it.
    pub forwarded: ForwardedRequest,
    /// The decider's state of the request.
    pub call: Call,
    /// The connection to the client.
    pub downstream: Downstream,
    /// An error response of a server, which the client gets if no attempt succeeds.
    pub saved: Option<SavedResponse>,
    /// The incarnation of the server that the latest attempt went to.
    pub instance: Option<Arc<str>>,
    /// The id of the last event that was sent to the client, or from which the client resumes.
    pub last_event: Option<u64>,
    /// What ended the latest attempt that failed within a response.
    pub truncation_cause: Option<Outcome>,
    /// Counts the request as in progress.
    pub _in_progress: InProgress,
}

/// A server's complete response that may go to the client.
pub(super) struct SavedResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The complete body.
    pub body: Bytes,
}

/// Why a step of an attempt did not complete.
pub(super) enum StepError {
    /// The attempt ended with this outcome; another one may follow.
    Attempt(Outcome),
    /// The attempt ended, and this one follows.
    FailedOver(Box<Dispatch>),
    /// The request ended: its client has disconnected or reads too slowly.
    Request,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // Has no effect if the request already has its final decision.
        let now = self.gate.clock.now();
        self.gate.decider.borrow_mut().cancel(now, &mut self.call);
    }
}

impl Exchange {
    /// Runs one step of an attempt under `watch`.
    pub(super) async fn guarded<T>(
        &mut self,
        watch: &mut AttemptWatch,
        step: impl Future<Output = T>,
    ) -> Result<T, StepError> {
        watch
            .guard(&self.gate, &mut self.call, &mut self.downstream, step)
            .await
            .map_err(|interruption| self.interrupted(interruption))
    }

    /// Whether an interruption ends the attempt or the whole request.
    pub(super) fn interrupted(&mut self, interruption: Interruption) -> StepError {
        match interruption {
            Interruption::Disconnected => StepError::Request,
            Interruption::TimedOut => {
                StepError::Attempt(self.outcome_or_truncated(Outcome::Timeout))
            }
            Interruption::FailedOver(dispatch) => StepError::FailedOver(dispatch),
        }
    }

    /// Returns `outcome` if nothing of a response has been passed to the client, and
    /// [`Outcome::Truncated`] otherwise.
    pub(super) fn outcome_or_truncated(&mut self, outcome: Outcome) -> Outcome {
        if self.downstream.is_awaiting_head() {
            return outcome;
        }
        self.truncation_cause = Some(outcome);
        Outcome::Truncated { last_event: None }
    }

    /// Sends the head of a streamed response; the chunks of its body follow.
    pub(super) fn start_streaming(&mut self, response: &UpstreamResponse, length: Option<u64>) {
        let (sender, receiver) = body_channel();
        self.downstream.respond(DownstreamResponse::Streaming {
            head: head_of(response),
            length,
            body: receiver,
        });
        self.downstream = Downstream::Streaming(sender);
        self.report_progress(None);
    }

    /// Reports to the decider that a head, or events up to `last_event`, were sent to the client.
    pub(super) fn report_progress(&mut self, last_event: Option<u64>) {
        let now = self.gate.clock.now();
        self.gate
            .decider
            .borrow_mut()
            .response_forwarded(now, &mut self.call, last_event);
    }
}

/// The head of a server's response as it is sent to the client.
pub(super) fn head_of(response: &UpstreamResponse) -> ResponseHead {
    ResponseHead {
        status: response.status,
        headers: response.headers.clone(),
    }
}
