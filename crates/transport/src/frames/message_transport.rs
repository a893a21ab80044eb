//! What a process sees of its links to others.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use super::{FrameError, Hello, HelloError};

/// Names one link at one transport; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// Both sides have greeted each other.
    Up {
        /// The link.
        link: LinkId,
        /// Where the other side is.
        peer: SocketAddr,
        /// What it said of itself.
        hello: Hello,
        /// This side began it.
        dialed: bool,
    },
    /// A message came, whole, in the order of its link.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: M,
    },
    /// The link is no more: nothing comes of it any more, and what was sent may have been lost from
    /// some message on. Told once of every link that this side has not closed, also of one that was
    /// never up.
    Down {
        /// The link.
        link: LinkId,
        /// Why.
        error: LinkError,
    },
}

/// A step in the life of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkPhase {
    /// Opening its connection.
    Connect,
    /// Exchanging greetings.
    Greet,
    /// Reading a message.
    Read,
    /// Writing a message.
    Write,
}

impl fmt::Display for LinkPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkPhase::Connect => "connecting to",
            LinkPhase::Greet => "greeting",
            LinkPhase::Read => "reading from",
            LinkPhase::Write => "writing to",
        })
    }
}

/// Why a link is no more.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {cause}")]
pub struct LinkError {
    /// At which step.
    pub step: LinkPhase,
    /// Of which peer.
    pub peer: SocketAddr,
    /// What happened.
    pub cause: LinkErrorKind,
}

/// What ends a link.
#[derive(Debug, thiserror::Error)]
pub enum LinkErrorKind {
    /// The other side has closed it between two messages.
    #[error("the peer has closed the connection")]
    Closed,
    /// The other side says nothing.
    #[error("no sign of the peer in time")]
    TimedOut,
    /// The greetings do not fit.
    #[error("{0}")]
    Hello(#[from] HelloError),
    /// What came is no message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The system says so.
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

/// A message has been taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Messages of the link that were dropped for it.
    pub dropped: usize,
}

/// Why a message is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is no such link, or no more.
    #[error("there is no such link")]
    NoLink,
    /// Too much waits to be written on the link.
    #[error("too much waits on the link")]
    Full,
    /// It does not fit into a frame.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// Links to other processes, on which messages travel whole and in order, or not at all.
pub trait MessageTransport {
    /// What travels.
    type Message;

    /// Where others find this one.
    fn local_address(&self) -> SocketAddr;

    /// Begins a link; what comes of it is an event. Messages may be sent on it right away.
    fn connect(&mut self, peer: SocketAddr) -> LinkId;

    /// Takes a message for a link. It is not known whether it arrives.
    ///
    /// # Errors
    /// Where it is not taken; the link goes on.
    fn send(&mut self, link: LinkId, message: &Self::Message) -> Result<Sent, SendError>;

    /// Closes a link once what has been taken for it is written. No event of it comes any more.
    fn close(&mut self, link: LinkId);

    /// The next event. Nothing is lost where the future is dropped before it is ready.
    fn next(&mut self) -> impl Future<Output = LinkEvent<Self::Message>>;
}
