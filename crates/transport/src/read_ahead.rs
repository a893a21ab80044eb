//! How much of a client connection is read ahead of the request in hand.
//!
//! Once the buffer of actix-http (3.19 and 3.20, `h1/dispatcher.rs`, `read_available`) holds 128
//! KiB it reads no more and wakes its own task on each poll instead. That ends where a poll takes
//! something out of the buffer. While a request is answered and 16 more are queued behind it none
//! does, and the task is polled without end. So the buffer is kept from filling: what comes
//! meanwhile is left unread, without a wake, until the answer is written.
//!
//! What the buffer holds is known at two moments only: before a request is taken in hand all that
//! has come is parsed, and where the request's body is waited for all of it has been drawn. Nothing
//! in between has to be estimated.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Bytes read at once before the connection parses what has come, and bytes read ahead of the
/// request in hand. With as many left unparsed by the request before, and a part of a body, they
/// are fewer than actix-http buffers.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Bytes that may be read beyond [`MAX_READ_AHEAD_BYTES`] of a body whose reader waits for more.
const BODY_PART_BYTES: usize = 32 * 1024;
/// Requests that actix-http queues before it stops parsing.
const QUEUED_REQUESTS: usize = 16;
/// Lines of that many requests: each has at least two.
const QUEUED_LINES: usize = 2 * QUEUED_REQUESTS;

/// Counts what is read of one connection while a request of it is in hand.
pub(crate) struct ReadAhead {
    /// A request is handled, or its answer written.
    in_hand: Cell<bool>,
    /// None was in hand when bytes were last read: they are parsed before one is.
    rested: Cell<bool>,
    /// How many more bytes may be read, until the request in hand is over or in this go.
    room: Cell<usize>,
    /// Lines that came with the requests that may be queued.
    lines: Cell<usize>,
    /// All that had come has been parsed while none was in hand.
    parsed: Cell<bool>,
    /// Some have come behind it, or been left unread.
    behind: Cell<bool>,
    /// Reads on when it is over, or its body is waited for.
    reader: RefCell<Option<Waker>>,
}

impl ReadAhead {
    /// A connection of which nothing has been read.
    pub(crate) fn new() -> Self {
        let (in_hand, rested, parsed, behind) = Default::default();
        let (lines, reader) = Default::default();
        ReadAhead {
            in_hand,
            rested,
            room: Cell::new(MAX_READ_AHEAD_BYTES),
            lines,
            parsed,
            behind,
            reader,
        }
    }

    /// How many bytes may be read now. Pending after a long go; and, without a wake, while a
    /// request is in hand and enough has come behind it.
    pub(crate) fn poll_room(&self, cx: &Context<'_>) -> Poll<usize> {
        if self.in_hand.get() {
            self.poll_behind(cx)
        } else {
            self.poll_go(cx)
        }
    }

    fn poll_go(&self, cx: &Context<'_>) -> Poll<usize> {
        let (first, behind) = (!self.rested.replace(true), self.behind.take());
        // What came behind the last request may wait to be parsed.
        if self.parsed.take() || first && !behind {
            self.lines.set(0);
        }
        if first {
            self.room.set(MAX_READ_AHEAD_BYTES);
        }
        if self.room.get() == 0 {
            self.room.set(MAX_READ_AHEAD_BYTES);
            self.parsed.set(true);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(self.room.get())
    }

    fn poll_behind(&self, cx: &Context<'_>) -> Poll<usize> {
        self.remember(cx.waker());
        // So few lines are no queue: actix-http parses on and refuses what grows too long.
        if self.room.get() == 0 && self.lines.get() < QUEUED_LINES {
            self.room.set(MAX_READ_AHEAD_BYTES);
        }
        if self.room.get() > 0 {
            return Poll::Ready(self.room.get());
        }
        self.behind.set(true);
        Poll::Pending
    }

    /// The socket has no bytes to read at the moment.
    pub(crate) fn socket_empty(&self) {
        self.parsed.set(!self.in_hand.get());
    }

    fn remember(&self, waker: &Waker) {
        let mut reader = self.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|known| known.will_wake(waker)) {
            *reader = Some(waker.clone());
        }
    }

    /// These bytes have been read.
    pub(crate) fn read(&self, bytes: &[u8]) {
        self.room.set(self.room.get().saturating_sub(bytes.len()));
        // Nobody asks how many more there are. Guards the processor against long bodies.
        if self.lines.get() < QUEUED_LINES {
            self.lines.set(self.lines.get() + lines_of(bytes));
        }
        if self.in_hand.get() {
            self.behind.set(true);
        }
    }

    /// The handler has consumed all that has come of the request's body and waits for more: at most
    /// `rest` bytes.
    pub(crate) fn body_consumed(&self, rest: usize) {
        self.allow(MAX_READ_AHEAD_BYTES + rest.min(BODY_PART_BYTES));
    }

    /// Nobody consumes the rest of the body, at most `rest` bytes: actix-http discards it as it
    /// comes.
    pub(crate) fn body_abandoned(&self, rest: usize) {
        self.allow(rest.saturating_add(MAX_READ_AHEAD_BYTES));
    }

    fn allow(&self, bytes: usize) {
        let stopped = self.room.replace(bytes) == 0;
        if stopped {
            self.wake();
        }
    }

    /// The handling of a request begins.
    pub(crate) fn request_started(&self) {
        self.in_hand.set(true);
        self.parsed.set(false);
        if self.rested.take() {
            self.room.set(MAX_READ_AHEAD_BYTES);
        }
    }

    /// The answer is written, or its client has left. Guards requests that have come meanwhile
    /// against waiting until more come: actix-http looks at its buffer once before it writes the
    /// answer, and not after it.
    pub(crate) fn request_finished(&self) {
        self.in_hand.set(false);
        if self.behind.get() {
            self.wake();
        }
    }

    fn wake(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }
}

/// How many lines end in these bytes. Sums of one byte each, so that many are taken at once.
fn lines_of(bytes: &[u8]) -> usize {
    let ends = |part: &[u8]| part.iter().map(|&byte| u8::from(byte == b'\n')).sum::<u8>();
    bytes
        .chunks(usize::from(u8::MAX))
        .map(|part| usize::from(ends(part)))
        .sum()
}

#[cfg(test)]
mod tests;
