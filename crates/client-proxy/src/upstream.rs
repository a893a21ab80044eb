//! Attempts at pay servers. One awc client for each holds its idle connections: dropping it closes
//! them. An attempt is cancelled by dropping its future, connection and all; only then is its end
//! told.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::body::{BodyStream, SizedStream};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use awc::Client;
use bytes::Bytes;
use futures_util::TryStreamExt as _;
use ironmast_balancer::{LoadReport, Micros, Outcome, RequestId, ServerId};
use ironmast_settings::parse_load_report;
use ironmast_transport::attempt::{Admission, AttemptOptions, AttemptState};
use ironmast_transport::body::{
    BodyMemory, MAX_BUFFERED_BODY_BYTES, ResponseBody, StreamedResponseBody,
};
use ironmast_transport::client::client;
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::request_body::RequestBody;
use ironmast_transport::response_validation::ValidatingStream;
use slog::{Logger, warn};
use tokio::sync::{mpsc, oneshot};

use crate::message::{Attempt, AttemptResult, Message, Queue, UpstreamCommand};

/// Pay servers are told this much less than the time left: their answer still has to travel.
const MARGIN: Micros = 2_000;
/// A probe is given up after this.
const PROBE: Duration = Duration::from_millis(250);

/// Who takes nothing new, and since when.
type Retired = Rc<RefCell<BTreeMap<ServerId, Micros>>>;
/// Attempts decided before a server was retired are over after this; it need not be known any
/// longer.
const RETIRED: Micros = 60_000_000;

/// What the settings say of connections.
#[derive(Clone)]
pub(crate) struct Rules {
    /// A connection not up within this failed.
    pub connect: Duration,
    /// Pay servers close connections idle for this long.
    pub keepalive: Duration,
}

/// Of each server: its address, its connections, and when they were last asked for.
type Clients = BTreeMap<ServerId, (SocketAddr, Client, Micros)>;

/// Keeps the connections to pay servers.
pub(crate) struct Upstream {
    rules: Rules,
    clock: Clock,
    log: Logger,
    budget: DescriptorBudget,
    held: BodyMemory,
    queue: Queue,
    clients: Rc<RefCell<Clients>>,
    retired: Retired,
    /// Of each attempt that is out: what ends it, and what it has written.
    out: BTreeMap<(RequestId, u32), (oneshot::Sender<()>, Rc<AttemptState>)>,
}

impl Upstream {
    /// A keeper without connections.
    pub(crate) fn new(
        rules: Rules,
        clock: Clock,
        log: Logger,
        budget: DescriptorBudget,
        held: BodyMemory,
        queue: Queue,
    ) -> Self {
        let clients: Rc<RefCell<Clients>> = Rc::default();
        let idle = Rc::downgrade(&clients);
        // One server's at a time, the longest unused first: guards against opening all of them anew
        // at once.
        budget.on_pressure(move || {
            let Some(clients) = idle.upgrade() else {
                return;
            };
            let mut clients = clients.borrow_mut();
            let longest = clients
                .iter()
                .min_by_key(|(_, c)| c.2)
                .map(|(&server, _)| server);
            longest.and_then(|server| clients.remove(&server));
        });
        let (retired, out) = Default::default();
        Upstream {
            rules,
            clock,
            log,
            budget,
            held,
            queue,
            clients,
            retired,
            out,
        }
    }

