//! The events that a balancer handles.

use super::ids::{ClassId, Micros, RequestId, ServerId, TenantId, ZoneId};

/// A request that a client sends to this balancer.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its affinity key.
    pub key: Option<u64>,
    /// Estimated work in microseconds, where the request has a hint.
    pub work_hint: Option<Micros>,
    /// The client marks it as a retry.
    pub client_retry: bool,
    /// Clock reading at which the client gives up.
    pub expires: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error response; may have run.
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
    /// The server rejects the request itself (4xx); so would every other.
    ClientError,
    /// Cancelled; may have run.
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

    /// Whether the outcome says something of the server's load: it is a response, or the lack of one.
    #[must_use]
    pub fn indicates_load(self) -> bool {
        use Outcome::{ConnectFailed, Ok, Overloaded, ServerError, Timeout};
        matches!(
            self,
            Ok | ServerError | Overloaded | Timeout | ConnectFailed
        )
    }
}

/// A server's report of its load; any value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Part of its processor in use.
    pub cpu: Option<f64>,
    /// Requests in progress.
    pub active: Option<f64>,
}

/// The phase of a server's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Finishes its requests; is sent no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its identity.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell: servers that share their record of duplicates.
    pub cell: u64,
    /// Its phase.
    pub phase: Phase,
    /// Its size against the others, see [`Settings::sizes`](super::Settings::sizes).
    pub size: f64,
    /// Clock reading of its latest start, unless that is long ago.
    pub started: Option<Micros>,
}

/// How a listing relates to the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries only.
    Changes,
    /// The complete list: servers that are missing are removed.
    Complete,
    /// The complete list as stored before a restart; possibly stale.
    Cached,
    /// A call failed or the subscription broke; the list stays as it is.
    Failed,
}

/// An update from discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// How to read the entries.
    pub scope: Scope,
    /// The entries.
    pub servers: Vec<Server>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The server of the attempt.
    pub server: ServerId,
    /// The attempt's number: 0, 1, 2 ... in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send, or since the request's last byte if that was sent later.
    pub latency: Micros,
    /// The client has its final answer, from this outcome or earlier.
    pub finished: bool,
    /// The server's load report, when one came along.
    pub load: Option<LoadReport>,
}

/// What happens to a balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived; it gets exactly one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed response started and is forwarded: the attempt cannot be replaced any more. Not
    /// sent by `ironmast run`.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// The last byte of a request arrived that was accepted while its body was still being received:
    /// its client's time counts from now, and no attempt at it has run before.
    RequestComplete {
        /// The request.
        id: RequestId,
        /// Clock reading at which the client gives up.
        expires: Micros,
    },
    /// The client disconnected; nothing more is sent to it.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer asked for by [`Action::Timer`](super::Action::Timer) is due.
    Timer {
        /// The token given with it.
        token: u64,
    },
    /// An update from discovery.
    Members(Listing),
    /// A health check ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// The server's load report, when one came along.
        load: Option<LoadReport>,
    },
    /// A message from another balancer.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
}
