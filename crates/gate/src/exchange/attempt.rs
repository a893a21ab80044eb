//! One attempt of an exchange: sends the request, and delivers, saves or discards the response.

use ironmast_routing::{Decision, Dispatch, Micros, Outcome};

use super::state::{Exchange, SavedResponse, StepError, head_of};
use super::watch::AttemptWatch;
use crate::attempt::{self, BufferedBody, ResponseClass, UpstreamResponse};
use crate::response::DownstreamResponse;

/// Responses of up to this many bytes are buffered until complete, so that a failed one can still
/// be retried.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// The time that a response takes from the server to the gate; the deadline that servers are sent
/// is earlier by this much.
const RESPONSE_TRANSIT_TIME: Micros = 5_000;

impl Exchange {
    /// Makes one attempt. Returns the next decision, or `None` if the client can get no further
    /// response.
    pub(super) async fn attempt(&mut self, dispatch: Dispatch) -> Option<Decision> {
        match self.send_and_receive(&dispatch).await {
            Ok(outcome) | Err(StepError::Attempt(outcome)) => Some(self.report_outcome(outcome)),
            Err(StepError::FailedOver(next)) => Some(Decision::Send(*next)),
            Err(StepError::Request) => None,
        }
    }

    async fn send_and_receive(&mut self, dispatch: &Dispatch) -> Result<Outcome, StepError> {
        let decided_at = self.gate.clock.now();
        self.instance = Some(dispatch.expect_instance.clone());
        let mut watch = AttemptWatch {
            deadline: decided_at + dispatch.timeout,
            check_at: dispatch.check_at,
        };
        let response = self.send(dispatch, decided_at, &mut watch).await?;
        self.report_head(dispatch, &response);
        match response.class.clone() {
            ResponseClass::Discarded(outcome) => {
                if matches!(outcome, Outcome::NotExecuted { .. }) {
                    response.drain();
                }
                Ok(outcome)
            }
            ResponseClass::Forwardable(outcome) => self.save(response, &mut watch, outcome).await,
            ResponseClass::Success if response.is_event_stream => {
                self.relay_events(response, &mut watch).await
            }
            ResponseClass::Success => self.deliver(response, &mut watch).await,
        }
    }

    /// Sends the request and waits for the head of the response.
    async fn send(
        &mut self,
        dispatch: &Dispatch,
        decided_at: Micros,
        watch: &mut AttemptWatch,
    ) -> Result<UpstreamResponse, StepError> {
        let admission = self.gate.admission(dispatch, decided_at);
        let deadline_ms = (dispatch.timeout.saturating_sub(RESPONSE_TRANSIT_TIME) / 1_000).max(1);
        let sending = attempt::send(
            &self.gate.upstream,
            &self.forwarded,
            dispatch,
            deadline_ms,
            admission,
        );
        watch
            .guard(&self.gate, &mut self.call, &mut self.downstream, sending)
            .await
            .map_err(|interruption| self.interrupted(interruption))?
            .map_err(StepError::Attempt)
    }

    fn report_head(&mut self, dispatch: &Dispatch, response: &UpstreamResponse) {
        let now = self.gate.clock.now();
        let mut decider = self.gate.decider.borrow_mut();
        decider.first_byte_received(now, &mut self.call);
        if let Some(load) = response.load {
            decider.apply_load_report(now, dispatch.server, load);
        }
    }

    /// Saves an error response, which the client gets if no later attempt succeeds.
    async fn save(
        &mut self,
        mut response: UpstreamResponse,
        watch: &mut AttemptWatch,
        outcome: Outcome,
    ) -> Result<Outcome, StepError> {
        let buffered = self.buffer(&mut response, watch).await?;
        if !buffered.is_complete {
            return Ok(Outcome::MalformedResponse);
        }
        self.saved = Some(SavedResponse {
            head: head_of(&response),
            body: buffered.bytes,
        });
        Ok(outcome)
    }

    /// Delivers a successful response that is not an event stream: whole once it is complete, or
    /// chunk by chunk if it is too long to be buffered.
    async fn deliver(
        &mut self,
        mut response: UpstreamResponse,
        watch: &mut AttemptWatch,
    ) -> Result<Outcome, StepError> {
        let buffered = self.buffer(&mut response, watch).await?;
        if !buffered.is_complete {
            self.start_streaming(&response, response.content_length);
            return self.relay_rest(response, watch, buffered.bytes).await;
        }
        self.downstream.respond(DownstreamResponse::Complete {
            head: head_of(&response),
            body: buffered.bytes,
        });
        Ok(Outcome::Success)
    }

    /// Buffers a body. Fails if the client already has the head of another response, whose stream
    /// is being resumed.
    async fn buffer(
        &mut self,
        response: &mut UpstreamResponse,
        watch: &mut AttemptWatch,
    ) -> Result<BufferedBody, StepError> {
        if !self.downstream.is_awaiting_head() {
            return Err(StepError::Attempt(Outcome::Truncated { last_event: None }));
        }
        self.guarded(watch, response.buffer(MAX_BUFFERED_BYTES))
            .await?
            .map_err(StepError::Attempt)
    }
}
