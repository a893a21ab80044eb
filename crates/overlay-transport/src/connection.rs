//! One connection to a peer, from its establishment until it closes.
//!
//! The opener first sends its listening address, as its source port does not identify it.
//!
//! Events are sent to the driver as long as it runs; once it has ended, errors of sending them are
//! ignored, as the process is shutting down. Errors of a connection are not logged, as its end is
//! reported to the driver and the overlay connects again. The exception is a frame that cannot be
//! decoded, which means that the peer runs another version of the program.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail};
use ironmast_overlay::Message;
use ironmast_transport::link;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::send_queue::{SendQueue, send_queue};

/// Timeout for connecting, and for receiving the opener's first frame.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for sending the remaining queued messages after the driver has dropped a connection.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a connection of this node; never reused while the node runs.
pub(crate) type ConnectionId = u64;

/// A frame between two nodes. Frames are encoded with postcard: the order of variants is part of
/// the wire format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The opener's first frame: its listening address.
    Hello(SocketAddr),
    /// A message of the overlay.
    Message(Message),
}

/// An event that a connection reports to the driver.
#[derive(Debug)]
pub(crate) enum ConnectionEvent {
    /// The connection is established.
    Established {
        /// Listening address of the peer.
        peer: SocketAddr,
        /// The connection.
        id: ConnectionId,
        /// The connection's queue of outgoing messages.
        queue: SendQueue,
    },
    /// A message has arrived.
    Received {
        /// Listening address of the peer.
        peer: SocketAddr,
        /// The connection.
        id: ConnectionId,
        /// The message.
        message: Message,
    },
    /// A frame could not be decoded; the connection closes.
    Undecodable {
        /// Listening address of the peer.
        peer: SocketAddr,
        /// The reason for which the frame could not be decoded.
        error: eyre::Report,
    },
    /// The connection has closed.
    Closed {
        /// Listening address of the peer.
        peer: SocketAddr,
        /// The connection.
        id: ConnectionId,
    },
    /// The connection could not be established.
    ConnectFailed {
        /// Listening address of the peer.
        peer: SocketAddr,
    },
}

pub(crate) type EventSender = mpsc::Sender<ConnectionEvent>;

/// Opens a connection to `peer` and serves it until it closes.
pub(crate) async fn open(
    peer: SocketAddr,
    id: ConnectionId,
    local_address: SocketAddr,
    events: EventSender,
) {
    if try_open(peer, id, local_address, &events).await.is_err() {
        // Sending fails only once the driver has ended and no longer uses connections.
        let _ = events.send(ConnectionEvent::ConnectFailed { peer }).await;
    }
}

/// Returns an error only if the connection could not be established.
async fn try_open(
    peer: SocketAddr,
    id: ConnectionId,
    local_address: SocketAddr,
    events: &EventSender,
) -> Result<()> {
    let (receiver, mut sender) = link::connect::<Frame, Frame>(peer, CONNECT_TIMEOUT).await?;
    sender.send(&Frame::Hello(local_address)).await?;
    serve(peer, id, receiver, sender, events).await;
    Ok(())
}

/// Serves an accepted connection until it closes.
pub(crate) async fn accept(stream: TcpStream, id: ConnectionId, events: EventSender) {
    // The driver does not know a peer that fails before its hello; the peer connects again.
    let _ = try_accept(stream, id, &events).await;
}

async fn try_accept(stream: TcpStream, id: ConnectionId, events: &EventSender) -> Result<()> {
    let (mut receiver, sender) = link::split::<Frame, Frame>(stream)?;
    let Ok(hello) = tokio::time::timeout(CONNECT_TIMEOUT, receiver.next()).await else {
        bail!("peer sent no hello within {CONNECT_TIMEOUT:?}")
    };
    let Some(Frame::Hello(peer)) = hello? else {
        bail!("first frame of the peer is not a hello")
    };
    serve(peer, id, receiver, sender, events).await;
    Ok(())
}

/// Serves an established connection until either side closes it.
async fn serve(
    peer: SocketAddr,
    id: ConnectionId,
    mut receiver: link::Receiver<Frame>,
    mut sender: link::Sender<Frame>,
    events: &EventSender,
) {
    // Sending an event fails only once the driver has ended and has therefore dropped the queue.
    let (queue, mut outgoing, dropped) = send_queue();
    let established = ConnectionEvent::Established { peer, id, queue };
    let _ = events.send(established).await;
    let sending = async {
        // Ends once the driver has dropped the queue and all messages in it have been sent.
        while let Some(message) = outgoing.next().await {
            sender.send(&Frame::Message(message)).await?;
        }
        Ok::<(), eyre::Report>(())
    };
    let receiving = async {
        while let Some(Frame::Message(message)) = receiver.next().await? {
            let received = ConnectionEvent::Received { peer, id, message };
            let _ = events.send(received).await;
        }
        Ok::<(), eyre::Report>(())
    };
    let flush_expired = async {
        dropped.await;
        tokio::time::sleep(FLUSH_TIMEOUT).await;
    };
    let result = tokio::select! {
        result = sending => result,
        result = receiving => result,
        () = flush_expired => Ok(()),
    };
    if let Err(error) = result
        && matches!(error.downcast_ref(), Some(link::Error::Decode { .. }))
    {
        let _ = events
            .send(ConnectionEvent::Undecodable { peer, error })
            .await;
    }
    let _ = events.send(ConnectionEvent::Closed { peer, id }).await;
}
