//! The interface to a process's links, and the events on them.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use super::{FrameError, Hello, HelloError};

/// Identifier of a link at one transport; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// The handshake is complete in both directions.
    Up {
        /// The link.
        link: LinkId,
        /// The peer's address.
        peer: SocketAddr,
        /// The peer's handshake.
        hello: Hello,
        /// Whether this side opened the link.
        dialed: bool,
    },
    /// A complete message arrived. The messages of a link arrive in order.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: M,
    },
    /// The link has ended and has no further events. The latest messages sent on it may have been
    /// lost. Reported once for each link that this side has not closed, including links that were
    /// never up.
    Down {
        /// The link.
        link: LinkId,
        /// Why the link ended.
        error: LinkError,
    },
}

/// The phase in which a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// The connection was being opened.
    Connect,
    /// The handshakes were being exchanged.
    Handshake,
    /// A message was being read.
    Read,
    /// A message was being written.
    Write,
}

impl fmt::Display for LinkPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkPhase::Connect => "connecting to",
            LinkPhase::Handshake => "handshake with",
            LinkPhase::Read => "reading from",
            LinkPhase::Write => "writing to",
        })
    }
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
#[error("{phase} {peer}: {kind}")]
pub struct LinkError {
    /// The phase in which the link ended.
    pub phase: LinkPhase,
    /// The peer's address.
    pub peer: SocketAddr,
    /// The cause.
    pub kind: LinkErrorKind,
}

/// The cause of a link's end.
#[derive(Debug, thiserror::Error)]
pub enum LinkErrorKind {
    /// The peer closed the connection between two messages.
    #[error("the peer has closed the connection")]
    Closed,
    /// The peer did not answer in time.
    #[error("timed out waiting for the peer")]
    TimedOut,
    /// The peer's handshake is rejected.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// The peer sent a frame that is too long, truncated or not a message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The operating system reported an error.
    #[error("{0}")]
    Io(io::Error),
}

impl From<io::Error> for LinkErrorKind {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => LinkErrorKind::TimedOut,
            _ => LinkErrorKind::Io(error),
        }
    }
}

/// The result of queueing a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Number of older messages in the link's queue that were dropped to make space.
    pub dropped: usize,
}

/// Why a message was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no such link, or it has ended.
    #[error("the link does not exist or has ended")]
    NoLink,
    /// The link's send queue is full.
    #[error("the link's send queue is full")]
    Full,
    /// The message does not fit into a frame.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// Links to other processes. Each link delivers messages complete and in order; messages may be
/// lost only at the end of a link or by
/// [`OverflowPolicy::DropOldest`](super::OverflowPolicy::DropOldest).
pub trait MessageTransport {
    /// The type of the messages.
    type Message;

    /// The address at which this transport listens.
    fn local_address(&self) -> SocketAddr;

    /// Opens a link. The outcome is reported as an event. Messages may be queued at once.
    fn connect(&mut self, peer: SocketAddr) -> LinkId;

    /// Queues a message for a link. Delivery is not confirmed.
    ///
    /// # Errors
    /// The message was not queued; an open link stays open.
    fn send(&mut self, link: LinkId, message: &Self::Message) -> Result<Sent, SendError>;

    /// Closes a link after its queued messages are written. The link has no further events.
    fn close(&mut self, link: LinkId);

    /// Waits for the next event. Cancel safe: no event is lost if the future is dropped.
    fn next(&mut self) -> impl Future<Output = LinkEvent<Self::Message>>;
}
