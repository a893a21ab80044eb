//! Scenarios: the input of a run, parsed from TOML and validated before the run starts.
//!
//! `docs/scenarios.md` documents every key. Keys carry their unit (`_s`, `_ms`); shares lie
//! between 0 and 1. An unknown key, a value out of range or a fault that affects nothing is
//! rejected with its line and what was expected. Where a field's name differs from its key, the key
//! is the older name, kept so that existing files stay valid.

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

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// One sentence on its purpose.
    #[serde(default)]
    pub about: String,
    /// How long clients send requests; 0.1 to 86,400.
    pub length_s: f64,
    /// Requests before this second are executed but not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// The length of the windows of the time series and of the worst window.
    #[serde(default = "defaults::window_s")]
    pub window_s: f64,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The clients.
    pub clients: Clients,
    /// The proxies.
    pub proxies: Proxies,
    /// Delays and connections.
    #[serde(default)]
    pub network: Network,
    /// How proxies learn of servers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The parameters of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The groups of equal servers.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// The faults.
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
    /// [`ScenarioError`] for the first thing that is wrong.
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

    /// The scenario as text that [`Scenario::parse`] accepts.
    ///
    /// # Panics
    /// Never: a scenario consists of plain tables and numbers.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("plain tables and numbers")
    }

    /// The clients' rate at a second of the run over their mean rate, by the rate curve.
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

    /// The highest value of the rate curve.
    #[must_use]
    pub fn max_rate_factor(&self) -> f64 {
        let curve = &self.clients.rate_curve;
        if curve.is_empty() {
            return 1.0;
        }
        curve.iter().map(|(_, factor)| *factor).fold(0.0, f64::max)
    }

    /// The requests per second that all servers together can execute when they are warm, by the
    /// mean work and the mean speed.
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

/// The line of an offset in a text, from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// The offset of the value at a path such as `class.0.name`; if it is missing, that of the innermost
/// table or list on the path that exists.
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
