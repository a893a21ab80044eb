//! Scenarios: what a run is made of, read from TOML and checked before anything starts.
//!
//! Every key is documented in `docs/scenarios.md`. Keys carry their unit (`_s`, `_ms`); shares lie
//! between 0 and 1. Nothing is guessed: an unknown key, a value out of range or a trouble that
//! names nobody is refused with its line and what was expected.

use std::fmt::Display;

use ironmast_balancer::Micros;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Why a scenario was refused.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("line {line}: {problem}")]
pub struct ScenarioError {
    /// The line in the text, from 1.
    pub line: usize,
    /// What is wrong, and what was expected.
    pub problem: String,
}

/// A whole scenario.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, as reports show it.
    pub name: String,
    /// One sentence on what it is for.
    #[serde(default)]
    pub about: String,
    /// Clients ask for this long; 0.1 to 86,400.
    pub length_s: f64,
    /// What begins before this is played but not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// Length of the windows of the time series and of the worst window.
    #[serde(default = "defaults::window_s")]
    pub window_s: f64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Who the clients are and how they ask.
    pub clients: Clients,
    /// The proxies, and what they may do.
    pub proxies: Proxies,
    /// Latency and connections.
    #[serde(default)]
    pub network: Network,
    /// How proxies hear of servers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The figures of the four rules.
    #[serde(default)]
    pub rules: Rules,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Groups of like servers.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

/// How clients ask.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Requests a second, over all proxies, retries not counted.
    pub rate: f64,
    /// How arrivals are spaced: poisson, even, bursty.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Bursty: mean length of a burst and of the rest between two, and the rate inside a burst as a
    /// multiple.
    #[serde(default = "defaults::one")]
    pub burst_s: f64,
    /// See `burst_s`.
    #[serde(default = "defaults::one")]
    pub rest_s: f64,
    /// See `burst_s`.
    #[serde(default = "defaults::two")]
    pub burst_factor: f64,
    /// The rate over time, as (second, factor): straight lines between the points, level outside of
    /// them.
    #[serde(default)]
    #[serde(rename = "curve")]
    pub rate_curve: Vec<(f64, f64)>,
    /// One proxy's traffic against an ordinary one's.
    #[serde(default = "defaults::one")]
    #[serde(rename = "busiest")]
    pub first_proxy_weight: f64,
    /// Further tries of one request at most.
    #[serde(default)]
    pub retries: u32,
    /// When they come: at-once, fixed, exponential, retry-after.
    #[serde(default)]
    pub retry_wait: RetryWait,
    /// Wait of `fixed`, first wait of `exponential`, least wait of `retry-after`.
    #[serde(default = "defaults::retry_ms")]
    pub retry_ms: f64,
    /// A try is given up after this share of the class's deadline, drawn between the two.
    #[serde(default = "defaults::patience")]
    #[serde(rename = "patience")]
    pub timeout_share: (f64, f64),
    /// Share of tries whose client leaves at some time before that, unannounced.
    #[serde(default)]
    #[serde(rename = "walk_away")]
    pub disconnect_share: f64,
}

/// How arrivals are spaced.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent of each other.
    #[default]
    Poisson,
    /// One after the other at the same distance.
    Even,
    /// Poisson, at a rate that jumps up and down.
    Bursty,
}

/// When a client tries again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RetryWait {
    /// In the same moment.
    AtOnce,
    /// After `retry_ms`, give or take a fifth.
    #[default]
    Fixed,
    /// After `retry_ms`, twice that, four times ... with full jitter.
    Exponential,
    /// When the refusal says, at least `retry_ms` later.
    RetryAfter,
}

