//! Classes of requests: what a repeat does, how much work they need, and their value.

use serde::{Deserialize, Serialize};

use super::defaults;

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    #[serde(default = "defaults::class_share")]
    pub share: f64,
    /// What it does if a request is executed again.
    pub effect: EffectSpec,
    /// [`EffectSpec::Deduplicated`]: which servers drop a repeat.
    #[serde(default)]
    pub group: DeduplicationGroup,
    /// [`EffectSpec::Deduplicated`]: for how long after the first execution they do.
    #[serde(default = "defaults::deduplication_window_s", rename = "dedup_s")]
    pub deduplication_window_s: f64,
    /// The distribution of the work of its requests.
    #[serde(default, rename = "law")]
    pub distribution: Distribution,
    /// The mean work, as time on a core of speed 1.
    pub work_ms: f64,
    /// [`Distribution::Lognormal`]: the coefficient of variation, which is the standard deviation
    /// over the mean.
    #[serde(default = "defaults::cv")]
    pub cv: f64,
    /// The latency target: an answer within it earns the value.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline_ms: f64,
    /// The value of an answer within the latency target.
    #[serde(default = "defaults::value", rename = "worth")]
    pub value: f64,
}

/// What it does if a request is executed again.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EffectSpec {
    /// Nothing.
    #[serde(rename = "free")]
    Idempotent,
    /// Nothing for a while, since servers drop repeats; afterwards the effect occurs again.
    #[serde(rename = "keyed")]
    Deduplicated,
    /// The effect occurs again, which must never happen.
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Which servers drop repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationGroup {
    /// All.
    #[default]
    All,
    /// Those in the zone of the first execution.
    Zone,
}

/// A probability distribution of work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Distribution {
    /// Always the mean.
    Fixed,
    /// Exponential.
    Exponential,
    /// Lognormal, with the coefficient of variation `cv`.
    #[default]
    Lognormal,
}
