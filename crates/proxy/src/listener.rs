//! The side of the client: HTTP/1.1 by actix-http. Each connection is one task; a request is checked, queued,
//! and answered when the driver says so.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Poll, ready};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{ALLOW, CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use actix_http::{
    ConnectionType, Extensions, HttpMessage as _, HttpService, KeepAlive, Method, Request, Response,
    StatusCode,
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt as _, TryStreamExt as _};
use ironmast_balancer::{Effect, Micros};
use ironmast_operations::link;
use ironmast_settings::Setup;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};

use crate::bodies::{BODY_MOST, Body, HELD_MOST, Held, Inflow, PATIENCE, Pace, Paced, Parts};
use crate::clock::Clock;
use crate::handover::Partners;
use crate::message::{Answer, Arrival, Message, Payload, Queue, Sent, Ticket};
use crate::sockets::{Budget, Tap, Tapped};

/// After an accept that failed, the next waits this long; so does the next try to make room for one.
const PAUSE: Duration = Duration::from_millis(20);

/// A body that flows is given up after this, whatever its client's pace.
const FLOWS_MOST: Micros = 600_000_000;
/// A new connection is not taken for a silent one before this, and one that is in the middle of a request not
/// before it has stopped for that long.
const FRESH: Micros = 50_000;
const STOPPED: Micros = 500_000;
/// Connections are kept after an answer while less than this part of the clients' share is idle.
const IDLE: usize = 3;

/// What the listener shares with its connections.
pub struct Front {
    /// The settings' names and classes.
    pub setup: Setup,
    /// The time.
    pub clock: Clock,
    /// To the driver.
    pub queue: Queue,
    /// Where remarks go.
    pub log: Logger,
    /// A list of servers is held.
    pub ready: Rc<Cell<bool>>,
    /// The clients' share of the descriptors.
    pub budget: Budget,
    /// What is held of bodies.
    held: Held,
    /// Whether this process serves; where it does not, or no more, answers close their connections.
    serving: watch::Receiver<bool>,
    /// Hears which requests are open, where it is about to take over.
    partners: Rc<Partners>,
    /// The program is about to end: answers close their connections.
    closing: Cell<bool>,
    doors: RefCell<BTreeMap<u64, Rc<Door>>>,
    /// The requests that wait for an answer, by the client's name for them.
    open: RefCell<BTreeSet<String>>,
    /// Those that wait at the process before this, as it tells.
    elsewhere: RefCell<BTreeSet<String>>,
    empty: Notify,
    /// Told once, when no new client is to be taken any more.
    pub stop: Notify,
}

/// What is known of one client connection.
struct Door {
    /// A whole request of it waits for its answer.
    asked: Cell<bool>,
    left: Cell<bool>,
    /// It has been answered before; bytes have come since.
    answered: Cell<bool>,
    begun: Cell<bool>,
    /// A request of it has come to its last byte and waits: what follows is of no request that is open.
    whole: Cell<bool>,
    /// Some that nobody read has been thrown away.
    spoilt: Cell<bool>,
    /// When bytes last came.
    moved: Cell<Micros>,
    /// When it came, was last written to, or began its next request. Without a whole head it is closed
    /// `PATIENCE` later: one that has been answered may stay for 2 s at least.
    since: Cell<Micros>,
    /// How its client keeps up with the body at hand.
    pace: Rc<Cell<Pace>>,
    close: Notify,
    clock: Clock,
}

impl Door {
    /// When it is to be closed; never while it waits for us.
    fn late_at(&self) -> Option<Micros> {
        let idle = (!self.asked.get()).then(|| self.since.get() + PATIENCE);
        self.pace.get().late_at().or(idle)
    }
}

impl Tap for Rc<Door> {
    fn may_read(&self) -> bool {
        // Guards against what comes behind a gap being taken for a request.
        !self.spoilt.get()
    }

