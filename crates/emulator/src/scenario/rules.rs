//! The parameters of the four rules that the judge checks.

use serde::{Deserialize, Serialize};

/// The parameters of the four rules (see [`Rule`](crate::Rule)).
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The tolerance for late final answers, in milliseconds: an answer at most this long after the
    /// client's deadline still counts.
    pub answer_slack_ms: f64,
    /// The time after the notification during which a proxy may still send to a server that is
    /// draining or removed, in milliseconds.
    pub drain_grace_ms: f64,
    /// The maximum time without a discovery query, in seconds. A proxy without a subscription that
    /// has sent no query for longer counts as notified.
    #[serde(rename = "ask_within_s")]
    pub max_query_interval_s: f64,
    /// The multiple of its capacity above which a server that is warming up is overloaded and fails,
    /// measured over `overload_window_s`.
    #[serde(rename = "cold_multiple")]
    pub overload_multiple: f64,
    /// The length of the window over which that load is measured, in seconds.
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