/// The proxies.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "keys of the scenario file, each on or off"
)]
pub struct Proxies {
    /// How many.
    pub count: u32,
    /// Weights of the zones, in their order; even where left out.
    #[serde(default)]
    pub zone_weights: Vec<f64>,
    /// Attempts for a request at most.
    #[serde(default = "defaults::tries")]
    #[serde(rename = "most_tries")]
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    #[serde(default)]
    #[serde(rename = "may_duplicate")]
    pub allow_hedging: bool,
    /// Attempts may be called off.
    #[serde(default = "defaults::yes")]
    pub cancel: bool,
    /// Servers may be probed.
    #[serde(default = "defaults::yes")]
    pub probes: bool,
    /// Proxies may send each other messages.
    #[serde(default)]
    pub peers: bool,
    /// Servers tell their load when probed.
    #[serde(default = "defaults::yes")]
    pub load_reports: bool,
    /// The longest stay-away a client honours.
    #[serde(default = "defaults::two")]
    pub max_retry_after_s: f64,
    /// What crossing zones costs, as a share of the worth: the module waits that long for room at
    /// home.
    #[serde(default = "defaults::cross_zone")]
    #[serde(rename = "cross_zone")]
    pub cross_zone_penalty: f64,
    /// The list tells the servers' true sizes.
    #[serde(default)]
    #[serde(rename = "sizes")]
    pub list_shows_capacity: bool,
}

/// Latency and connections.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way inside a zone.
    #[serde(rename = "inside_ms")]
    pub within_zone_ms: f64,
    /// One way between zones.
    #[serde(rename = "between_ms")]
    pub between_zones_ms: f64,
    /// A way takes longer by up to this share.
    pub jitter: f64,
    /// Share of datagrams lost.
    pub datagram_loss: f64,
    /// A connection that is not made by then counts as failed.
    pub connect_timeout_ms: f64,
    /// Idle connections close after this.
    #[serde(rename = "idle_close_s")]
    pub idle_timeout_s: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            within_zone_ms: 0.3,
            between_zones_ms: 8.0,
            jitter: 0.2,
            datagram_loss: 0.01,
            connect_timeout_ms: 200.0,
            idle_timeout_s: 60.0,
        }
    }
}

/// How proxies hear of servers.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// True: proxies must watch. False: changes reach them unasked.
    pub watch: bool,
    /// News of a start, a drain and an end comes this late.
    #[serde(rename = "start_s")]
    pub start_delay_s: f64,
    /// See `start_s`.
    #[serde(rename = "drain_s")]
    pub drain_delay_s: f64,
    /// See `start_s`.
    #[serde(rename = "gone_s")]
    pub removal_delay_s: f64,
    /// News is spread over this time among the proxies.
    pub spread_s: f64,
    /// Calls answered a second, one after another.
    #[serde(rename = "calls_per_s")]
    pub queries_per_s: f64,
    /// A call that would wait longer fails.
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

/// The figures of the four rules.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// A final answer this long after the client's deadline still counts.
    pub answer_slack_ms: f64,
    /// Nothing new to a draining or gone server this long after being told.
    pub drain_grace_ms: f64,
    /// A proxy that neither watches nor asks for this long counts as told.
    #[serde(rename = "ask_within_s")]
    pub max_query_interval_s: f64,
    /// A cold server sent more than this multiple of its capacity ...
    #[serde(rename = "cold_multiple")]
    pub overload_multiple: f64,
    /// ... in a window of this length falls over.
    #[serde(rename = "cold_window_s")]
    pub overload_window_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 20.0,
            drain_grace_ms: 300.0,
            max_query_interval_s: 10.0,
            overload_multiple: 4.0,
            overload_window_s: 2.0,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, against the others'.
    #[serde(default = "defaults::one")]
    pub share: f64,
    /// What a repeat does: free (no harm), keyed (dropped for a while), once (must never run
    /// twice).
    pub effect: EffectSpec,
    /// Keyed: which servers drop a repeat.
    #[serde(default)]
    pub group: DeduplicationGroup,
    /// Keyed: for how long after the first run.
    #[serde(default = "defaults::four")]
    #[serde(rename = "dedup_s")]
    pub deduplication_window_s: f64,
    /// How its work is distributed: fixed, exponential, lognormal.
    #[serde(default)]
    #[serde(rename = "law")]
    pub distribution: Distribution,
    /// Mean work, on a core of speed 1.
    pub work_ms: f64,
    /// Lognormal: standard deviation over mean.
    #[serde(default = "defaults::half")]
    pub cv: f64,
    /// An answer within this earns its worth.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// A client waits this long at most, over all its tries.
    pub deadline_ms: f64,
    /// What an answer in time is worth.
    #[serde(default = "defaults::one")]
    #[serde(rename = "worth")]
    pub value: f64,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectSpec {
    /// No harm.
    #[serde(rename = "free")]
    Idempotent,
    /// Dropped by servers for a while.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// Must never happen.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Which servers drop a repeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationGroup {
    /// All of them.
    #[default]
    All,
    /// Those of the first one's zone.
    Zone,
}

