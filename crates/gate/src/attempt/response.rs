//! A server's response whose head was received, and whose body is read chunk by chunk, buffered or
//! drained.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{self, HeaderName, HeaderValue};
use actix_http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};
use ironmast_routing::{Dispatch, LoadReport, Outcome};
use ironmast_transport::attempt::AttemptState;

use super::classify::{ResponseClass, classify};
use crate::headers;
use crate::request::ForwardedRequest;

/// A discarded body is drained up to this many bytes, and for [`DRAIN_TIMEOUT`] at most, so that
/// its connection can be reused.
const MAX_DRAINED_BYTES: usize = 16 * 1024;
/// The longest time for which a discarded body is drained.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A server's response, of which the head was received.
pub(crate) struct UpstreamResponse {
    pub status: StatusCode,
    /// The headers that are forwarded to the client.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// What is done with the response, according to its head.
    pub class: ResponseClass,
    /// The load that the server reports.
    pub load: Option<LoadReport>,
    /// The `Content-Length` in bytes, if the server sent one.
    pub content_length: Option<u64>,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Whether the response has a body, possibly empty.
    has_body: bool,
    state: Rc<AttemptState>,
    body: ClientResponse,
}

/// The buffered part of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BufferedBody {
    /// The bytes so far.
    pub bytes: Bytes,
    /// Whether `bytes` is the complete body.
    pub is_complete: bool,
}

impl UpstreamResponse {
    pub(super) fn new(
        response: ClientResponse,
        state: Rc<AttemptState>,
        forwarded: &ForwardedRequest,
        dispatch: &Dispatch,
    ) -> Self {
        let (status, headers) = (response.status(), response.headers());
        let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let text = |name: HeaderName| headers::text(headers, name.as_str());
        UpstreamResponse {
            status,
            headers: headers::returned_headers(headers),
            class: classify(
                status,
                headers,
                forwarded.expects_version,
                &dispatch.expect_instance,
            ),
            load: headers.get(headers::SERVER_LOAD).and_then(parse_load),
            content_length: text(header::CONTENT_LENGTH).and_then(|value| value.parse().ok()),
            is_event_stream: text(header::CONTENT_TYPE)
                .is_some_and(|value| value.starts_with("text/event-stream")),
            has_body: !is_bodiless && forwarded.method != Method::HEAD,
            state,
            body: response,
        }
    }

    /// The next chunk of the body, or `None` at its proper end.
    ///
    /// # Errors
    /// The outcome of the attempt, if the connection failed within the body or the body is invalid.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Bytes>, Outcome> {
        if !self.has_body {
            return Ok(None);
        }
        match self.body.next().await {
            Some(Ok(chunk)) => Ok(Some(chunk)),
            Some(Err(_)) => Err(self.body_failure()),
            None => Ok(None),
        }
    }

    /// Buffers the body until it is complete or longer than `max_bytes`.
    ///
    /// # Errors
    /// As for [`UpstreamResponse::next_chunk`].
    pub(crate) async fn buffer(&mut self, max_bytes: usize) -> Result<BufferedBody, Outcome> {
        let mut buffered = BytesMut::new();
        let mut is_complete = false;
        while !is_complete && buffered.len() <= max_bytes {
            match self.next_chunk().await? {
                Some(chunk) => buffered.extend_from_slice(&chunk),
                None => is_complete = true,
            }
        }
        Ok(BufferedBody {
            bytes: buffered.freeze(),
            is_complete,
        })
    }

    /// Reads and drops the rest of a discarded response, if it is short, so that its connection can
    /// be reused.
    pub(crate) fn drain(mut self) {
        let draining = async move { _ = self.buffer(MAX_DRAINED_BYTES).await };
        let mut draining = Box::pin(tokio::time::timeout(DRAIN_TIMEOUT, draining));
        if (&mut draining).now_or_never().is_none() {
            // The task ends within the timeout.
            actix_rt::spawn(draining);
        }
    }

    fn body_failure(&self) -> Outcome {
        match self.state.malformed() {
            Some(_) => Outcome::MalformedResponse,
            None => Outcome::Reset,
        }
    }
}

/// Parses the value of the load header, `RUNNING,WAITING,SLOTS`.
fn parse_load(value: &HeaderValue) -> Option<LoadReport> {
    let mut numbers = value
        .to_str()
        .ok()?
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
    Some(LoadReport {
        running,
        waiting,
        slots: Some(slots),
        kv_cache: None,
    })
}

#[cfg(test)]
mod tests;
