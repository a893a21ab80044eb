//! Registration of servers by heartbeats (PROTOCOL.md, "Service discovery").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Why a heartbeat is rejected.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The body is not the JSON of a heartbeat; contains the parser's error.
    #[error("the heartbeat can't be read: {0}")]
    Malformed(serde_json::Error),
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones (graceful shutdown).
    Draining,
}

/// The body of `PUT /api/instances/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the service that the server belongs to.
    pub backend: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Zone that the server runs in.
    pub zone: String,
    /// Version of the server's software; empty if the server does not send it.
    #[serde(default)]
    pub generation: String,
    /// Number of requests that the server processes concurrently; 0 if it does not send the number.
    #[serde(default)]
    pub capacity: u64,
    /// Whether the server accepts new requests.
    pub state: InstanceState,
    /// Remaining duration of the server's warmup, in ms; 0 once it is warm.
    #[serde(default)]
    pub warmup_left_ms: f64,
    /// Sequence number; increases with each heartbeat.
    pub sequence: u64,
    /// Remaining time before the server is terminated, in ms; `None` while no termination is
    /// planned.
    #[serde(default)]
    pub remaining_ms: Option<f64>,
}

impl Heartbeat {
    /// Parses the JSON body of a heartbeat.
    ///
    /// # Errors
    /// [`HeartbeatError::Malformed`] if the body is not the JSON of a heartbeat.
    pub fn parse(body: &[u8]) -> Result<Self, HeartbeatError> {
        serde_json::from_slice(body).map_err(HeartbeatError::Malformed)
    }
}

#[cfg(test)]
mod tests;
