//! The state of one attempt to send a request to a server: how much of the request has been written,
//! whether it may still start, and what has been received of the response.
//!
//! awc offers no access to the connection that serves a request. An attempt is therefore polled in
//! the scope of a task-local [`AttemptState`], to which the connection's stream reports.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock::{Clock, Micros};
use crate::malformed_response::MalformedResponse;
use crate::observed_stream::StreamObserver;

/// A buffered response of which nothing more arrives for this long has stalled. Guards against
/// announced lengths that are longer than what is sent.
pub const BUFFERED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

tokio::task_local! {
    /// The attempt that is being polled.
    static ATTEMPT: Rc<AttemptState>;
}

/// How a response is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// A short response is buffered until it is complete, a long one is streamed.
    #[default]
    BufferIfShort,
    /// Head and body are delivered as they arrive, and validated on the way.
    PassThrough,
}

/// A request header whose value the response must repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedHeader {
    /// Its name.
    pub name: &'static str,
    /// Its value, byte for byte; `None` where the request had no such header: a response that has
    /// one then belongs to another request.
    pub value: Option<Vec<u8>>,
}

/// Returns whether the server still accepts new requests.
pub type AdmissionCheck = Box<dyn Fn() -> bool>;

/// What is decided before an attempt starts.
#[derive(Default)]
pub struct AttemptOptions {
    /// How its response is delivered.
    pub delivery: Delivery,
    /// Called right before the first byte is written; false fails the attempt.
    pub admission: Option<AdmissionCheck>,
    /// The clock reading from which on its first byte is not written any more.
    pub start_deadline: Option<(Clock, Micros)>,
    /// With [`Delivery::PassThrough`]: responses that do not repeat this header belong to other
    /// requests and are skipped.
    pub expected: Option<ExpectedHeader>,
    /// The method is `HEAD`: the response has no body, whatever its headers say.
    pub without_body: bool,
}

/// The state of one attempt, as its connection reports it.
#[derive(Default)]
pub struct AttemptState {
    options: AttemptOptions,
    bytes_written: Cell<usize>,
    /// Notified when bytes of a response, or its end, arrive.
    progress: Notify,
    last_progress: Cell<Option<Instant>>,
    malformed: Cell<Option<MalformedResponse>>,
    is_streamed: Cell<bool>,
    is_close_delimited: Cell<bool>,
}

impl AttemptState {
    /// The state of an attempt that has not started.
    #[must_use]
    pub fn new(options: AttemptOptions) -> Rc<Self> {
        Rc::new(AttemptState {
            options,
            ..AttemptState::default()
        })
    }

    /// Runs the attempt: connections that `call` uses report to this state.
    pub async fn scope<F: Future>(self: &Rc<Self>, call: F) -> F::Output {
        ATTEMPT.scope(Rc::clone(self), call).await
    }

    /// Bytes of the request written so far. Zero proves that the server has not run it.
    pub fn bytes_written(&self) -> usize {
        self.bytes_written.get()
    }

    /// Why the response is malformed, if it is.
    pub fn malformed(&self) -> Option<MalformedResponse> {
        self.malformed.get()
    }

    /// Whether the response is delivered before it is complete.
    pub fn is_streamed(&self) -> bool {
        self.is_streamed.get()
    }

    /// Whether the response's body ends with its connection (RFC 9112, section 6.3, rule 8): complete
    /// by an orderly close, incomplete by a reset.
    pub fn is_close_delimited(&self) -> bool {
        self.is_close_delimited.get()
    }

    /// When bytes of a response last arrived.
    pub fn last_progress(&self) -> Option<Instant> {
        self.last_progress.get()
    }

    /// Whether it had not started by its start deadline.
    pub fn start_timed_out(&self) -> bool {
        self.bytes_written.get() == 0
            && self
                .options
                .start_deadline
                .is_some_and(|(clock, deadline)| clock.now() >= deadline)
    }

    /// Completes once the start deadline passes and the attempt has not started; otherwise never.
    pub async fn start_timeout(&self) {
        if let Some((clock, deadline)) = self.options.start_deadline {
            tokio::time::sleep_until(clock.at(deadline).into()).await;
            if self.start_timed_out() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Completes once a buffered response that has started stalls; never while it progresses, nor
    /// for a streamed response.
    pub async fn response_stalled(&self) {
        self.progress.notified().await;
        while tokio::time::timeout(BUFFERED_RESPONSE_IDLE_TIMEOUT, self.progress.notified())
            .await
            .is_ok()
        {}
        if self.is_streamed.get() {
            std::future::pending::<()>().await;
        }
    }

    /// The attempt that is being polled, if any.
    pub(crate) fn current() -> Option<Rc<Self>> {
        ATTEMPT.try_with(Rc::clone).ok()
    }

    pub(crate) fn options(&self) -> &AttemptOptions {
        &self.options
    }

    pub(crate) fn record_progress(&self) {
        self.last_progress.set(Some(Instant::now()));
        self.progress.notify_one();
    }

    pub(crate) fn record_malformed(&self, reason: MalformedResponse) {
        self.malformed.set(Some(reason));
    }

    pub(crate) fn record_streamed(&self) {
        self.is_streamed.set(true);
    }

    pub(crate) fn record_close_delimited(&self) {
        self.is_close_delimited.set(true);
    }

    /// Why its next byte must not be written, if so. An attempt that has started is finished.
    fn rejection(&self) -> Option<&'static str> {
        if self.bytes_written.get() > 0 {
            return None;
        }
        // Guards draining servers: the drain may have started after the decision to send.
        if self
            .options
            .admission
            .as_ref()
            .is_some_and(|admits| !admits())
        {
            return Some("it takes nothing new");
        }
        // Guards idempotency windows: a connection that is established late would carry a retry
        // past the end of its window.
        self.start_timed_out()
            .then_some("the window of its class is over")
    }
}

impl fmt::Debug for AttemptState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptState")
            .field("bytes_written", &self.bytes_written)
            .finish_non_exhaustive()
    }
}

/// Reports writes to the attempt that is being polled. A connection serves one attempt after
/// another, and each is polled in a task of its own, so the task determines whose bytes these are.
#[derive(Debug)]
pub struct AttemptObserver;

impl StreamObserver for AttemptObserver {
    fn may_write(&self) -> io::Result<()> {
        match AttemptState::current().and_then(|attempt| attempt.rejection()) {
            Some(reason) => Err(io::Error::new(io::ErrorKind::NotConnected, reason)),
            None => Ok(()),
        }
    }

    fn on_write(&self, bytes: usize) {
        if let Some(attempt) = AttemptState::current() {
            attempt
                .bytes_written
                .set(attempt.bytes_written.get() + bytes);
        }
    }
}

#[cfg(test)]
mod tests;
