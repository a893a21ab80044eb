//! Sends one attempt at a request to a server and classifies its result.

use std::io;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::body::{BodyStream, SizedStream};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use awc::error::PayloadError;
use awc::{Client, ClientRequest, ClientResponse, SendClientRequest};
use bytes::Bytes;
use futures_util::{Stream, TryStreamExt as _};
use ironmast_balancer::{LoadReport, Micros, Outcome};
use ironmast_settings::parse_load_report;
use ironmast_transport::attempt::AttemptState;
use ironmast_transport::body::{
    BodyMemory, MAX_BUFFERED_BODY_BYTES, ResponseBody, StreamedResponseBody,
};
use ironmast_transport::clock::Clock;
use ironmast_transport::request_body::RequestBody;
use tokio::sync::oneshot;

use crate::message::{Attempt, AttemptResult};

/// Time in µs by which the `X-Remaining` sent to a server is reduced, to leave time for the
/// response to travel back.
const RESPONSE_MARGIN: Micros = 2_000;

/// One attempt with the resources that it uses.
pub(super) struct AttemptTask {
    /// HTTP client of the server; owns its idle connections.
    pub client: Client,
    /// Request, server and deadline of the attempt.
    pub attempt: Attempt,
    /// Progress of the attempt, as reported by its connection.
    pub state: Rc<AttemptState>,
    /// Clock for the deadlines.
    pub clock: Clock,
    /// Memory budget for streamed response bodies.
    pub memory: BodyMemory,
}

/// Result of one exchange of request and response.
struct ExchangeResult {
    outcome: Outcome,
    body: ResponseBody,
    load: Option<LoadReport>,
}

impl ExchangeResult {
    fn without_response(outcome: Outcome) -> Self {
        ExchangeResult {
            outcome,
            body: empty_body(),
            load: None,
        }
    }
}

/// The request could not be sent, or no valid response arrived.
struct NoResponse;

impl AttemptTask {
    /// Runs the attempt. Its connection is closed or idle when this returns, except that a streamed
    /// response still uses it.
    pub(super) async fn run(&self, canceled: oneshot::Receiver<()>) -> AttemptResult {
        // Yields once so that the I/O driver detects an idle connection that the server has already
        // closed. Writing to it would fail with a reset and look like a failing server.
        tokio::task::yield_now().await;
        let ExchangeResult {
            outcome,
            body,
            load,
        } = self.exchange_until(canceled).await;
        AttemptResult {
            id: self.attempt.id,
            number: self.attempt.number,
            outcome: self.outcome_of_request(outcome),
            body,
            load,
        }
    }

    /// Exchanges request and response until done, canceled or timed out. An unfinished exchange is
    /// dropped together with its connection.
    async fn exchange_until(&self, canceled: oneshot::Receiver<()>) -> ExchangeResult {
        let deadline = self.clock.at(self.attempt.deadline).into();
        let exchange = self.state.scope(self.exchange());
        let outcome = tokio::select! {
            biased;
            result = exchange => match result {
                Ok(result) => return result,
                Err(NoResponse) => self.outcome_without_response(),
            },
            () = self.state.start_timeout() => Outcome::NotSent,
            () = self.state.response_stalled() => Outcome::MalformedResponse,
            _ = canceled => Outcome::Cancelled,
            () = tokio::time::sleep_until(deadline) => Outcome::Timeout,
        };
        ExchangeResult::without_response(outcome)
    }

    fn outcome_without_response(&self) -> Outcome {
        match self.state.bytes_written() {
            0 if self.state.start_timed_out() => Outcome::NotSent,
            // The request was certainly not executed only if no byte was written: written bytes may
            // have been the whole request.
            0 => Outcome::ConnectFailed,
            _ if self.state.malformed().is_some() => Outcome::MalformedResponse,
            _ => Outcome::Reset,
        }
    }

