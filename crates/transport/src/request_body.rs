//! Reading the body of a client's request: whole while it is short, on its way where it is long.

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
    /// Held whole: it may be sent again.
    Buffered(Bytes),
    /// On its way from the client.
    Streamed(Rc<StreamedRequestBody>),
}

/// Why a body did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// The client broke off, or its framing is not sound.
    #[error("the body is incomplete")]
    Incomplete,
    /// It is longer than the limits allow.
    #[error("the body is too long")]
    TooLong,
}

/// Reads a body of the `length` announced, if one is: whole up to `hold` bytes; a longer one goes
/// on to flow within a window of `held`, and `whole` is called when its last byte has been drawn.
///
/// # Errors
/// Where it does not come. One that breaks off or grows too long while it flows says so in its
/// stream.
pub async fn read(
    payload: Payload,
    length: Option<u64>,
    hold: usize,
    held: &BodyMemory,
    connection: &Rc<ClientConnection>,
    whole: impl FnOnce() + 'static,
) -> Result<RequestBody, RequestBodyError> {
    let most = connection.limits().max_body_bytes;
    if length.is_some_and(|length| length > most as u64) {
        return Err(RequestBodyError::TooLong);
    }
    let parts = Box::pin(Drawn::new(
        payload,
        length.map_or(most, |length| length as usize),
        connection,
    ));
    let mut parts = MinRateStream::new(parts, connection.clock(), connection.begin_body());
    let mut begun = BytesMut::new();
    // Nothing goes to a server before there is more than can be held: guards its connections
    // against clients that announce much and send little.
    let long = loop {
        let Some(part) = parts.next().await else {
            break false;
        };
        begun.extend_from_slice(&part.map_err(|_| RequestBodyError::Incomplete)?);
        if begun.len() > most {
            return Err(RequestBodyError::TooLong);
        }
        // One that is all there already is held, not sent on: whoever has it whole may run it.
        if begun.len() > hold && length.is_none_or(|length| (begun.len() as u64) < length) {
            break true;
        }
    };
    let begun = begun.freeze();
    if !long {
        return Ok(RequestBody::Buffered(begun));
    }
    let window = held.reserve().await;
    // Guards against bodies without a length that never end.
    let mut left = most - begun.len();
    let parts: BodyChunks = Box::pin(parts.map(move |part| {
        let part = part?;
        left = left
            .checked_sub(part.len())
            .ok_or_else(|| io::Error::other(RequestBodyError::TooLong))?;
        Ok(part)
    }));
    Ok(RequestBody::Streamed(Rc::new(StreamedRequestBody::new(
        (begun, parts),
        length,
        window,
        whole,
    ))))
}

/// What comes of a body, its connection told how it is drawn.
struct Drawn {
    payload: Payload,
    /// Bytes that may still come; none once it has ended.
    rest: usize,
    connection: Rc<ClientConnection>,
}

impl Drawn {
    fn new(payload: Payload, most: usize, connection: &Rc<ClientConnection>) -> Self {
        Drawn {
            payload,
            rest: most,
            connection: Rc::clone(connection),
        }
    }
}

impl Stream for Drawn {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = self.payload.poll_next_unpin(cx).map_err(io::Error::other);
        match &polled {
            Poll::Pending => self.connection.note_drawn(self.rest),
            Poll::Ready(Some(Ok(part))) => self.rest = self.rest.saturating_sub(part.len()),
            Poll::Ready(_) => self.rest = 0,
        }
        polled
    }
}

impl Drop for Drawn {
    fn drop(&mut self) {
        // Guards a client that writes on against standing still: what it sends is to be thrown
        // away.
        if self.rest > 0 {
            self.connection.note_abandoned(self.rest);
        }
    }
}
