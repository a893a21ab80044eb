//! The events that a balancer handles.

use super::ids::{ClassId, Micros, RequestId, ServerId, TenantId, ZoneId};

/// A request that a client sends to this balancer.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier, never reused by one balancer.
    pub id: RequestId,
    /// Index of the class; a request of an unknown class is rejected.
    pub class: ClassId,
    /// Index of the tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Key of session affinity: requests with the same key prefer the same server.
    pub key: Option<u64>,
    /// Estimated work in microseconds, where the request has a hint.
    pub work_hint: Option<Micros>,
    /// Whether the client marks the request as a retry.
    pub client_retry: bool,
    /// Clock reading at which the client gives up.
    pub expires: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful response.
    Ok,
    /// An error response other than the ones below; may have run.
    ServerError,
    /// Rejected as overloaded: never ran.
    Overloaded,
    /// No response in time; may have run or still run.
    Timeout,
    /// The request was not completely written: no connection, the server stopped accepting, or a
    /// streamed body was incomplete. Never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// The response was malformed or incomplete; may have run. The server is up.
    MalformedResponse,
    /// The server rejects the request as invalid (4xx); so would every other.
    ClientError,
    /// Cancelled before a response arrived; may have run.
    Cancelled,
    /// Never sent: the request had ended, or was out of time or attempts.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// Whether the outcome is evidence of the server's load: a response, or the lack of one.
    #[must_use]
    pub fn indicates_load(self) -> bool {
        use Outcome::{ConnectFailed, Ok, Overloaded, ServerError, Timeout};
        matches!(
            self,
            Ok | ServerError | Overloaded | Timeout | ConnectFailed
        )
    }
}

/// The load that a server reports; any value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the server's processor capacity in use.
    pub cpu: Option<f64>,
    /// Number of requests in progress at the server.
    pub active: Option<f64>,
}

/// The phase of a server's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and is sent no new ones.
    Draining,
    /// The server was removed.
    Gone,
}

/// A server as listed by discovery.
#[derive(Clone, Debug)]
pub struct Server {
    /// Identifier, the same across restarts of the server.
    pub id: ServerId,
    /// Index of the zone; may exceed the configured zones.
    pub zone: ZoneId,
    /// Cell: the servers that share their record of duplicates with this one.
    pub cell: u64,
    /// Phase of the life cycle; only ready servers are sent requests.
    pub phase: Phase,
    /// Size relative to the other servers, see [`Settings::sizes`](super::Settings::sizes).
    pub size: f64,
    /// Clock reading of the latest start, unless that is long ago.
    pub started: Option<Micros>,
}

/// How a listing relates to the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Changes,
    /// The complete list: servers that are missing from it are removed.
    Complete,
    /// The complete list as stored before a restart of the proxy; possibly stale.
    Cached,
    /// A call failed or the subscription broke; the current list stays in use.
    Failed,
}

/// An update from discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Relation of the entries to the current list.
    pub scope: Scope,
    /// Listed servers; not read for [`Scope::Failed`].
    pub servers: Vec<Server>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// Identifier of the request.
    pub id: RequestId,
    /// Server to which the attempt was sent.
    pub server: ServerId,
    /// Number of the attempt: 0, 1, 2 ... in the order of the sends.
    pub attempt: u32,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Time since the send, or since the request's last byte if that was sent later.
    pub latency: Micros,
    /// Whether the client has its final answer, from this outcome or earlier.
    pub finished: bool,
    /// Load report of the server, if the response carried one.
    pub load: Option<LoadReport>,
}

/// An event that a balancer handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived; the client gets exactly one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed response started and is forwarded: the request cannot be retried any more. Not sent
    /// by `ironmast run`.
    ResponseStarted {
        /// Identifier of the request.
        id: RequestId,
        /// Number of the attempt at the request, from 0.
        attempt: u32,
    },
    /// The last byte of a request arrived that was accepted while its body was still being received.
    /// The client's time counts from now, and no attempt at the request has run before.
    RequestComplete {
        /// Identifier of the request.
        id: RequestId,
        /// Clock reading at which the client gives up.
        expires: Micros,
    },
    /// The client disconnected; the request gets no answer and no further attempt.
    ClientDisconnected {
        /// Identifier of the request.
        id: RequestId,
    },
    /// A timer requested by [`Action::Timer`](super::Action::Timer) is due.
    Timer {
        /// Token of the timer's action.
        token: u64,
    },
    /// An update from discovery.
    Members(Listing),
    /// A health check ended.
    ProbeEnded {
        /// Server that was checked.
        server: ServerId,
        /// Result of the health check.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// Load report of the server, if the answer carried one.
        load: Option<LoadReport>,
    },
    /// A message from another balancer.
    PeerMessage {
        /// Index of the sender among the balancers.
        from: u32,
        /// Encoded message.
        data: Vec<u8>,
    },
}