/// Distribution of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Memoryless.
    Exponential,
    /// Long-tailed, by `cv`.
    #[default]
    Lognormal,
}

/// A group of like servers.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Their kind.
    pub kind: String,
    /// Their zone, or `*`: dealt out over all zones in turn.
    #[serde(default = "defaults::everywhere")]
    pub zone: String,
    /// How many.
    pub servers: u32,
    /// Cores of each.
    pub cores: u32,
    /// Requests in work at once; beyond the cores they share them. The cores where left out.
    #[serde(default)]
    pub slots: u32,
    /// Requests that may wait; more are turned away.
    #[serde(default = "defaults::queue")]
    pub queue: u32,
    /// Speed of a core, drawn between the two.
    #[serde(default = "defaults::speed")]
    pub speed: (f64, f64),
    /// Open connections at most; 0 for no limit.
    #[serde(default)]
    pub connections: u32,
    /// Work of a new connection and of a probe.
    #[serde(default)]
    pub handshake_work_ms: f64,
    /// See `handshake_work_ms`.
    #[serde(default)]
    pub probe_work_ms: f64,
    /// A started server begins with this share of its capacity; 1 for no cold start.
    #[serde(default = "defaults::one")]
    #[serde(rename = "cold_share")]
    pub initial_speed_share: f64,
    /// And is warm after this.
    #[serde(default = "defaults::eight")]
    #[serde(rename = "cold_s")]
    pub warm_up_s: f64,
    /// Or after this much work, in core-seconds, if that is sooner; 0: by time alone.
    #[serde(default)]
    #[serde(rename = "cold_work_s")]
    pub warm_up_work_s: f64,
    /// More than this many requests held for each core overdrive it; 0: never.
    #[serde(default)]
    pub overdrive_ratio: f64,
    /// If that lasts so long.
    #[serde(default = "defaults::two")]
    pub overdrive_s: f64,
    /// It turns slower by this factor.
    #[serde(default = "defaults::two")]
    pub overdrive_factor: f64,
    /// Until it has been at most half busy for so long.
    #[serde(default = "defaults::three")]
    pub recover_s: f64,
    /// Work stops, or does not begin, once its request is cancelled.
    #[serde(default = "defaults::yes")]
    pub drops_cancelled: bool,
    /// Work does not begin once its client has given up.
    #[serde(default = "defaults::yes")]
    pub drops_overdue: bool,
}

