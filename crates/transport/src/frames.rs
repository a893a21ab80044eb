//! Messages between the processes of the system: `postcard` values in frames, each a length of four
//! bytes (big endian) and so many bytes, over connections that begin with a [`Hello`] in both
//! directions.
//!
//! [`MessageTransport`] is what a process sees of it. [`TcpTransport`] is the real one;
//! [`MemoryTransport`] runs without sockets, under a clock and with faults of the caller's choice.
//! `tests/message_transport.rs` is the contract that both keep.

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

/// Bounds of a transport's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// A message takes no more bytes than this; a longer frame ends the link before it is read.
    pub max_frame_bytes: usize,
    /// What may wait to be written on one link.
    pub queue: QueueLimits,
    /// Events that may wait to be taken from a transport; links are not read while so many do.
    pub max_waiting_events: usize,
    /// A link that is not up, with both greetings, within this has failed.
    pub connect_timeout: Duration,
    /// A peer that acknowledges nothing for this long is gone. The system probes in whole seconds,
    /// so that it may take up to two more where nothing is under way.
    pub silence_timeout: Duration,
}

impl Default for LinkOptions {
    fn default() -> Self {
        LinkOptions {
            max_frame_bytes: 8 << 20,
            queue: QueueLimits::default(),
            max_waiting_events: 1_024,
            connect_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(3),
        }
    }
}

/// Why a frame holds no message, or a message no frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It is longer than the bound.
    #[error("a frame is longer than {most} bytes")]
    TooLong {
        /// The bound.
        most: usize,
    },
    /// Its bytes are not those of a message.
    #[error("a frame does not hold a message: {0}")]
    Malformed(postcard::Error),
    /// The connection ended within it.
    #[error("the connection ended within a frame")]
    Truncated,
}

/// The frame of a message, without its length.
pub(crate) fn encode(message: &impl Serialize, most: usize) -> Result<Vec<u8>, FrameError> {
    let frame = postcard::to_stdvec(message).map_err(FrameError::Malformed)?;
    match frame.len() {
        bytes if bytes > most => Err(FrameError::TooLong { most }),
        _ => Ok(frame),
    }
}

/// The message of a frame: all of its bytes.
pub(crate) fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    match postcard::take_from_bytes(frame).map_err(FrameError::Malformed)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
    }
}
