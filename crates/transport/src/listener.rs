//! The side of the client: HTTP/1.1 by actix-http. Each connection is one task; each request goes
//! to a [`Service`], and its answer back.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{
    ConnectionType, Extensions, HttpMessage as _, HttpService, KeepAlive, Request, Response,
    StatusCode,
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::Bytes;
use slog::{Logger, warn};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::connection::{ClientConnection, ClientLimits, InHand};
use crate::sockets::{DescriptorBudget, ObservedStream, Unread};

/// After an accept that failed, the next waits this long; so does the next try to make room for
/// one.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections are kept after an answer while less than this part of the clients' share is idle.
const IDLE: usize = 3;

/// Answers requests.
pub trait Service: 'static {
    /// Answers one request of a connection. Dropped where the client leaves, and where its time is
    /// up while [`ClientConnection::request`] has not been called.
    fn handle(
        &self,
        request: Request,
        connection: &Rc<ClientConnection>,
    ) -> impl Future<Output = Response<BoxBody>>;
}

/// What a listener shares with its connections.
pub struct Listener<S> {
    service: Rc<S>,
    clock: Clock,
    log: Logger,
    /// The clients' share of the descriptors.
    budget: DescriptorBudget,
    limits: Rc<Cell<ClientLimits>>,
    /// Whether this process serves; where it does not, or no more, answers close their connections.
    serving: watch::Receiver<bool>,
    /// The program is about to end: answers close their connections.
    closing: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// How many have been accepted.
    accepted: Cell<u64>,
    empty: Notify,
    /// Told once, when no new client is to be taken any more.
    pub stop: Notify,
}

impl<S: Service> Listener<S> {
    /// A listener without connections.
    pub fn new(
        service: Rc<S>,
        clock: Clock,
        log: Logger,
        budget: DescriptorBudget,
        limits: ClientLimits,
        serving: watch::Receiver<bool>,
    ) -> Rc<Self> {
        let (closing, connections, accepted, empty, stop) = Default::default();
        let limits = Rc::new(Cell::new(limits));
        Rc::new(Listener {
            service,
            clock,
            log,
            budget,
            limits,
            serving,
            closing,
            connections,
            accepted,
            empty,
            stop,
        })
    }

    /// Changes the limits, of open connections, too.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// Whether answers close their connections. Guards clients that may not open one more against
    /// those that ask once and keep theirs: a connection closed with its answer loses nobody a
    /// request.
    fn crowded(&self) -> bool {
        let (connections, most) = (
            self.connections.borrow(),
            (self.budget.size() / IDLE).max(1),
        );
        let idle = |c: &&Rc<ClientConnection>| c.is_idle_after_answer();
        // The first test spares the count on all but crowded days.
        connections.len() > most && connections.values().filter(idle).count() >= most
    }

    /// Closes a connection that waits for no answer, if there is one. Guards the usual clients
    /// against hundreds of silent ones.
    fn close_oldest(&self) {
        let (connections, now) = (self.connections.borrow(), self.clock.now());
        let idle = connections
            .values()
            .filter(|c| !c.is_asked() && !c.is_read_out());
        if let Some(connection) = idle.min_by_key(|c| c.closing_rank(now)) {
            connection.close();
        }
    }

