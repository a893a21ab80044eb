//! What socket code and the driver say to each other. No word of HTTP here: a second protocol says
//! the same.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_admin::command::{Command, Reply};
use ironmast_admin::endpoint::EndpointUpdate;
use ironmast_admin::overrides::{OverrideState, ServerOverride};
use ironmast_balancer::{ClassId, LoadReport, Micros, Outcome, RequestId, ServerId, TenantId};
use ironmast_transport::body::{ResponseBody, StreamedRequestBody};
pub(crate) use ironmast_transport::request_body::RequestBody as Sent;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

/// Names one request on its way from a listener to the driver.
pub(crate) type Ticket = u64;

/// What a pay server needs of a request, passed through unchanged.
#[derive(Debug)]
pub(crate) struct Payload {
    /// True where the request may be repeated freely (it then has no body).
    pub safe: bool,
    /// Path and query, byte for byte.
    pub target: String,
    /// The client's name for the request.
    pub txn: Vec<u8>,
    /// The key under which repeats are dropped.
    pub key: Option<Vec<u8>>,
    /// The body, byte for byte.
    pub body: Sent,
    /// How long the client waits, from the request's last byte on.
    pub left: Micros,
}

impl Payload {
    /// The body's flow, where it is not held whole from the start.
    pub(crate) fn flow(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            Sent::Streamed(flow) => Some(flow),
            Sent::Buffered(_) => None,
        }
    }
}

/// A request that a client handed over.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// Its name in the queue.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// What it is about.
    pub subject: Option<u64>,
    /// The client says that it is trying again.
    pub client_retry: bool,
    /// Clock reading at which the client gives up.
    pub expires: Micros,
    /// What goes to the pay server.
    pub payload: Rc<Payload>,
    /// Where the one final answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// A pay server's answer, unchanged.
    Served(ResponseBody),
    /// Refused: trying again is harmless, after a while at best.
    Refused(Option<Micros>),
    /// Failed, with no promise about effects.
    Failed,
}

/// One attempt at a request, for the pay server named.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The request, and the attempt's number.
    pub id: RequestId,
    /// 0, 1, 2 ... in the order of the sends.
    pub number: u32,
    /// The pay server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Clock reading at which waiting ends.
    pub until: Micros,
    /// Clock reading from which on it must not begin any more.
    pub begin_by: Option<Micros>,
    /// What to send.
    pub payload: Rc<Payload>,
}

/// How an attempt ended; its connection is given up or idle again by then.
#[derive(Debug)]
pub(crate) struct Ended {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer's body, where it was served.
    pub body: ResponseBody,
    /// The load report, when one came along.
    pub load: Option<LoadReport>,
}

/// To the driver.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request arrived.
    Arrived(Arrival),
    /// The last byte of a request's body has come.
    Whole(Ticket),
    /// The client of a request left before its answer.
    Left(Ticket),
    /// An attempt ended.
    Ended(Ended),
    /// A probe ended: of whom, how, after how long, with which report.
    Probed(ServerId, Outcome, Micros, Option<LoadReport>),
    /// News from discovery.
    Listed(EndpointUpdate),
    /// A datagram from the peer of that number.
    Peer(u32, Vec<u8>),
}

/// To the driver, ahead of all that is in the queue.
#[derive(Debug)]
pub(crate) enum Urgent {
    /// An operator called.
    Called(Command, oneshot::Sender<Reply>),
    /// The other process of a replacement was called for this server.
    Adopted(ServerOverride),
    /// Whether cold servers are left to a successor.
    LeaveCold(bool),
    /// A successor asks for the admin state and the list.
    Describe(oneshot::Sender<(OverrideState, Option<Value>)>),
}

/// To the keeper of the connections to pay servers.
#[derive(Debug)]
pub(crate) enum Order {
    /// Begin an attempt.
    Send(Attempt),
    /// Stop waiting for one.
    Cancel(RequestId, u32),
    /// The request is over, answered or left by its client: attempts at it that have not begun
    /// don't begin.
    Over(RequestId),
    /// Probe a pay server.
    Probe(ServerId, SocketAddr),
    /// Close the idle connections to it.
    CloseIdle(ServerId),
    /// It drains or is gone: write no request to it any more.
    Retire(ServerId),
    /// It takes requests again.
    Admit(ServerId),
}

/// To discovery.
#[derive(Debug)]
pub(crate) enum Ask {
    /// Begin (or end) watching.
    Watch(bool),
    /// Fetch the whole list once.
    All,
    /// Discovery listens there now.
    Move(SocketAddr),
}

/// To the peers: one of them, or all.
pub(crate) type Tell = (Option<u32>, Vec<u8>);

/// The way to the driver, shared by all that feed it.
#[derive(Clone)]
pub(crate) struct Queue {
    to: mpsc::UnboundedSender<Message>,
    tickets: Rc<Cell<Ticket>>,
}

impl Queue {
    /// A queue and the end the driver reads.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (to, from) = mpsc::unbounded_channel();
        (
            Queue {
                to,
                tickets: Rc::default(),
            },
            from,
        )
    }

    /// A ticket nobody else holds.
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    /// Says something to the driver. It outlives all that speak to it, so nothing is lost.
    pub(crate) fn say(&self, message: Message) {
        let _ = self.to.send(message);
    }
}
