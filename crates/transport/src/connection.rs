//! The state of one client connection: what its traffic reveals, and when it must be closed.
//!
//! The connection's stream reports its reads and writes, the listener its requests. From both follow
//! the deadlines of [`ClientLimits`] and the order in which idle connections are closed.
//!
//! Two flags make four states of a connection, `request_started` (bytes have arrived since the last
//! response) and `request_pending` (a handler works on a request):
//!
//! | state | started | pending | deadline | closed for another connection |
//! | --- | --- | --- | --- | --- |
//! | idle | no | no | `idle_timeout` after it was accepted, written to, or its request ended | never answered: first; answered: second; just accepted: third |
//! | receiving a request | yes | no | `header_timeout` after the request's first byte | last; once stalled, as an idle one |
//! | waiting for the response, or already receiving the next request | yes | yes | none | never |
//! | response being written | no | yes | none | never |
//!
//! While a request's body is received, its [`MinRateTimer`] decides on the deadline in any state.

use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::sync::Notify;

use crate::body::MinRateTimer;
use crate::clock::{Clock, Micros};
use crate::observed_stream::StreamObserver;
use crate::read_ahead::ReadAhead;

/// A new connection counts as idle only after this: its first bytes may be on their way.
const NEW_CONNECTION_GRACE: Micros = 50_000;
/// A connection in the middle of a request counts as idle once nothing has arrived for this long.
const STALLED_REQUEST_TIMEOUT: Micros = 500_000;

/// Limits on what a client may send, and on how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// A request's head must be complete this long after its first byte; so must its body, unless it
    /// arrives at the minimum rate.
    pub header_timeout: Micros,
    /// A connection without a request is closed after this.
    pub idle_timeout: Micros,
    /// The longest head of a request, in bytes: the names and values of its headers and its target
    /// together.
    pub max_header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// The state of one client connection.
pub struct ClientConnection {
    /// Whether a request waits for its response.
    request_pending: Cell<bool>,
    /// Whether the client has closed the connection.
    disconnected: Cell<bool>,
    /// Whether a request has been answered on the connection.
    answered: Cell<bool>,
    /// Whether bytes of a request have arrived since the last response.
    request_started: Cell<bool>,
    /// Whether the pending request has been received to its last byte, so that bytes that follow
    /// belong to no open request.
    request_complete: Cell<bool>,
    /// Whether bytes that arrived unread have been discarded.
    input_discarded: Cell<bool>,
    /// Whether the connection is closed once no request is pending.
    close_when_idle: Cell<bool>,
    /// Whether reading from the connection has stopped for good.
    reading_stopped: Cell<bool>,
    /// Limits how much is read ahead of the request in progress.
    read_ahead: ReadAhead,
    /// When bytes last arrived.
    last_read_at: Cell<Micros>,
    /// When the connection was accepted or last written to, or its next request started; the time
    /// limits count from the latest of these.
    limits_since: Cell<Micros>,
    /// Deadline of the request body that is being received.
    body_timer: Rc<Cell<MinRateTimer>>,
    close_requested: Notify,
    clock: Clock,
    limits: Rc<Cell<ClientLimits>>,
}

impl ClientConnection {
    /// Creates the state of a connection that has just been accepted; `limits` may change while it is
    /// open.
    pub(crate) fn new(clock: Clock, limits: Rc<Cell<ClientLimits>>) -> Rc<Self> {
        Rc::new(ClientConnection {
            request_pending: Cell::default(),
            disconnected: Cell::default(),
            answered: Cell::default(),
            request_started: Cell::default(),
            request_complete: Cell::default(),
            input_discarded: Cell::default(),
            close_when_idle: Cell::default(),
            reading_stopped: Cell::default(),
            read_ahead: ReadAhead::new(),
            last_read_at: Cell::default(),
            limits_since: Cell::new(clock.now()),
            body_timer: Rc::new(Cell::new(MinRateTimer::new(0, 0))),
            close_requested: Notify::new(),
            clock,
            limits,
        })
    }

    /// Marks a request as pending: the connection does not count as idle until the guard is dropped.
    /// Call this once the request, or the part of it that is buffered, has been received.
    pub fn mark_request_pending(self: &Rc<Self>) -> ActiveRequest {
        self.request_pending.set(true);
        ActiveRequest(Rc::clone(self))
    }

    /// When the first byte of the current request arrived.
    pub fn request_started_at(&self) -> Micros {
        self.limits_since.get()
    }

    /// The limits in force.
    pub fn limits(&self) -> ClientLimits {
        self.limits.get()
    }

    /// The clock by which the limits are enforced.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Starts the timer of the request body that is received next.
    pub(crate) fn start_body(&self) -> Rc<Cell<MinRateTimer>> {
        self.body_timer.set(MinRateTimer::new(
            self.limits_since.get(),
            self.limits().header_timeout,
        ));
        Rc::clone(&self.body_timer)
    }

    /// When the connection must be closed; `None` while it waits for a response.
    pub(crate) fn deadline(&self) -> Option<Micros> {
        let limits = self.limits();
        let timeout = if self.request_started.get() {
            limits.header_timeout
        } else {
            limits.idle_timeout
        };
        let idle = (!self.request_pending.get()).then(|| self.limits_since.get() + timeout);
        self.body_timer.get().deadline().or(idle)
    }

    /// When to check the deadline next: a shorter limit may begin to count while a longer one runs.
    pub(crate) fn next_check(&self) -> Micros {
        let limits = self.limits();
        let next = self.clock.now() + limits.header_timeout.min(limits.idle_timeout);
        self.deadline().map_or(next, |deadline| deadline.min(next))
    }