impl Pool {
    /// Requests in work at once.
    #[must_use]
    pub fn in_work(&self) -> u32 {
        if self.slots == 0 {
            self.cores
        } else {
            self.slots
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From this second on.
    pub at_s: f64,
    /// For so long.
    #[serde(default)]
    pub for_s: f64,
    /// Share of the servers (or, for restart, of the proxies) that it meets.
    #[serde(default = "defaults::one")]
    pub share: f64,
    /// Only those of that zone.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
    /// Only that class (grey).
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// How much slower (slow, shared-slow, grey), or how many times the load (surge).
    #[serde(default = "defaults::two")]
    pub factor: f64,
    /// Without a sign: machines vanish (zone-lost, crash), answers never come (grey).
    #[serde(default)]
    pub silent: bool,
    /// The zone's proxies and their clients are lost with it.
    #[serde(default)]
    #[serde(rename = "proxies")]
    pub include_proxies: bool,
    /// Deploy: share of the fleet replaced at a time, over `for_s` in all.
    #[serde(default = "defaults::tenth")]
    pub batch: f64,
    /// Deploy: how long a server drains before it ends.
    #[serde(default = "defaults::three")]
    pub drain_s: f64,
    /// Pause: length of one; they come every ten times as long.
    #[serde(default = "defaults::half")]
    pub pause_s: f64,
    /// Retry storm: tries that clients make at once in place of their own rule.
    #[serde(default = "defaults::tries")]
    pub retries: u32,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Some servers are slower.
    Slow,
    /// All servers are slower: something that they depend on.
    #[serde(rename = "shared-slow")]
    SlowDependency,
    /// One class is slow or unanswered on some servers.
    #[serde(rename = "grey")]
    GreyFailure,
    /// Some servers stop for a moment, again and again.
    Pause,
    /// Processes end, or machines vanish, and come back cold.
    Crash,
    /// All servers of a zone do.
    #[serde(rename = "zone-lost")]
    ZoneLoss,
    /// A zone's links to the others carry nothing.
    #[serde(rename = "zone-cut")]
    ZonePartition,
    /// Servers are replaced, batch by batch, by cold ones with new ids at the same addresses.
    Deploy,
    /// Proxies end and begin from nothing.
    #[serde(rename = "restart")]
    ProxyRestart,
    /// Clients ask more often.
    Surge,
    /// Clients try again at once, and more often.
    RetryStorm,
    /// Discovery answers nobody, and its watches end.
    DiscoveryOutage,
}

mod defaults {
    pub(super) fn window_s() -> f64 {
        10.0
    }
    pub(super) fn tenth() -> f64 {
        0.1
    }
    pub(super) fn half() -> f64 {
        0.5
    }
    pub(super) fn one() -> f64 {
        1.0
    }
    pub(super) fn two() -> f64 {
        2.0
    }
    pub(super) fn three() -> f64 {
        3.0
    }
    pub(super) fn four() -> f64 {
        4.0
    }
    pub(super) fn eight() -> f64 {
        8.0
    }
    pub(super) fn retry_ms() -> f64 {
        100.0
    }
    pub(super) fn patience() -> (f64, f64) {
        (1.0, 1.0)
    }
    pub(super) fn speed() -> (f64, f64) {
        (1.0, 1.0)
    }
    pub(super) fn tries() -> u32 {
        3
    }
    pub(super) fn queue() -> u32 {
        64
    }
    pub(super) fn yes() -> bool {
        true
    }
    pub(super) fn everywhere() -> String {
        "*".into()
    }
    pub(super) fn cross_zone() -> f64 {
        0.16
    }
}

/// Seconds as whole microseconds.
#[must_use]
pub fn seconds(s: f64) -> Micros {
    (s * 1e6) as Micros
}

/// Milliseconds as whole microseconds.
#[must_use]
pub fn millis(ms: f64) -> Micros {
    (ms * 1e3) as Micros
}

/// A setting that is out of its range or contradicts another.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{path} {problem}")]
pub struct InvalidSetting {
    /// Its path in the file.
    pub path: String,
    /// What is wrong, and what was expected.
    pub problem: String,
}

fn within<T: PartialOrd + Display + Copy>(
    path: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), InvalidSetting> {
    // Written so that a NaN is out of range too.
    if value >= min && value <= max {
        return Ok(());
    }
    invalid(path, format!("is {value}, expected {min} to {max}"))
}

fn invalid<T>(path: impl Into<String>, problem: impl Into<String>) -> Result<T, InvalidSetting> {
    Err(InvalidSetting {
        path: path.into(),
        problem: problem.into(),
    })
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] for the first thing that is wrong.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let scenario: Scenario = toml::from_str(text).map_err(|e| ScenarioError {
            line: line(e.span().map_or(0, |s| s.start)),
            problem: e.message().replace('\n', "; "),
        })?;
        scenario.validate().map_err(|error| ScenarioError {
            line: line(offset(text, &error.path)),
            problem: error.to_string(),
        })?;
        Ok(scenario)
    }

