//! Faults: what fails, when, and whom it affects.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A fault.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    pub kind: FaultKind,
    /// The second of the run at which it begins.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// The share of the servers that it affects ([`FaultKind::ProxyRestart`]: of the proxies).
    #[serde(default = "defaults::fault_share")]
    pub share: f64,
    /// Affects only this zone, unless empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// [`FaultKind::GreyFailure`]: the class that it affects.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// How many times slower servers are ([`FaultKind::Slow`], [`FaultKind::SlowDependency`],
    /// [`FaultKind::GreyFailure`]), or how many times higher the rate ([`FaultKind::Surge`]).
    #[serde(default = "defaults::fault_factor")]
    pub factor: f64,
    /// Whether machines vanish without closing their connections ([`FaultKind::ZoneLoss`],
    /// [`FaultKind::Crash`]), or requests are never answered ([`FaultKind::GreyFailure`]).
    #[serde(default)]
    pub silent: bool,
    /// [`FaultKind::ZoneLoss`]: whether the zone's proxies and their clients are lost too.
    #[serde(default, rename = "proxies")]
    pub include_proxies: bool,
    /// [`FaultKind::Deploy`]: the share of the fleet that is replaced at once. The batches are
    /// spread over `for_s`.
    #[serde(default = "defaults::batch")]
    pub batch: f64,
    /// [`FaultKind::Deploy`]: how long a server drains before it ends.
    #[serde(default = "defaults::fault_drain_s")]
    pub drain_s: f64,
    /// [`FaultKind::Pause`]: the length of one pause. A pause begins every ten times this long.
    #[serde(default = "defaults::pause_s")]
    pub pause_s: f64,
    /// [`FaultKind::RetryStorm`]: how many times clients retry.
    #[serde(default = "defaults::fault_retries")]
    pub retries: u32,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Some servers are slower.
    Slow,
    /// All servers are slower, because of something that they share.
    #[serde(rename = "shared-slow")]
    SlowDependency,
    /// One class of requests is slower, or unanswered, at some servers.
    #[serde(rename = "grey")]
    GreyFailure,
    /// Some servers pause again and again.
    Pause,
    /// Processes end, or machines vanish, and start again after a while.
    Crash,
    /// All servers of a zone crash.
    #[serde(rename = "zone-lost")]
    ZoneLoss,
    /// A zone is partitioned from the others.
    #[serde(rename = "zone-cut")]
    ZonePartition,
    /// Servers are replaced, batch by batch, by new ones with other ids at the same addresses.
    Deploy,
    /// Proxies end and start again without any state.
    #[serde(rename = "restart")]
    ProxyRestart,
    /// Clients send more requests.
    Surge,
    /// Clients retry at once, and more often.
    RetryStorm,
    /// Discovery answers no query, and ends its subscriptions.
    DiscoveryOutage,
}
