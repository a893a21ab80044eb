//! Limits how much of a client connection is read ahead of the request in progress.
//!
//! Once the read buffer of actix-http (3.19 and 3.20, `h1/dispatcher.rs`, `read_available`) holds
//! 128 KiB, the dispatcher stops reading and wakes its own task on each poll, until a poll takes
//! something out of the buffer. While a request is handled and 16 more are queued behind it, no
//! poll does, and the task runs in a busy loop. To keep the buffer from filling, what arrives
//! meanwhile is left unread in the socket, without a wake, until the response is written.
//!
//! The content of the buffer is known at two moments only: when a request starts, everything that
//! has arrived is parsed; and when the handler waits for more of the request's body, everything has
//! been consumed. Nothing has to be estimated in between.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// The most bytes read in one batch before the connection parses what has arrived, and the most
/// bytes read ahead of the request in progress. Together with as many bytes left unparsed by the
/// previous request and a chunk of a body they stay below the 128 KiB that actix-http buffers.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// The bytes of a body that may be read in addition to [`MAX_READ_AHEAD_BYTES`] while the handler
/// waits for more of it.
const BODY_CHUNK_BYTES: usize = 32 * 1024;
/// The number of requests that actix-http queues before it stops parsing.
const MAX_QUEUED_REQUESTS: usize = 16;
/// The fewest lines that fill the queue: each request has at least two.
const MAX_QUEUED_LINES: usize = 2 * MAX_QUEUED_REQUESTS;

/// Decides how much may be read from one client connection.
pub(crate) struct ReadAhead {
    /// A request is being handled, or its response is being written.
    in_progress: Cell<bool>,
    /// No request was in progress at the last read: the bytes are parsed before one starts.
    was_idle: Cell<bool>,
    /// The bytes that may still be read before the request in progress ends, or in this batch.
    allowance: Cell<usize>,
    /// Lines received with the requests that may be queued; not counted beyond the queue's limit.
    lines: Cell<usize>,
    /// Everything received has been parsed while no request was in progress.
    parsed: Cell<bool>,
    /// Bytes have been received after the request in progress, or have been left unread.
    has_backlog: Cell<bool>,
    /// The task to wake when reading may continue: at the end of the request, or when its handler
    /// waits for more of the body.
    reader: RefCell<Option<Waker>>,
}

impl ReadAhead {
    /// Creates the state of a connection from which nothing has been read.
    pub(crate) fn new() -> Self {
        ReadAhead {
            in_progress: Cell::default(),
            was_idle: Cell::default(),
            allowance: Cell::new(MAX_READ_AHEAD_BYTES),
            lines: Cell::default(),
            parsed: Cell::default(),
            has_backlog: Cell::default(),
            reader: RefCell::default(),
        }
    }

    /// Returns how many bytes may be read now. Pending with an immediate wake after a full batch.
    /// Pending without a wake once enough has been read ahead of a request in progress.
    pub(crate) fn poll_allowance(&self, cx: &Context<'_>) -> Poll<usize> {
        if self.in_progress.get() {
            self.poll_during_request(cx)
        } else {
            self.poll_idle(cx)
        }
    }

    fn poll_idle(&self, cx: &Context<'_>) -> Poll<usize> {
        let is_first = !self.was_idle.replace(true);
        let had_backlog = self.has_backlog.take();
        // What arrived after the last request may not have been parsed yet.
        if self.parsed.take() || is_first && !had_backlog {
            self.lines.set(0);
        }
        if is_first {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
        }
        if self.allowance.get() == 0 {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
            self.parsed.set(true);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(self.allowance.get())
    }

    fn poll_during_request(&self, cx: &Context<'_>) -> Poll<usize> {
        self.register_reader(cx.waker());
        // So few lines do not fill the queue: actix-http goes on parsing, and rejects a request
        // that grows too long.
        if self.allowance.get() == 0 && self.lines.get() < MAX_QUEUED_LINES {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
        }
        if self.allowance.get() > 0 {
            return Poll::Ready(self.allowance.get());
        }
        self.has_backlog.set(true);
        Poll::Pending
    }

    /// Records that the socket has nothing to read at the moment.
    pub(crate) fn record_socket_empty(&self) {
        self.parsed.set(!self.in_progress.get());
    }

    fn register_reader(&self, waker: &Waker) {
        let mut reader = self.reader.borrow_mut();
        if !reader
            .as_ref()
            .is_some_and(|registered| registered.will_wake(waker))
        {
            *reader = Some(waker.clone());
        }
    }

    /// Records that `bytes` have been read.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        self.allowance
            .set(self.allowance.get().saturating_sub(bytes.len()));
        // More lines make no difference, so those of long bodies are not counted.
        if self.lines.get() < MAX_QUEUED_LINES {
            self.lines.set(self.lines.get() + count_lines(bytes));
        }
        if self.in_progress.get() {
            self.has_backlog.set(true);
        }
    }

    /// Records that the handler has consumed everything received of the request's body and waits
    /// for the rest of at most `remaining` bytes.
    pub(crate) fn body_consumed(&self, remaining: usize) {
        self.set_allowance(MAX_READ_AHEAD_BYTES + remaining.min(BODY_CHUNK_BYTES));
    }

    /// Records that the handler does not read the rest of the body, at most `remaining` bytes;
    /// actix-http discards it as it arrives.
    pub(crate) fn body_abandoned(&self, remaining: usize) {
        self.set_allowance(remaining.saturating_add(MAX_READ_AHEAD_BYTES));
    }

    fn set_allowance(&self, bytes: usize) {
        let was_exhausted = self.allowance.replace(bytes) == 0;
        if was_exhausted {
            self.wake();
        }
    }

    /// Records that the handling of a request starts.
    pub(crate) fn request_started(&self) {
        self.in_progress.set(true);
        self.parsed.set(false);
        if self.was_idle.take() {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
        }
    }

    /// Records that the response is written, or that the client has disconnected. Wakes the reader
    /// if there is a backlog: actix-http checks its buffer once before it writes the response and
    /// not after it, so requests received meanwhile would otherwise wait until more bytes arrive.
    pub(crate) fn request_finished(&self) {
        self.in_progress.set(false);
        if self.has_backlog.get() {
            self.wake();
        }
    }

    fn wake(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }
}

/// Returns how many lines end in `bytes`. The sum over each chunk is a `u8`, which lets the
/// compiler vectorize it.
fn count_lines(bytes: &[u8]) -> usize {
    let ends = |chunk: &[u8]| {
        let is_end = chunk.iter().map(|&byte| u8::from(byte == b'\n'));
        is_end.sum::<u8>()
    };
    bytes
        .chunks(usize::from(u8::MAX))
        .map(|chunk| usize::from(ends(chunk)))
        .sum()
}

#[cfg(test)]
mod tests;