    /// The scenario as text that [`Scenario::parse`] reads.
    ///
    /// # Panics
    /// Never: a scenario consists of plain tables and numbers.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("plain tables and numbers")
    }

    /// Checks that each setting is in its range and that they do not contradict each other.
    ///
    /// # Errors
    /// [`InvalidSetting`] for the first that fails.
    #[expect(
        clippy::too_many_lines,
        reason = "one check for each key, in the order of the file"
    )]
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let share = |path: &str, v: f64| within(path, v, 0.0, 1.0);
        if self.name.is_empty() {
            return invalid("name", "is empty, expected a name");
        }
        within("length_s", self.length_s, 0.1, 86_400.0)?;
        within("warmup_s", self.warmup_s, 0.0, self.length_s)?;
        within("window_s", self.window_s, 0.01, 86_400.0)?;
        within("zones", self.zones.len(), 1, 1_000)?;
        for (i, zone) in self.zones.iter().enumerate() {
            if zone.is_empty() || zone == "*" || self.zones[..i].contains(zone) {
                return invalid(
                    "zones",
                    format!("names `{zone}` at {i}, expected names that differ"),
                );
            }
        }
        self.validate_clients()?;
        let p = &self.proxies;
        within("proxies.count", p.count, 1, 100_000)?;
        within("proxies.most_tries", p.max_attempts, 1, 3)?;
        within(
            "proxies.max_retry_after_s",
            p.max_retry_after_s,
            0.0,
            3_600.0,
        )?;
        share("proxies.cross_zone", p.cross_zone_penalty)?;
        if !p.zone_weights.is_empty() {
            let sound = p.zone_weights.iter().all(|w| w.is_finite() && *w >= 0.0);
            if p.zone_weights.len() != self.zones.len()
                || !sound
                || p.zone_weights.iter().sum::<f64>() <= 0.0
            {
                return invalid(
                    "proxies.zone_weights",
                    "do not fit, expected one weight from 0 for each zone",
                );
            }
        }
        let n = &self.network;
        for (path, v) in [
            ("network.inside_ms", n.within_zone_ms),
            ("network.between_ms", n.between_zones_ms),
        ] {
            within(path, v, 0.0, 10_000.0)?;
        }
        within("network.jitter", n.jitter, 0.0, 10.0)?;
        share("network.datagram_loss", n.datagram_loss)?;
        within(
            "network.connect_timeout_ms",
            n.connect_timeout_ms,
            1.0,
            60_000.0,
        )?;
        within("network.idle_close_s", n.idle_timeout_s, 0.1, 86_400.0)?;
        let d = &self.discovery;
        for (path, v) in [
            ("discovery.start_s", d.start_delay_s),
            ("discovery.drain_s", d.drain_delay_s),
            ("discovery.gone_s", d.removal_delay_s),
            ("discovery.spread_s", d.spread_s),
            ("discovery.most_wait_s", d.max_wait_s),
        ] {
            within(path, v, 0.0, 3_600.0)?;
        }
        within("discovery.calls_per_s", d.queries_per_s, 0.1, 1e6)?;
        let r = &self.rules;
        within("rules.answer_slack_ms", r.answer_slack_ms, 0.0, 10_000.0)?;
        within("rules.drain_grace_ms", r.drain_grace_ms, 0.0, 60_000.0)?;
        within("rules.ask_within_s", r.max_query_interval_s, 0.1, 3_600.0)?;
        within("rules.cold_multiple", r.overload_multiple, 1.0, 100.0)?;
        within("rules.cold_window_s", r.overload_window_s, 0.1, 60.0)?;
        within("class", self.classes.len(), 1, 100)?;
        for (i, class) in self.classes.iter().enumerate() {
            class.validate(&format!("class.{i}"))?;
            if self.classes[..i].iter().any(|c| c.name == class.name) {
                return invalid(
                    format!("class.{i}.name"),
                    "stands twice, expected names that differ",
                );
            }
        }
        within("pool", self.pools.len(), 1, 1_000)?;
        for (i, pool) in self.pools.iter().enumerate() {
            pool.validate(&format!("pool.{i}"))?;
            if pool.zone != "*" && !self.zones.contains(&pool.zone) {
                let zones = self.zones.join(", ");
                return invalid(
                    format!("pool.{i}.zone"),
                    format!("is `{}`, expected *, {zones}", pool.zone),
                );
            }
        }
        within(
            "pool",
            self.pools.iter().map(|p| u64::from(p.servers)).sum(),
            1,
            100_000,
        )?;
        self.faults
            .iter()
            .enumerate()
            .try_for_each(|(i, t)| t.validate(&format!("trouble.{i}"), self))
    }

    fn validate_clients(&self) -> Result<(), InvalidSetting> {
        let c = &self.clients;
        within("clients.rate", c.rate, 0.001, 1e7)?;
        within("clients.burst_s", c.burst_s, 0.001, 3_600.0)?;
        within("clients.rest_s", c.rest_s, 0.001, 3_600.0)?;
        within("clients.burst_factor", c.burst_factor, 1.0, 1_000.0)?;
        within("clients.busiest", c.first_proxy_weight, 0.001, 1e6)?;
        within("clients.retries", c.retries, 0, 100)?;
        within("clients.retry_ms", c.retry_ms, 0.0, 3_600_000.0)?;
        within("clients.walk_away", c.disconnect_share, 0.0, 1.0)?;
        let (from, to) = c.timeout_share;
        if !(from > 0.0 && from <= to && to <= 1.0) {
            return invalid(
                "clients.patience",
                format!("is {from} to {to}, expected two rising shares over 0 up to 1"),
            );
        }
        let rising = c.rate_curve.windows(2).all(|w| w[0].0 < w[1].0);
        let sound = c
            .rate_curve
            .iter()
            .all(|p| p.0.is_finite() && p.1.is_finite() && (0.0..=1_000.0).contains(&p.1));
        if !rising || !sound {
            return invalid(
                "clients.curve",
                "does not fit, expected rising seconds, each with a factor from 0 to 1000",
            );
        }
        Ok(())
    }

    /// The rate against the mean at a second, by the curve.
    #[must_use]
    pub fn rate_factor(&self, at_s: f64) -> f64 {
        let curve = &self.clients.rate_curve;
        let next = curve.partition_point(|p| p.0 <= at_s);
        match (
            next.checked_sub(1).and_then(|i| curve.get(i)),
            curve.get(next),
        ) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (at_s - a.0) / (b.0 - a.0),
            (Some(a), None) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 1.0,
        }
    }

    /// The highest value of the curve.
    pub fn max_rate_factor(&self) -> f64 {
        let most = self
            .clients
            .rate_curve
            .iter()
            .map(|p| p.1)
            .fold(0.0, f64::max);
        if self.clients.rate_curve.is_empty() {
            1.0
        } else {
            most
        }
    }

    /// Requests a second that all servers together can serve when warm, by mean work and mean
    /// speed.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let cores: f64 = self
            .pools
            .iter()
            .map(|p| f64::from(p.servers) * f64::from(p.cores) * (p.speed.0 + p.speed.1) / 2.0)
            .sum();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        cores
            / self
                .classes
                .iter()
                .map(|c| c.share / shares * c.work_ms / 1e3)
                .sum::<f64>()
    }
}

