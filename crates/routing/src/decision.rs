//! Decisions: what the gate is to do with requests, attempts and health checks.

use std::net::SocketAddr;
use std::sync::Arc;

use ironmast_balancer::Micros;

use crate::outlier::EjectionCause;

/// Identifies a server inside one decider. A handle is never reused for another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServerHandle {
    /// Index of the server's entry in the endpoint table. Later servers reuse it.
    pub(crate) index: u32,
    /// Number that is unique to the server, so that a stale handle is recognized after the entry
    /// was reused (a generational index).
    pub(crate) generation: u32,
}

/// One attempt that the gate is to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Number of the attempt, from 1 on.
    pub attempt: u32,
    /// Handle of the server, for later reports to the decider.
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
    /// Time until the attempt must end, in microseconds: the rest of the client's deadline or of
    /// the route's time-out, whichever is shorter.
    pub timeout: Micros,
    /// Value of `X-Ironmast-Deadline-Ms`: the time-out in milliseconds.
    pub deadline_ms: u64,
    /// Value of `Last-Event-Id`: the event after which the stream is to be resumed.
    pub resume_after: Option<u64>,
    /// Clock reading at which to call
    /// [`Decider::check_progress`](crate::Decider::check_progress) if nothing has been received by
    /// then; `None` if the check could not change anything.
    pub check_at: Option<Micros>,
}

/// HTTP status of a rejection.
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

/// A rejection, which promises the client that its request was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Status of the response.
    pub status: RejectionStatus,
    /// Time after which a retry by the client is useful, in microseconds.
    pub retry_after: Micros,
}

impl Rejection {
    /// Value of `Retry-After`: seconds with three decimal places.
    #[must_use]
    pub fn retry_after_seconds(&self) -> String {
        format!("{:.3}", self.retry_after as f64 / 1e6)
    }
}

/// The gate's next step for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request. The end of the attempt is to be reported to
    /// [`Decider::attempt_finished`](crate::Decider::attempt_finished).
    Send(Dispatch),
    /// Keep the request, and call [`Decider::resume`](crate::Decider::resume) at that clock
    /// reading.
    Delay {
        /// Clock reading, in microseconds.
        until: Micros,
    },
    /// Final: reject the request, which was not executed.
    Reject(Rejection),
    /// Final: forward the server's own response.
    ForwardResponse,
    /// Final: respond with an error of the gate's own, which does not promise that the request was
    /// not executed.
    Fail {
        /// HTTP status: 502 or 504.
        status: u16,
    },
    /// Final: end the response in a way that the client recognizes as incomplete.
    AbortResponse,
    /// Final: nothing is left to do, because the response is complete, the client has disconnected,
    /// or the request was finished before.
    Finished,
}

impl Decision {
    /// True if the request needs no further decision.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Decision::Send(_) | Decision::Delay { .. })
    }
}

/// The gate's next step for an attempt on which nothing has been received for a while.
#[derive(Clone, Debug, PartialEq)]
pub enum ProgressCheck {
    /// Keep the attempt, and check again at that clock reading.
    Wait {
        /// Clock reading, in microseconds.
        until: Micros,
    },
    /// End the attempt without reporting its outcome, which is recorded already, and make this one.
    FailOver(Dispatch),
    /// Keep the attempt; no further check is needed.
    Ignore,
}

/// An ejection of a server by outlier detection, or its return to service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// Handle of the server.
    pub server: ServerHandle,
    /// Instance of the server.
    pub instance: Arc<str>,
    /// Cause of the ejection; `None` if the server was returned to service.
    pub ejected: Option<EjectionCause>,
}

/// A health check that the gate is to make.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheck {
    /// Handle of the server, for the report of the outcome.
    pub server: ServerHandle,
    /// Address of the server.
    pub address: SocketAddr,
    /// Instance that is expected at the address (`X-Ironmast-Instance-Id` of the response).
    pub expect_instance: Arc<str>,
    /// Path of the service's health check.
    pub path: Box<str>,
}

/// The outcome of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckOutcome {
    /// 200 from the expected instance.
    Healthy,
    /// The server rejected the check for lack of capacity, so it is alive.
    Full,
    /// 503 of a server that reports itself unhealthy, or any other result.
    Unhealthy,
    /// Another instance responded.
    WrongInstance,
}
