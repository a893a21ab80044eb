//! What the decider tells a gate to do with requests, attempts and health checks.

use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_balancer::Micros;

use crate::outlier::EjectionCause;

/// Identifies a server inside one decider. A handle is never reused for another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerHandle {
    /// Index of the server's entry in the endpoint table. Later servers reuse it.
    pub(crate) index: u32,
    /// Counts the servers that the decider has known, so that a stale handle is recognized (a
    /// generational index).
    pub(crate) generation: u32,
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt, from 1 on.
    pub attempt: u32,
    /// The server, for later reports to the decider.
    pub server: ServerHandle,
    /// Address of the server.
    pub address: SocketAddr,
    /// Value of `X-Ironmast-Expect-Instance`.
    pub expect_instance: Arc<str>,
    /// Name of the server's service.
    pub service: Arc<str>,
    /// The server is warming up: a permit was acquired, or is to be acquired when the request is
    /// written; see [`Permits`](crate::Permits).
    pub warming_up: bool,
    /// The server is in another region than the gate.
    pub crosses_region: bool,
    /// Value of the `Priority` header, 0 to 9.
    pub priority: u8,
    /// Time until the attempt must end: the rest of the client's deadline or of the route's
    /// time-out, whichever is shorter.
    pub timeout: Micros,
    /// The same in milliseconds, the value of `X-Ironmast-Deadline-Ms`.
    pub deadline_ms: u64,
    /// The stream is to be resumed after this event (`Last-Event-Id`).
    pub resume_after: Option<u64>,
    /// When to call [`Decider::check_progress`](crate::Decider::check_progress) if nothing has been
    /// received by then; `None` if the check could not change anything.
    pub check_at: Option<Micros>,
}

/// Status of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionStatus {
    /// 429: the remaining capacity is reserved for more urgent requests.
    TooManyRequests,
    /// 503: no server is eligible, or all are at capacity.
    Unavailable,
}

impl RejectionStatus {
    /// The HTTP status code.
    #[must_use]
    pub fn code(self) -> u16 {
        match self {
            RejectionStatus::TooManyRequests => 429,
            RejectionStatus::Unavailable => 503,
        }
    }
}

/// A promise to the client that its request was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status of the response.
    pub status: RejectionStatus,
    /// Time after which a retry by the client is useful.
    pub retry_after: Micros,
}

impl Rejection {
    /// Value of `Retry-After`: seconds with a fraction.
    #[must_use]
    pub fn retry_after_seconds(&self) -> String {
        format!("{:.3}", self.retry_after as f64 / 1e6)
    }
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it. Its end is to be reported to
    /// [`Decider::attempt_finished`](crate::Decider::attempt_finished).
    Send(Dispatch),
    /// Nothing can be done yet: call [`Decider::resume`](crate::Decider::resume) at that clock
    /// reading.
    Delay {
        /// The clock reading.
        until: Micros,
    },
    /// Final: reject the request, which was not executed.
    Reject(Rejection),
    /// Final: forward the server's own response.
    ForwardResponse,
    /// Final: answer with an error of the gate's own, which does not promise that the request was
    /// not executed.
    Fail {
        /// 502 or 504.
        status: u16,
    },
    /// Final: end the response in a way that the client recognizes as incomplete.
    AbortResponse,
    /// Final: nothing is left to be done.
    Finished,
}

impl Decision {
    /// True if the request needs no further decision.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Decision::Send(_) | Decision::Delay { .. })
    }
}

/// What to do with an attempt on which nothing has been received for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressCheck {
    /// Keep the attempt, and check again at that clock reading.
    Wait {
        /// The clock reading.
        until: Micros,
    },
    /// End the attempt and report it as [`Outcome::Timeout`](crate::Outcome::Timeout), or as
    /// [`Outcome::Truncated`](crate::Outcome::Truncated) if the head was forwarded.
    FailOver,
    /// Keep the attempt; no further check is needed.
    Ignore,
}

/// Outlier detection ejected a server or returned it to service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// The server.
    pub server: ServerHandle,
    /// Its instance.
    pub instance: Arc<str>,
    /// Why it was ejected; `None` if it was returned to service.
    pub ejected: Option<EjectionCause>,
}

/// A health check to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheck {
    /// The server.
    pub server: ServerHandle,
    /// Address of the server.
    pub address: SocketAddr,
    /// The instance that is expected there (`X-Ironmast-Instance-Id` of the response).
    pub expect_instance: Arc<str>,
    /// Path of the check.
    pub path: Box<str>,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// 200 from the expected instance.
    Healthy,
    /// The server rejected the check for lack of capacity, so it is alive.
    Full,
    /// 503 of a server that reports itself unhealthy, or any other result.
    Unhealthy,
    /// Another instance answered.
    WrongInstance,
}
