//! One client connection: what its traffic tells, and when it is to be closed.

use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::sync::Notify;

use crate::body::MinRateTimer;
use crate::clock::{Clock, Micros};
use crate::read_ahead::ReadAhead;
use crate::sockets::StreamObserver;

/// A new connection is not taken for a silent one before this, and one that is in the middle of a
/// request not before it has stopped for that long.
const FRESH: Micros = 50_000;
const STOPPED: Micros = 500_000;

/// Bounds on what a client may send, and on how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// A request's head must be whole this long after its first byte, its body too unless it keeps
    /// the agreed pace.
    pub header_timeout: Micros,
    /// A connection without a request is closed after this.
    pub idle_timeout: Micros,
    /// Names and values of a request's headers and its target hold no more bytes than this,
    /// together.
    pub max_header_bytes: usize,
    /// A request's body holds no more bytes than this.
    pub max_body_bytes: usize,
}

/// What is known of one client connection.
pub struct ClientConnection {
    /// A whole request of it waits for its answer.
    asked: Cell<bool>,
    left: Cell<bool>,
    /// It has been answered before; bytes have come since.
    answered: Cell<bool>,
    begun: Cell<bool>,
    /// A request of it has come to its last byte and waits: what follows is of no request that is
    /// open.
    whole: Cell<bool>,
    /// Some that nobody read has been thrown away.
    spoilt: Cell<bool>,
    /// It is to be closed once it waits for no answer; nothing is read any more.
    close_after: Cell<bool>,
    read_out: Cell<bool>,
    /// What has been read of it ahead of the request in hand.
    ahead: ReadAhead,
    /// When bytes last came.
    moved: Cell<Micros>,
    /// When it came, was last written to, or began its next request: its time limits count from
    /// then.
    since: Cell<Micros>,
    /// How its client keeps up with the body at hand.
    pace: Rc<Cell<MinRateTimer>>,
    close: Notify,
    clock: Clock,
    limits: Rc<Cell<ClientLimits>>,
}

impl ClientConnection {
    /// One that has just been accepted; `limits` may change while it lasts.
    pub(crate) fn new(clock: Clock, limits: Rc<Cell<ClientLimits>>) -> Rc<Self> {
        let (asked, left, answered, begun) = Default::default();
        let (whole, spoilt, close_after, read_out) = Default::default();
        let (moved, close) = Default::default();
        let since = Cell::new(clock.now());
        let ahead = ReadAhead::new();
        let pace = Rc::new(Cell::new(MinRateTimer::new(0, 0)));
        Rc::new(ClientConnection {
            asked,
            left,
            answered,
            begun,
            whole,
            spoilt,
            close_after,
            read_out,
            ahead,
            moved,
            since,
            pace,
            close,
            clock,
            limits,
        })
    }

    /// A request of it is whole, or as much as will be held: it does not count as idle until the
    /// guard is dropped.
    pub fn request(self: &Rc<Self>) -> ActiveRequest {
        self.asked.set(true);
        ActiveRequest(Rc::clone(self))
    }

    /// When the request at hand began: its first byte came then.
    pub fn request_started_at(&self) -> Micros {
        self.since.get()
    }

    /// The limits in force.
    pub fn limits(&self) -> ClientLimits {
        self.limits.get()
    }

    /// The time by which the limits are kept.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The pace of the body at hand, which begins to count.
    pub(crate) fn begin_body(&self) -> Rc<Cell<MinRateTimer>> {
        self.pace.set(MinRateTimer::new(
            self.since.get(),
            self.limits().header_timeout,
        ));
        Rc::clone(&self.pace)
    }

    /// When it is to be closed; never while it waits for us.
    pub(crate) fn late_at(&self) -> Option<Micros> {
        let limits = self.limits();
        let patience = if self.begun.get() {
            limits.header_timeout
        } else {
            limits.idle_timeout
        };
        let idle = (!self.asked.get()).then(|| self.since.get() + patience);
        self.pace.get().late_at().or(idle)
    }

    /// When to look at it again: a shorter limit may begin to count while a longer one runs.
    pub(crate) fn look_at(&self) -> Micros {
        let limits = self.limits();
        let next = self.clock.now() + limits.header_timeout.min(limits.idle_timeout);
        self.late_at().map_or(next, |late| late.min(next))
    }

