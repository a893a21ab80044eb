//! Registration of servers by heartbeats (PROTOCOL.md, "Service discovery").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Why a heartbeat is rejected.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The body is not the JSON of a heartbeat; holds the parser's error.
    #[error("the heartbeat can't be read: {0}")]
    Malformed(serde_json::Error),
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones (graceful shutdown).
    Draining,
}

/// The body of `PUT /api/instances/ID`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of its service.
    pub backend: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: String,
    /// Version of its software.
    #[serde(default)]
    pub generation: String,
    /// Number of requests that it processes concurrently.
    #[serde(default)]
    pub capacity: u64,
    /// Whether it accepts requests.
    pub state: InstanceState,
    /// Remaining duration of its warmup, in ms.
    #[serde(default)]
    pub warmup_left_ms: f64,
    /// Sequence number; increases with each heartbeat.
    pub sequence: u64,
    /// Remaining time before it is terminated, in ms; `None` while that is not planned.
    #[serde(default)]
    pub remaining_ms: Option<f64>,
}

impl Heartbeat {
    /// Parses the JSON body of a heartbeat.
    ///
    /// # Errors
    /// When the body is malformed.
    pub fn parse(body: &[u8]) -> Result<Self, HeartbeatError> {
        serde_json::from_slice(body).map_err(HeartbeatError::Malformed)
    }
}

#[cfg(test)]
mod tests;
