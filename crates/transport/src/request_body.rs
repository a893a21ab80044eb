//! Reads the body of a client's request: a short body is buffered, a long one is streamed.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};

use crate::body::{BodyChunks, BodyMemory, MinRateStream, StreamedRequestBody};
use crate::connection::ClientConnection;

/// The body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Received completely: it can be sent again.
    Buffered(Bytes),
    /// Still being received from the client.
    Streamed(Rc<StreamedRequestBody>),
}

/// Why a request body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// The client aborted the body, or its framing is malformed.
    #[error("request body is incomplete: it was aborted or its framing is malformed")]
    Incomplete,
    /// The body is longer than the limits of its connection allow.
    #[error("request body is longer than the limit")]
    TooLong,
}

/// Reads the body of a request; `length` is its length in bytes, if announced. A body of up to
/// `max_buffered` bytes is buffered. A longer one is streamed, once memory for it could be reserved
/// from `memory`; `on_complete` is then called when the last byte of the body has been read.
///
/// # Errors
/// If the body is aborted or too long before it is known whether it can be buffered. A streamed
/// body reports both as errors of its stream.
pub async fn read(
    payload: Payload,
    length: Option<u64>,
    max_buffered: usize,
    memory: &BodyMemory,
    connection: &Rc<ClientConnection>,
    on_complete: impl FnOnce() + 'static,
) -> Result<RequestBody, RequestBodyError> {
    let max_bytes = connection.limits().max_body_bytes;
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(RequestBodyError::TooLong);
    }
    let expected = length.map_or(max_bytes, |length| length as usize);
    let payload = Box::pin(ObservedPayload::new(payload, expected, connection));
    let mut chunks = MinRateStream::new(payload, connection.clock(), connection.start_body());
    let mut prefix = BytesMut::new();
    // Streaming starts only after more than `max_buffered` bytes have arrived, so that clients that
    // announce a long body and send little of it do not occupy connections to a server.
    let is_long = loop {
        let Some(chunk) = chunks.next().await else {
            break false;
        };
        prefix.extend_from_slice(&chunk.map_err(|_| RequestBodyError::Incomplete)?);
        if prefix.len() > max_bytes {
            return Err(RequestBodyError::TooLong);
        }
        // A complete body is not streamed: a server that has all of it may execute the request,
        // while a streamed body counts as incomplete until it is read to its end.
        let is_incomplete = length.is_none_or(|length| (prefix.len() as u64) < length);
        if prefix.len() > max_buffered && is_incomplete {
            break true;
        }
    };
    let prefix = prefix.freeze();
    if !is_long {
        return Ok(RequestBody::Buffered(prefix));
    }
    let permit = memory.reserve().await;
    let rest = limit_length(chunks, max_bytes - prefix.len());
    let body = StreamedRequestBody::new(prefix, rest, length, permit, on_complete);
    Ok(RequestBody::Streamed(Rc::new(body)))
}

/// Returns the chunks up to `max_bytes` in total, then an error. Guards against bodies without an
/// announced length that never end.
fn limit_length(chunks: MinRateStream, max_bytes: usize) -> BodyChunks {
    let mut remaining = max_bytes;
    Box::pin(chunks.map(move |chunk| {
        let chunk = chunk?;
        remaining = remaining
            .checked_sub(chunk.len())
            .ok_or_else(|| io::Error::other(RequestBodyError::TooLong))?;
        Ok(chunk)
    }))
}

/// A payload that reports to its connection how it is consumed.
struct ObservedPayload {
    payload: Payload,
    /// The most bytes that may still arrive; 0 once the payload has ended.
    remaining: usize,
    connection: Rc<ClientConnection>,
}

impl ObservedPayload {
    fn new(payload: Payload, max_bytes: usize, connection: &Rc<ClientConnection>) -> Self {
        ObservedPayload {
            payload,
            remaining: max_bytes,
            connection: Rc::clone(connection),
        }
    }
}

impl Stream for ObservedPayload {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.payload.poll_next_unpin(cx).map_err(io::Error::other);
        match &polled {
            Poll::Pending => self.connection.body_consumed(self.remaining),
            Poll::Ready(Some(Ok(chunk))) => {
                self.remaining = self.remaining.saturating_sub(chunk.len());
            }
            Poll::Ready(_) => self.remaining = 0,
        }
        polled
    }
}

impl Drop for ObservedPayload {
    fn drop(&mut self) {
        // The rest is read and discarded, so that a client that goes on writing is not blocked.
        if self.remaining > 0 {
            self.connection.body_abandoned(self.remaining);
        }
    }
}
