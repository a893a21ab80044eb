//! The handshake: the first frame in each direction.

use serde::{Deserialize, Serialize};

use super::{FrameError, decode, encode};

/// The first four bytes of a handshake, which distinguish it from other protocols.
const MAGIC: [u8; 4] = *b"IRMT";
/// Version of the handshake's format. The bytes after it may differ between versions.
const VERSION: u16 = 1;
/// Maximum length of a handshake in bytes.
pub(super) const MAX_HELLO_BYTES: usize = 1_024;

/// The handshake: the identity of a process and its protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the protocol, which must be the same on both sides.
    pub protocol: String,
    /// Version of the protocol, which must be the same on both sides.
    pub version: u32,
    /// Name of the sender.
    pub node: String,
    /// Incarnation of the sender, which increases with every start.
    pub incarnation: u64,
}

/// Why a handshake is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// The peer's first frame is not a handshake.
    #[error("the peer's first frame is not a handshake")]
    NotAHandshake,
    /// The handshakes have different format versions.
    #[error("the peer's handshake has format version {theirs}, expected {VERSION}")]
    HandshakeVersion {
        /// The peer's format version.
        theirs: u16,
    },
    /// The peer uses another protocol.
    #[error("the peer uses protocol {theirs:?}, expected {ours:?}")]
    Protocol {
        /// The peer's protocol.
        theirs: String,
        /// The protocol of this side.
        ours: String,
    },
    /// The peer uses another version of the protocol.
    #[error("the peer uses protocol version {theirs}, expected {ours}")]
    Version {
        /// The peer's version.
        theirs: u32,
        /// The version of this side.
        ours: u32,
    },
}

impl Hello {
    /// Encodes the handshake as the payload of a frame.
    ///
    /// # Errors
    /// The handshake is longer than [`MAX_HELLO_BYTES`].
    pub(super) fn encode_frame(&self) -> Result<Vec<u8>, FrameError> {
        encode(&(MAGIC, VERSION, self), MAX_HELLO_BYTES)
    }

    /// Decodes the peer's handshake and checks that both sides use the same protocol and version.
    ///
    /// # Errors
    /// The frame is not a handshake, or the protocols or versions differ.
    pub(super) fn check_peer(&self, frame: &[u8]) -> Result<Hello, HelloError> {
        let (start, rest) = postcard::take_from_bytes::<([u8; 4], u16)>(frame).unwrap_or_default();
        let theirs = match start {
            (MAGIC, VERSION) => decode::<Hello>(rest).map_err(|_| HelloError::NotAHandshake)?,
            (MAGIC, theirs) => return Err(HelloError::HandshakeVersion { theirs }),
            _ => return Err(HelloError::NotAHandshake),
        };
        if theirs.protocol != self.protocol {
            return Err(HelloError::Protocol {
                theirs: theirs.protocol,
                ours: self.protocol.clone(),
            });
        }
        if theirs.version != self.version {
            return Err(HelloError::Version {
                theirs: theirs.version,
                ours: self.version,
            });
        }
        Ok(theirs)
    }
}

#[cfg(test)]
mod tests;
