//! The HTTP/1.1 server for clients, on actix-http. Each connection is served by one task; each
//! request is handed to a [`Service`], whose response is written back.
//!
//! The listener enforces the clients' share of the descriptors: it acquires a permit before it
//! accepts, and closes idle connections when permits run short. Connections are owned by the tasks
//! of the runtime; [`Listener::finish`] waits until all of them have ended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{
    ConnectionType, Extensions, HttpMessage as _, HttpService, KeepAlive, Request, Response,
    StatusCode,
};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use bytes::Bytes;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use crate::clock::Clock;
use crate::connection::{ClientConnection, ClientLimits, RequestInProgress};
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::log_limit::LogLimit;
use crate::observed_stream::{ObservedStream, UnreadBytes, UnreadWatch};

/// Delay after an accept that failed, and between attempts to acquire a descriptor permit.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Responses close their connections once one in this many of the clients' permits is held by an
/// idle connection.
const IDLE_DIVISOR: usize = 3;
/// How long actix-http waits for a client to close its side of a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles requests.
pub trait Service: 'static {
    /// Handles one request of a connection. The future is dropped when the client disconnects, and
    /// when a time limit passes before [`ClientConnection::mark_request_pending`] has been called.
    fn handle(
        &self,
        request: Request,
        connection: &Rc<ClientConnection>,
    ) -> impl Future<Output = Response<BoxBody>>;
}

/// What happens to idle connections at shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnections {
    /// Idle connections are closed at once.
    CloseNow,
    /// Idle connections are closed when their idle timeout passes, so that clients that reuse them
    /// in time are still served.
    KeepUntilTimeout,
}

/// Accepts client connections and serves them. The task of each connection holds a reference to it.
pub struct Listener<S> {
    service: Rc<S>,
    clock: Clock,
    log: Logger,
    /// The clients' share of the descriptors.
    budget: DescriptorBudget,
    limits: Rc<Cell<ClientLimits>>,
    /// Whether this process serves clients; while it does not, responses close their connections.
    serving: watch::Receiver<bool>,
    /// Whether the process is shutting down; while it is, responses close their connections.
    shutting_down: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Number of connections accepted so far. Connections are numbered from 1, in that order.
    accepted_count: Cell<u64>,
    /// Notified when the last connection has ended.
    all_ended: Notify,
    /// Notify it once to stop accepting connections.
    pub stop: Notify,
}

