//! The outcome of an attempt, as the gate reports it to the decider.

use ironmast_balancer::Micros;

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that counts as served.
    Success,
    /// A 4xx of the server that does not promise that the request was not executed: the request is
    /// faulty. The response is final.
    ClientError,
    /// A 5xx of the server, after which the request may have been executed.
    ServerError,
    /// A response with `X-Ironmast-Not-Executed`: the server was at capacity, or the deadline
    /// passed in its queue.
    NotExecuted {
        /// `Retry-After` of the response, in microseconds; `None` if it has none.
        retry_after: Option<Micros>,
    },
    /// A 421 because of the instance: another one listens at the address.
    WrongInstance,
    /// A 421 because of the version: the instance is the expected one, but its weights are of
    /// another version.
    WrongVersion,
    /// No connection was established.
    ConnectFailed,
    /// No byte of the request was written: the connection had ended, or no permit was available any
    /// more.
    NotSent,
    /// The connection broke before the head of a response arrived.
    Reset,
    /// The bytes received are not a response to this request, and no head was forwarded.
    MalformedResponse,
    /// No response arrived in time.
    Timeout,
    /// The response broke off after its head was forwarded.
    Truncated {
        /// Number of the last complete event that was forwarded; `None` if there was none.
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