    fn got(&self) {
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

impl Front {
    /// A listener's shared part.
    pub fn new(
        setup: Setup,
        clock: Clock,
        queue: Queue,
        log: Logger,
        ready: Rc<Cell<bool>>,
        (budget, held): (Budget, Held),
        (serving, partners): (watch::Receiver<bool>, Rc<Partners>),
    ) -> Rc<Self> {
        let (closing, doors, open, elsewhere, empty, stop) = Default::default();
        Rc::new(Front {
            setup,
            clock,
            queue,
            log,
            ready,
            budget,
            held,
            serving,
            partners,
            closing,
            doors,
            open,
            elsewhere,
            empty,
            stop,
        })
    }

    /// Tells a successor which requests are open here.
    pub fn tell_open(&self) {
        self.open
            .borrow()
            .iter()
            .for_each(|txn| self.partners.tell_successor(link::Message::Opened(txn.clone())));
    }

    /// Answers the predecessor's claim of a name: granted where it is open in neither process, and then counted
    /// as open there.
    pub fn grant(&self, txn: &str) -> bool {
        let free = !self.open.borrow().contains(txn);
        free && self.elsewhere.borrow_mut().insert(txn.to_string())
    }

    /// Notes that a request is open at the process before this, or not any more.
    pub fn note_elsewhere(&self, txn: String, open: bool) {
        let mut elsewhere = self.elsewhere.borrow_mut();
        if open {
            elsewhere.insert(txn)
        } else {
            elsewhere.remove(&txn)
        };
    }

    /// Nobody else serves any more.
    pub fn forget_elsewhere(&self) {
        self.elsewhere.borrow_mut().clear();
    }

    /// Whether answers close their connections. Guards clients that may not open one more against those that
    /// ask once and keep theirs: a connection closed with its answer loses nobody a request.
    fn crowded(&self) -> bool {
        let (doors, most) = (self.doors.borrow(), (self.budget.size() / IDLE).max(1));
        let idle = |d: &&Rc<Door>| d.answered.get() && !d.asked.get();
        // The first test spares the count on all but crowded days.
        doors.len() > most && doors.values().filter(idle).count() >= most
    }

    /// Closes a connection that waits for no answer, if there is one: of those that never asked anything the
    /// oldest, else the longest idle. Guards the usual clients against hundreds of silent ones, and those
    /// just accepted, whose first bytes are on their way, or slow in the middle of a request, against being
    /// taken for such.
    fn close_oldest(&self) {
        let (doors, now) = (self.doors.borrow(), self.clock.now());
        let idle = doors.values().filter(|d| !d.asked.get());
        let fresh = |d: &Door| !d.answered.get() && now < d.since.get() + FRESH;
        let moving = |d: &Door| d.begun.get() && now < d.moved.get() + STOPPED;
        if let Some(door) = idle.min_by_key(|d| (moving(d), fresh(d), d.answered.get(), d.since.get())) {
            door.close.notify_one();
        }
    }

    /// Accepts until told to stop.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let budget = self.budget.clone();
        let front = Rc::downgrade(&self);
        budget.when_scarce(move || {
            if let Some(front) = front.upgrade() {
                front.close_oldest();
            }
        });
        let (mut number, mut serving) = (0, self.serving.clone());
        loop {
            // Whoever replaces this process, or is replaced by it, accepts instead.
            if serving.wait_for(|serves| *serves).await.is_err() {
                return;
            }
            // The slot comes first: guards against accepting what could not be served.
            let Some(slot) = budget.take() else {
                // Not for good: guards against a connection picked to be closed that asks just then and stays.
                let _ = tokio::time::timeout(PAUSE, budget.returned()).await;
                continue;
            };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Nobody waits any more: guards those that do against a reset, as the listener is closed here.
                () = self.stop.notified() => return,
                _ = serving.wait_for(|serves| !*serves) => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    number += 1;
                    let (asked, left, answered, begun, moved, close) = Default::default();
                    let (whole, spoilt) = Default::default();
                    let (since, clock) = (Cell::new(self.clock.now()), self.clock);
                    let pace = Rc::new(Cell::new(Pace::new(0)));
                    let door = Rc::new(Door {
                        asked,
                        left,
                        answered,
                        begun,
                        whole,
                        spoilt,
                        moved,
                        since,
                        pace,
                        close,
                        clock,
                    });
                    self.doors.borrow_mut().insert(number, Rc::clone(&door));
                    let stream = Tapped::new(stream, Rc::clone(&door), slot);
                    actix_rt::spawn(Rc::clone(&self).serve(number, door, stream));
                    // What it has sent is looked at before the next comes: guards requests in a crowd of
                    // silent connections against being taken for one of them.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    // Guards against spinning where descriptors have run out.
                    warn!(self.log, "accept failed"; "why" => %error);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, number: u64, door: Rc<Door>, stream: Tapped<Rc<Door>>) {
        let front = Rc::clone(&self);
        let handler = fn_service(move |request: Request| {
            let front = Rc::clone(&front);
            async move { Ok::<_, Infallible>(front.handle(request).await) }
        });
        // No time-outs of actix-http's own: its first would answer 408 on connections opened in advance.
        let service = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(Duration::from_secs(1))
            .on_connect_ext(|io: &Tapped<Rc<Door>>, data: &mut Extensions| {
                drop(data.insert(Rc::clone(&io.tap)))
            })
            .h1(handler);
        let unread = stream.watched();
        if let Ok(service) = service.new_service(()).await {
            let connection = service.call((stream, None));
            tokio::pin!(connection);
            loop {
                let look = door.late_at().unwrap_or(self.clock.now() + PATIENCE);
                tokio::select! {
                    biased;
                    _ = &mut connection => break,
                    // What the connection has not read by now it does not read: guards against clients that leave
                    // behind what is no request, or more than is read.
                    left = thrown_away(&unread), if door.whole.get() => match left {
                        true => break,
                        false => door.spoilt.set(true),
                    },
                    // Guards against endless heads and bodies, and against clients that say nothing.
                    () = tokio::time::sleep_until(self.clock.at(look).into()) => {
                        if door.late_at().is_some_and(|late| self.clock.now() >= late) { break }
                    }
                    // actix-http does not drop a handler whose client has left: this does, and the drop of its
                    // `Waiting` tells the driver. Idle connections are closed here too.
                    () = door.close.notified() => {
                        // Guards a request that is half read as the program ends: its client has the usual time.
                        let taken = door.asked.get() || self.closing.get() && door.begun.get();
                        if door.left.get() || !taken { break }
                    }
                }
            }
        }
        self.doors.borrow_mut().remove(&number);
        if self.doors.borrow().is_empty() {
            self.empty.notify_one();
        }
    }

    /// Lets busy connections and requests half read finish and closes idle ones, at once or, to linger, when they have been silent for
    /// as long as any may be; returns when none is left.
    pub async fn finish(&self, linger: bool) {
        self.closing.set(true);
        while !self.doors.borrow().is_empty() {
            if !linger {
                self.doors.borrow().values().for_each(|door| door.close.notify_one());
            }
            self.empty.notified().await;
        }
    }

    async fn handle(&self, mut request: Request) -> Response<BoxBody> {
        let Some(door) = request.conn_data::<Rc<Door>>().map(Rc::clone) else {
            return Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, "no connection\n")
                .map_into_boxed_body();
        };
        let mut response = match self.check(&mut request, &door).await {
            Ok((class, arrival)) => self.ask(class, arrival, &door).await,
            Err(mut response) => {
                // Guards against bodies not read, which would be taken for the next request, and against
                // clients that send the same again at full speed.
                if response.status().is_client_error() {
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                response
            }
        };
        if self.closing.get() || door.spoilt.get() || !*self.serving.borrow() || self.crowded() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        door.answered.set(true);
        door.begun.set(false);
        door.since.set(self.clock.now());
        response
    }

    /// Everything that can be wrong with a request is found here, before the module hears of it.
    async fn check(
        &self,
        request: &mut Request,
        door: &Rc<Door>,
    ) -> Result<(usize, Checked), Response<BoxBody>> {
        let plain = |status: StatusCode, text: &'static str| {
            Err(Response::with_body(status, text).map_into_boxed_body())
        };
        if request.path() == "/health/ready" {
            return match (request.method() == Method::GET, self.ready.get()) {
                (false, _) => Err(not_allowed("GET")),
                (true, true) => plain(StatusCode::OK, "ready\n"),
                (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "no list of servers is held\n"),
            };
        }
        let first = request.path().trim_start_matches('/').split('/').next().unwrap_or("");
        let Some(class) = self.setup.classes.iter().position(|c| c == first) else {
            return plain(StatusCode::NOT_FOUND, "no such class\n");
        };
        let settings = &self.setup.settings.classes[class];
        let safe = settings.effect == Effect::Free;
        let method = if safe { Method::GET } else { Method::POST };
        if *request.method() != method {
            return Err(not_allowed(if safe { "GET" } else { "POST" }));
        }
        let header = |name: &str| request.headers().get(name).map(HeaderValue::as_bytes);
        let Some(txn) = header("X-Txn").filter(|v| !v.is_empty()).map(<[u8]>::to_vec) else {
            return plain(StatusCode::BAD_REQUEST, "X-Txn is missing\n");
        };
        let key = header("Idempotency-Key").map(<[u8]>::to_vec);
        if matches!(settings.effect, Effect::Guarded { .. }) && key.is_none() {
            return plain(StatusCode::BAD_REQUEST, "Idempotency-Key is missing\n");
        }
        let left = match header("X-Remaining").map(remaining) {
            None => settings.deadline,
            Some(Some(left)) => left,
            Some(None) => return plain(StatusCode::BAD_REQUEST, "X-Remaining is malformed\n"),
        };
        let org = header("X-Org");
        let tenant = self.setup.tenants.iter().position(|t| org == Some(t.as_bytes()));
        let client_retry = header("X-Resent") == Some(b"1");
        let announced: Option<u64> =
            header(CONTENT_LENGTH.as_str()).and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        if announced.is_some_and(|length| length > BODY_MOST as u64) {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n");
        }
        let query = request.uri().query().unwrap_or("");
        let subject = query.split('&').find_map(|pair| pair.strip_prefix("k=")?.parse().ok());
        let target = request.uri().path_and_query().map_or("/", |p| p.as_str()).to_string();
        let ticket = self.queue.ticket();
        let body = match self.body(request.take_payload(), announced, ticket, door).await {
            Ok(body) => body,
            Err(()) => return plain(StatusCode::BAD_REQUEST, "the body is incomplete\n"),
        };
        let expires = self.clock.now() + left + if matches!(body, Sent::Whole(_)) { 0 } else { FLOWS_MOST };
        let payload = Rc::new(Payload { safe, target, txn, key, body, left });
        Ok((class, Checked { ticket, tenant, subject, client_retry, expires, payload }))
    }

    /// Reads a body, whole if it is short; a long one goes on to flow.
    async fn body(
        &self,
        parts: actix_http::Payload,
        length: Option<u64>,
        ticket: Ticket,
        door: &Rc<Door>,
    ) -> Result<Sent, ()> {
        door.pace.set(Pace::new(door.since.get()));
        let parts = Box::pin(parts.map_err(io::Error::other));
        let mut parts = Paced::new(parts, self.clock, Rc::clone(&door.pace));
        let mut begun = BytesMut::new();
        // Nothing goes to a pay server before there is more than can be held: guards its connections against
        // clients that announce much and send little.
        let long = loop {
            let Some(part) = parts.next().await else { break false };
            begun.extend_from_slice(&part.map_err(|_| ())?);
            // One that is all there already is held, not sent on: whoever has it whole may run it.
            if begun.len() > HELD_MOST && length.is_none_or(|length| (begun.len() as u64) < length) {
                break true;
            }
        };
        let begun = begun.freeze();
        if !long {
            return Ok(Sent::Whole(begun));
        }
        let window = self.held.window().await;
        let queue = self.queue.clone();
        let whole = move || queue.say(Message::Whole(ticket));
        // Guards against bodies without a length that never end.
        let mut left = BODY_MOST - begun.len();
        let parts: Parts = Box::pin(parts.map(move |part| {
            let part = part?;
            left = left.checked_sub(part.len()).ok_or_else(|| io::Error::other("the body is over 32 MB"))?;
            Ok(part)
        }));
        Ok(Sent::Flowing(Rc::new(Inflow::new((begun, parts), length, window, whole))))
    }

    /// Hands a request to the driver and waits for its answer.
    async fn ask(&self, class: usize, checked: Checked, door: &Rc<Door>) -> Response<BoxBody> {
        let asked = Asked::new(door);
        let Checked { ticket, tenant, subject, client_retry, expires, payload } = checked;
        // Guards pay servers against a request sent under the name of one that is open.
        let txn = hex(&payload.txn);
        if self.elsewhere.borrow().contains(&txn) || !self.open.borrow_mut().insert(txn.clone()) {
            return conflict();
        }
        let named = Named { txn, front: self };
        match self.partners.claim(&named.txn) {
            Some(claim) => {
                if !claim.await {
                    return conflict();
                }
            }
            None => self.partners.tell_successor(link::Message::Opened(named.txn.clone())),
        }
        let (reply, answer) = oneshot::channel();
        let flow = payload.flow().cloned();
        door.whole.set(flow.is_none());
        let arrival = Arrival { ticket, class, tenant, subject, client_retry, expires, payload, reply };
        self.queue.say(Message::Arrived(arrival));
        let mut waiting = Waiting { ticket, named, answered: false };
        let broken = async {
            match &flow {
                Some(flow) => flow.broken().await,
                None => std::future::pending().await,
            }
        };
        let answer = tokio::select! {
            biased;
            answer = answer => answer,
            // Not answered yet: dropping `waiting` says that the client is no more.
            () = broken => {
                let mut response = Response::with_body(StatusCode::BAD_REQUEST, "the body is incomplete\n");
                response.head_mut().set_connection_type(ConnectionType::Close);
                return response.map_into_boxed_body();
            }
        };
        waiting.answered = true;
        match answer {
            Ok(Answer::Served(Body::Whole(body))) => {
                Response::with_body(StatusCode::OK, body).map_into_boxed_body()
            }
            Ok(Answer::Served(Body::Flowing(body))) => {
                let length = body.length;
                // The connection is busy for as long as the answer flows.
                let body = body.inspect(move |_| _ = &asked);
                match length {
                    Some(length) => Response::with_body(StatusCode::OK, SizedStream::new(length, body))
                        .map_into_boxed_body(),
                    None => Response::with_body(StatusCode::OK, BodyStream::new(body)).map_into_boxed_body(),
                }
            }
            Ok(Answer::Refused(after)) => {
                let body = Bytes::from_static(b"refused\n");
                let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body);
                if let Some(after) = after.filter(|&after| after > 0) {
                    let seconds = format!("{:.3}", after as f64 / 1e6);
                    let value = HeaderValue::from_str(&seconds).expect("digits and a point");
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
                response.map_into_boxed_body()
            }
            Ok(Answer::Failed) | Err(_) => {
                Response::with_body(StatusCode::BAD_GATEWAY, "failed\n").map_into_boxed_body()
            }
        }
    }
}

/// A request in which nothing is wrong.
struct Checked {
    ticket: Ticket,
    tenant: Option<usize>,
    subject: Option<u64>,
    client_retry: bool,
    expires: Micros,
    payload: Rc<Payload>,
}

/// Keeps a connection from counting as idle.
struct Asked(Rc<Door>);

impl Asked {
    fn new(door: &Rc<Door>) -> Self {
        door.asked.set(true);
        Asked(Rc::clone(door))
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        self.0.asked.set(false);
        self.0.whole.set(false);
        self.0.since.set(self.0.clock.now());
    }
}

/// Waits until something has come that nobody reads, and throws it away; true once the client has left.
async fn thrown_away(stream: &Weak<RefCell<TcpStream>>) -> bool {
    poll_fn(|cx| {
        let Some(stream) = stream.upgrade() else { return Poll::Pending };
        loop {
            let ready = ready!(stream.borrow().poll_read_ready(cx));
            let mut scratch = [0; 4 * 1024];
            match ready.and_then(|()| stream.borrow().try_read(&mut scratch)) {
                Ok(bytes) => return Poll::Ready(bytes == 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Poll::Ready(true),
            }
        }
    })
    .await
}

/// A request at the driver: dropped unanswered, its client has left.
struct Waiting<'a> {
    ticket: Ticket,
    named: Named<'a>,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.named.front.queue.say(Message::Left(self.ticket));
        }
    }
}

