//! What a gate tells the decisions, and what it is told to do.

use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_balancer::Micros;

use crate::outlier::EjectionCause;

/// A server as the decider knows it; a later server never has the same handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerHandle {
    pub(crate) slot: u32,
    pub(crate) incarnation: u32,
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt: 1, 2, ...
    pub attempt: u32,
    /// The server, for reports.
    pub server: ServerHandle,
    /// Where it listens.
    pub address: SocketAddr,
    /// The value of `X-Ironmast-Expect-Instance`.
    pub expect_instance: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// It is warming_up: a permit was taken, or is to be taken when the request is written; see
    /// [`Permits`](crate::Permits).
    pub warming_up: bool,
    /// It is in another region than the gate.
    pub crosses_region: bool,
    /// The value of the `Priority` header, 0 to 9.
    pub priority: u8,
    /// Time until the attempt is to be ended: what is left of the client's deadline and the route's
    /// time-out.
    pub timeout: Micros,
    /// The same in milliseconds, the value of `X-Ironmast-Deadline-Ms`.
    pub deadline_ms: u64,
    /// The stream is to be taken up after this event (`Last-Event-Id`).
    pub resume_after: Option<u64>,
    /// When to ask [`Decider::check_progress`](crate::Decider::check_progress) if nothing has come;
    /// `None` where it can do nothing.
    pub check_at: Option<Micros>,
}

/// RejectionStatus of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionStatus {
    /// 429: more urgent requests have what room there is.
    TooManyRequests,
    /// 503: no server is usable, or all are full.
    Unavailable,
}

impl RejectionStatus {
    /// The code on the wire.
    pub fn code(self) -> u16 {
        match self {
            RejectionStatus::TooManyRequests => 429,
            RejectionStatus::Unavailable => 503,
        }
    }
}

/// The request has not run and never will; the client is told when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status.
    pub status: RejectionStatus,
    /// When it is of use to come back, from now.
    pub retry_after: Micros,
}

impl Rejection {
    /// The value of `Retry-After`: seconds with a fraction.
    pub fn retry_after_seconds(&self) -> String {
        format!("{:.3}", self.retry_after as f64 / 1e6)
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it; the end goes to [`Decider::attempt_finished`](crate::Decider::attempt_finished).
    Send(Dispatch),
    /// Nothing can be done yet: ask [`Decider::resume`](crate::Decider::resume) at that clock
    /// reading.
    Delay {
        /// The clock reading.
        until: Micros,
    },
    /// Final: it has not run.
    Reject(Rejection),
    /// Final: pass the server's own answer on.
    ForwardResponse,
    /// Final: an answer of the gate's own that promises nothing.
    Fail {
        /// 502 or 504.
        status: u16,
    },
    /// Final: end the answer so that it does not look whole.
    AbortResponse,
    /// Final: nothing is left to be done.
    Finished,
}

impl Decision {
    /// True where the request needs no further decision.
    pub fn is_final(&self) -> bool {
        !matches!(self, Decision::Send(_) | Decision::Delay { .. })
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer that counts as served.
    Success,
    /// The server found fault with the request (4xx without a promise); it has its answer.
    ClientError,
    /// A 5xx of the server that counts as run.
    ServerError,
    /// `X-Ironmast-Not-Executed`: full, or out of time in its queue.
    NotExecuted {
        /// The server's `Retry-After`, if it gave one.
        retry_after: Option<Micros>,
    },
    /// 421 for the instance: the server at this address is another one.
    WrongInstance,
    /// 421 for the version: the server is there, its weights are of another version.
    WrongVersion,
    /// No connection came up.
    ConnectFailed,
    /// The connection ended before a byte of the request was written.
    NotSent,
    /// The connection broke before the head of an answer.
    Reset,
    /// Bytes that are not an answer to this request, before a head was passed on.
    MalformedResponse,
    /// No answer in time.
    Timeout,
    /// The answer broke after its head was passed on.
    Truncated {
        /// The last whole event that was passed on.
        last_event: Option<u64>,
    },
    /// The client left.
    Cancelled,
}

impl Outcome {
    /// True where the server did not run the request and never will.
    pub fn never_executed(&self) -> bool {
        use Outcome::{ConnectFailed, NotExecuted, NotSent, WrongInstance, WrongVersion};
        matches!(
            self,
            NotExecuted { .. } | WrongInstance | WrongVersion | ConnectFailed | NotSent
        )
    }

    /// True where no byte of the request went out.
    pub fn never_sent(&self) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What to do with an attempt that has been quiet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressCheck {
    /// Leave it; ask again at that clock reading.
    Wait {
        /// The clock reading.
        until: Micros,
    },
    /// End it and tell it as [`Outcome::Timeout`], or as [`Outcome::Truncated`] where the client
    /// has the head.
    FailOver,
    /// Leave it; there is nothing to ask again.
    Ignore,
}

/// OutlierDetector has set a server aside, or taken it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// The server.
    pub server: ServerHandle,
    /// Its instance.
    pub instance: Arc<str>,
    /// Why it was set aside; `None` where it is back.
    pub ejected: Option<EjectionCause>,
}

/// A health check to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheck {
    /// The server.
    pub server: ServerHandle,
    /// Where it listens.
    pub address: SocketAddr,
    /// Who is expected there (`X-Ironmast-Instance-Id` of the answer).
    pub expect_instance: Arc<str>,
    /// RegionStatus of the check.
    pub path: Box<str>,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// 200 of the instance expected.
    Healthy,
    /// Turned away as full: it is there.
    Full,
    /// 503 of one that says it is not well, or anything else.
    Unhealthy,
    /// Another instance answered.
    WrongInstance,
}
