//! The messages between the tasks that own sockets and the driver.
//!
//! Messages contain no types of an HTTP library, so that a listener for another protocol could send
//! them too. All go through unbounded channels, because the driver must never wait for a socket;
//! the number of connections bounds the number of open requests.

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

/// Identifier of a request in messages between the listener and the driver.
pub(crate) type Ticket = u64;

/// Parts of a request that are forwarded to a server unchanged.
#[derive(Debug)]
pub(crate) struct Payload {
    /// Whether the method is safe: the request may be retried freely, and has no body.
    pub is_safe: bool,
    /// Path and query, unchanged.
    pub target: String,
    /// Transaction ID that the client assigned to the request (`X-Txn`).
    pub txn: Vec<u8>,
    /// Key by which servers drop duplicates (`Idempotency-Key`).
    pub idempotency_key: Option<Vec<u8>>,
    /// Body, unchanged.
    pub body: RequestBody,
    /// How long the client waits, in µs, counted from the last byte of the request.
    pub client_timeout: Micros,
}

impl Payload {
    /// Returns the body if it is streamed rather than buffered.
    pub(crate) fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            RequestBody::Streamed(body) => Some(body),
            RequestBody::Buffered(_) => None,
        }
    }
}

/// Report of a request that has arrived.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// Ticket by which later messages refer to the request.
    pub ticket: Ticket,
    /// Request class.
    pub class: ClassId,
    /// Tenant that sent the request, if it is configured.
    pub tenant: Option<TenantId>,
    /// Hash of the subject, for session affinity.
    pub subject: Option<u64>,
    /// Whether the client marks the request as a retry.
    pub client_retry: bool,
    /// Clock reading at which the client stops waiting.
    pub expires: Micros,
    /// Parts of the request that are forwarded to a server.
    pub payload: Rc<Payload>,
    /// Sender of the final response.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Response that ends a request; each request gets exactly one.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// A server's response, unchanged.
    Served(ResponseBody),
    /// The request was not executed, so a retry is safe, after this delay in µs if there is one.
    Rejected(Option<Micros>),
    /// The request failed and may have been executed.
    Failed,
}

/// One attempt at a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Request to which the attempt belongs.
    pub id: RequestId,
    /// Number of the attempt within its request, from 0 in the order of sending.
    pub number: u32,
    /// Server that gets the attempt.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Clock reading at which the attempt times out.
    pub deadline: Micros,
    /// Clock reading from which on the first byte must not be written any more.
    pub start_deadline: Option<Micros>,
    /// Request to send.
    pub payload: Rc<Payload>,
}

/// Result of an attempt. Its connection is closed or idle by then, unless it still carries a
/// streamed response.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    /// Request to which the attempt belonged.
    pub id: RequestId,
    /// Number of the attempt within its request.
    pub number: u32,
    /// Outcome, which tells whether the request may have been executed.
    pub outcome: Outcome,
    /// Body of the response; sent to the client only if the request was served.
    pub body: ResponseBody,
    /// Load report of the server, if it sent one.
    pub load: Option<LoadReport>,
}

/// A message to the driver.
#[derive(Debug)]
pub(crate) enum Message {
    /// A request has arrived.
    RequestArrived(Arrival),
    /// The last byte of a streamed request body has arrived.
    RequestComplete(Ticket),
    /// The client of a request disconnected before its response.
    ClientDisconnected(Ticket),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A health check has ended.
    HealthCheckEnded {
        /// Server that was checked.
        server: ServerId,
        /// Whether the server responded, and how.
        outcome: Outcome,
        /// Duration of the health check, in µs.
        latency: Micros,
        /// Load report of the server, if it sent one.
        load: Option<LoadReport>,
    },
    /// Discovery received an update of the endpoint list.
    EndpointsUpdated(EndpointUpdate),
    /// A datagram of the decision module arrived from a peer.
    PeerDatagram {
        /// Index of the peer in the configured list of proxies.
        from: u32,
        /// Contents of the datagram.
        data: Vec<u8>,
    },
}

/// A message to the driver that is handled before all messages of the ordinary queue.
#[derive(Debug)]
pub(crate) enum PriorityMessage {
    /// An operator's command and the sender of its reply.
    Command(Command, oneshot::Sender<Reply>),
    /// An operator's command at the other process of a hot restart changed this override.
    PartnerOverride(ServerOverride),
    /// Leave the servers that are warming up to the successor.
    DelegateWarmUp,
    /// Resume sending to servers that are warming up, because no successor does.
    ResumeWarmUp,
    /// Return the state to be handed over to a successor.
    DescribeState(oneshot::Sender<HandoverState>),
}

/// The state that a process hands over to its successor.
#[derive(Clone, Debug)]
pub(crate) struct HandoverState {
    /// Operators' overrides of servers.
    pub overrides: OverrideState,
    /// Last endpoint list received, in the format of the discovery service.
    pub endpoints: Option<Value>,
}

/// A command to the task that owns the connections to servers.
#[derive(Debug)]
pub(crate) enum UpstreamCommand {
    /// Send an attempt.
    Send(Attempt),
    /// Cancel an attempt, by request and number.
    Cancel(RequestId, u32),
    /// Cancel the attempts at a request of which no byte has been written, because the request has
    /// its response or its client has disconnected.
    CancelUnstarted(RequestId),
    /// Check the health of a server.
    CheckHealth(ServerId, SocketAddr),
    /// Close the idle connections to a server and drop its client.
    CloseIdle(ServerId),
    /// Write no more requests to a server, because it is draining, disabled, delegated to the
    /// successor or no longer listed.
    StopSending(ServerId),
    /// Allow requests to a server again.
    ResumeSending(ServerId),
}

/// A command to discovery.
#[derive(Debug)]
pub(crate) enum DiscoveryCommand {
    /// Start watching the endpoint list.
    StartWatching,
    /// Stop watching the endpoint list.
    StopWatching,
    /// Fetch the complete endpoint list once.
    FetchAll,
    /// Use this address of the discovery service from now on.
    ChangeAddress(SocketAddr),
}

/// A datagram to be sent to peers.
#[derive(Debug)]
pub(crate) struct PeerMessage {
    /// Index of the peer in the configured list of proxies, or `None` for all peers.
    pub to: Option<u32>,
    /// Contents of the datagram.
    pub data: Vec<u8>,
}

/// Sender of the driver's queue, which also issues tickets. Clones share both.
#[derive(Clone)]
pub(crate) struct Queue {
    sender: mpsc::UnboundedSender<Message>,
    last_ticket: Rc<Cell<Ticket>>,
}

impl Queue {
    /// Creates a queue; returns its sender and receiver.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let queue = Queue {
            sender,
            last_ticket: Rc::default(),
        };
        (queue, receiver)
    }

    /// Issues a ticket that no other request of this process has.
    pub(crate) fn ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Sends a message to the driver.
    pub(crate) fn send(&self, message: Message) {
        // Fails only if the driver has ended; the process then exits too.
        let _ = self.sender.send(message);
    }
}
