//! The client side of an exchange.

use tokio::sync::oneshot;

use crate::response::{BodySender, DownstreamResponse};

/// How much of the response has been passed to the client.
pub(super) enum Downstream {
    /// Nothing yet; the sender takes the response.
    AwaitingHead(oneshot::Sender<DownstreamResponse>),
    /// The head; the sender takes the chunks of the body.
    Streaming(BodySender),
    /// Everything that the client gets.
    Finished,
}

impl Downstream {
    /// Whether nothing of a response has been passed to the client yet.
    pub(super) fn is_awaiting_head(&self) -> bool {
        matches!(self, Downstream::AwaitingHead(_))
    }

    /// Sends the response. If another response is being streamed, that one is aborted instead.
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
