//! The protocol between the old and the new process of a hot restart.
//!
//! Messages are JSON, one per line. Each process states its protocol version in its first message. A
//! line that cannot be decoded ends the connection, and each process continues alone.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use crate::overrides::{OverrideState, ServerOverride};

#[cfg(test)]
mod tests;

/// The version of the handover protocol. Processes of different versions do not hand over: each continues
/// alone.
pub const PROTOCOL_VERSION: u32 = 1;

/// The maximum length of a line in bytes: enough for 10,000 servers of some 200 bytes each.
pub const MAX_LINE_BYTES: usize = 8 << 20;

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first message of the new process.
    Hello {
        /// The protocol version of the new process.
        version: u32,
        /// Whether the new process answers [`Message::Claim`]. A build that precedes claims omits
        /// the field and is sent none; the version is unchanged, so that both builds still hand over.
        #[serde(default, rename = "claims")]
        answers_claims: bool,
    },
    /// The answer of the old process. The listening socket and, where there is one, the datagram
    /// socket are passed with its first byte.
    Welcome {
        /// The protocol version of the old process.
        version: u32,
        /// The operators' overrides at the old process.
        #[serde(rename = "bans")]
        overrides: OverrideState,
        /// The endpoint list of the old process in discovery's form; `None` before the first.
        #[serde(rename = "known")]
        endpoints: Option<Value>,
    },
    /// From the old process: the reason why it cannot hand over now.
    Busy(String),
    /// From the new process, once it accepts connections on the clients' address.
    Serving,
    /// From either process: an operator's command changed the override of a server.
    #[serde(rename = "admin")]
    Override(ServerOverride),
    /// From the old process: a client's request of this name is open there.
    Opened(String),
    /// From the old process: a client's request of this name is no longer open there.
    Closed(String),
    /// From the old process, to a successor that answers claims: asks whether the old process may
    /// open a request of this name. The successor decides for both, so that no name is open in both
    /// processes even where both receive it at the same time.
    Claim(String),
    /// From the new process: the answer to a claim. A granted name counts as open at the old process until
    /// it sends [`Message::Closed`] or is lost.
    Claimed {
        /// The name of the request that was claimed.
        #[serde(rename = "txn")]
        request_name: String,
        /// Whether the old process may open the request.
        granted: bool,
    },
}

/// The reason why a line is not a [`Message`].
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the handover line exceeds {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not JSON, or not that of a message.
    #[error("the handover line is not a valid message: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Encodes a message as a line, with its line break.
///
/// # Panics
/// Never: all keys of a message are strings.
#[must_use]
pub fn encode(message: &Message) -> String {
    let mut line = serde_json::to_string(message).expect("all keys are strings");
    line.push('\n');
    line
}

/// Decodes a line, with or without its line break.
///
/// # Errors
/// [`DecodeError`] if the line is too long or not a message.
pub fn decode(line: &[u8]) -> Result<Message, DecodeError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(DecodeError::TooLong);
    }
    Ok(serde_json::from_slice(line)?)
}