    /// Accepts until told to stop.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let budget = self.budget.clone();
        let weak = Rc::downgrade(&self);
        budget.on_pressure(move || {
            if let Some(listener) = weak.upgrade() {
                listener.close_oldest();
            }
        });
        let mut serving = self.serving.clone();
        loop {
            // Whoever replaces this process, or is replaced by it, accepts instead.
            if serving.wait_for(|serves| *serves).await.is_err() {
                return;
            }
            // The slot comes first: guards against accepting what could not be served.
            let Some(slot) = budget.take() else {
                // Not for good: guards against a connection picked to be closed that asks just then
                // and stays.
                let _ = tokio::time::timeout(PAUSE, budget.returned()).await;
                continue;
            };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Nobody waits any more: guards those that do against a reset, as the listener is
                // closed here.
                () = self.stop.notified() => {
                    // Tells the next of several that accept for this listener.
                    self.stop.notify_one();
                    return;
                }
                _ = serving.wait_for(|serves| !*serves) => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let number = self.accepted.get() + 1;
                    self.accepted.set(number);
                    let connection = ClientConnection::new(self.clock, Rc::clone(&self.limits));
                    self.connections
                        .borrow_mut()
                        .insert(number, Rc::clone(&connection));
                    let stream = ObservedStream::new(stream, Rc::clone(&connection), slot);
                    actix_rt::spawn(Rc::clone(&self).serve(number, connection, stream));
                    // What it has sent is looked at before the next comes: guards requests in a
                    // crowd of silent connections against being taken for one of them.
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

    async fn serve(
        self: Rc<Self>,
        number: u64,
        connection: Rc<ClientConnection>,
        stream: ObservedStream<Rc<ClientConnection>>,
    ) {
        let listener = Rc::clone(&self);
        let handler = fn_service(move |request: Request| {
            let listener = Rc::clone(&listener);
            async move { Ok::<_, Infallible>(listener.answer(request).await) }
        });
        // No time-outs of actix-http's own: its first would answer 408 on connections opened in
        // advance.
        let service = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(Duration::from_secs(1))
            .on_connect_ext(
                |io: &ObservedStream<Rc<ClientConnection>>, data: &mut Extensions| {
                    drop(data.insert(Rc::clone(&io.observer)))
                },
            )
            .h1(handler);
        let unread = stream.watch_unread();
        if let Ok(service) = service.new_service(()).await {
            let served = service.call((stream, None));
            tokio::pin!(served);
            loop {
                tokio::select! {
                    biased;
                    _ = &mut served => break,
                    // What the connection has not read by now it does not read yet: guards against
                    // clients that leave behind what is no request, or more than is read.
                    unread = unread.next(|| connection.is_request_complete()) => match unread {
                        Unread::Kept => {}
                        Unread::ThrownAway => connection.spoil(),
                        Unread::Ended => break,
                    },
                    // Guards against endless heads and bodies, and against clients that say
                    // nothing.
                    () = tokio::time::sleep_until(self.clock.at(connection.look_at()).into()) => {
                        if connection.is_late() { break }
                    }
                    // actix-http does not drop a handler whose client has left: this does, and what
                    // the handler holds tells the service. Idle connections are closed here too.
                    () = connection.closed() => {
                        let taken = self.is_taken(&connection);
                        // Guards clients whose request is half read against an answer that nothing
                        // more may follow.
                        if connection.is_disconnected() || !taken && connection.has_begun() { break }
                        // It ends by itself then. Guards its last answer, of which bytes may wait
                        // for a slow client.
                        if !taken { connection.stop_reading() }
                    }
                }
            }
        }
        self.connections.borrow_mut().remove(&number);
        if self.connections.borrow().is_empty() {
            self.empty.notify_one();
        }
    }

    /// Whether a connection has a request that is answered before it is closed. Guards one that is
    /// half read as the program ends: its client has the usual time.
    fn is_taken(&self, connection: &ClientConnection) -> bool {
        connection.is_asked() || self.closing.get() && connection.has_begun()
    }

    /// Lets busy connections and requests half read finish and closes idle ones, at once or, to
    /// linger, when they have been silent for as long as any may be; returns when none is left.
    pub async fn finish(&self, linger: bool) {
        self.closing.set(true);
        while !self.connections.borrow().is_empty() {
            if !linger {
                self.connections
                    .borrow()
                    .values()
                    .for_each(|connection| connection.close());
            }
            self.empty.notified().await;
        }
    }

    async fn answer(&self, request: Request) -> Response<AnswerBody> {
        let Some(connection) = request.conn_data::<Rc<ClientConnection>>().map(Rc::clone) else {
            let response =
                Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, "no connection\n");
            return response.map_body(|_, text| AnswerBody {
                body: BoxBody::new(text),
                _in_hand: None,
            });
        };
        let in_hand = connection.take_in_hand();
        let mut response = if head_bytes(&request) > connection.limits().max_header_bytes {
            too_large()
        } else {
            self.service.handle(request, &connection).await
        };
        let serving = *self.serving.borrow();
        if self.closing.get() || connection.is_spoilt() || !serving || self.crowded() {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        connection.note_answered();
        response.map_body(|_, body| AnswerBody {
            body,
            _in_hand: Some(in_hand),
        })
    }
}

/// An answer's body. The request is in hand until it is written.
struct AnswerBody {
    body: BoxBody,
    _in_hand: Option<InHand>,
}

impl MessageBody for AnswerBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Bytes of a request's target and headers, without what stands between them.
fn head_bytes(request: &Request) -> usize {
    let target = request
        .uri()
        .path_and_query()
        .map_or(0, |target| target.as_str().len());
    let headers = request.headers().iter();
    target
        + headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum::<usize>()
}

fn too_large() -> Response<BoxBody> {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let mut response = Response::with_body(status, "the request's head is too long\n");
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.map_into_boxed_body()
}
