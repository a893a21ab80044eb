//! How an attempt ended, as the gate reports it.

use ironmast_balancer::Micros;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that counts as served.
    Success,
    /// The server rejected the request as faulty (4xx that does not promise that the request was
    /// not executed). This is the final response.
    ClientError,
    /// A 5xx of the server, after which the request may have been executed.
    ServerError,
    /// `X-Ironmast-Not-Executed`: the server was full, or the deadline passed in its queue.
    NotExecuted {
        /// The server's `Retry-After`, if it sent one.
        retry_after: Option<Micros>,
    },
    /// 421 because of the instance: another incarnation listens at this address.
    WrongInstance,
    /// 421 because of the version: the instance is the expected one, its weights are of another
    /// version.
    WrongVersion,
    /// No connection was established.
    ConnectFailed,
    /// The connection ended before a byte of the request was written.
    NotSent,
    /// The connection broke before the head of a response arrived.
    Reset,
    /// The bytes received are not a response to this request, and no head was forwarded.
    MalformedResponse,
    /// No response arrived in time.
    Timeout,
    /// The response broke off after its head was forwarded.
    Truncated {
        /// The last complete event that was forwarded.
        last_event: Option<u64>,
    },
    /// The client disconnected.
    Cancelled,
}

impl Outcome {
    /// True if the server did not execute the request and never will.
    #[must_use]
    pub fn never_executed(&self) -> bool {
        use Outcome::{ConnectFailed, NotExecuted, NotSent, WrongInstance, WrongVersion};
        matches!(
            self,
            NotExecuted { .. } | WrongInstance | WrongVersion | ConnectFailed | NotSent
        )
    }

    /// True if no byte of the request was sent.
    #[must_use]
    pub fn never_sent(&self) -> bool {
        matches!(self, Outcome::ConnectFailed | Outcome::NotSent)
    }
}
