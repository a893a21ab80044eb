//! Attempts at pay servers. One awc client for each holds its idle connections: dropping it closes them. An
//! attempt is cancelled by dropping its future, connection and all; only then is its end told.

mod framing;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::body::{BodyStream, SizedStream};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use actix_rt::net::{ActixStream, TcpStream};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use bytes::Bytes;
use futures_util::TryStreamExt as _;
use ironmast_balancer::{LoadReport, Micros, Outcome, RequestId, ServerId};
use ironmast_settings::LoadNames;
use slog::{Logger, warn};
use tokio::sync::{Notify, mpsc, oneshot};

use self::framing::Checked;
use crate::bodies::{Body, HELD_MOST, Held, Outflow};
use crate::clock::Clock;
use crate::message::{Attempt, Ended, Message, Order, Queue, Sent};
use crate::sockets::{Budget, Tap, Tapped};

/// Pay servers are told this much less than the time left: their answer still has to travel.
const MARGIN: Micros = 2_000;
/// An answer that has begun goes on within this: guards against lengths longer than what comes.
const REST: Duration = Duration::from_millis(100);
/// A probe is given up after this.
const PROBE: Duration = Duration::from_millis(250);

tokio::task_local! {
    /// What the attempt polled at the moment has written, and whether it still may.
    static WRITING: Rc<Writing>;
}

/// One attempt's view of its connection.
#[derive(Default)]
struct Writing {
    bytes: Cell<usize>,
    /// More of an answer has arrived; what came is none; it is too long to be held.
    progress: Notify,
    spoilt: Cell<bool>,
    flows: Cell<bool>,
    server: Option<ServerId>,
    retired: Retired,
    /// From when on its first byte is not written any more.
    begin_by: Option<(Clock, Micros)>,
}

impl Writing {
    /// Whether it has not begun by the moment from which on it must not.
    fn too_late(&self) -> bool {
        self.bytes.get() == 0 && self.begin_by.is_some_and(|(clock, by)| clock.now() >= by)
    }
}

/// Who takes nothing new, and since when.
type Retired = Rc<RefCell<BTreeMap<ServerId, Micros>>>;
/// Attempts decided before a server was retired are over after this; it need not be known any longer.
const RETIRED: Micros = 60_000_000;

/// Tells the attempt at hand of its writes. A connection serves one attempt after another, and each is polled
/// in a task of its own, so the task knows whose bytes these are.
#[derive(Debug)]
pub struct Meter;

impl Tap for Meter {
    fn may_write(&self) -> io::Result<()> {
        let refusal = |w: &Rc<Writing>| match w.bytes.get() {
            // Guards rule 3: the drain was heard between the decision and this first byte.
            0 if w.server.is_some_and(|s| w.retired.borrow().contains_key(&s)) => {
                Some("it takes nothing new")
            }
            // Guards rule 2: a connection that comes up late would carry a repeat past its window.
            0 if w.too_late() => Some("the window of its class is over"),
            _ => None,
        };
        match WRITING.try_with(refusal).ok().flatten() {
            Some(why) => Err(io::Error::new(io::ErrorKind::NotConnected, why)),
            None => Ok(()),
        }
    }

    fn wrote(&self, bytes: usize) {
        let _ = WRITING.try_with(|w| w.bytes.set(w.bytes.get() + bytes));
    }
}

/// An HTTP client without a will of its own: no time-out, redirect, extra header or cap; a connection must
/// come up within `connect` and is not used again after `idle`. `wrap` decides what its streams let through.
pub fn client<Io: ActixStream + std::fmt::Debug + 'static>(
    budget: Budget,
    connect: Duration,
    idle: Duration,
    wrap: fn(Tapped<Meter>) -> Io,
) -> Client {
    let dial = move |info: ConnectInfo<Uri>| {
        let budget = budget.clone();
        async move {
            let refused = |why: &str| ConnectError::Io(io::Error::other(why.to_string()));
            let uri = info.request().clone();
            let address: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
            let address = address.ok_or_else(|| refused("not an address"))?;
            let slot = budget.take().ok_or_else(|| refused("no descriptor is free"))?;
            let stream = TcpStream::connect(address).await.map_err(ConnectError::Io)?;
            Ok::<_, ConnectError>(Connection::new(uri, wrap(Tapped::new(stream, Meter, slot))))
        }
    };
    // The pool is for one server; its age limit would close good connections.
    let connector = Connector::new()
        .connector(fn_service(dial))
        .timeout(connect)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::from_secs(365 * 86_400))
        .limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// What the settings say of connections.
#[derive(Clone)]
pub struct Rules {
    /// A connection not up within this failed.
    pub connect: Duration,
    /// Pay servers close connections idle for this long.
    pub keepalive: Duration,
    /// The names in load reports.
    pub load: LoadNames,
}

