//! A link between two processes of the system: `postcard` messages over one TCP connection, in
//! order, each complete or not at all. There is no handshake.
//!
//! Used by: the gate and its agent (entries, status), the agent and a coordinator (the gate's
//! status, keep-alives), coordinators (register messages, reports), and the overlay's transport. [`frames`](crate::frames) is the other way to carry
//! messages: it adds a handshake, bounded send queues and an in-memory network. The bytes on the
//! wire differ by that handshake, so neither can replace the other without a change of protocol.
//! The framing and the codec of messages are shared.

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

/// A connection that is not established after this is attempted anew, beside the earlier attempts.
/// The kernel itself retransmits a lost first packet only after a second, while a peer whose power
/// returns may listen within a tenth of that.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(200);

type Frames = Framed<TcpStream, FrameCodec>;

/// Why a link could not be used: the step that failed, and the peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer rejected the connection, or the network did.
    #[error("connecting to {peer}")]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The connection was not established in time.
    #[error("connecting to {peer}: no answer within {timeout:?}")]
    ConnectTimeout {
        /// The peer.
        peer: SocketAddr,
        /// The time it had.
        timeout: Duration,
    },
    /// An established connection had ended before it could be used.
    #[error(transparent)]
    Setup(#[from] io::Error),
    /// The connection failed, or a frame was malformed, while a message was received.
    #[error("receiving from {peer}")]
    Receive {
        /// The peer.
        peer: SocketAddr,
        /// What failed.
        source: LinkErrorKind,
    },
    /// A frame does not hold a message of the expected type.
    #[error("reading a message of {peer}")]
    Decode {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong with it.
        source: FrameError,
    },
    /// A message does not fit into a frame.
    #[error("writing a message for {peer}")]
    Encode {
        /// The peer.
        peer: SocketAddr,
        /// What is wrong with it.
        source: FrameError,
    },
    /// The connection failed while a message was sent.
    #[error("sending to {peer}")]
    Send {
        /// The peer.
        peer: SocketAddr,
        /// What failed.
        source: LinkErrorKind,
    },
}

/// The half that receives messages of type `M`.
pub struct Receiver<M> {
    frames: SplitStream<Frames>,
    peer: SocketAddr,
    message: PhantomData<M>,
}

/// The half that sends messages of type `M`.
pub struct Sender<M> {
    frames: SplitSink<Frames, Vec<u8>>,
    peer: SocketAddr,
    message: PhantomData<M>,
}

/// Connects to a peer, which may be about to start; gives up after `timeout`.
///
/// # Errors
/// Where the peer rejects the connection or does not answer in time, or the connection has ended
/// already.
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

/// The first of several connection attempts that succeeds or is rejected.
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

/// Makes a link of an established connection.
///
/// # Errors
/// The operating system's error, where the connection has ended.
pub fn split<In, Out>(stream: TcpStream) -> io::Result<(Receiver<In>, Sender<Out>)> {
    let peer = stream.peer_addr()?;
    // A peer that loses power sends nothing, not even the end of its connections. Without this, a
    // side that only receives would wait forever.
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
    /// The next message; `None` where the peer has closed the link between two messages.
    ///
    /// # Errors
    /// Where the connection fails or what arrives is not a message.
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
    /// Sends a message.
    ///
    /// # Errors
    /// Where the message is too long or the connection fails.
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

/// Sends what is in `outgoing`, and passes each message that is received to `on_message`, until the
/// peer closes the link or the last sender of `outgoing` is dropped.
///
/// # Errors
/// Where the connection fails, a message is too long, or what arrives is not a message.
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
