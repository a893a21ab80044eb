//! The side of the client: a request is checked, queued, and answered when the driver says so. Its
//! connection is kept by `ironmast_transport::listener`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::{ALLOW, CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt as _;
use ironmast_admin::handover;
use ironmast_balancer::{Effect, Micros};
use ironmast_settings::DeploymentSettings;
use ironmast_transport::body::{BodyMemory, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, ResponseBody};
use ironmast_transport::clock::Clock;
use ironmast_transport::connection::{ClientConnection, ClientLimits};
use ironmast_transport::listener::Service;
use ironmast_transport::request_body::{self, RequestBody};
use tokio::sync::oneshot;

use crate::hot_restart::partners::Partners;
use crate::message::{Arrival, FinalResponse, Message, Payload, Queue, Ticket};

/// Half a request is owed an end within 3 s: one that has not come whole by then must have kept the
/// agreed pace. One that has been answered may stay for 2 s at least.
const PATIENCE: Micros = 2_200_000;
/// A body that flows is given up after this, whatever its client's pace.
const FLOWS_MOST: Micros = 600_000_000;

/// What clients may send, and how long they may take. The length of a head is bounded by
/// actix-http.
pub(crate) const LIMITS: ClientLimits = ClientLimits {
    header_timeout: PATIENCE,
    idle_timeout: PATIENCE,
    max_header_bytes: usize::MAX,
    max_body_bytes: MAX_BODY_BYTES,
};

/// What all requests share.
pub(crate) struct Front {
    /// The settings' names and classes.
    setup: DeploymentSettings,
    /// The time.
    clock: Clock,
    /// To the driver.
    queue: Queue,
    /// A list of servers is held.
    ready: Rc<Cell<bool>>,
    /// What is held of bodies.
    held: BodyMemory,
    /// Hears which requests are open, where it is about to take over.
    partners: Rc<Partners>,
    /// The requests that wait for an answer, by the client's name for them.
    open: RefCell<BTreeSet<String>>,
    /// Those that wait at the process before this, as it tells.
    elsewhere: RefCell<BTreeSet<String>>,
}

impl Service for Front {
    async fn handle(
        &self,
        mut request: Request,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        match self.check(&mut request, connection).await {
            Ok((class, arrival)) => self.ask(class, arrival, connection).await,
            Err(mut response) => {
                // Guards against bodies not read, which would be taken for the next request, and
                // against clients that send the same again at full speed.
                if response.status().is_client_error() {
                    response
                        .head_mut()
                        .set_connection_type(ConnectionType::Close);
                }
                response
            }
        }
    }
}

impl Front {
    /// A front without requests.
    pub(crate) fn new(
        setup: DeploymentSettings,
        clock: Clock,
        queue: Queue,
        ready: Rc<Cell<bool>>,
        held: BodyMemory,
        partners: Rc<Partners>,
    ) -> Rc<Self> {
        let (open, elsewhere) = Default::default();
        Rc::new(Front {
            setup,
            clock,
            queue,
            ready,
            held,
            partners,
            open,
            elsewhere,
        })
    }

    /// Tells a successor which requests are open here.
    pub(crate) fn tell_open(&self) {
        self.open.borrow().iter().for_each(|txn| {
            self.partners
                .send_to_successor(handover::Message::Opened(txn.clone()));
        });
    }

    /// Answers the predecessor's claim of a name: granted where it is open in neither process, and
    /// then counted as open there.
    pub(crate) fn grant(&self, txn: &str) -> bool {
        let free = !self.open.borrow().contains(txn);
        free && self.elsewhere.borrow_mut().insert(txn.to_string())
    }

    /// Notes that a request is open at the process before this, or not any more.
    pub(crate) fn note_elsewhere(&self, txn: String, open: bool) {
        let mut elsewhere = self.elsewhere.borrow_mut();
        if open {
            elsewhere.insert(txn)
        } else {
            elsewhere.remove(&txn)
        };
    }

    /// Nobody else serves any more.
    pub(crate) fn forget_elsewhere(&self) {
        self.elsewhere.borrow_mut().clear();
    }

