//! The interface to a process's links, and the events on them.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use super::{FrameError, Hello, HelloError};

/// Identifies a link at one transport; never reused.
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
    /// The link has ended: it has no further events, and from some message on, what was sent may have
    /// been lost. Reported once for each link that this side has not closed, also for one that was
    /// never up.
    Down {
        /// The link.
        link: LinkId,
        /// Why.
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
            LinkPhase::Handshake => "greeting",
            LinkPhase::Read => "reading from",
            LinkPhase::Write => "writing to",
        })
    }
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
#[error("{phase} {peer}: {kind}")]
pub struct LinkError {
    /// The phase in which it ended.
    pub phase: LinkPhase,
    /// The peer's address.
    pub peer: SocketAddr,
    /// What happened.
    pub kind: LinkErrorKind,
}

/// What ends a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkErrorKind {
    /// The peer closed it between two messages.
    #[error("the peer has closed the connection")]
    Closed,
    /// The peer did not answer in time.
    #[error("no sign of the peer in time")]
    TimedOut,
    /// The handshakes do not match.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// What arrived is not a message.
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

/// A message has been queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Queued messages of the link that were dropped for it.
    pub dropped: usize,
}

/// Why a message is not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no such link, or it has ended.
    #[error("there is no such link")]
    NoLink,
    /// The link's send queue is full.
    #[error("too much waits on the link")]
    Full,
    /// It does not fit into a frame.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// Links to other processes, which deliver messages complete and in order, or not at all.
pub trait MessageTransport {
    /// The type of the messages.
    type Message;

    /// The address at which this transport listens.
    fn local_address(&self) -> SocketAddr;

    /// Opens a link; its outcome is an event. Messages may be sent on it right away.
    fn connect(&mut self, peer: SocketAddr) -> LinkId;

    /// Queues a message for a link. Delivery is not confirmed.
    ///
    /// # Errors
    /// Where it is not queued; the link stays open.
    fn send(&mut self, link: LinkId, message: &Self::Message) -> Result<Sent, SendError>;

    /// Closes a link once its queued messages are written. It has no further events.
    fn close(&mut self, link: LinkId);

    /// The next event. This is cancel safe: no event is lost if the future is dropped.
    fn next(&mut self) -> impl Future<Output = LinkEvent<Self::Message>>;
}
