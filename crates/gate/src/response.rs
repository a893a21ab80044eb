//! Responses to clients: the gate's own, a server's buffered response, and a server's streamed
//! response.
//!
//! A streamed body must appear complete to the client only if the server's body was complete. So
//! [`BodySender::finish`] marks the end, and dropping the sender without it aborts the response.

use std::io;
use std::pin::Pin;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream};
use ironmast_routing::Rejection;
use ironmast_transport::connection::ActiveRequest;
use tokio::sync::mpsc;

/// The number of chunks that are queued for a slow client before reading from the server pauses.
const MAX_QUEUED_CHUNKS: usize = 32;

/// A response to a client.
#[derive(Debug)]
pub(crate) enum DownstreamResponse {
    /// The gate's rejection: the request was not executed and never will be.
    Rejected(Rejection),
    /// The gate's error response: the request failed and may have been executed.
    Failed(StatusCode),
    /// A server's response, complete.
    Complete {
        /// Status and headers.
        head: ResponseHead,
        /// The complete body.
        body: Bytes,
    },
    /// A server's response, forwarded as it arrives.
    Streaming {
        /// Status and headers.
        head: ResponseHead,
        /// The length of the body in bytes, if the server announced it.
        length: Option<u64>,
        /// The receiver of the chunks of the body.
        body: BodyReceiver,
    },
}

/// The head of a server's response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub status: StatusCode,
    /// The headers that are forwarded to the client.
    pub headers: Vec<(HeaderName, HeaderValue)>,
}

/// An item of a streamed body.
#[derive(Debug)]
enum BodyItem {
    Chunk(Bytes),
    End,
}

/// The receiving half of a streamed body. The body appears complete only if
/// [`BodySender::finish`] was called.
#[derive(Debug)]
pub(crate) struct BodyReceiver(mpsc::Receiver<BodyItem>);

/// The sending half of a streamed body. Dropping it aborts the response.
#[derive(Debug)]
pub(crate) struct BodySender(mpsc::Sender<BodyItem>);

/// The client has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the client has disconnected")]
pub(crate) struct Disconnected;

/// Creates both halves of a streamed body.
pub(crate) fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (BodySender(sender), BodyReceiver(receiver))
}

impl BodySender {
    /// Sends a chunk of the body, and waits while the queue is full.
    ///
    /// # Errors
    /// The client has disconnected.
    pub(crate) async fn send(&self, chunk: Bytes) -> Result<(), Disconnected> {
        self.0
            .send(BodyItem::Chunk(chunk))
            .await
            .map_err(|_| Disconnected)
    }

    /// Marks the body as complete.
    pub(crate) async fn finish(self) {
        // A client that has disconnected has no use for the end.
        let _ = self.0.send(BodyItem::End).await;
    }

    /// Returns when the client has disconnected.
    pub(crate) async fn disconnected(&self) {
        self.0.closed().await;
    }
}

/// The chunks of a body, with an error at its end if it was aborted.
fn body_stream(receiver: mpsc::Receiver<BodyItem>) -> impl Stream<Item = Result<Bytes, io::Error>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(BodyItem::Chunk(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(BodyItem::End) => None,
            None => {
                // An error closes the connection at once, so the chunks before it must be written
                // first.
                tokio::task::yield_now().await;
                Some((Err(io::ErrorKind::ConnectionAborted.into()), None))
            }
        }
    })
}

/// The chunks of a body as for [`body_stream`]. The stream holds `active`, so that the connection
/// counts as busy until the stream is dropped.
fn tracked_body_stream(
    body: BodyReceiver,
    active: ActiveRequest,
) -> Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>> {
    Box::pin(body_stream(body.0).inspect(move |_| _ = &active))
}

impl DownstreamResponse {
    /// Converts to an HTTP response. A streamed body holds `active`, so that the connection counts
    /// as busy until the body has been written.
    pub(crate) fn into_http(self, active: ActiveRequest) -> Response<BoxBody> {
        match self {
            Self::Rejected(reason) => {
                rejection(reason.status.code(), &reason.retry_after_seconds())
            }
            Self::Failed(status) => Response::new(status),
            Self::Complete { head, body } => with_head(head, BoxBody::new(body)),
            Self::Streaming { head, length, body } => {
                let stream = tracked_body_stream(body, active);
                let body = match length {
                    Some(length) => BoxBody::new(SizedStream::new(length, stream)),
                    None => BoxBody::new(BodyStream::new(stream)),
                };
                with_head(head, body)
            }
        }
    }
}

/// Builds the rejection of a request that was not executed; `retry_after` is the value of the
/// `Retry-After` header, in s.
pub(crate) fn rejection(status: u16, retry_after: &str) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::new(status);
    if let Ok(retry_after) = HeaderValue::from_str(retry_after) {
        response.headers_mut().insert(RETRY_AFTER, retry_after);
    }
    response
}

fn with_head(head: ResponseHead, body: BoxBody) -> Response<BoxBody> {
    let mut response = Response::with_body(head.status, body);
    for (name, value) in head.headers {
        response.headers_mut().append(name, value);
    }
    response
}

#[cfg(test)]
mod tests;
