//! Limits how much of a client connection is read ahead of the request in progress.
//!
//! Once the buffer of actix-http (3.19 and 3.20, `h1/dispatcher.rs`, `read_available`) holds 128
//! KiB it reads no more and wakes its own task on each poll instead. That ends when a poll takes
//! something out of the buffer. While a request is handled and 16 more are queued behind it none
//! does, and the task is polled in a busy loop. So the buffer is kept from filling: what arrives
//! meanwhile is left unread, without a wake, until the response is written.
//!
//! What the buffer holds is known at two moments only: when a request starts, all that has arrived
//! is parsed; and when the request's body is waited for, all of it has been consumed. Nothing in
//! between has to be estimated.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Bytes read at once before the connection parses what has arrived, and bytes read ahead of the
/// request in progress. Together with as many left unparsed by the request before, and a chunk of a
/// body, they are fewer than actix-http buffers.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Bytes that may be read beyond [`MAX_READ_AHEAD_BYTES`] of a body whose reader waits for more.
const BODY_CHUNK_BYTES: usize = 32 * 1024;
/// Requests that actix-http queues before it stops parsing.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Lines of that many requests: each request has at least two.
const MAX_QUEUED_LINES: usize = 2 * MAX_QUEUED_REQUESTS;

/// Counts what is read of one connection while a request of it is in progress.
pub(crate) struct ReadAhead {
    /// A request is handled, or its response written.
    in_progress: Cell<bool>,
    /// No request was in progress when bytes were last read: they are parsed before one starts.
    was_idle: Cell<bool>,
    /// How many more bytes may be read: before the request in progress ends, or in this batch.
    allowance: Cell<usize>,
    /// Lines that arrived with the requests that may be queued.
    lines: Cell<usize>,
    /// All that had arrived has been parsed while no request was in progress.
    parsed: Cell<bool>,
    /// Bytes have arrived behind the request in progress, or have been left unread.
    has_backlog: Cell<bool>,
    /// Woken to read on when the request ends, or its body is waited for.
    reader: RefCell<Option<Waker>>,
}

impl ReadAhead {
    /// The state of a connection of which nothing has been read.
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

    /// How many bytes may be read now. Pending after a full batch; and, without a wake, while a
    /// request is in progress and enough has arrived behind it.
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
        // What arrived behind the last request may not have been parsed yet.
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
        self.register(cx.waker());
        // So few lines do not fill the queue: actix-http parses on and rejects what grows too long.
        if self.allowance.get() == 0 && self.lines.get() < MAX_QUEUED_LINES {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
        }
        if self.allowance.get() > 0 {
            return Poll::Ready(self.allowance.get());
        }
        self.has_backlog.set(true);
        Poll::Pending
    }

    /// The socket has no bytes to read at the moment.
    pub(crate) fn socket_empty(&self) {
        self.parsed.set(!self.in_progress.get());
    }

    fn register(&self, waker: &Waker) {
        let mut reader = self.reader.borrow_mut();
        if !reader
            .as_ref()
            .is_some_and(|registered| registered.will_wake(waker))
        {
            *reader = Some(waker.clone());
        }
    }

    /// These bytes have been read.
    pub(crate) fn read(&self, bytes: &[u8]) {
        self.allowance
            .set(self.allowance.get().saturating_sub(bytes.len()));
        // A larger number makes no difference, so the lines of long bodies are not counted.
        if self.lines.get() < MAX_QUEUED_LINES {
            self.lines.set(self.lines.get() + count_lines(bytes));
        }
        if self.in_progress.get() {
            self.has_backlog.set(true);
        }
    }

    /// The handler has consumed all that has arrived of the request's body and waits for more: at
    /// most `remaining` bytes.
    pub(crate) fn body_consumed(&self, remaining: usize) {
        self.allow(MAX_READ_AHEAD_BYTES + remaining.min(BODY_CHUNK_BYTES));
    }

    /// Nobody consumes the rest of the body, at most `remaining` bytes: actix-http discards it as it
    /// arrives.
    pub(crate) fn body_abandoned(&self, remaining: usize) {
        self.allow(remaining.saturating_add(MAX_READ_AHEAD_BYTES));
    }

    fn allow(&self, bytes: usize) {
        let was_exhausted = self.allowance.replace(bytes) == 0;
        if was_exhausted {
            self.wake();
        }
    }

    /// The handling of a request begins.
    pub(crate) fn request_started(&self) {
        self.in_progress.set(true);
        self.parsed.set(false);
        if self.was_idle.take() {
            self.allowance.set(MAX_READ_AHEAD_BYTES);
        }
    }

    /// The response is written, or the client has disconnected. Guards requests that have arrived
    /// meanwhile against waiting for more bytes: actix-http checks its buffer once before it writes
    /// the response, and not after it.
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

/// How many lines end in these bytes. The inner sums are of one byte each, which the compiler can
/// vectorize.
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
