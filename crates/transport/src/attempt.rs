//! What is known of one attempt at a server: how much of the request has been written, whether it
//! may still begin, and what has come of the answer.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock::{Clock, Micros};
use crate::sockets::StreamObserver;

/// An answer that has begun and is held until it is whole goes on within this: guards against
/// lengths longer than what comes.
pub const BUFFERED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

tokio::task_local! {
    /// The attempt polled at the moment.
    static ATTEMPT: Rc<AttemptState>;
}

/// How an answer is let through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// A short answer is held until it is whole, a long one flows.
    #[default]
    BufferIfShort,
    /// Head and body are let through as they arrive, checked on the way.
    PassThrough,
}

/// A header whose value the answer must repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedHeader {
    /// Its name.
    pub name: &'static str,
    /// Its value, byte for byte; none where the request had no such header: then an answer that
    /// names one belongs to another request.
    pub value: Option<Vec<u8>>,
}

/// Says whether the server still takes new requests.
pub type Admission = Box<dyn Fn() -> bool>;

/// What is decided before an attempt begins.
#[derive(Default)]
pub struct AttemptOptions {
    /// How its answer is let through.
    pub delivery: Delivery,
    /// Asked right before the first byte is written.
    pub admission: Option<Admission>,
    /// From when on its first byte is not written any more.
    pub start_deadline: Option<(Clock, Micros)>,
    /// With [`Delivery::PassThrough`]: answers that do not repeat this header belong to other
    /// requests and are skipped.
    pub expected: Option<ExpectedHeader>,
    /// The method is `HEAD`: the answer has no body, whatever its headers say.
    pub without_body: bool,
}

/// One attempt's view of its connection.
#[derive(Default)]
pub struct AttemptState {
    options: AttemptOptions,
    written: Cell<usize>,
    /// More of an answer has arrived; what came is none; it is too long to be held.
    progress: Notify,
    progressed: Cell<Option<Instant>>,
    spoilt: Cell<Option<&'static str>>,
    flows: Cell<bool>,
    to_end: Cell<bool>,
}

impl AttemptState {
    /// An attempt that has not begun.
    #[must_use]
    pub fn new(options: AttemptOptions) -> Rc<Self> {
        Rc::new(AttemptState {
            options,
            ..AttemptState::default()
        })
    }

    /// Runs the attempt: connections that are written to within `call` report here.
    pub async fn scope<F: Future>(self: &Rc<Self>, call: F) -> F::Output {
        ATTEMPT.scope(Rc::clone(self), call).await
    }

    /// Bytes of the request written so far. None proves that it has not run and will not.
    pub fn bytes_written(&self) -> usize {
        self.written.get()
    }

    /// Why what came is no answer, where it is none.
    pub fn malformed(&self) -> Option<&'static str> {
        self.spoilt.get()
    }

    /// Whether the answer is let through before it is whole.
    pub fn is_streamed(&self) -> bool {
        self.flows.get()
    }

    /// Whether the answer ends with its connection: whole by an orderly close, broken off by a
    /// reset.
    pub fn is_close_delimited(&self) -> bool {
        self.to_end.get()
    }

    /// When bytes of an answer last arrived.
    pub fn last_progress(&self) -> Option<Instant> {
        self.progressed.get()
    }

    /// Whether it has not begun by the moment from which on it must not.
    pub fn start_timed_out(&self) -> bool {
        self.written.get() == 0
            && self
                .options
                .start_deadline
                .is_some_and(|(clock, by)| clock.now() >= by)
    }

    /// Returns if the attempt has not begun by the moment from which on it must not: its client is
    /// told at once.
    pub async fn start_timeout(&self) {
        if let Some((clock, by)) = self.options.start_deadline {
            tokio::time::sleep_until(clock.at(by).into()).await;
            if self.start_timed_out() {
                return;
            }
        }
        std::future::pending().await
    }

    /// Returns once an answer that had begun has stopped short; until then, and once it flows,
    /// never.
    pub async fn response_stalled(&self) {
        self.progress.notified().await;
        while tokio::time::timeout(BUFFERED_RESPONSE_IDLE_TIMEOUT, self.progress.notified())
            .await
            .is_ok()
        {}
        if self.flows.get() {
            std::future::pending().await
        }
    }

    /// The attempt polled at the moment.
    pub(crate) fn current() -> Option<Rc<Self>> {
        ATTEMPT.try_with(Rc::clone).ok()
    }

    pub(crate) fn options(&self) -> &AttemptOptions {
        &self.options
    }

    pub(crate) fn note_progress(&self) {
        self.progressed.set(Some(Instant::now()));
        self.progress.notify_one();
    }

    pub(crate) fn note_spoilt(&self, why: &'static str) {
        self.spoilt.set(Some(why));
    }

    pub(crate) fn note_flows(&self) {
        self.flows.set(true);
    }

    pub(crate) fn record_close_delimited(&self) {
        self.to_end.set(true);
    }

    /// Why its next byte must not be written, if it must not. Once begun it is finished.
    fn refusal(&self) -> Option<&'static str> {
        if self.written.get() > 0 {
            return None;
        }
        // Guards drains: one was heard between the decision and this first byte.
        if self
            .options
            .admission
            .as_ref()
            .is_some_and(|admits| !admits())
        {
            return Some("it takes nothing new");
        }
        // Guards windows: a connection that comes up late would carry a repeat past its own.
        self.start_timed_out()
            .then_some("the window of its class is over")
    }
}

impl fmt::Debug for AttemptState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptState")
            .field("written", &self.written)
            .finish_non_exhaustive()
    }
}

/// Tells the attempt at hand of its writes. A connection serves one attempt after another, and each
/// is polled in a task of its own, so the task knows whose bytes these are.
#[derive(Debug)]
pub struct AttemptObserver;

impl StreamObserver for AttemptObserver {
    fn may_write(&self) -> io::Result<()> {
        match AttemptState::current().and_then(|attempt| attempt.refusal()) {
            Some(why) => Err(io::Error::new(io::ErrorKind::NotConnected, why)),
            None => Ok(()),
        }
    }

    fn wrote(&self, bytes: usize) {
        if let Some(attempt) = AttemptState::current() {
            attempt.written.set(attempt.written.get() + bytes);
        }
    }
}

#[cfg(test)]
mod tests;
