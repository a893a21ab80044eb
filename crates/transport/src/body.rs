//! Bodies that are too long to be held: how they flow, what is held of all of them, and how long a
//! client may take over one.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

use crate::clock::{Clock, Micros};

/// A body of up to this many bytes is held whole: it can be checked and sent again.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// A body holds no more than this many bytes: 32 MB by whatever count, and room for framing.
pub const MAX_BODY_BYTES: usize = 36 << 20;
/// What a body that flows may hold at one time, in the libraries' buffers and ours.
const WINDOW: usize = 256 * 1024;
/// Of the memory a proxy may have, the part that bodies may hold: one in so many.
const PART: usize = 3;

/// A client sends at least so many bytes of a body a second (64,000 are agreed), after a start of
/// so long.
const PACE: u64 = 60_000;
const START: Micros = 500_000;
/// A server that sends nothing more of an answer for this long has broken off.
const BROKEN_OFF: Duration = Duration::from_secs(5);

/// Bytes that bodies which flow may hold, over all connections. The one owner of that sum. Bodies
/// that are held whole are not counted: the number of connections bounds them.
#[derive(Clone)]
pub struct BodyMemory {
    most: usize,
    now: Rc<Cell<usize>>,
    returned: Rc<Notify>,
}

impl BodyMemory {
    /// What a proxy with so many MB may hold.
    #[must_use]
    pub fn new(memory_mb: usize) -> Self {
        let most = ((memory_mb << 20) / PART).max(WINDOW);
        BodyMemory {
            most,
            now: Rc::default(),
            returned: Rc::default(),
        }
    }

    /// Waits until there is room for the window of one more body that flows, and counts it.
    pub async fn reserve(&self) -> BodyMemoryPermit {
        while self.now.get() + WINDOW > self.most {
            self.returned.notified().await;
        }
        self.now.set(self.now.get() + WINDOW);
        // Whoever waits next looks for itself.
        self.returned.notify_one();
        BodyMemoryPermit(self.clone())
    }
}

/// One window, given back on drop and nowhere else.
pub struct BodyMemoryPermit(BodyMemory);

impl Drop for BodyMemoryPermit {
    fn drop(&mut self) {
        self.0.now.set(self.0.now.get() - WINDOW);
        self.0.returned.notify_one();
    }
}

/// How long a client may still take over a request's body, told what comes and when it is waited
/// for.
#[derive(Clone, Copy, Debug)]
pub struct MinRateTimer {
    /// Whatever the pace, it has until then: a short request may be written slowly.
    first: Micros,
    received: u64,
    waited: Micros,
    since: Option<Micros>,
}

impl MinRateTimer {
    /// For a request whose first byte came at `begun` and whose head is whole; it has `patience`
    /// whatever its pace.
    #[must_use]
    pub fn new(begun: Micros, patience: Micros) -> Self {
        MinRateTimer {
            first: begun + patience,
            received: 0,
            waited: 0,
            since: None,
        }
    }

    /// More is waited for at `now`.
    pub fn waits(&mut self, now: Micros) {
        self.since.get_or_insert(now);
    }

    /// So many bytes came, or the end.
    pub fn came(&mut self, now: Micros, bytes: usize) {
        self.waited += self
            .since
            .take()
            .map_or(0, |since| now.saturating_sub(since));
        self.received += bytes as u64;
    }

    /// When it is too late for more; never while nothing is waited for.
    #[must_use]
    pub fn late_at(&self) -> Option<Micros> {
        let may_take = START + self.received.saturating_mul(1_000_000) / PACE;
        self.since
            .map(|since| self.first.max(since + may_take.saturating_sub(self.waited)))
    }
}

/// What arrives of a body; an error where it breaks off.
pub type BodyChunks = Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>;

/// The parts of a request's body, each wait for them told to its client's pace.
pub struct MinRateStream {
    parts: BodyChunks,
    clock: Clock,
    pace: Rc<Cell<MinRateTimer>>,
}

impl MinRateStream {
    /// The same parts, watched.
    pub fn new(parts: BodyChunks, clock: Clock, pace: Rc<Cell<MinRateTimer>>) -> Self {
        MinRateStream { parts, clock, pace }
    }
}

impl Stream for MinRateStream {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let (polled, now, mut pace) = (
            self.parts.as_mut().poll_next(cx),
            self.clock.now(),
            self.pace.get(),
        );
        match &polled {
            Poll::Pending => pace.waits(now),
            Poll::Ready(Some(Ok(part))) => pace.came(now, part.len()),
            Poll::Ready(_) => pace.came(now, 0),
        }
        self.pace.set(pace);
        polled
    }
}

