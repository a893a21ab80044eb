//! Messages between processes over many links: `postcard` values in frames, each a length of four
//! bytes (big endian) followed by that many bytes, over connections that begin with a [`Hello`] in
//! both directions.
//!
//! [`MessageTransport`] is the interface. [`TcpTransport`] implements it over sockets;
//! [`MemoryTransport`] implements it in memory, under a simulated clock and with faults that the
//! caller injects. `tests/message_transport.rs` is the contract that both fulfil.
//!
//! Used by: no process of the system at present; its codec and the encoding of messages are those
//! of [`link`](crate::link), which the processes use and which has no handshake. The two differ in
//! what they write first on a connection, so neither can replace the other without a change of
//! protocol.

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
    /// The longest message in bytes; a longer frame ends the link before it is read.
    pub max_frame_bytes: usize,
    /// Limits of the send queue of one link.
    pub queue: QueueLimits,
    /// Events that may be queued for the owner of a transport; links are not read while so many are.
    pub max_queued_events: usize,
    /// A link that is not up, with both handshakes, within this has failed.
    pub connect_timeout: Duration,
    /// A peer that acknowledges nothing for this long has failed. TCP keepalive counts in whole
    /// seconds, so it may take up to two seconds more where nothing is in flight.
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
    /// It is longer than the limit.
    #[error("a frame is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// Its bytes do not encode a message of the expected type.
    #[error("a frame does not hold a message: {0}")]
    Malformed(postcard::Error),
    /// The connection ended within it.
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

/// Decodes a message from the payload of a frame, of which it must take all bytes.
pub(crate) fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    match postcard::take_from_bytes(frame).map_err(FrameError::Malformed)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
    }
}
