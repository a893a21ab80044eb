//! The messages between the tasks that own sockets and the driver.
//!
//! They use no type of an HTTP library, so that another protocol could send the same ones. All of them go through
//! unbounded channels: the driver must never wait for a socket, and the number of open requests is
//! bounded by the number of connections.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_admin::command::{Command, Reply};
use ironmast_admin::endpoint::EndpointUpdate;
use ironmast_admin::overrides::{OverrideState, ServerOverride};
use ironmast_balancer::{ClassId, LoadReport, Micros, Outcome, RequestId, ServerId, TenantId};
use ironmast_transport::body::{ResponseBody, StreamedRequestBody};
use ironmast_transport::request_body::RequestBody;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

/// Identifies a request between the listener and the driver.
pub(crate) type Ticket = u64;

/// What a server gets of a request, unchanged.
#[derive(Debug)]
pub(crate) struct Payload {
    /// Whether the method is safe: the request may be retried freely, and has no body.
    pub is_safe: bool,
    /// Path and query, byte for byte.
    pub target: String,
    /// The client's name for the request.
    pub txn: Vec<u8>,
    /// The key by which servers drop duplicates.
    pub idempotency_key: Option<Vec<u8>>,
    /// The body, byte for byte.
    pub body: RequestBody,
    /// How long the client waits from the last byte of the request on.
    pub client_timeout: Micros,
}

impl Payload {
    /// The body, if it is streamed rather than buffered.
    pub(crate) fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            RequestBody::Streamed(body) => Some(body),
            RequestBody::Buffered(_) => None,
        }
    }
}

/// A request that has arrived.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// The hash of its subject, for affinity.
    pub subject: Option<u64>,
    /// Whether the client says that this is a retry.
    pub client_retry: bool,
    /// The clock reading at which the client gives up.
    pub expires: Micros,
    /// What a server gets of it.
    pub payload: Rc<Payload>,
    /// Where the final response goes.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// The only response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// A server's response, unchanged.
    Served(ResponseBody),
    /// The request was not executed: a retry is harmless, after this delay if there is one.
    Rejected(Option<Micros>),
    /// The request failed and may have been executed.
    Failed,
}

/// One attempt at a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0 in the order of sending.
    pub number: u32,
    /// The server.
    pub server: ServerId,
    /// The address of the server.
    pub address: SocketAddr,
    /// The clock reading at which the attempt times out.
    pub deadline: Micros,
    /// The clock reading from which on it must not be started any more.
    pub start_deadline: Option<Micros>,
    /// What to send.
    pub payload: Rc<Payload>,
}

/// How an attempt ended; its connection is closed or idle by then.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub number: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The body of the response, if the request was served.
    pub body: ResponseBody,
    /// The server's load report, if it sent one.
    pub load: Option<LoadReport>,
}

/// A message to the driver.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived.
    RequestArrived(Arrival),
    /// The last byte of a request's body has arrived.
    RequestComplete(Ticket),
    /// The client of a request disconnected before its response.
    ClientDisconnected(Ticket),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A health check has ended.
    HealthCheckEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The server's load report, if it sent one.
        load: Option<LoadReport>,
    },
    /// Discovery has an update of the endpoints.
    EndpointsUpdated(EndpointUpdate),
    /// A datagram of a peer.
    PeerDatagram {
        /// The number of the peer.
        from: u32,
        /// The datagram.
        data: Vec<u8>,
    },
}

/// A message to the driver that is handled before all that are in the queue.
#[derive(Debug)]
pub(crate) enum PriorityMessage {
    /// An operator's command.
    Command(Command, oneshot::Sender<Reply>),
    /// The other process of a hot restart got a command that changed this override.
    PartnerOverride(ServerOverride),
    /// Leave servers that are warming up to a successor.
    DelegateWarmUp,
    /// Use servers that are warming up, because no successor does.
    ResumeWarmUp,
    /// A successor needs the state that is handed over.
    DescribeState(oneshot::Sender<HandoverState>),
}

/// The state that a process hands over to its successor.
#[derive(Clone, Debug)]
pub(crate) struct HandoverState {
    /// The operators' overrides.
    pub overrides: OverrideState,
    /// The last endpoint list of discovery, in discovery's form.
    pub endpoints: Option<Value>,
}

/// A command to the task that owns the connections to servers.
#[derive(Debug)]
pub(crate) enum UpstreamCommand {
    /// Start an attempt.
    Send(Attempt),
    /// Cancel an attempt, by request and number.
    Cancel(RequestId, u32),
    /// The request has its response, or its client has disconnected: attempts that have not
    /// started must not start.
    CancelUnstarted(RequestId),
    /// Check the health of a server.
    CheckHealth(ServerId, SocketAddr),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// The server is draining, disabled, delegated or no longer listed: no request may be written to
    /// it any more.
    StopSending(ServerId),
    /// The server accepts requests again.
    ResumeSending(ServerId),
}

/// A command to discovery.
#[derive(Debug)]
pub(crate) enum DiscoveryCommand {
    /// Start watching.
    StartWatching,
    /// Stop watching.
    StopWatching,
    /// Fetch the complete list once.
    FetchAll,
    /// Discovery has a new address.
    ChangeAddress(SocketAddr),
}

/// A message to the peers.
#[derive(Debug)]
pub(crate) struct PeerMessage {
    /// The number of the peer, or `None` for all.
    pub to: Option<u32>,
    /// The datagram.
    pub data: Vec<u8>,
}

/// The sending half of the driver's queue.
#[derive(Clone)]
pub(crate) struct Queue {
    sender: mpsc::UnboundedSender<Message>,
    last_ticket: Rc<Cell<Ticket>>,
}

impl Queue {
    /// Both halves of a queue.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let queue = Queue {
            sender,
            last_ticket: Rc::default(),
        };
        (queue, receiver)
    }

    /// A new ticket.
    pub(crate) fn ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Sends a message to the driver.
    pub(crate) fn send(&self, message: Message) {
        // Fails only if the driver has ended, and then the process ends as well.
        let _ = self.sender.send(message);
    }
}
