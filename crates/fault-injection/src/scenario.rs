//! A fault-injection scenario: the deployment, its load, the faults and the assertions, read from a
//! file.
//!
//! A file (`scenarios/stage/`) names zones and their pay servers, the proxies, a load on each
//! proxy, the faults on links (`[[fault]]`), signals to proxies (`[[signal]]`), pay servers that
//! are slower for some time (`[[slow]]`) and the assertions (`[expect]`). [`parse`] checks every
//! name against the layout before anything starts; [`run`] executes the scenario.

mod runner;
mod validation;

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

pub use runner::{ScenarioResult, SignalError, run};
pub use validation::{ScenarioError, ScenarioProblem, parse};

use crate::deployment::{Layout, ZoneLayout};
use crate::expectations::Expectations;
use crate::fault::Fault;

/// How long a proxy may take to start and to report that it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A scenario as written in its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// A one-sentence description.
    #[serde(default, rename = "about")]
    pub description: String,
    /// The duration of the load in seconds, 0.5 to 600.
    #[serde(rename = "length_s")]
    pub duration_s: f64,
    /// The number of proxies, 1 to 16.
    pub proxies: usize,
    /// The service time of a request on a pay server, in milliseconds.
    #[serde(default = "default_service_time_ms", rename = "work_ms")]
    pub service_time_ms: f64,
    /// The zones; the proxies are in the first.
    #[serde(rename = "zone")]
    pub zones: Vec<Zone>,
    /// The load of each proxy's clients.
    pub load: Load,
    /// Faults on links.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Signals to proxies.
    #[serde(default, rename = "signal")]
    pub signals: Vec<Signal>,
    /// Periods in which pay servers are slower.
    #[serde(default, rename = "slow")]
    pub slowdowns: Vec<Slowdown>,
    /// The assertions on a run.
    #[serde(default, rename = "expect")]
    pub expectations: Expectations,
}

impl Scenario {
    fn layout(&self, program: PathBuf) -> Layout {
        let zones = self.zones.iter().map(|zone| ZoneLayout {
            name: zone.name.clone(),
            servers: zone.servers,
        });
        Layout {
            program,
            zones: zones.collect(),
            proxies: self.proxies,
            service_time: Duration::from_secs_f64(self.service_time_ms.max(0.0) / 1e3),
            start_timeout: START_TIMEOUT,
        }
    }

    /// The names of the zones, in the order of the file.
    #[must_use]
    pub fn zone_names(&self) -> Vec<String> {
        self.zones.iter().map(|zone| zone.name.clone()).collect()
    }
}

fn default_service_time_ms() -> f64 {
    5.0
}

/// A zone and its pay servers.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone; its pay servers are called `NAME-0`, `NAME-1` and so on.
    pub name: String,
    /// The number of pay servers, 1 or more.
    pub servers: usize,
}

/// The load on each proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second on each proxy, above 0 and at most 500.
    pub rate: f64,
    /// The request path; its first segment is the class.
    pub path: String,
    /// The client's timeout in milliseconds.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// A signal to a proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Signal {
    /// Send time, in seconds from the start of the load.
    pub at_s: f64,
    /// The index of the proxy, from 0.
    pub proxy: usize,
    /// Signal, or other operation on the proxy.
    pub kind: SignalKind,
}

/// A signal, or another operation on a proxy.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum SignalKind {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// SIGHUP.
    Hangup,
    /// Starts the proxy again with the same address and state directory.
    Restart,
    /// Empties the state directory of the proxy, as the loss of a disk would.
    Wipe,
}

/// A period in which pay servers are slower.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slowdown {
    /// Start of the period, in seconds from the start of the load.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// The pay servers: a name, or a prefix followed by `*`.
    pub server: String,
    /// The factor on the service time, above 0 and at most 1,000.
    pub factor: f64,
}

impl Slowdown {
    /// Whether the slowdown is in effect `now_s` seconds into the load.
    fn is_active_at(&self, now_s: f64) -> bool {
        (self.at_s..self.at_s + self.for_s).contains(&now_s)
    }
}

#[cfg(test)]
mod tests;
