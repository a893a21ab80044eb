//! The actions that a balancer asks for.

use super::ids::{Micros, RequestId, ServerId};

/// What a balancer can ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to a server; the attempts at one request are numbered 0, 1, 2 ... in order.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout of the attempt; `None` lasts until the client gives up.
        timeout: Option<Micros>,
        /// Clock reading from which on it must not start any more: the end of the window in which
        /// servers drop duplicates. An attempt that has not written its first byte by then ends as
        /// [`Outcome::NotSent`](super::Outcome::NotSent).
        start_deadline: Option<Micros>,
    },
    /// Final answer: rejected; a retry is safe.
    Reject {
        /// The request.
        id: RequestId,
        /// The retry delay for the client.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise about effects.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancels one attempt and closes its connection.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Asks for [`Event::Timer`](super::Event::Timer) after `delay`.
    Timer {
        /// How long from now.
        delay: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribes to discovery, or renews the subscription.
    Subscribe,
    /// Ends the subscription to discovery. Not emitted by this balancer.
    Unsubscribe,
    /// Asks discovery once for the complete list. Not emitted by this balancer.
    FetchAll,
    /// Sends a health check to a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Sends a short message to one balancer, or to all others.
    SendToPeers {
        /// The receiver; `None` for all.
        to: Option<u32>,
        /// The message.
        data: Vec<u8>,
    },
    /// Closes this balancer's idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// A line for the operator.
    Log(String),
}
