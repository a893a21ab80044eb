//! Response bodies that are delivered from servers to clients.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Sleep, sleep};

use super::{BodyChunks, BodyMemoryPermit};

/// A response fails if its server sends nothing more of it for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// Received completely.
    Buffered(Bytes),
    /// Still being received.
    Streamed(StreamedResponseBody),
}

/// The body of a response that is streamed from a server to a client. The stream ends with an error
/// of kind [`io::ErrorKind::TimedOut`] if the server sends nothing for five seconds.
pub struct StreamedResponseBody {
    /// Length of the body in bytes, if the server announced it.
    pub length: Option<u64>,
    chunks: BodyChunks,
    idle_timer: Pin<Box<Sleep>>,
    is_waiting: bool,
    _permit: BodyMemoryPermit,
}

impl StreamedResponseBody {
    /// Creates the body of a response whose head has been received, from the `chunks` that follow.
    #[must_use]
    pub fn new(length: Option<u64>, chunks: BodyChunks, permit: BodyMemoryPermit) -> Self {
        StreamedResponseBody {
            length,
            chunks,
            idle_timer: Box::pin(sleep(IDLE_TIMEOUT)),
            is_waiting: false,
            _permit: permit,
        }
    }
}

impl fmt::Debug for StreamedResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedResponseBody")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl Stream for StreamedResponseBody {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Poll::Ready(item) = self.chunks.as_mut().poll_next(cx) {
            self.is_waiting = false;
            return Poll::Ready(item);
        }
        // The timeout starts when the client is ready for more, so a slow client does not make the
        // server time out.
        if !std::mem::replace(&mut self.is_waiting, true) {
            let deadline = tokio::time::Instant::now() + IDLE_TIMEOUT;
            self.idle_timer.as_mut().reset(deadline);
        }
        ready!(self.idle_timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "server sent no more of the response body within 5 s; the response is aborted",
        ))))
    }
}
