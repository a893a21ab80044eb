//! Reads the body of a client's request: buffers it while it is short, streams it where it is long.

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
    /// On its way from the client.
    Streamed(Rc<StreamedRequestBody>),
}

/// Why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// The client aborted it, or its framing is malformed.
    #[error("the body is incomplete")]
    Incomplete,
    /// It is longer than the limits allow.
    #[error("the body is too long")]
    TooLong,
}

/// Reads a body of the announced `length`, if one is announced: buffered up to `max_buffered`
/// bytes. A longer body is streamed within memory reserved of `memory`; `on_complete` is called
/// when the last byte of it has been read.
///
/// # Errors
/// Where the body is aborted or too long before it is known whether it can be buffered. A streamed
/// body reports both in its stream.
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
    // Nothing is sent to a server before more has arrived than can be buffered: guards its
    // connections against clients that announce much and send little.
    let is_long = loop {
        let Some(chunk) = chunks.next().await else {
            break false;
        };
        prefix.extend_from_slice(&chunk.map_err(|_| RequestBodyError::Incomplete)?);
        if prefix.len() > max_bytes {
            return Err(RequestBodyError::TooLong);
        }
        // A body that is complete already is not streamed: a server that has all of it may run the
        // request.
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
    let rest = limited(chunks, max_bytes - prefix.len());
    let body = StreamedRequestBody::new(prefix, rest, length, permit, on_complete);
    Ok(RequestBody::Streamed(Rc::new(body)))
}

/// The chunks up to `max_bytes`, then an error. Guards against bodies of no announced length that
/// never end.
fn limited(chunks: MinRateStream, max_bytes: usize) -> BodyChunks {
    let mut remaining = max_bytes;
    Box::pin(chunks.map(move |chunk| {
        let chunk = chunk?;
        remaining = remaining
            .checked_sub(chunk.len())
            .ok_or_else(|| io::Error::other(RequestBodyError::TooLong))?;
        Ok(chunk)
    }))
}

/// A payload whose connection is informed of how it is consumed.
struct ObservedPayload {
    payload: Payload,
    /// Bytes that may still arrive; none once the payload has ended.
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
        // Guards a client that continues to write against being blocked: what it sends is read and
        // discarded.
        if self.remaining > 0 {
            self.connection.body_abandoned(self.remaining);
        }
    }
}
