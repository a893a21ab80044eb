//! Request classes: the effect of a repeated execution, the work per request, latency targets and
//! the value of an answer.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A class of requests with the same semantics, work distribution, latency target and value.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name, distinct among the classes of a scenario.
    pub name: String,
    /// The share of the requests, relative to the shares of the other classes.
    #[serde(default = "defaults::class_share")]
    pub share: f64,
    /// The effect of executing a request of this class again.
    pub effect: EffectSpec,
    /// [`EffectSpec::Deduplicated`]: the servers that drop a repeat.
    #[serde(default)]
    pub group: DeduplicationGroup,
    /// [`EffectSpec::Deduplicated`]: the time after the first execution during which servers drop
    /// repeats, in seconds.
    #[serde(default = "defaults::deduplication_window_s", rename = "dedup_s")]
    pub deduplication_window_s: f64,
    /// The distribution of the work per request.
    #[serde(default, rename = "law")]
    pub distribution: Distribution,
    /// The mean work per request, in milliseconds on a core of speed 1.
    pub work_ms: f64,
    /// [`Distribution::Lognormal`]: the coefficient of variation, which is the standard deviation
    /// over the mean.
    #[serde(default = "defaults::cv")]
    pub cv: f64,
    /// The latency target, in milliseconds. An answer within it earns `value`, a later one nothing.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// The deadline of an operation including all retries, in milliseconds; at least the latency
    /// target.
    pub deadline_ms: f64,
    /// The value of an answer within the latency target.
    #[serde(default = "defaults::value", rename = "worth")]
    pub value: f64,
}

/// The effect of executing a request again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectSpec {
    /// A repeat has no effect.
    #[serde(rename = "free")]
    Idempotent,
    /// Servers drop repeats within the deduplication window; after it the effect occurs again.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// The effect occurs again, so that a request must never be executed twice.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// The servers that recognize and drop a repeat.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationGroup {
    /// All servers.
    #[default]
    All,
    /// The servers in the zone of the first execution.
    Zone,
}

/// The probability distribution of the work per request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// Constant: every request needs the mean work.
    Fixed,
    /// Exponential, with a coefficient of variation of 1.
    Exponential,
    /// Lognormal, with the coefficient of variation `cv`.
    #[default]
    Lognormal,
}