    /// Whether its time is up.
    pub(crate) fn is_late(&self) -> bool {
        self.late_at().is_some_and(|late| self.clock.now() >= late)
    }

    /// Whether its client has left.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.left.get()
    }

    /// Whether a request waits for its answer.
    pub(crate) fn is_asked(&self) -> bool {
        self.asked.get()
    }

    /// Whether bytes of a request have come.
    pub(crate) fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Whether what comes now belongs to no open request.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.whole.get()
    }

    /// Whether some of what came has been thrown away.
    pub(crate) fn is_spoilt(&self) -> bool {
        self.spoilt.get()
    }

    /// Something that came has been thrown away: nothing behind it is read.
    pub(crate) fn spoil(&self) {
        self.spoilt.set(true);
    }

    /// Whether it has been answered and asks nothing now.
    pub(crate) fn is_idle_after_answer(&self) -> bool {
        self.answered.get() && !self.asked.get()
    }

    /// A request of it is in hand until the guard is dropped: no more is read ahead than actix-http
    /// can hold.
    pub(crate) fn take_in_hand(self: &Rc<Self>) -> InHand {
        self.ahead.request_started();
        InHand(Rc::clone(self))
    }

    /// All that has come of the body of the request in hand is drawn, and more is waited for, at
    /// most `rest` bytes.
    pub(crate) fn note_drawn(&self, rest: usize) {
        self.ahead.body_consumed(rest);
    }

    /// The rest of that body, at most so many bytes, is drawn by nobody.
    pub(crate) fn note_abandoned(&self, rest: usize) {
        self.ahead.body_abandoned(rest);
    }

    /// An answer goes out.
    pub(crate) fn note_answered(&self) {
        self.answered.set(true);
        self.begun.set(false);
        self.since.set(self.clock.now());
    }

    /// Asks for it to be closed; one that waits for an answer when that is over.
    pub(crate) fn close(&self) {
        self.close_after.set(self.asked.get());
        self.close.notify_one();
    }

    /// Nothing is read of it any more.
    pub(crate) fn stop_reading(&self) {
        self.read_out.set(true);
    }

    /// Whether its last answer goes out and nothing is read any more: it ends once that is written.
    pub(crate) fn is_read_out(&self) -> bool {
        self.read_out.get()
    }

    /// Returns when somebody asks for it to be closed, or its client has left.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }

    /// The order in which idle connections are closed, the least first: those that never asked
    /// anything before those that have been answered, each the oldest first; last those just
    /// accepted, whose first bytes are on their way, and those slow in the middle of a request.
    pub(crate) fn closing_rank(&self, now: Micros) -> (bool, bool, bool, Micros) {
        let fresh = !self.answered.get() && now < self.since.get() + FRESH;
        let moving = self.begun.get() && now < self.moved.get() + STOPPED;
        (moving, fresh, self.answered.get(), self.since.get())
    }
}

impl StreamObserver for Rc<ClientConnection> {
    fn poll_may_read(&self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.read_out.get() {
            return Poll::Ready(0);
        }
        self.ahead.poll_room(cx)
    }

    fn read_would_block(&self) {
        self.ahead.socket_empty();
    }

    fn got(&self, bytes: &[u8]) {
        self.ahead.read(bytes);
        self.moved.set(self.clock.now());
        if !self.begun.replace(true) {
            self.since.set(self.clock.now());
        }
    }

    fn wrote(&self, _bytes: usize) {
        // Guards clients that read slowly, while they do.
        self.since.set(self.clock.now());
    }

    fn ended(&self) {
        self.left.set(true);
        self.close.notify_one();
    }
}

/// Keeps a connection from counting as idle.
pub struct ActiveRequest(Rc<ClientConnection>);

impl ActiveRequest {
    /// Says whether the request has come to its last byte: what the client sends then and nobody
    /// reads is thrown away, and the connection is not used again.
    pub fn set_fully_received(&self, whole: bool) {
        self.0.whole.set(whole);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.asked.set(false);
        connection.whole.set(false);
        connection.since.set(connection.clock.now());
        // Guards a drain against connections whose answers began before it, and do not close them.
        if connection.close_after.get() && !connection.begun.get() {
            connection.read_out.set(true);
            connection.close.notify_one();
        }
    }
}

/// Held while a request is handled and its answer written.
pub(crate) struct InHand(Rc<ClientConnection>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.ahead.request_finished();
    }
}
