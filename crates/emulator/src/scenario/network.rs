//! The network: delays, loss and connections.

use serde::{Deserialize, Serialize};

/// The parameters of the simulated network.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The one-way delay within a zone, in milliseconds.
    #[serde(rename = "inside_ms")]
    pub within_zone_ms: f64,
    /// The one-way delay between zones, in milliseconds.
    #[serde(rename = "between_ms")]
    pub between_zones_ms: f64,
    /// The maximum jitter, as a share by which a delay may be longer.
    pub jitter: f64,
    /// The share of datagrams that are lost.
    pub datagram_loss: f64,
    /// The timeout for connecting to a server, in milliseconds.
    pub connect_timeout_ms: f64,
    /// The time after which an idle connection is closed, in seconds.
    #[serde(rename = "idle_close_s")]
    pub idle_timeout_s: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            within_zone_ms: 0.3,
            between_zones_ms: 8.0,
            jitter: 0.2,
            datagram_loss: 0.01,
            connect_timeout_ms: 200.0,
            idle_timeout_s: 60.0,
        }
    }
}