    /// Whether the connection's deadline has passed.
    pub(crate) fn is_timed_out(&self) -> bool {
        self.deadline()
            .is_some_and(|deadline| self.clock.now() >= deadline)
    }

    /// Whether the client has closed the connection.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Whether a request waits for its response.
    pub(crate) fn has_pending_request(&self) -> bool {
        self.request_pending.get()
    }

    /// Whether bytes of the next request have arrived.
    pub(crate) fn has_started_request(&self) -> bool {
        self.request_started.get()
    }

    /// Whether the pending request is complete, so that bytes that arrive now belong to no open
    /// request.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.request_complete.get()
    }

    /// Whether received bytes have been discarded.
    pub(crate) fn has_discarded_input(&self) -> bool {
        self.input_discarded.get()
    }

    /// Records that received bytes have been discarded; bytes that follow them are not read.
    pub(crate) fn record_discarded_input(&self) {
        self.input_discarded.set(true);
    }

    /// Whether a request has been answered on the connection and none is pending.
    pub(crate) fn is_idle_after_response(&self) -> bool {
        self.answered.get() && !self.request_pending.get()
    }

    /// Marks a request as in progress until the guard is dropped. Until then, no more bytes are read
    /// ahead than actix-http can buffer.
    pub(crate) fn start_request(self: &Rc<Self>) -> RequestInProgress {
        self.read_ahead.request_started();
        RequestInProgress(Rc::clone(self))
    }

    /// Records that all received bytes of the current request's body have been consumed; at most
    /// `remaining` bytes of it are still to come.
    pub(crate) fn body_consumed(&self, remaining: usize) {
        self.read_ahead.body_consumed(remaining);
    }

    /// Records that the rest of the current request's body, at most `remaining` bytes, will not be
    /// consumed.
    pub(crate) fn body_abandoned(&self, remaining: usize) {
        self.read_ahead.body_abandoned(remaining);
    }

    /// Records that a response is about to be written.
    pub(crate) fn response_started(&self) {
        self.answered.set(true);
        self.request_started.set(false);
        self.limits_since.set(self.clock.now());
    }

    /// Requests that the connection be closed; if a request is pending, after its response.
    pub(crate) fn close(&self) {
        self.close_when_idle.set(self.request_pending.get());
        self.close_requested.notify_one();
    }

    /// Stops reading from the connection for good.
    pub(crate) fn stop_reading(&self) {
        self.reading_stopped.set(true);
    }

    /// Whether reading has stopped; the connection then ends once its last response is written.
    pub(crate) fn is_reading_stopped(&self) -> bool {
        self.reading_stopped.get()
    }

    /// Completes when closing the connection is requested or its client has disconnected.
    pub(crate) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// The connection's rank among those to be closed when descriptors run short, the lowest first.
    pub(crate) fn closing_rank(&self, now: Micros) -> ClosingRank {
        let is_answered = self.answered.get();
        let stalled_at = self.last_read_at.get() + STALLED_REQUEST_TIMEOUT;
        let grace_ends = self.limits_since.get() + NEW_CONNECTION_GRACE;
        ClosingRank {
            is_receiving: self.request_started.get() && now < stalled_at,
            is_new: !is_answered && now < grace_ends,
            is_answered,
            idle_since: self.limits_since.get(),
        }
    }
}

/// Orders connections by how much is lost when they are closed, the least first: those that never
/// sent a request, then those that have been answered, in both groups the longest idle first; then
/// those just accepted, whose first bytes may be on their way; last those in the middle of a request.
///
/// The derived order compares the fields in the order of their declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClosingRank {
    is_receiving: bool,
    is_new: bool,
    is_answered: bool,
    idle_since: Micros,
}

impl StreamObserver for Rc<ClientConnection> {
    fn poll_read_allowance(&self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.reading_stopped.get() {
            return Poll::Ready(0);
        }
        self.read_ahead.poll_allowance(cx)
    }

    fn on_read_would_block(&self) {
        self.read_ahead.record_socket_empty();
    }

    fn on_read(&self, bytes: &[u8]) {
        self.read_ahead.record_read(bytes);
        self.last_read_at.set(self.clock.now());
        if !self.request_started.replace(true) {
            self.limits_since.set(self.clock.now());
        }
    }

    fn on_write(&self, _bytes: usize) {
        // A client that reads its response slowly is not idle.
        self.limits_since.set(self.clock.now());
    }

    fn on_end(&self) {
        self.disconnected.set(true);
        self.close_requested.notify_one();
    }
}

/// Keeps a connection from counting as idle while a request waits for its response.
pub struct ActiveRequest(Rc<ClientConnection>);

impl ActiveRequest {
    /// Sets whether the request has been received to its last byte. Bytes that the client sends after
    /// that are kept up to a limit; beyond it they are discarded, and the connection is not
    /// reused.
    pub fn set_fully_received(&self, is_complete: bool) {
        self.0.request_complete.set(is_complete);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.request_pending.set(false);
        connection.request_complete.set(false);
        connection.limits_since.set(connection.clock.now());
        // A response that began before a drain does not announce the close of its connection, which
        // must be closed here.
        if connection.close_when_idle.get() && !connection.request_started.get() {
            connection.reading_stopped.set(true);
            connection.close_requested.notify_one();
        }
    }
}

/// Limits what is read ahead of a request while the request is handled and its response written.
pub(crate) struct RequestInProgress(Rc<ClientConnection>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.read_ahead.request_finished();
    }
}
