//! The actions that a balancer requests.

use super::ids::{Micros, RequestId, ServerId};

/// An action that a balancer requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to a server; the attempts at one request are numbered 0, 1, 2 ... in order.
    Send {
        /// Identifier of the request.
        id: RequestId,
        /// Server that receives the attempt.
        server: ServerId,
        /// Timeout of the attempt; `None` means until the client gives up.
        timeout: Option<Micros>,
        /// Clock reading from which on the attempt must not start any more: the end of the window in
        /// which servers drop duplicates. An attempt that has not written its first byte by then ends
        /// as [`Outcome::NotSent`](super::Outcome::NotSent).
        start_deadline: Option<Micros>,
    },
    /// Final answer: rejected; a retry is safe.
    Reject {
        /// Identifier of the request.
        id: RequestId,
        /// Delay after which the client may retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// Identifier of the request.
        id: RequestId,
    },
    /// Cancels one attempt and closes its connection.
    Cancel {
        /// Identifier of the request.
        id: RequestId,
        /// Number of the attempt at the request, from 0.
        attempt: u32,
    },
    /// Requests [`Event::Timer`](super::Event::Timer) after `delay`.
    Timer {
        /// Time from now.
        delay: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribes to discovery, or renews the subscription.
    Subscribe,
    /// Ends the subscription to discovery. Not emitted by this balancer.
    Unsubscribe,
    /// Requests the complete list from discovery once. Not emitted by this balancer.
    FetchAll,
    /// Sends a health check to a server.
    Probe {
        /// Server to check.
        server: ServerId,
    },
    /// Sends a short message to one balancer, or to all others.
    SendToPeers {
        /// Index of the receiver among the balancers; `None` for all others.
        to: Option<u32>,
        /// Encoded message.
        data: Vec<u8>,
    },
    /// Closes this balancer's idle connections to a server.
    CloseIdle {
        /// Server to which connections are closed.
        server: ServerId,
    },
    /// Writes a line to the operator's log.
    Log(String),
}