/// A name open here, from its claim on: the one place where it is given back, in both processes.
struct Named<'a> {
    txn: String,
    front: &'a Front,
}

impl Drop for Named<'_> {
    fn drop(&mut self) {
        self.front.open.borrow_mut().remove(&self.txn);
        self.front.partners.tell_successor(link::Message::Closed(self.txn.clone()));
    }
}

/// The answer where a request of that name is open in this process or the other.
fn conflict() -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::CONFLICT, "a request of that X-Txn is open\n");
    response.head_mut().set_connection_type(ConnectionType::Close);
    response.map_into_boxed_body()
}

/// A client's name for a request, as the processes of a replacement write it.
fn hex(txn: &[u8]) -> String {
    txn.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn not_allowed(method: &'static str) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    response.map_into_boxed_body()
}

/// Reads `480m` or `480000u`.
fn remaining(value: &[u8]) -> Option<Micros> {
    let (unit, number) = value.split_last()?;
    let scale = match unit {
        b'm' => 1_000,
        b'u' => 1,
        _ => return None,
    };
    let digits = number.iter().all(u8::is_ascii_digit);
    // Longer than any deadline makes no sense, and must not overflow the clock.
    let number: Micros = std::str::from_utf8(number).ok().filter(|_| digits)?.parse().ok()?;
    number.checked_mul(scale).filter(|&left| left < 1_000_000_000_000)
}
