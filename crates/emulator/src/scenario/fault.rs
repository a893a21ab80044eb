//! Fault injection: kind, time and targets of each fault.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A fault that is injected during a run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault. Fields that the kind does not use have no effect.
    pub kind: FaultKind,
    /// The time at which the fault begins, in seconds of the run.
    pub at_s: f64,
    /// The duration, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// The share of the servers that are affected ([`FaultKind::ProxyRestart`]: of the proxies).
    #[serde(default = "defaults::fault_share")]
    pub share: f64,
    /// The zone to which the fault is restricted; empty for all zones.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// [`FaultKind::GreyFailure`]: the class whose requests are affected.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// The factor by which servers become slower ([`FaultKind::Slow`], [`FaultKind::SlowDependency`],
    /// [`FaultKind::GreyFailure`]), or the clients' rate rises ([`FaultKind::Surge`]).
    #[serde(default = "defaults::fault_factor")]
    pub factor: f64,
    /// Whether machines vanish without closing their connections ([`FaultKind::ZoneLoss`],
    /// [`FaultKind::Crash`]), or requests are never answered ([`FaultKind::GreyFailure`]).
    #[serde(default)]
    pub silent: bool,
    /// [`FaultKind::ZoneLoss`]: whether the zone's proxies and their clients are lost too.
    #[serde(default, rename = "proxies")]
    pub include_proxies: bool,
    /// [`FaultKind::Deploy`]: the share of the fleet that is replaced in one batch. The batches are
    /// spread evenly over `for_s`.
    #[serde(default = "defaults::batch")]
    pub batch: f64,
    /// [`FaultKind::Deploy`]: the time for which a server drains before it ends, in seconds.
    #[serde(default = "defaults::fault_drain_s")]
    pub drain_s: f64,
    /// [`FaultKind::Pause`]: the length of one pause, in seconds. Pauses begin at intervals of ten
    /// times this length.
    #[serde(default = "defaults::pause_s")]
    pub pause_s: f64,
    /// [`FaultKind::RetryStorm`]: the number of times that clients retry an operation.
    #[serde(default = "defaults::fault_retries")]
    pub retries: u32,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Some servers are slower.
    Slow,
    /// All servers are slower, as when a shared dependency is slow.
    #[serde(rename = "shared-slow")]
    SlowDependency,
    /// One class of requests is slower, or unanswered, at some servers.
    #[serde(rename = "grey")]
    GreyFailure,
    /// Some servers pause repeatedly, for a tenth of the time.
    Pause,
    /// Server processes end, or their machines vanish, and start again when the fault ends.
    Crash,
    /// All servers of a zone crash.
    #[serde(rename = "zone-lost")]
    ZoneLoss,
    /// A zone is partitioned from the others.
    #[serde(rename = "zone-cut")]
    ZonePartition,
    /// Servers are replaced, batch by batch, by new ones with other ids at the same addresses.
    Deploy,
    /// Proxies end, and start again without any state when the fault ends.
    #[serde(rename = "restart")]
    ProxyRestart,
    /// Clients send requests at a higher rate.
    Surge,
    /// Clients retry without delay, as many times as `retries` says.
    RetryStorm,
    /// Discovery answers no queries and ends its subscriptions.
    DiscoveryOutage,
}
