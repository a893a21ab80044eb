//! The state of one attempt to send a request to a server: how much of the request has been written,
//! whether it may still start, and what has been received of the response.
//!
//! awc gives no access to the connection that serves a request. An attempt is therefore polled with a
//! task-local [`AttemptState`], to which the connection's stream reports.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::clock::{Clock, Micros};
use crate::malformed_response::MalformedResponse;
use crate::observed_stream::StreamObserver;

/// A buffered response of which nothing more arrives for this long has stalled: the server may have
/// announced a length that is longer than what it sends.
pub const BUFFERED_RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

tokio::task_local! {
    /// The attempt that is being polled.
    static ATTEMPT: Rc<AttemptState>;
}

/// How a response is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// A short response is buffered until it is complete, and a long one is streamed.
    #[default]
    BufferIfShort,
    /// Head and body are validated and delivered as they arrive.
    PassThrough,
}

/// A request header whose value the response must repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedHeader {
    /// The name of the header, in the request and the response.
    pub name: &'static str,
    /// The value in the request, byte for byte; `None` where the request had no such header, so that
    /// a response with one belongs to another request.
    pub value: Option<Vec<u8>>,
}

/// Returns whether the server still accepts new requests.
pub type AdmissionCheck = Box<dyn Fn() -> bool>;

/// The conditions on which an attempt starts, and how its response is read.
#[derive(Default)]
pub struct AttemptOptions {
    /// How the response is delivered.
    pub delivery: Delivery,
    /// Called right before the first byte is written; the attempt fails if it returns false.
    pub admission: Option<AdmissionCheck>,
    /// The time from which on the attempt does not start: its first byte is not written any more.
    pub start_deadline: Option<(Clock, Micros)>,
    /// With [`Delivery::PassThrough`], responses that do not repeat this header belong to other
    /// requests and are skipped.
    pub expected: Option<ExpectedHeader>,
    /// Whether the method is `HEAD`, so that the response has no body, whatever its headers say.
    pub without_body: bool,
}

/// The state of one attempt, as reported by the connection that it uses.
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
    /// Creates the state of an attempt that has not started.
    #[must_use]
    pub fn new(options: AttemptOptions) -> Rc<Self> {
        Rc::new(AttemptState {
            options,
            ..AttemptState::default()
        })
    }

    /// Runs `call`; the connections that it uses report to this state.
    pub async fn scope<F: Future>(self: &Rc<Self>, call: F) -> F::Output {
        ATTEMPT.scope(Rc::clone(self), call).await
    }

    /// Bytes of the request written so far. Zero proves that the server has not executed the request.
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

    /// Whether the start deadline has passed and the attempt has not started.
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

    /// Why the next byte of the request must not be written, if so. An attempt that has started may
    /// always continue.
    fn rejection(&self) -> Option<&'static str> {
        if self.bytes_written.get() > 0 {
            return None;
        }
        // The server may have started to drain after the decision to send.
        if self
            .options
            .admission
            .as_ref()
            .is_some_and(|admits| !admits())
        {
            return Some("the server accepts no new requests");
        }
        // A connection that is established late would carry a retry past the end of its idempotency
        // window.
        self.start_timed_out()
            .then_some("the time limit for starting the attempt has passed")
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
/// another, each polled in a task of its own, so the task identifies the attempt that writes.
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
