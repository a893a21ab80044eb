//! The proxies: their number, their distribution over zones and the limits of their policies.

use serde::{Deserialize, Serialize};

use super::defaults;

/// The number and placement of the proxies, and what their policies may do.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "keys of the scenario file, each on or off"
)]
pub struct Proxies {
    /// The number of proxies.
    pub count: u32,
    /// The weights by which proxies are distributed over the zones, in the order of the zones; empty
    /// for equal weights.
    #[serde(default)]
    pub zone_weights: Vec<f64>,
    /// The maximum number of attempts for one request; 1 to 3.
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
    /// Whether servers report their load in answers to probes.
    #[serde(default = "defaults::enabled")]
    pub load_reports: bool,
    /// The longest Retry-After that clients respect, in seconds.
    #[serde(default = "defaults::max_retry_after_s")]
    pub max_retry_after_s: f64,
    /// The penalty for sending a request to another zone, as a share of its value. The balancer waits
    /// for capacity in its own zone for up to this share of the latency target.
    #[serde(default = "defaults::cross_zone_penalty", rename = "cross_zone")]
    pub cross_zone_penalty: f64,
    /// Whether the endpoint list shows the servers' true capacities.
    #[serde(default, rename = "sizes")]
    pub list_shows_capacity: bool,
}
