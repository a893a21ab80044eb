//! Streams a response to the client: an event stream event by event, and any other long body chunk
//! by chunk.

use bytes::Bytes;
use ironmast_routing::Outcome;

use super::downstream::Downstream;
use super::state::{Exchange, StepError};
use super::watch::AttemptWatch;
use crate::attempt::UpstreamResponse;
use crate::response::Disconnected;
use crate::sse::{CompleteEvents, EventFramer, Framed};

impl Exchange {
    /// Relays an event stream. Only complete events are sent, so that the stream can be resumed at
    /// another server after the last of them.
    pub(super) async fn relay_events(
        &mut self,
        mut response: UpstreamResponse,
        watch: &mut AttemptWatch,
    ) -> Result<Outcome, StepError> {
        let mut framer = EventFramer::resuming_after(self.last_event);
        while let Some(chunk) = self.next_chunk(&mut response, watch).await? {
            let Framed { complete, validity } = framer.push(&chunk);
            if let Some(events) = complete {
                self.send_events(&response, watch, events).await?;
            }
            if validity.is_err() {
                return Ok(self.outcome_or_truncated(Outcome::MalformedResponse));
            }
        }
        if !framer.is_at_event_boundary() {
            return Ok(self.outcome_or_truncated(Outcome::MalformedResponse));
        }
        if self.downstream.is_awaiting_head() {
            self.start_streaming(&response, None);
        }
        self.downstream.finish().await;
        Ok(Outcome::Success)
    }

    /// Relays a body that is too long to be buffered: the `first` bytes, which were buffered, and
    /// then the rest.
    pub(super) async fn relay_rest(
        &mut self,
        mut response: UpstreamResponse,
        watch: &mut AttemptWatch,
        first: Bytes,
    ) -> Result<Outcome, StepError> {
        let mut next = Some(first);
        while let Some(chunk) = next {
            self.send_chunk(watch, chunk).await?;
            next = self.next_chunk(&mut response, watch).await?;
        }
        self.downstream.finish().await;
        Ok(Outcome::Success)
    }

    async fn next_chunk(
        &mut self,
        response: &mut UpstreamResponse,
        watch: &mut AttemptWatch,
    ) -> Result<Option<Bytes>, StepError> {
        self.guarded(watch, response.next_chunk())
            .await?
            .map_err(|outcome| StepError::Attempt(self.outcome_or_truncated(outcome)))
    }

    async fn send_events(
        &mut self,
        response: &UpstreamResponse,
        watch: &AttemptWatch,
        events: CompleteEvents,
    ) -> Result<(), StepError> {
        if self.downstream.is_awaiting_head() {
            self.start_streaming(response, None);
        }
        self.send_chunk(watch, events.bytes).await?;
        self.last_event = events.last_id.or(self.last_event);
        self.report_progress(events.last_id);
        Ok(())
    }

    /// Sends a chunk to the client. The request ends if the client has disconnected, or does not
    /// read the chunk before the attempt's deadline.
    async fn send_chunk(&mut self, watch: &AttemptWatch, chunk: Bytes) -> Result<(), StepError> {
        let Downstream::Streaming(body) = &self.downstream else {
            return Err(StepError::Request);
        };
        let deadline = self.gate.clock.at(watch.deadline);
        match tokio::time::timeout_at(deadline.into(), body.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(Disconnected)) | Err(_) => Err(StepError::Request),
        }
    }
}