    /// Carries out orders until none can come any more.
    pub(crate) async fn run(mut self, mut orders: mpsc::UnboundedReceiver<UpstreamCommand>) {
        while let Some(order) = orders.recv().await {
            match order {
                UpstreamCommand::Send(attempt) => self.send(attempt),
                UpstreamCommand::Cancel(id, number) => drop(self.out.remove(&(id, number))),
                UpstreamCommand::RequestOver(id) => {
                    let begun = |&(of, _): &(RequestId, u32), state: &Rc<AttemptState>| {
                        of != id || state.bytes_written() > 0
                    };
                    self.out.retain(|attempt, out| begun(attempt, &out.1));
                }
                UpstreamCommand::CheckHealth(server, address) => self.probe(server, address),
                UpstreamCommand::CloseIdle(server) => {
                    drop(self.clients.borrow_mut().remove(&server));
                }
                UpstreamCommand::StopSending(server) => {
                    let now = self.clock.now();
                    let mut retired = self.retired.borrow_mut();
                    // Guards against a set that grows with every server that ever left.
                    retired.retain(|_, since| now < *since + RETIRED);
                    retired.insert(server, now);
                    self.clients.borrow_mut().remove(&server);
                }
                UpstreamCommand::ResumeSending(server) => {
                    _ = self.retired.borrow_mut().remove(&server);
                }
            }
        }
    }

