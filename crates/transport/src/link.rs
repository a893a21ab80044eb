//! A link between two processes of the system: `postcard` messages over one TCP connection, in
//! order, each complete or not at all. There is no handshake.
//!
//! Used between the gate and its agent (entries, status), an agent and a coordinator (the gate's
//! status, keep-alives), coordinators (register messages, reports), and by the overlay's transport.
//! [`frames`](crate::frames) is the other way to carry messages: it adds a handshake, bounded send
//! queues and an in-memory network. The two differ on the wire by that handshake, so neither can
//! replace the other without a change of protocol. Framing and message codec are shared.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

use crate::frames::{FrameCodec, FrameError, LinkErrorKind, decode, encode};
use crate::sockets;

/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// A connection whose peer acknowledges nothing for this long has failed.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between connection attempts, which run concurrently. The kernel itself retransmits a
/// lost SYN only after 1 s, while a peer whose power returns may listen within 100 ms.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(200);

type Frames = Framed<TcpStream, FrameCodec>;

/// A failure to establish or use a link: the step that failed, and the peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer or the network rejected the connection.
    #[error("cannot connect to {peer}")]
    Connect {
        /// The address that was connected to.
        peer: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[error("cannot connect to {peer}: no response within {timeout:?}")]
    ConnectTimeout {
        /// The address that was connected to.
        peer: SocketAddr,
        /// The time limit on connecting.
        timeout: Duration,
    },
    /// An established connection ended before its socket options were set.
    #[error(transparent)]
    Setup(#[from] io::Error),
    /// The connection failed, or a frame was malformed, while a message was received.
    #[error("cannot receive a message from {peer}")]
    Receive {
        /// The peer's address.
        peer: SocketAddr,
        /// The failure of the connection or the framing.
        source: LinkErrorKind,
    },
    /// A frame does not hold a message of the expected type.
    #[error("cannot decode a message from {peer}")]
    Decode {
        /// The peer's address.
        peer: SocketAddr,
        /// Why the frame cannot be decoded.
        source: FrameError,
    },
    /// A message does not fit into a frame.
    #[error("cannot encode a message to {peer}")]
    Encode {
        /// The peer's address.
        peer: SocketAddr,
        /// Why the message cannot be encoded.
        source: FrameError,
    },
    /// The connection failed while a message was sent.
    #[error("cannot send a message to {peer}")]
    Send {
        /// The peer's address.
        peer: SocketAddr,
        /// The failure of the connection or the framing.
        source: LinkErrorKind,
    },
}

/// The half of a link that receives messages of type `M`.
pub struct Receiver<M> {
    frames: SplitStream<Frames>,
    peer: SocketAddr,
    message: PhantomData<M>,
}

/// The half of a link that sends messages of type `M`.
pub struct Sender<M> {
    frames: SplitSink<Frames, Vec<u8>>,
    peer: SocketAddr,
    message: PhantomData<M>,
}

/// Connects to a peer that may not be reachable yet: attempts that get no response are repeated until
/// `timeout`.
///
/// # Errors
/// [`Error::Connect`] where the connection is rejected, [`Error::ConnectTimeout`] where nothing
/// responds in time, [`Error::Setup`] where the connection has already ended.
pub async fn connect<In, Out>(
    peer: SocketAddr,
    timeout: Duration,
) -> Result<(Receiver<In>, Sender<Out>), Error> {
    let stream = match tokio::time::timeout(timeout, connect_with_retries(peer)).await {
        Ok(connected) => connected.map_err(|source| Error::Connect { peer, source })?,
        Err(_) => return Err(Error::ConnectTimeout { peer, timeout }),
    };
    Ok(split(stream)?)
}

/// Starts concurrent connection attempts and returns the outcome of the first that completes.
async fn connect_with_retries(peer: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(peer));
        tokio::select! {
            Some(outcome) = attempts.next() => return outcome,
            () = tokio::time::sleep(CONNECT_RETRY_DELAY) => {}
        }
    }
}

/// Turns an established connection into the two halves of a link.
///
/// # Errors
/// The operating system's error, where the connection has ended.
pub fn split<In, Out>(stream: TcpStream) -> io::Result<(Receiver<In>, Sender<Out>)> {
    let peer = stream.peer_addr()?;
    // A peer that loses power sends neither FIN nor RST. Without this timeout, a side that only
    // receives would wait forever.
    sockets::set_peer_timeout(&stream, PEER_TIMEOUT)?;
    let codec = FrameCodec {
        max_bytes: MAX_MESSAGE_BYTES,
    };
    let (sink, source) = Framed::new(stream, codec).split();
    let receiver = Receiver {
        frames: source,
        peer,
        message: PhantomData,
    };
    let sender = Sender {
        frames: sink,
        peer,
        message: PhantomData,
    };
    Ok((receiver, sender))
}

impl<M: DeserializeOwned> Receiver<M> {
    /// Receives the next message; `None` where the peer has closed the link between two messages.
    ///
    /// # Errors
    /// [`Error::Receive`] where the connection fails or a frame is malformed or truncated;
    /// [`Error::Decode`] where a frame is not a message of type `M`.
    pub async fn next(&mut self) -> Result<Option<M>, Error> {
        let peer = self.peer;
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame.map_err(|source| Error::Receive { peer, source })?;
        let message = decode(&frame).map_err(|source| Error::Decode { peer, source })?;
        Ok(Some(message))
    }
}

impl<M: Serialize> Sender<M> {
    /// Sends a message; returns once the socket has taken all of it.
    ///
    /// # Errors
    /// [`Error::Encode`] where the message is longer than 8 MiB, [`Error::Send`] where the connection
    /// fails.
    pub async fn send(&mut self, message: &M) -> Result<(), Error> {
        let peer = self.peer;
        let frame =
            encode(message, MAX_MESSAGE_BYTES).map_err(|source| Error::Encode { peer, source })?;
        self.frames
            .send(frame)
            .await
            .map_err(|source| Error::Send { peer, source })
    }
}

/// Sends the messages of `outgoing` and passes each received message to `on_message`, until the peer
/// closes the link or the last sender of `outgoing` is dropped.
///
/// # Errors
/// Those of [`Receiver::next`] and [`Sender::send`].
pub async fn exchange<In: DeserializeOwned, Out: Serialize>(
    receiver: &mut Receiver<In>,
    sender: &mut Sender<Out>,
    outgoing: &mut mpsc::UnboundedReceiver<Out>,
    mut on_message: impl FnMut(In),
) -> Result<(), Error> {
    loop {
        tokio::select! {
            message = outgoing.recv() => match message {
                Some(message) => sender.send(&message).await?,
                None => return Ok(()),
            },
            message = receiver.next() => match message? {
                Some(message) => on_message(message),
                None => return Ok(()),
            },
        }
    }
}
