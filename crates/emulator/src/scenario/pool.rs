//! Server pools: groups of servers with the same parameters.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A group of servers with the same parameters.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name of the kind of server, used in reports.
    pub kind: String,
    /// The zone of the servers; `*` distributes them over all zones in turn.
    #[serde(default = "defaults::pool_zone")]
    pub zone: String,
    /// The number of servers.
    pub servers: u32,
    /// The number of cores per server.
    pub cores: u32,
    /// The maximum number of requests that a server executes concurrently, sharing its cores; 0 for
    /// one per core. See [`Pool::slot_count`].
    #[serde(default)]
    pub slots: u32,
    /// The maximum number of queued requests per server; further requests are rejected.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    /// The range from which the speed of a server's cores is drawn; a core of speed 1 does one second
    /// of work per second.
    #[serde(default = "defaults::speed")]
    pub speed: (f64, f64),
    /// The maximum number of open connections per server; 0 for no limit.
    #[serde(default)]
    pub connections: u32,
    /// The work of accepting a connection, in milliseconds on a core of speed 1.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// The work of answering a probe, in milliseconds on a core of speed 1.
    #[serde(default)]
    pub probe_work_ms: f64,
    /// The share of its full speed at which a server starts; 1 for servers that need no warm-up.
    #[serde(default = "defaults::initial_speed_share", rename = "cold_share")]
    pub initial_speed_share: f64,
    /// The duration of the warm-up, in seconds.
    #[serde(default = "defaults::warm_up_s", rename = "cold_s")]
    pub warm_up_s: f64,
    /// The work, in core-seconds, that ends the warm-up before `warm_up_s`; 0 if it ends by time
    /// alone.
    #[serde(default, rename = "cold_work_s")]
    pub warm_up_work_s: f64,
    /// The number of requests (executed and queued) per core above which a server is overdriven; 0
    /// for never.
    #[serde(default)]
    pub overdrive_ratio: f64,
    /// The time for which the ratio must be exceeded before a server is overdriven, in seconds.
    #[serde(default = "defaults::overdrive_s")]
    pub overdrive_s: f64,
    /// The factor by which an overdriven server is slower.
    #[serde(default = "defaults::overdrive_factor")]
    pub overdrive_factor: f64,
    /// The time for which an overdriven server must be at most half busy to recover, in seconds.
    #[serde(default = "defaults::recover_s")]
    pub recover_s: f64,
    /// Whether a server stops, or does not start, the work of a cancelled request.
    #[serde(default = "defaults::enabled")]
    pub drops_cancelled: bool,
    /// Whether a server drops queued work whose client has given up instead of starting it.
    #[serde(default = "defaults::enabled")]
    pub drops_overdue: bool,
}

impl Pool {
    /// The maximum number of requests that a server executes concurrently.
    #[must_use]
    pub fn slot_count(&self) -> u32 {
        if self.slots == 0 {
            self.cores
        } else {
            self.slots
        }
    }
}