/// The body of a request that flows from its client to a server.
pub struct StreamedRequestBody {
    /// Its length, where the client told it.
    pub length: Option<u64>,
    first: RefCell<Bytes>,
    rest: RefCell<BodyChunks>,
    /// Bytes that have come, the first part included.
    come: Cell<u64>,
    /// Some of the rest has been drawn: it can't be sent again.
    drawn: Cell<bool>,
    /// All of it has been drawn, or it broke off.
    ended: Cell<bool>,
    broken: Cell<bool>,
    broke: Notify,
    /// Told once, when the last byte has been drawn.
    whole: RefCell<Option<Box<dyn FnOnce()>>>,
    _hold: BodyMemoryPermit,
}

impl fmt::Debug for StreamedRequestBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedRequestBody")
            .field("length", &self.length)
            .field("drawn", &self.drawn)
            .finish_non_exhaustive()
    }
}

impl StreamedRequestBody {
    /// A body of which `first` has come; `whole` is called when its last byte has been drawn.
    pub fn new(
        (first, rest): (Bytes, BodyChunks),
        length: Option<u64>,
        hold: BodyMemoryPermit,
        whole: impl FnOnce() + 'static,
    ) -> Self {
        let (drawn, ended, broken, broke) = Default::default();
        let come = Cell::new(first.len() as u64);
        let (first, rest) = (RefCell::new(first), RefCell::new(rest));
        let whole = RefCell::new(Some(Box::new(whole) as Box<dyn FnOnce()>));
        StreamedRequestBody {
            length,
            first,
            rest,
            come,
            drawn,
            ended,
            broken,
            broke,
            whole,
            _hold: hold,
        }
    }

    /// Whether it is still held whole, so that another attempt may have it.
    pub fn is_replayable(&self) -> bool {
        !self.drawn.get()
    }

    /// Whether its last byte has been drawn. Until then no attempt can have run.
    pub fn is_complete(&self) -> bool {
        self.ended.get()
    }

    /// Whether the client broke off.
    pub fn is_aborted(&self) -> bool {
        self.broken.get()
    }

    /// Waits until the client breaks off.
    pub async fn aborted(&self) {
        while !self.broken.get() {
            self.broke.notified().await;
        }
    }

    /// The whole of it, for one attempt.
    pub fn stream(self: Rc<Self>) -> impl Stream<Item = Result<Bytes, io::Error>> {
        let first = Some(self.first.borrow().clone());
        Drawing { first, of: self }
    }

    fn poll_rest(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let item = ready!(self.rest.borrow_mut().as_mut().poll_next(cx));
        if let Some(Ok(part)) = &item {
            self.come.set(self.come.get() + part.len() as u64);
        }
        if !self.drawn.replace(true) {
            // It is of no more use.
            self.first.take();
        }
        match &item {
            Some(Err(_)) => {
                self.broken.set(true);
                self.broke.notify_one();
            }
            // The last byte can be on the wire before anybody asks for more.
            Some(Ok(_)) if self.length.is_none_or(|length| self.come.get() < length) => {}
            _ => {
                self.ended.set(true);
                if let Some(whole) = self.whole.take() {
                    whole();
                }
            }
        }
        Poll::Ready(item)
    }
}

struct Drawing {
    first: Option<Bytes>,
    of: Rc<StreamedRequestBody>,
}

impl Stream for Drawing {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => self.of.poll_rest(cx),
        }
    }
}

/// The body of an answer that flows from a server to its client.
pub struct StreamedResponseBody {
    /// Its length, where the server told it.
    pub length: Option<u64>,
    parts: BodyChunks,
    silence: Pin<Box<Sleep>>,
    waits: bool,
    _hold: BodyMemoryPermit,
}

impl StreamedResponseBody {
    /// What comes of an answer that has begun.
    #[must_use]
    pub fn new(length: Option<u64>, parts: BodyChunks, hold: BodyMemoryPermit) -> Self {
        StreamedResponseBody {
            length,
            parts,
            silence: Box::pin(sleep(BROKEN_OFF)),
            waits: false,
            _hold: hold,
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
        if let Poll::Ready(item) = self.parts.as_mut().poll_next(cx) {
            self.waits = false;
            return Poll::Ready(item);
        }
        // Counted from when the client could take more: a slow client is no silent server.
        if !std::mem::replace(&mut self.waits, true) {
            let until = tokio::time::Instant::now() + BROKEN_OFF;
            self.silence.as_mut().reset(until);
        }
        ready!(self.silence.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the server fell silent",
        ))))
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// Held whole.
    Buffered(Bytes),
    /// On its way.
    Streamed(StreamedResponseBody),
}

#[cfg(test)]
mod tests;
