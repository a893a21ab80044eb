//! The proxies: how many, where, and what their policies may do.

use serde::{Deserialize, Serialize};

use super::defaults;

/// The proxies.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "keys of the scenario file, each on or off"
)]
pub struct Proxies {
    /// How many.
    pub count: u32,
    /// The weight of each zone, in the order of the zones, by which proxies are distributed; equal
    /// if empty.
    #[serde(default)]
    pub zone_weights: Vec<f64>,
    /// The most attempts for one request.
    #[serde(default = "defaults::max_attempts", rename = "most_tries")]
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once (hedging).
    #[serde(default, rename = "may_duplicate")]
    pub allow_hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(default = "defaults::enabled")]
    pub cancel: bool,
    /// Whether servers may be probed (active health checks).
    #[serde(default = "defaults::enabled")]
    pub probes: bool,
    /// Whether proxies may send each other messages.
    #[serde(default)]
    pub peers: bool,
    /// Whether servers report their load in the answer to a probe.
    #[serde(default = "defaults::enabled")]
    pub load_reports: bool,
    /// The longest Retry-After that clients respect.
    #[serde(default = "defaults::max_retry_after_s")]
    pub max_retry_after_s: f64,
    /// The penalty of sending a request to another zone, as a share of its value. The module waits
    /// for capacity in its own zone for that share of the latency target.
    #[serde(default = "defaults::cross_zone_penalty", rename = "cross_zone")]
    pub cross_zone_penalty: f64,
    /// Whether the endpoint list shows the servers' true capacities.
    #[serde(default, rename = "sizes")]
    pub list_shows_capacity: bool,
}