/// Of each server: its address, its connections, and when they were last asked for.
type Clients = BTreeMap<ServerId, (SocketAddr, Client, Micros)>;

/// Keeps the connections to pay servers.
pub struct Upstream {
    rules: Rules,
    clock: Clock,
    log: Logger,
    budget: Budget,
    held: Held,
    queue: Queue,
    clients: Rc<RefCell<Clients>>,
    retired: Retired,
    /// Of each attempt that is out: what ends it, and what it has written.
    out: BTreeMap<(RequestId, u32), (oneshot::Sender<()>, Rc<Writing>)>,
}

impl Upstream {
    /// A keeper without connections.
    pub fn new(rules: Rules, clock: Clock, log: Logger, budget: Budget, held: Held, queue: Queue) -> Self {
        let clients: Rc<RefCell<Clients>> = Rc::default();
        let idle = Rc::downgrade(&clients);
        // One server's at a time, the longest unused first: guards against opening all of them anew at once.
        budget.when_scarce(move || {
            let Some(clients) = idle.upgrade() else { return };
            let mut clients = clients.borrow_mut();
            let longest = clients.iter().min_by_key(|(_, c)| c.2).map(|(&server, _)| server);
            longest.and_then(|server| clients.remove(&server));
        });
        let (retired, out) = Default::default();
        Upstream { rules, clock, log, budget, held, queue, clients, retired, out }
    }

    /// Carries out orders until none can come any more.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Send(attempt) => self.send(attempt),
                Order::Cancel(id, number) => drop(self.out.remove(&(id, number))),
                Order::Over(id) => {
                    let begun = |&(of, _): &(RequestId, u32), writing: &Rc<Writing>| {
                        of != id || writing.bytes.get() > 0
                    };
                    self.out.retain(|attempt, out| begun(attempt, &out.1));
                }
                Order::Probe(server, address) => self.probe(server, address),
                Order::CloseIdle(server) => drop(self.clients.borrow_mut().remove(&server)),
                Order::Retire(server) => {
                    let now = self.clock.now();
                    let mut retired = self.retired.borrow_mut();
                    // Guards against a set that grows with every server that ever left.
                    retired.retain(|_, since| now < *since + RETIRED);
                    retired.insert(server, now);
                    self.clients.borrow_mut().remove(&server);
                }
                Order::Admit(server) => _ = self.retired.borrow_mut().remove(&server),
            }
        }
    }

    fn client(&self, server: ServerId, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        if clients.get(&server).is_none_or(|c| c.0 != address) {
            // Retired well before the server closes it: guards against a write that crosses that close.
            let idle = self.rules.keepalive / 2;
            let client = client(self.budget.clone(), self.rules.connect, idle, Checked::new);
            clients.insert(server, (address, client, 0));
        }
        let client = clients.get_mut(&server).expect("it was just inserted");
        client.2 = self.clock.now();
        client.1.clone()
    }

    fn send(&mut self, attempt: Attempt) {
        self.out.retain(|_, out| !out.0.is_closed());
        let (cancel, cancelled) = oneshot::channel::<()>();
        let client = self.client(attempt.server, attempt.address);
        let (server, retired) = (Some(attempt.server), Rc::clone(&self.retired));
        let begin_by = attempt.begin_by.map(|by| (self.clock, by));
        let writing = Rc::new(Writing { server, retired, begin_by, ..Writing::default() });
        self.out.insert((attempt.id, attempt.number), (cancel, Rc::clone(&writing)));
        let (clock, queue, names) = (self.clock, self.queue.clone(), self.rules.load.clone());
        let held = self.held.clone();
        actix_rt::spawn(async move {
            // One turn of the poller first: guards against writing to an idle connection whose close has
            // arrived but has not been looked at, which would be a reset and look like a sick server.
            tokio::task::yield_now().await;
            let (id, number) = (attempt.id, attempt.number);
            let until = clock.at(attempt.until).into();
            let call = WRITING.scope(Rc::clone(&writing), exchange(&client, &attempt, &clock, &names, &held));
            // What loses here is dropped before the end is told, and its connection with it.
            let (outcome, body, load) = tokio::select! {
                biased;
                ended = call => ended.unwrap_or_else(|()| {
                    let outcome = match writing.bytes.get() {
                        0 if writing.too_late() => Outcome::Moot,
                        // Nothing written proves that it never ran; a part might be the whole.
                        0 => Outcome::ConnectFailed,
                        _ if writing.spoilt.get() => Outcome::Spoilt,
                        _ => Outcome::Reset,
                    };
                    (outcome, nothing(), None)
                }),
                () = not_begun(&writing) => (Outcome::Moot, nothing(), None),
                () = fallen_silent(&writing) => (Outcome::Spoilt, nothing(), None),
                _ = cancelled => (Outcome::Cancelled, nothing(), None),
                () = tokio::time::sleep_until(until) => (Outcome::Timeout, nothing(), None),
            };
            let outcome = match attempt.payload.flow() {
                // The client's doing.
                Some(flow) if outcome != Outcome::Ok && flow.is_broken() => Outcome::Cancelled,
                // Its last byte can't have been written.
                Some(flow) if outcome != Outcome::Cancelled && !flow.is_whole() => Outcome::ConnectFailed,
                _ => outcome,
            };
            queue.say(Message::Ended(Ended { id, number, outcome, body, load }));
        });
    }

    fn probe(&self, server: ServerId, address: SocketAddr) {
        let client = self.client(server, address);
        let (clock, queue, names) = (self.clock, self.queue.clone(), self.rules.load.clone());
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let sent = clock.now();
            let call = async {
                let mut answer = client.get(format!("http://{address}/stats")).send().await.ok()?;
                let body = answer.body().limit(HELD_MOST).await.ok()?;
                Some((answer.status(), names.report(std::str::from_utf8(&body).unwrap_or(""))))
            };
            let (outcome, load) = match tokio::time::timeout(PROBE, call).await {
                Ok(Some((StatusCode::OK, load))) => (Outcome::Ok, load),
                Ok(Some((status, _))) => {
                    warn!(log, "a probe was turned away"; "status" => status.as_u16());
                    (Outcome::Full, None)
                }
                Ok(None) => (Outcome::ConnectFailed, None),
                Err(_) => (Outcome::Timeout, None),
            };
            queue.say(Message::Probed(server, outcome, clock.now().saturating_sub(sent), load));
        });
    }
}

