//! Message links between processes. Messages are encoded by `postcard` and sent in frames; a frame
//! is a length of four bytes (big endian) followed by that many bytes. Each connection begins with
//! a handshake, a [`Hello`] in each direction.
//!
//! [`MessageTransport`] is the interface. [`TcpTransport`] implements it over sockets;
//! [`MemoryTransport`] implements it in memory, under a simulated clock and with faults that the
//! caller injects. `tests/message_transport.rs` is the contract test of both.
//!
//! No process of the system uses these transports at present. The processes use
//! [`link`](crate::link), which shares the codec and the encoding of messages but has no handshake;
//! since the two write different bytes first on a connection, neither can replace the other without
//! a change of protocol.

mod codec;
mod hello;
mod memory;
mod message_transport;
mod queue;
mod tcp;

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) use codec::FrameCodec;
pub use hello::{Hello, HelloError};
pub use memory::{MemoryNetwork, MemoryTransport};
pub use message_transport::{
    LinkError, LinkErrorKind, LinkEvent, LinkId, LinkPhase, MessageTransport, SendError, Sent,
};
pub use queue::{OverflowPolicy, QueueLimits};
pub use tcp::TcpTransport;

/// Limits of a transport's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Maximum length of a message in bytes. A longer frame ends the link before its payload is
    /// read.
    pub max_frame_bytes: usize,
    /// Limits of the send queue of one link.
    pub queue: QueueLimits,
    /// Maximum number of events queued for the owner of a transport. Links are not read while the
    /// queue is full.
    pub max_queued_events: usize,
    /// Time limit for opening a link, both handshakes included. A link that is not up by then has
    /// failed.
    pub connect_timeout: Duration,
    /// Time without an acknowledgement after which a peer has failed. TCP keepalive counts in whole
    /// seconds, so detection may take up to two seconds longer while nothing is in flight.
    pub peer_timeout: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        LinkOptions {
            max_frame_bytes: 8 << 20,
            queue: QueueLimits::default(),
            max_queued_events: 1_024,
            connect_timeout: Duration::from_secs(1),
            peer_timeout: Duration::from_secs(3),
        }
    }
}

/// Why a frame does not hold a message, or a message does not fit into a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame is longer than the limit.
    #[error("a frame is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit in bytes.
        max_bytes: usize,
    },
    /// The payload does not decode as a message of the expected type.
    #[error("a frame does not hold a message: {0}")]
    Malformed(postcard::Error),
    /// The connection ended within the frame.
    #[error("the connection ended within a frame")]
    Truncated,
}

/// Encodes a message as the payload of a frame.
pub(crate) fn encode(message: &impl Serialize, max_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let frame = postcard::to_stdvec(message).map_err(FrameError::Malformed)?;
    match frame.len() {
        bytes if bytes > max_bytes => Err(FrameError::TooLong { max_bytes }),
        _ => Ok(frame),
    }
}

/// Decodes a message from the payload of a frame. Trailing bytes are an error.
pub(crate) fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    match postcard::take_from_bytes(frame).map_err(FrameError::Malformed)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
    }
}
