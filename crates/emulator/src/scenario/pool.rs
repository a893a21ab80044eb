//! Pools: groups of equal servers.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A group of equal servers.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name of this kind of server.
    pub kind: String,
    /// The zone, or `*`: distributed over all zones in turn.
    #[serde(default = "defaults::pool_zone")]
    pub zone: String,
    /// How many.
    pub servers: u32,
    /// The cores of each.
    pub cores: u32,
    /// The most requests executed at once, which share the cores. 0 for one per core; see
    /// [`Pool::slot_count`].
    #[serde(default)]
    pub slots: u32,
    /// The most requests that are queued; further ones are rejected.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    /// The speed of a core, drawn between the two for each server.
    #[serde(default = "defaults::speed")]
    pub speed: (f64, f64),
    /// The most open connections; 0 for no limit.
    #[serde(default)]
    pub connections: u32,
    /// The work of accepting a connection, as time on a core of speed 1.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The work of answering a probe, as time on a core of speed 1.
    #[serde(default)]
    pub probe_work_ms: f64,
    /// The share of its speed that a server has when it starts; 1 for servers that need no warm-up.
    #[serde(default = "defaults::initial_speed_share", rename = "cold_share")]
    pub initial_speed_share: f64,
    /// The time after which it is warm.
    #[serde(default = "defaults::warm_up_s", rename = "cold_s")]
    pub warm_up_s: f64,
    /// The work, in core-seconds, after which it is warm if that is sooner; 0 for time alone.
    #[serde(default, rename = "cold_work_s")]
    pub warm_up_work_s: f64,
    /// The number of requests (executed and queued) per core above which a server is overdriven; 0
    /// for never.
    #[serde(default)]
    pub overdrive_ratio: f64,
    /// How long that must last.
    #[serde(default = "defaults::overdrive_s")]
    pub overdrive_s: f64,
    /// How many times slower an overdriven server is.
    #[serde(default = "defaults::overdrive_factor")]
    pub overdrive_factor: f64,
    /// It recovers once it was at most half busy for this long.
    #[serde(default = "defaults::recover_s")]
    pub recover_s: f64,
    /// Whether it stops, or does not start, work whose request was cancelled.
    #[serde(default = "defaults::enabled")]
    pub drops_cancelled: bool,
    /// Whether it does not start work whose client has given up.
    #[serde(default = "defaults::enabled")]
    pub drops_overdue: bool,
}

impl Pool {
    /// The most requests that a server executes at once.
    #[must_use]
    pub fn slot_count(&self) -> u32 {
        if self.slots == 0 {
            self.cores
        } else {
            self.slots
        }
    }
}
