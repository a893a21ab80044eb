//! Request bodies that are streamed from clients to servers.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::Notify;

use super::{BodyChunks, BodyMemoryPermit};

/// The body of a request that is streamed from its client to a server.
///
/// The first part is buffered, so that an attempt that fails before it reads any further can be
/// repeated with the whole body; see [`StreamedRequestBody::is_replayable`].
pub struct StreamedRequestBody {
    /// Length of the whole body in bytes, if the client announced it.
    pub length: Option<u64>,
    prefix: RefCell<Bytes>,
    rest: RefCell<BodyChunks>,
    /// Bytes received so far, including the prefix.
    received_bytes: Cell<u64>,
    /// Something after the prefix has been read: the body cannot be sent again.
    rest_started: Cell<bool>,
    complete: Cell<bool>,
    aborted: Cell<bool>,
    abort: Notify,
    /// Called once, when the last byte of the body has been read.
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
    _permit: BodyMemoryPermit,
}

impl fmt::Debug for StreamedRequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedRequestBody")
            .field("length", &self.length)
            .field("rest_started", &self.rest_started)
            .finish_non_exhaustive()
    }
}

impl StreamedRequestBody {
    /// Creates a body of which `prefix` has been received. `on_complete` is called when the last
    /// byte of the body has been read.
    pub fn new(
        prefix: Bytes,
        rest: BodyChunks,
        length: Option<u64>,
        permit: BodyMemoryPermit,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        StreamedRequestBody {
            length,
            received_bytes: Cell::new(prefix.len() as u64),
            prefix: RefCell::new(prefix),
            rest: RefCell::new(rest),
            rest_started: Cell::new(false),
            complete: Cell::new(false),
            aborted: Cell::new(false),
            abort: Notify::new(),
            on_complete: RefCell::new(Some(Box::new(on_complete))),
            _permit: permit,
        }
    }

    /// Whether everything received is still buffered, so that another attempt can send the body.
    pub fn is_replayable(&self) -> bool {
        !self.rest_started.get()
    }

    /// Whether the last byte of the body has been read. Until then no server can have executed the
    /// request.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Whether the client aborted the body.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Waits until the client aborts the body.
    pub async fn aborted(&self) {
        while !self.aborted.get() {
            self.abort.notified().await;
        }
    }

    /// Streams the body from its first byte, for one attempt. Once a part after the prefix has
    /// been read, another attempt gets an incomplete body; see
    /// [`StreamedRequestBody::is_replayable`].
    pub fn stream(self: Rc<Self>) -> impl Stream<Item = Result<Bytes, io::Error>> {
        let prefix = Some(self.prefix.borrow().clone());
        AttemptBody { prefix, body: self }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let item = ready!(self.rest.borrow_mut().as_mut().poll_next(cx));
        if let Some(Ok(chunk)) = &item {
            self.received_bytes
                .set(self.received_bytes.get() + chunk.len() as u64);
        }
        if !self.rest_started.replace(true) {
            // The body cannot be sent again, so the prefix is no longer needed.
            self.prefix.take();
        }
        match &item {
            Some(Err(_)) => {
                self.aborted.set(true);
                self.abort.notify_one();
            }
            // With a known length the body is complete at its last byte. That byte can be on the
            // wire before the reader asks for the end of the stream.
            Some(Ok(_)) if self.expects_more() => {}
            _ => self.complete(),
        }
        Poll::Ready(item)
    }

    fn expects_more(&self) -> bool {
        self.length
            .is_none_or(|length| self.received_bytes.get() < length)
    }

    fn complete(&self) {
        self.complete.set(true);
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }
}

/// The stream that one attempt reads: the prefix, then the rest.
struct AttemptBody {
    prefix: Option<Bytes>,
    body: Rc<StreamedRequestBody>,
}

impl Stream for AttemptBody {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(prefix))),
            None => self.body.poll_rest(cx),
        }
    }
}
