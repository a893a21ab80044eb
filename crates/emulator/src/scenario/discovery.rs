//! Discovery: how proxies learn of servers, and how late.

use serde::{Deserialize, Serialize};

/// How proxies learn of servers.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// Whether proxies must subscribe. Otherwise changes are pushed to all of them.
    pub watch: bool,
    /// The time after which the start of a server is visible.
    #[serde(rename = "start_s")]
    pub start_delay_s: f64,
    /// The time after which it is visible that a server drains.
    #[serde(rename = "drain_s")]
    pub drain_delay_s: f64,
    /// The time after which the end of a server is visible.
    #[serde(rename = "gone_s")]
    pub removal_delay_s: f64,
    /// The time over which a change reaches the proxies.
    pub spread_s: f64,
    /// Queries answered per second, one after another.
    #[serde(rename = "calls_per_s")]
    pub queries_per_s: f64,
    /// A query that would be queued for longer fails.
    #[serde(rename = "most_wait_s")]
    pub max_wait_s: f64,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec {
            watch: true,
            start_delay_s: 1.0,
            drain_delay_s: 0.3,
            removal_delay_s: 1.5,
            spread_s: 0.05,
            queries_per_s: 500.0,
            max_wait_s: 2.0,
        }
    }
}