impl<S: Service> Listener<S> {
    /// Creates a listener without connections. Its connections hold permits of `budget`, and `limits`
    /// apply to them; while `serving` is false nothing is accepted.
    pub fn new(
        service: Rc<S>,
        clock: Clock,
        log: Logger,
        budget: DescriptorBudget,
        limits: ClientLimits,
        serving: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Listener {
            service,
            clock,
            log,
            budget,
            limits: Rc::new(Cell::new(limits)),
            serving,
            shutting_down: Cell::default(),
            connections: RefCell::default(),
            accepted_count: Cell::default(),
            all_ended: Notify::default(),
            stop: Notify::default(),
        })
    }

    /// Changes the limits of open and future connections.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// Whether so many connections are idle that each response closes its connection. Otherwise
    /// clients that send one request and keep their connection could prevent others from connecting;
    /// closing a connection with its response loses no request.
    fn has_too_many_idle(&self) -> bool {
        let max_idle = (self.budget.capacity() / IDLE_DIVISOR).max(1);
        let connections = self.connections.borrow();
        let is_idle = |connection: &&Rc<ClientConnection>| connection.is_idle_after_response();
        // The comparison of lengths avoids counting unless there are many connections.
        connections.len() > max_idle && connections.values().filter(is_idle).count() >= max_idle
    }

    /// Closes the idle connection that ranks lowest, if there is one. Otherwise hundreds of silent
    /// clients could use up the descriptors that active clients need.
    fn close_one_idle(&self) {
        let now = self.clock.now();
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| {
            !connection.has_pending_request() && !connection.is_reading_stopped()
        });
        if let Some(connection) = idle.min_by_key(|connection| connection.closing_rank(now)) {
            connection.close();
        }
    }

    /// Accepts connections until [`Listener::stop`] is notified. May run several times at once, each
    /// with a socket of its own.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        self.close_idle_on_pressure();
        let mut serving = self.serving.clone();
        let mut accept_errors = LogLimit::default();
        loop {
            // While this process does not serve, another one shares its address and accepts instead:
            // the one that replaces it, or that it replaces.
            if serving.wait_for(|serves| *serves).await.is_err() {
                return;
            }
            // The permit is acquired first, so that no connection is accepted that cannot be served.
            let Some(permit) = self.budget.try_acquire() else {
                // The wait has a timeout: a connection that was chosen to be closed may send a request
                // at that moment and stay open. The next attempt is the same in either case.
                let _ = tokio::time::timeout(ACCEPT_RETRY_DELAY, self.budget.released()).await;
                continue;
            };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Polled last, when no connection waits to be accepted: closing the socket resets
                // none.
                () = self.stop.notified() => {
                    // Passes the notification on to the next `accept` of this listener.
                    self.stop.notify_one();
                    return;
                }
                _ = serving.wait_for(|serves| !*serves) => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.spawn_connection(stream, permit);
                    // The connection reads what its client has sent before the next one is accepted.
                    // Otherwise a connection with a request could be closed as idle when many silent
                    // connections arrive.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    if let Some(suppressed) = accept_errors.admit(Instant::now()) {
                        warn!(self.log, "cannot accept a connection"; "error" => %error, "suppressed" => suppressed);
                    }
                    // Without a delay this loop would spin while descriptors have run out.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn close_idle_on_pressure(self: &Rc<Self>) {
        let listener = Rc::downgrade(self);
        self.budget.on_pressure(move || {
            if let Some(listener) = listener.upgrade() {
                listener.close_one_idle();
            }
        });
    }

    /// Serves a connection in a task of its own, which ends with the connection.
    fn spawn_connection(self: &Rc<Self>, stream: TcpStream, permit: DescriptorPermit) {
        let number = self.accepted_count.get() + 1;
        self.accepted_count.set(number);
        let connection = ClientConnection::new(self.clock, Rc::clone(&self.limits));
        self.connections
            .borrow_mut()
            .insert(number, Rc::clone(&connection));
        let stream = ObservedStream::new(stream, Rc::clone(&connection), permit);
        actix_rt::spawn(Rc::clone(self).serve(number, connection, stream));
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
            async move { Ok::<_, Infallible>(listener.respond(request).await) }
        });
        // actix-http's own timeouts are off: its request timeout would answer 408 on connections that
        // clients open in advance.
        let service = HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .on_connect_ext(
                |io: &ObservedStream<Rc<ClientConnection>>, data: &mut Extensions| {
                    drop(data.insert(Rc::clone(&io.observer)));
                },
            )
            .h1(handler);
        let unread = stream.watch_unread();
        if let Ok(service) = service.new_service(()).await {
            let served = service.call((stream, None));
            self.drive(&connection, &unread, served).await;
        }
        self.connections.borrow_mut().remove(&number);
        if self.connections.borrow().is_empty() {
            self.all_ended.notify_one();
        }
    }

    /// Drives a connection until it ends by itself, its client disconnects, or a limit passes.
    async fn drive(
        &self,
        connection: &ClientConnection,
        unread: &UnreadWatch,
        served: impl Future,
    ) {
        tokio::pin!(served);
        loop {
            tokio::select! {
                biased;
                _ = &mut served => return,
                // Polled after actix-http, which does not read at present what it has left unread.
                // Reading here detects the disconnect of a client behind bytes that are no request or
                // exceed the read-ahead limit.
                unread = unread.next(|| connection.is_request_complete()) => match unread {
                    UnreadBytes::Kept => {}
                    UnreadBytes::Discarded => connection.record_discarded_input(),
                    UnreadBytes::Ended => return,
                },
                // Enforces the time limits on heads, bodies and idle connections.
                () = tokio::time::sleep_until(self.clock.at(connection.next_check()).into()) => {
                    if connection.is_timed_out() {
                        return;
                    }
                }
                // actix-http does not drop the handler of a client that has disconnected. Returning
                // here drops it, and the values that the handler owns notify the service. Idle
                // connections are closed here, too.
                () = connection.close_requested() => {
                    let is_owed_response = self.is_owed_response(connection);
                    let is_incomplete = !is_owed_response && connection.has_started_request();
                    // A partly received request gets no response: the closed connection tells the
                    // client that nothing has processed it.
                    if connection.is_disconnected() || is_incomplete {
                        return;
                    }
                    // Without input the connection ends once its last response is written, of which
                    // bytes may still wait for a slow client.
                    if !is_owed_response {
                        connection.stop_reading();
                    }
                }
            }
        }
    }

    /// Whether a connection has a request that must be answered before the connection is closed. At
    /// shutdown this includes a partly received request, to which the usual time limits apply.
    fn is_owed_response(&self, connection: &ClientConnection) -> bool {
        let is_receiving_last = self.shutting_down.get() && connection.has_started_request();
        connection.has_pending_request() || is_receiving_last
    }

    /// Shuts down gracefully: lets busy connections and requests that are partly received finish,
    /// and closes idle connections as `idle` says. Returns when no connection is left.
    pub async fn finish(&self, idle: IdleConnections) {
        self.shutting_down.set(true);
        while !self.connections.borrow().is_empty() {
            if idle == IdleConnections::CloseNow {
                self.connections
                    .borrow()
                    .values()
                    .for_each(|connection| connection.close());
            }
            self.all_ended.notified().await;
        }
    }

    async fn respond(&self, request: Request) -> Response<ObservedBody> {
        let Some(connection) = request.conn_data::<Rc<ClientConnection>>().map(Rc::clone) else {
            let response =
                Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, "no connection\n");
            return response.map_body(|_, text| ObservedBody {
                body: BoxBody::new(text),
                _in_progress: None,
            });
        };
        let in_progress = connection.start_request();
        let mut response = if head_bytes(&request) > connection.limits().max_header_bytes {
            head_too_large()
        } else {
            self.service.handle(request, &connection).await
        };
        let serving = *self.serving.borrow();
        if self.shutting_down.get()
            || connection.has_discarded_input()
            || !serving
            || self.has_too_many_idle()
        {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        connection.response_started();
        response.map_body(|_, body| ObservedBody {
            body,
            _in_progress: Some(in_progress),
        })
    }
}

/// A response's body. The request is in progress until the body is written and dropped.
struct ObservedBody {
    body: BoxBody,
    _in_progress: Option<RequestInProgress>,
}

impl MessageBody for ObservedBody {
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

/// Bytes of a request's target and header names and values, without separators.
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

fn head_too_large() -> Response<BoxBody> {
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    let mut response = Response::with_body(status, "the request's head is too long\n");
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.map_into_boxed_body()
}
