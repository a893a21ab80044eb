//! Scenarios: the input of a run, parsed from TOML and validated before the run starts.
//!
//! `docs/scenarios.md` documents every key. Keys carry their unit (`_s`, `_ms`); shares lie
//! between 0 and 1. An unknown key, a value out of range or a fault that affects nothing is
//! rejected with its line number and the expected value. Where a field's name differs from its key,
//! the key is the older name, kept so that existing files stay valid.

mod class;
mod clients;
mod defaults;
mod discovery;
mod error;
mod fault;
mod network;
mod pool;
mod proxies;
mod rules;
mod validation;

use ironmast_balancer::Micros;
use serde::{Deserialize, Serialize};
use toml::de::{DeTable, DeValue};

pub use class::{Class, DeduplicationGroup, Distribution, EffectSpec};
pub use clients::{Arrivals, Clients, RetryWait};
pub use discovery::DiscoverySpec;
pub use error::{InvalidSetting, ScenarioError, ScenarioProblem, SettingProblem};
pub use fault::{Fault, FaultKind};
pub use network::Network;
pub use pool::Pool;
pub use proxies::Proxies;
pub use rules::Rules;

/// A simulated fleet, its load and its faults, as read from a scenario file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario in reports.
    pub name: String,
    /// The purpose of the scenario, in one sentence.
    #[serde(default)]
    pub about: String,
    /// The time during which clients send requests, in seconds; 0.1 to 86,400.
    pub length_s: f64,
    /// The length of the warm-up of the run, in seconds: operations that begin during it are executed
    /// but not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// The length of the windows of the time series, in seconds; the worst window is one of them.
    #[serde(default = "defaults::window_s")]
    pub window_s: f64,
    /// The names of the zones, which must be distinct. Other settings refer to zones by name.
    pub zones: Vec<String>,
    /// The request rate, arrival process, retries and timeouts of the clients.
    pub clients: Clients,
    /// The number of proxies, their distribution over zones and what their policies may do.
    pub proxies: Proxies,
    /// Network delays, datagram loss and connection timeouts.
    #[serde(default)]
    pub network: Network,
    /// How, and how late, proxies learn of servers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The parameters of the four rules that the judge checks.
    #[serde(default)]
    pub rules: Rules,
    /// The classes of requests; at least one.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The pools of servers; at least one server in all.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// The faults that are injected during the run.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// Converts seconds to microseconds, rounded down.
#[must_use]
pub fn seconds(s: f64) -> Micros {
    (s * 1e6) as Micros
}

/// Converts milliseconds to microseconds, rounded down.
#[must_use]
pub fn millis(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] for the first problem that is found.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| ScenarioError {
            line: line_at(text, error.span().map_or(0, |span| span.start)),
            problem: ScenarioProblem::Syntax(error.message().replace('\n', "; ")),
        })?;
        scenario.validate().map_err(|error| ScenarioError {
            line: line_at(text, offset_of(text, &error.path)),
            problem: error.into(),
        })?;
        Ok(scenario)
    }

    /// Serializes the scenario as TOML that [`Scenario::parse`] accepts.
    ///
    /// # Panics
    /// Never: a scenario consists of plain tables and numbers.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("plain tables and numbers")
    }

    /// The factor by which the rate curve multiplies the clients' request rate at a second of the run;
    /// 1 without a curve.
    #[must_use]
    pub fn rate_factor(&self, at_s: f64) -> f64 {
        let curve = &self.clients.rate_curve;
        let next = curve.partition_point(|(second, _)| *second <= at_s);
        let before = next.checked_sub(1).and_then(|index| curve.get(index));
        match (before, curve.get(next)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (at_s - a.0) / (b.0 - a.0),
            (Some((_, factor)), None) | (None, Some((_, factor))) => *factor,
            (None, None) => 1.0,
        }
    }

    /// The highest factor of the rate curve; 1 without a curve.
    #[must_use]
    pub fn max_rate_factor(&self) -> f64 {
        let curve = &self.clients.rate_curve;
        if curve.is_empty() {
            return 1.0;
        }
        curve.iter().map(|(_, factor)| *factor).fold(0.0, f64::max)
    }

    /// The capacity of all servers together once they have warmed up, in requests per second,
    /// computed from the mean work per request and the mean speed of the cores.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let cores: f64 = self
            .pools
            .iter()
            .map(|p| f64::from(p.servers) * f64::from(p.cores) * (p.speed.0 + p.speed.1) / 2.0)
            .sum();
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let mean_work_s: f64 = self
            .classes
            .iter()
            .map(|class| class.share / shares * class.work_ms / 1e3)
            .sum();
        cores / mean_work_s
    }
}

/// The line number, from 1, of a byte offset in a text.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// The byte offset of the value at a path such as `class.0.name`, or of the innermost existing table
/// or list on the path if the value is missing.
fn offset_of(text: &str, path: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 0;
    };
    let mut offset = root.span().start;
    let mut table = Some(root.get_ref());
    let mut value: Option<&DeValue> = None;
    for key in path.split('.') {
        let next = match (table, value) {
            (Some(table), _) | (None, Some(DeValue::Table(table))) => table.get(key),
            (None, Some(DeValue::Array(items))) => {
                key.parse().ok().and_then(|index: usize| items.get(index))
            }
            _ => None,
        };
        let Some(next) = next else { break };
        offset = next.span().start;
        (table, value) = (None, Some(next.get_ref()));
    }
    offset
}
