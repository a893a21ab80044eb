//! Reads the body of a client's request: a short body is buffered and a long one streamed, or each is
//! held whole.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::Payload;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};

use crate::body::{
    BodyBudget, BodyChunks, BodyMemory, BodyReservation, HeldBody, MinRateStream,
    StreamedRequestBody,
};
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
    /// The bodies that are held whole use all the memory that they may.
    #[error("no memory is left for the request body")]
    OutOfMemory,
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
    let mut chunks = body_chunks(payload, length, connection)?;
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

/// Reads the body of a request to its end and holds it within `budget`; `length` is its length in
/// bytes, if announced.
///
/// # Errors
/// If the body is aborted or too long, or if `budget` has no memory left for it. The rest of the body
/// is then discarded as it arrives.
pub async fn read_whole(
    payload: Payload,
    length: Option<u64>,
    budget: &BodyBudget,
    connection: &Rc<ClientConnection>,
) -> Result<HeldBody, RequestBodyError> {
    let max_bytes = connection.limits().max_body_bytes;
    let mut chunks = body_chunks(payload, length, connection)?;
    let mut reservation = budget.reservation();
    let mut body = BytesMut::new();
    allocate(&mut body, length.unwrap_or(0) as usize, &mut reservation)?;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_| RequestBodyError::Incomplete)?;
        let bytes = body.len() + chunk.len();
        if bytes > max_bytes {
            return Err(RequestBodyError::TooLong);
        }
        if bytes > body.capacity() {
            let capacity = (2 * body.capacity()).clamp(bytes, max_bytes);
            allocate(&mut body, capacity, &mut reservation)?;
        }
        body.extend_from_slice(&chunk);
    }
    Ok(reservation.hold(body.freeze()))
}

/// Allocates `capacity` bytes for `body` in all. The memory is reserved first, and for bytes that have
/// not arrived as well: the allocator reuses pages that are resident.
///
/// # Errors
/// If the budget has not as much memory left.
fn allocate(
    body: &mut BytesMut,
    capacity: usize,
    reservation: &mut BodyReservation,
) -> Result<(), RequestBodyError> {
    if !reservation.grow_to(capacity) {
        return Err(RequestBodyError::OutOfMemory);
    }
    body.reserve(capacity - body.len());
    Ok(())
}

/// The chunks of a request's body, for whose arrival the limits of its connection are enforced.
///
/// # Errors
/// If the announced `length` exceeds the limit.
fn body_chunks(
    payload: Payload,
    length: Option<u64>,
    connection: &Rc<ClientConnection>,
) -> Result<MinRateStream, RequestBodyError> {
    let max_bytes = connection.limits().max_body_bytes;
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(RequestBodyError::TooLong);
    }
    let expected = length.map_or(max_bytes, |length| length as usize);
    let payload = Box::pin(ObservedPayload::new(payload, expected, connection));
    let timer = connection.start_body();
    Ok(MinRateStream::new(payload, connection.clock(), timer))
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