    /// Adjusts the outcome to how much of a streamed request was received from the client.
    fn outcome_of_request(&self, outcome: Outcome) -> Outcome {
        match self.attempt.payload.streamed_body() {
            // The client caused the failure by aborting the body.
            Some(body) if outcome != Outcome::Ok && body.is_aborted() => Outcome::Cancelled,
            // The last byte cannot have been written, so the request was not executed.
            Some(body) if outcome != Outcome::Cancelled && !body.is_complete() => {
                Outcome::ConnectFailed
            }
            _ => outcome,
        }
    }

    /// Sends the request and reads the response, or the beginning of a long one.
    ///
    /// # Errors
    /// [`NoResponse`] if no valid response arrives.
    async fn exchange(&self) -> Result<ExchangeResult, NoResponse> {
        let request = self.request()?;
        let response = self.send(request).await.map_err(|_| NoResponse)?;
        let load = load_report(response.headers());
        let outcome = classify(response.status(), response.headers());
        let body = self.read_body(response, outcome).await?;
        Ok(ExchangeResult {
            outcome,
            body,
            load,
        })
    }

    /// Builds the head of the request.
    fn request(&self) -> Result<ClientRequest, NoResponse> {
        let payload = &self.attempt.payload;
        let url = format!("http://{}{}", self.attempt.address, payload.target);
        let request = if payload.is_safe {
            self.client.get(url)
        } else {
            self.client.post(url)
        };
        let mut request = request
            .no_decompress()
            .insert_header(("X-Txn", header_value(&payload.txn)?));
        if let Some(key) = &payload.idempotency_key {
            request = request.insert_header(("Idempotency-Key", header_value(key)?));
        }
        let remaining = self.remaining_time().saturating_sub(RESPONSE_MARGIN);
        Ok(request.insert_header(("X-Remaining", format!("{remaining}u"))))
    }

    /// How long the client still waits, in µs. For a streamed request this is the full timeout,
    /// which starts with the last byte of the body.
    fn remaining_time(&self) -> Micros {
        let payload = &self.attempt.payload;
        match payload.streamed_body() {
            Some(_) => payload.client_timeout,
            None => self.attempt.deadline.saturating_sub(self.clock.now()),
        }
    }

    fn send(&self, request: ClientRequest) -> SendClientRequest {
        let payload = &self.attempt.payload;
        match &payload.body {
            _ if payload.is_safe => request.send(),
            RequestBody::Buffered(body) => request.send_body(body.clone()),
            RequestBody::Streamed(body) => {
                let stream = Rc::clone(body).stream();
                match body.length {
                    Some(length) => request.send_body(SizedStream::new(length, stream)),
                    None => request.send_body(BodyStream::new(stream)),
                }
            }
        }
    }

    async fn read_body<S>(
        &self,
        mut response: ClientResponse<S>,
        outcome: Outcome,
    ) -> Result<ResponseBody, NoResponse>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
    {
        if !self.state.is_streamed() {
            let body = response.body().limit(MAX_BUFFERED_BODY_BYTES).await;
            return body.map(ResponseBody::Buffered).map_err(|_| NoResponse);
        }
        if outcome != Outcome::Ok {
            // The proxy replaces an error response by its own, so the body is not needed.
            return Ok(empty_body());
        }
        let length = content_length(response.headers());
        let chunks = response.map_err(|error| io::Error::other(error.to_string()));
        Ok(ResponseBody::Streamed(StreamedResponseBody::new(
            length,
            Box::pin(chunks),
            self.memory.reserve().await,
        )))
    }
}

fn header_value(bytes: &[u8]) -> Result<HeaderValue, NoResponse> {
    HeaderValue::from_bytes(bytes).map_err(|_| NoResponse)
}

fn empty_body() -> ResponseBody {
    ResponseBody::Buffered(Bytes::new())
}

/// Classifies a response by its head. `X-Turned-Away: 1` marks a 503 or 504 for a request that the
/// server rejected without executing it.
fn classify(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_rejected = headers
        .get("X-Turned-Away")
        .is_some_and(|value| value.as_bytes() == b"1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            Outcome::Overloaded
        }
        status if status.is_client_error() => Outcome::ClientError,
        _ => Outcome::ServerError,
    }
}

fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load_report(headers.get("X-Pressure")?.to_str().ok()?)
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