impl Class {
    fn validate(&self, at: &str) -> Result<(), InvalidSetting> {
        if self.name.is_empty() {
            return invalid(format!("{at}.name"), "is empty, expected a name");
        }
        within(&format!("{at}.share"), self.share, 1e-6, 1e6)?;
        within(
            &format!("{at}.dedup_s"),
            self.deduplication_window_s,
            0.0,
            3_600.0,
        )?;
        within(&format!("{at}.work_ms"), self.work_ms, 0.001, 3_600_000.0)?;
        within(&format!("{at}.cv"), self.cv, 0.0, 100.0)?;
        within(
            &format!("{at}.aim_ms"),
            self.latency_target_ms,
            0.1,
            3_600_000.0,
        )?;
        within(
            &format!("{at}.deadline_ms"),
            self.deadline_ms,
            self.latency_target_ms,
            3_600_000.0,
        )?;
        within(&format!("{at}.worth"), self.value, 0.0, 1e6)
    }
}

impl Pool {
    fn validate(&self, at: &str) -> Result<(), InvalidSetting> {
        let at = |key: &str| format!("{at}.{key}");
        within(&at("servers"), self.servers, 0, 100_000)?;
        within(&at("cores"), self.cores, 1, 1_024)?;
        within(&at("slots"), self.in_work(), self.cores, 100_000)?;
        within(&at("queue"), self.queue, 0, 100_000_000)?;
        let (from, to) = self.speed;
        if !(from > 0.0 && from <= to && to <= 1_000.0) {
            return invalid(
                at("speed"),
                format!("is {from} to {to}, expected two rising speeds over 0"),
            );
        }
        within(
            &at("handshake_work_ms"),
            self.handshake_work_ms,
            0.0,
            1_000.0,
        )?;
        within(&at("probe_work_ms"), self.probe_work_ms, 0.0, 1_000.0)?;
        within(&at("cold_share"), self.initial_speed_share, 0.01, 1.0)?;
        within(&at("cold_s"), self.warm_up_s, 0.001, 3_600.0)?;
        within(&at("cold_work_s"), self.warm_up_work_s, 0.0, 1e6)?;
        within(&at("overdrive_ratio"), self.overdrive_ratio, 0.0, 1e6)?;
        within(&at("overdrive_s"), self.overdrive_s, 0.0, 3_600.0)?;
        within(&at("overdrive_factor"), self.overdrive_factor, 1.0, 1_000.0)?;
        within(&at("recover_s"), self.recover_s, 0.0, 3_600.0)
    }
}