    /// Finds everything that can be wrong with a request, before the decision module gets it.
    #[expect(
        clippy::too_many_lines,
        reason = "one check after the other, in the order of the protocol"
    )]
    async fn check(
        &self,
        request: &mut Request,
        connection: &Rc<ClientConnection>,
    ) -> Result<(usize, Checked), Response<BoxBody>> {
        let plain = |status: StatusCode, text: &'static str| {
            Err(Response::with_body(status, text).map_into_boxed_body())
        };
        if request.path() == "/health/ready" {
            return match (request.method() == Method::GET, self.ready.get()) {
                (false, _) => Err(not_allowed("GET")),
                (true, true) => plain(StatusCode::OK, "ready\n"),
                (true, false) => plain(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no list of servers is held\n",
                ),
            };
        }
        let first = request
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or("");
        let Some(class) = self.setup.classes.iter().position(|c| c == first) else {
            return plain(StatusCode::NOT_FOUND, "no such class\n");
        };
        let settings = &self.setup.settings.classes[class];
        let safe = settings.effect == Effect::Idempotent;
        let method = if safe { Method::GET } else { Method::POST };
        if *request.method() != method {
            return Err(not_allowed(if safe { "GET" } else { "POST" }));
        }
        let header = |name: &str| request.headers().get(name).map(HeaderValue::as_bytes);
        let Some(txn) = header("X-Txn")
            .filter(|v| !v.is_empty())
            .map(<[u8]>::to_vec)
        else {
            return plain(StatusCode::BAD_REQUEST, "X-Txn is missing\n");
        };
        let key = header("Idempotency-Key").map(<[u8]>::to_vec);
        if matches!(settings.effect, Effect::Deduplicated { .. }) && key.is_none() {
            return plain(StatusCode::BAD_REQUEST, "Idempotency-Key is missing\n");
        }
        let left = match header("X-Remaining").map(remaining) {
            None => settings.deadline,
            Some(Some(left)) => left,
            Some(None) => return plain(StatusCode::BAD_REQUEST, "X-Remaining is malformed\n"),
        };
        let org = header("X-Org");
        let tenant = self
            .setup
            .tenants
            .iter()
            .position(|t| org == Some(t.as_bytes()));
        let client_retry = header("X-Resent") == Some(b"1");
        let announced: Option<u64> =
            header(CONTENT_LENGTH.as_str()).and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        if announced.is_some_and(|length| length > MAX_BODY_BYTES as u64) {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 32 MB\n");
        }
        let query = request.uri().query().unwrap_or("");
        let subject = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("k=")?.parse().ok());
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_string();
        let ticket = self.queue.ticket();
        let (queue, payload) = (self.queue.clone(), request.take_payload());
        let whole = move || queue.send(Message::RequestComplete(ticket));
        let read = request_body::read(
            payload,
            announced,
            MAX_BUFFERED_BODY_BYTES,
            &self.held,
            connection,
            whole,
        );
        let Ok(body) = read.await else {
            return plain(StatusCode::BAD_REQUEST, "the body is incomplete\n");
        };
        let expires = self.clock.now()
            + left
            + if matches!(body, RequestBody::Buffered(_)) {
                0
            } else {
                FLOWS_MOST
            };
        let payload = Rc::new(Payload {
            is_safe: safe,
            target,
            txn,
            idempotency_key: key,
            body,
            client_timeout: left,
        });
        Ok((
            class,
            Checked {
                ticket,
                tenant,
                subject,
                client_retry,
                expires,
                payload,
            },
        ))
    }

    /// Hands a request to the driver and waits for its answer.
    async fn ask(
        &self,
        class: usize,
        checked: Checked,
        connection: &Rc<ClientConnection>,
    ) -> Response<BoxBody> {
        let active = connection.request();
        let Checked {
            ticket,
            tenant,
            subject,
            client_retry,
            expires,
            payload,
        } = checked;
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
            None => self
                .partners
                .send_to_successor(handover::Message::Opened(named.txn.clone())),
        }
        let (reply, answer) = oneshot::channel();
        let flow = payload.streamed_body().cloned();
        active.set_fully_received(flow.is_none());
        let arrival = Arrival {
            ticket,
            class,
            tenant,
            subject,
            client_retry,
            expires,
            payload,
            reply,
        };
        self.queue.send(Message::RequestArrived(arrival));
        let mut waiting = Waiting {
            ticket,
            named,
            answered: false,
        };
        let broken = async {
            match &flow {
                Some(flow) => flow.aborted().await,
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
            Ok(FinalResponse::Served(ResponseBody::Buffered(body))) => {
                Response::with_body(StatusCode::OK, body).map_into_boxed_body()
            }
            Ok(FinalResponse::Served(ResponseBody::Streamed(body))) => {
                let length = body.length;
                // The connection is busy for as long as the answer flows.
                let body = body.inspect(move |_| _ = &active);
                match length {
                    Some(length) => {
                        Response::with_body(StatusCode::OK, SizedStream::new(length, body))
                            .map_into_boxed_body()
                    }
                    None => Response::with_body(StatusCode::OK, BodyStream::new(body))
                        .map_into_boxed_body(),
                }
            }
            Ok(FinalResponse::Rejected(after)) => {
                let body = Bytes::from_static(b"refused\n");
                let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body);
                if let Some(after) = after.filter(|&after| after > 0) {
                    let seconds = format!("{:.3}", after as f64 / 1e6);
                    let value = HeaderValue::from_str(&seconds).expect("digits and a point");
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
                response.map_into_boxed_body()
            }
            Ok(FinalResponse::Failed) | Err(_) => {
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

/// A request at the driver: dropped unanswered, its client has left.
struct Waiting<'a> {
    ticket: Ticket,
    named: Named<'a>,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.named
                .front
                .queue
                .send(Message::ClientDisconnected(self.ticket));
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
        self.front
            .partners
            .send_to_successor(handover::Message::Closed(self.txn.clone()));
    }
}

/// The answer where a request of that name is open in this process or the other.
fn conflict() -> Response<BoxBody> {
    let mut response =
        Response::with_body(StatusCode::CONFLICT, "a request of that X-Txn is open\n");
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response.map_into_boxed_body()
}

/// A client's name for a request, as the processes of a replacement write it.
fn hex(txn: &[u8]) -> String {
    txn.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn not_allowed(method: &'static str) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(method));
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
    let number: Micros = std::str::from_utf8(number)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()?;
    number
        .checked_mul(scale)
        .filter(|&left| left < 1_000_000_000_000)
}