    fn client(&self, server: ServerId, address: SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        if clients.get(&server).is_none_or(|c| c.0 != address) {
            // Retired well before the server closes it: guards against a write that crosses that
            // close.
            let idle = self.rules.keepalive / 2;
            let client = client(
                self.budget.clone(),
                self.rules.connect,
                idle,
                ValidatingStream::new,
            );
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
        let (server, retired) = (attempt.server, Rc::clone(&self.retired));
        // Guards rule 3: the drain may be heard between the decision and the first byte.
        let admission: Admission = Box::new(move || !retired.borrow().contains_key(&server));
        // Guards rule 2: a connection that comes up late would carry a repeat past its window.
        let start_deadline = attempt.start_deadline.map(|by| (self.clock, by));
        let options = AttemptOptions {
            admission: Some(admission),
            start_deadline,
            ..AttemptOptions::default()
        };
        let state = AttemptState::new(options);
        self.out
            .insert((attempt.id, attempt.number), (cancel, Rc::clone(&state)));
        let (clock, queue) = (self.clock, self.queue.clone());
        let held = self.held.clone();
        actix_rt::spawn(async move {
            // One turn of the poller first: guards against writing to an idle connection whose
            // close has arrived but has not been looked at, which would be a reset and look like a
            // sick server.
            tokio::task::yield_now().await;
            let (id, number) = (attempt.id, attempt.number);
            let until = clock.at(attempt.deadline).into();
            let call = state.scope(exchange(&client, &attempt, &state, &clock, &held));
            // What loses here is dropped before the end is told, and its connection with it.
            let (outcome, body, load) = tokio::select! {
                biased;
                ended = call => ended.unwrap_or_else(|()| {
                    let outcome = match state.bytes_written() {
                        0 if state.start_timed_out() => Outcome::NotSent,
                        // Nothing written proves that it never ran; a part might be the whole.
                        0 => Outcome::ConnectFailed,
                        _ if state.malformed().is_some() => Outcome::MalformedResponse,
                        _ => Outcome::Reset,
                    };
                    (outcome, nothing(), None)
                }),
                () = state.start_timeout() => (Outcome::NotSent, nothing(), None),
                () = state.response_stalled() => (Outcome::MalformedResponse, nothing(), None),
                _ = cancelled => (Outcome::Cancelled, nothing(), None),
                () = tokio::time::sleep_until(until) => (Outcome::Timeout, nothing(), None),
            };
            let outcome = match attempt.payload.flow() {
                // The client's doing.
                Some(flow) if outcome != Outcome::Ok && flow.is_aborted() => Outcome::Cancelled,
                // Its last byte can't have been written.
                Some(flow) if outcome != Outcome::Cancelled && !flow.is_complete() => {
                    Outcome::ConnectFailed
                }
                _ => outcome,
            };
            queue.send(Message::AttemptEnded(AttemptResult {
                id,
                number,
                outcome,
                body,
                load,
            }));
        });
    }

    fn probe(&self, server: ServerId, address: SocketAddr) {
        let client = self.client(server, address);
        let (clock, queue) = (self.clock, self.queue.clone());
        let log = self.log.clone();
        actix_rt::spawn(async move {
            let sent = clock.now();
            let call = async {
                let call = client.get(format!("http://{address}/stats")).send();
                let mut answer = AttemptState::new(AttemptOptions::default())
                    .scope(call)
                    .await
                    .ok()?;
                let body = answer.body().limit(MAX_BUFFERED_BODY_BYTES).await.ok()?;
                Some((
                    answer.status(),
                    parse_load_report(std::str::from_utf8(&body).unwrap_or("")),
                ))
            };
            let (outcome, load) = match tokio::time::timeout(PROBE, call).await {
                Ok(Some((StatusCode::OK, load))) => (Outcome::Ok, load),
                Ok(Some((status, _))) => {
                    warn!(log, "health check rejected"; "status" => status.as_u16());
                    (Outcome::Overloaded, None)
                }
                Ok(None) => (Outcome::ConnectFailed, None),
                Err(_) => (Outcome::Timeout, None),
            };
            queue.send(Message::HealthCheckEnded {
                server,
                outcome,
                latency: clock.now().saturating_sub(sent),
                load,
            });
        });
    }
}

type End = (Outcome, ResponseBody, Option<LoadReport>);

fn nothing() -> ResponseBody {
    ResponseBody::Buffered(Bytes::new())
}

/// Sends the request and reads the whole answer, or the beginning of a long one; an error where
/// none came.
async fn exchange(
    client: &Client,
    attempt: &Attempt,
    state: &AttemptState,
    clock: &Clock,
    held: &BodyMemory,
) -> Result<End, ()> {
    let sent = &attempt.payload;
    let url = format!("http://{}{}", attempt.address, sent.target);
    let call = if sent.is_safe {
        client.get(url)
    } else {
        client.post(url)
    };
    let value = |bytes: &[u8]| HeaderValue::from_bytes(bytes).map_err(|_| ());
    let mut call = call
        .no_decompress()
        .insert_header(("X-Txn", value(&sent.txn)?));
    if let Some(key) = &sent.idempotency_key {
        call = call.insert_header(("Idempotency-Key", value(key)?));
    }
    // While a body flows its client's time has not begun.
    let left = sent
        .flow()
        .map_or(attempt.deadline.saturating_sub(clock.now()), |_| {
            sent.client_timeout
        });
    call = call.insert_header(("X-Remaining", format!("{}u", left.saturating_sub(MARGIN))));
    let sending = match &sent.body {
        _ if sent.is_safe => call.send(),
        RequestBody::Buffered(body) => call.send_body(body.clone()),
        RequestBody::Streamed(flow) => match flow.length {
            Some(length) => call.send_body(SizedStream::new(length, Rc::clone(flow).stream())),
            None => call.send_body(BodyStream::new(Rc::clone(flow).stream())),
        },
    };
    let mut answer = sending.await.map_err(|_| ())?;
    let (status, load) = (answer.status(), load(answer.headers()));
    let turned = answer
        .headers()
        .get("X-Turned-Away")
        .is_some_and(|v| v.as_bytes() == b"1");
    let outcome = match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned => {
            Outcome::Overloaded
        }
        status if status.is_client_error() => Outcome::ClientError,
        _ => Outcome::ServerError,
    };
    let body = match state.is_streamed() {
        true if outcome == Outcome::Ok => {
            let length = answer
                .headers()
                .get(CONTENT_LENGTH)
                .and_then(|v| v.to_str().ok()?.parse().ok());
            let parts = answer.map_err(|e| io::Error::other(e.to_string()));
            ResponseBody::Streamed(StreamedResponseBody::new(
                length,
                Box::pin(parts),
                held.reserve().await,
            ))
        }
        // Nobody wants it.
        true => nothing(),
        false => ResponseBody::Buffered(
            answer
                .body()
                .limit(MAX_BUFFERED_BODY_BYTES)
                .await
                .map_err(|_| ())?,
        ),
    };
    Ok((outcome, body, load))
}

fn load(headers: &HeaderMap) -> Option<LoadReport> {
    parse_load_report(headers.get("X-Pressure")?.to_str().ok()?)
}
