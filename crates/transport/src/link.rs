//! A link between two processes of the system: whole `postcard` messages over TCP, in order, each
//! behind its length, as [`frames`](crate::frames) writes them. Neither side greets.

use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr as _, bail};
use futures_util::stream::{FuturesUnordered, SplitSink, SplitStream};
use futures_util::{SinkExt as _, StreamExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::frames::{FrameCodec, decode, encode};
use crate::sockets;

/// The longest message, in bytes.
const MESSAGE_MOST: usize = 8 * 1024 * 1024;
/// A connection whose peer acknowledges nothing for this long has failed.
const SILENCE: Duration = Duration::from_secs(2);

/// A connection that is not up after this is tried anew, beside the earlier tries. The system
/// itself sends a lost first packet again only after a second, while a peer that gets its power
/// back may listen within a tenth of that.
const DIAL_AGAIN: Duration = Duration::from_millis(200);

type Frames = Framed<TcpStream, FrameCodec>;

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

/// Connects to a peer, which may only just be starting.
///
/// # Errors
/// The step and the peer.
pub async fn connect<In, Out>(
    peer: SocketAddr,
    within: Duration,
) -> Result<(Receiver<In>, Sender<Out>)> {
    let connecting = tokio::time::timeout(within, dial(peer));
    let stream = match connecting.await {
        Ok(stream) => stream.wrap_err_with(|| format!("connecting to {peer}"))?,
        Err(_) => bail!("connecting to {peer}: no answer within {within:?}"),
    };
    split(stream).wrap_err_with(|| format!("setting up the link to {peer}"))
}

/// The first connection to a peer that comes up or is refused.
async fn dial(peer: SocketAddr) -> io::Result<TcpStream> {
    let mut tries = FuturesUnordered::new();
    loop {
        tries.push(TcpStream::connect(peer));
        tokio::select! {
            Some(outcome) = tries.next() => return outcome,
            () = tokio::time::sleep(DIAL_AGAIN) => {}
        }
    }
}

/// Makes a link of a connection.
///
/// # Errors
/// The system's, where the connection has ended.
pub fn split<In, Out>(stream: TcpStream) -> io::Result<(Receiver<In>, Sender<Out>)> {
    let peer = stream.peer_addr()?;
    // A peer without power says nothing, not even that it is gone. Without probes a side that only
    // receives would wait for it for ever.
    sockets::set_peer_timeout(&stream, SILENCE)?;
    let (sink, source) = Framed::new(stream, FrameCodec { most: MESSAGE_MOST }).split();
    let receiver = Receiver {
        frames: source,
        peer,
        message: PhantomData,
    };
    Ok((
        receiver,
        Sender {
            frames: sink,
            peer,
            message: PhantomData,
        },
    ))
}

impl<M: DeserializeOwned> Receiver<M> {
    /// The next message; none where the peer has closed.
    ///
    /// # Errors
    /// The step and the peer.
    pub async fn next(&mut self) -> Result<Option<M>> {
        let peer = self.peer;
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let frame = frame.wrap_err_with(|| format!("receiving from {peer}"))?;
        let message = decode(&frame).wrap_err_with(|| format!("reading a message of {peer}"))?;
        Ok(Some(message))
    }
}

impl<M: Serialize> Sender<M> {
    /// Sends a message.
    ///
    /// # Errors
    /// The step and the peer.
    pub async fn send(&mut self, message: &M) -> Result<()> {
        let peer = self.peer;
        let frame = encode(message, MESSAGE_MOST)
            .wrap_err_with(|| format!("writing a message for {peer}"))?;
        self.frames
            .send(frame)
            .await
            .wrap_err_with(|| format!("sending to {peer}"))
    }
}
