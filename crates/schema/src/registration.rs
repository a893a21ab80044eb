//! What a server says of itself (PROTOCOL.md, "Service discovery"), and the record kept of it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Why a heartbeat is refused.
#[derive(Debug, thiserror::Error)]
pub enum RegistrationError {
    /// The body is no heartbeat.
    #[error("the heartbeat can't be read: {0}")]
    Unreadable(String),
}

/// Whether a server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It is about to end.
    Draining,
}

/// The body of `PUT /api/instances/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its service.
    pub backend: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The generation of its software.
    #[serde(default)]
    pub generation: String,
    /// Requests that it works on at once.
    #[serde(default)]
    pub capacity: u64,
    /// Whether it takes requests.
    pub state: InstanceState,
    /// How much longer it is cold, in ms.
    #[serde(default)]
    pub warmup_left_ms: f64,
    /// Rises with each call.
    pub sequence: u64,
    /// What is left before it is taken away, in ms.
    #[serde(default)]
    pub remaining_ms: Option<f64>,
}

impl Heartbeat {
    /// Reads a body.
    ///
    /// # Errors
    /// Why it is none.
    pub fn parse(body: &[u8]) -> Result<Self, RegistrationError> {
        serde_json::from_slice(body)
            .map_err(|error| RegistrationError::Unreadable(error.to_string()))
    }
}

#[cfg(test)]
mod tests;