type End = (Outcome, Body, Option<LoadReport>);

fn nothing() -> Body {
    Body::Whole(Bytes::new())
}

/// Returns if an attempt has not begun by the moment from which on it must not: its client is told at once.
async fn not_begun(writing: &Writing) {
    if let Some((clock, by)) = writing.begin_by {
        tokio::time::sleep_until(clock.at(by).into()).await;
        if writing.too_late() {
            return;
        }
    }
    std::future::pending().await
}

/// Returns once an answer that had begun has stopped short; until then, and once it flows, never.
async fn fallen_silent(writing: &Writing) {
    writing.progress.notified().await;
    while tokio::time::timeout(REST, writing.progress.notified()).await.is_ok() {}
    if writing.flows.get() {
        std::future::pending().await
    }
}

/// Sends the request and reads the whole answer, or the beginning of a long one; an error where none came.
async fn exchange(
    client: &Client,
    attempt: &Attempt,
    clock: &Clock,
    names: &LoadNames,
    held: &Held,
) -> Result<End, ()> {
    let sent = &attempt.payload;
    let url = format!("http://{}{}", attempt.address, sent.target);
    let call = if sent.safe { client.get(url) } else { client.post(url) };
    let value = |bytes: &[u8]| HeaderValue::from_bytes(bytes).map_err(|_| ());
    let mut call = call.no_decompress().insert_header(("X-Txn", value(&sent.txn)?));
    if let Some(key) = &sent.key {
        call = call.insert_header(("Idempotency-Key", value(key)?));
    }
    // While a body flows its client's time has not begun.
    let left = sent.flow().map_or(attempt.until.saturating_sub(clock.now()), |_| sent.left);
    call = call.insert_header(("X-Remaining", format!("{}u", left.saturating_sub(MARGIN))));
    let sending = match &sent.body {
        _ if sent.safe => call.send(),
        Sent::Whole(body) => call.send_body(body.clone()),
        Sent::Flowing(flow) => match flow.length {
            Some(length) => call.send_body(SizedStream::new(length, Rc::clone(flow).stream())),
            None => call.send_body(BodyStream::new(Rc::clone(flow).stream())),
        },
    };
    let mut answer = sending.await.map_err(|_| ())?;
    let (status, load) = (answer.status(), load(answer.headers(), names));
    let turned = answer.headers().get("X-Turned-Away").is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned => Outcome::Full,
        status if status.is_client_error() => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let body = match WRITING.with(|writing| writing.flows.get()) {
        true if outcome == Outcome::Ok => {
            let length = answer.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
            let parts = answer.map_err(|e| io::Error::other(e.to_string()));
            Body::Flowing(Outflow::new(length, Box::pin(parts), held.window().await))
        }
        // Nobody wants it.
        true => nothing(),
        false => Body::Whole(answer.body().limit(HELD_MOST).await.map_err(|_| ())?),
    };
    Ok((outcome, body, load))
}

fn load(headers: &HeaderMap, names: &LoadNames) -> Option<LoadReport> {
    names.report(headers.get("X-Pressure")?.to_str().ok()?)
}

#[cfg(test)]
mod tests;
