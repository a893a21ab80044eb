//! The client's side of an exchange: how much of the response it has.

use tokio::sync::oneshot;

use crate::response::{BodySender, DownstreamResponse};

/// How much of the response the client has.
pub(super) enum Downstream {
    /// Nothing; the response goes here.
    AwaitingHead(oneshot::Sender<DownstreamResponse>),
    /// The head; the chunks of the body go here.
    Streaming(BodySender),
    /// All that it gets.
    Finished,
}

impl Downstream {
    /// Whether the client has nothing of a response yet.
    pub(super) fn is_awaiting_head(&self) -> bool {
        matches!(self, Downstream::AwaitingHead(_))
    }

    /// Sends the response. A response that is being streamed is aborted instead.
    pub(super) fn respond(&mut self, response: DownstreamResponse) {
        if let Downstream::AwaitingHead(reply) = std::mem::replace(self, Downstream::Finished) {
            // A client that has just disconnected has no use for the response.
            let _ = reply.send(response);
        }
    }

    /// Marks a streamed body as complete.
    pub(super) async fn finish(&mut self) {
        if let Downstream::Streaming(body) = std::mem::replace(self, Downstream::Finished) {
            body.finish().await;
        }
    }

    /// Returns when the client has disconnected.
    pub(super) async fn disconnected(&mut self) {
        match self {
            Downstream::AwaitingHead(reply) => reply.closed().await,
            Downstream::Streaming(body) => body.disconnected().await,
            Downstream::Finished => std::future::pending().await,
        }
    }
}