impl Fault {
    fn validate(&self, at: &str, scenario: &Scenario) -> Result<(), InvalidSetting> {
        use FaultKind as K;
        let at = |key: &str| format!("{at}.{key}");
        within(&at("at_s"), self.at_s, 0.0, scenario.length_s)?;
        let least = if self.kind == K::ProxyRestart {
            0.0
        } else {
            0.001
        };
        within(&at("for_s"), self.for_s, least, 86_400.0)?;
        within(&at("share"), self.share, 0.001, 1.0)?;
        within(&at("factor"), self.factor, 0.01, 1_000.0)?;
        within(&at("batch"), self.batch, 0.001, 1.0)?;
        within(&at("drain_s"), self.drain_s, 0.0, 600.0)?;
        within(&at("pause_s"), self.pause_s, 0.001, 600.0)?;
        within(&at("retries"), self.retries, 0, 100)?;
        let zone_wanted = matches!(self.kind, K::ZoneLoss | K::ZonePartition);
        let (zones, classes) = (&scenario.zones, || {
            scenario.classes.iter().map(|c| c.name.as_str())
        });
        if zone_wanted && self.zone.is_empty() {
            return invalid(
                at("zone"),
                format!("is missing, expected one of {}", zones.join(", ")),
            );
        }
        if !self.zone.is_empty() && !zones.contains(&self.zone) {
            return invalid(
                at("zone"),
                format!("is `{}`, expected one of {}", self.zone, zones.join(", ")),
            );
        }
        let class_known = classes().any(|c| c == self.class);
        if (!self.class.is_empty() || self.kind == K::GreyFailure) && !class_known {
            let classes = classes().collect::<Vec<_>>().join(", ");
            return invalid(
                at("class"),
                format!("is `{}`, expected one of {classes}", self.class),
            );
        }
        let of_servers = !matches!(
            self.kind,
            K::ZonePartition
                | K::ProxyRestart
                | K::Surge
                | K::RetryStorm
                | K::DiscoveryOutage
                | K::SlowDependency
        );
        let here = |p: &Pool| {
            p.servers > 0 && (self.zone.is_empty() || p.zone == "*" || p.zone == self.zone)
        };
        if of_servers && !scenario.pools.iter().any(here) {
            return invalid(
                at("zone"),
                format!(
                    "`{}` has no server, expected a zone that has one",
                    self.zone
                ),
            );
        }
        Ok(())
    }
}

/// Where the value at a dotted path stands in the text; where it is missing, the nearest thing
/// round it.
fn offset(text: &str, path: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 0;
    };
    let mut at = root.span().start;
    let mut table = Some(root.get_ref());
    let mut value: Option<&DeValue> = None;
    for key in path.split('.') {
        let next = match (table, value) {
            (Some(t), _) => t.get(key),
            (None, Some(DeValue::Array(items))) => {
                key.parse().ok().and_then(|i: usize| items.get(i))
            }
            (None, Some(DeValue::Table(t))) => t.get(key),
            _ => None,
        };
        let Some(next) = next else { break };
        at = next.span().start;
        (table, value) = (None, Some(next.get_ref()));
    }
    at
}
