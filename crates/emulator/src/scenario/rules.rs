//! The parameters of the four rules that the judge checks.

use serde::{Deserialize, Serialize};

/// The parameters of the four rules (see [`Rule`](crate::Rule)).
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A final answer that comes at most this long after the client's deadline still counts.
    pub answer_slack_ms: f64,
    /// How long after the notification a proxy may still send to a server that is draining or
    /// removed.
    pub drain_grace_ms: f64,
    /// A proxy that has neither a subscription nor sent a query for this long counts as notified.
    #[serde(rename = "ask_within_s")]
    pub max_query_interval_s: f64,
    /// A server that is warming up is overloaded, and fails, if it receives more than this multiple
    /// of its capacity in one window.
    #[serde(rename = "cold_multiple")]
    pub overload_multiple: f64,
    /// The length of that window.
    #[serde(rename = "cold_window_s")]
    pub overload_window_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 300.0,
            max_query_interval_s: 10.0,
            overload_multiple: 4.0,
            overload_window_s: 2.0,
        }
    }
}
