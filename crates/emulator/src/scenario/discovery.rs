//! Service discovery: how, and with which delay, proxies learn of changes of the fleet.

use serde::{Deserialize, Serialize};

/// The parameters of simulated service discovery.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// Whether proxies must subscribe to changes; otherwise changes are pushed to all proxies.
    pub watch: bool,
    /// The delay until discovery lists a server that started, in seconds.
    #[serde(rename = "start_s")]
    pub start_delay_s: f64,
    /// The delay until discovery lists a server as draining, in seconds.
    #[serde(rename = "drain_s")]
    pub drain_delay_s: f64,
    /// The delay until discovery removes a server that ended, in seconds.
    #[serde(rename = "gone_s")]
    pub removal_delay_s: f64,
    /// The time over which the notifications of a change are spread over the proxies, in seconds.
    pub spread_s: f64,
    /// The number of queries that discovery answers per second, one after another.
    #[serde(rename = "calls_per_s")]
    pub queries_per_s: f64,
    /// The maximum time that a query is queued, in seconds; a query that would wait longer fails.
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
