//! The clients: their request rate, arrival process, retries and timeouts.

use serde::{Deserialize, Serialize};

use super::defaults;

/// The load that clients generate.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The mean number of operations per second over all proxies; retries are not counted.
    pub rate: f64,
    /// The arrival process.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// [`Arrivals::Bursty`]: the mean length of a burst, in seconds.
    #[serde(default = "defaults::burst_s")]
    pub burst_s: f64,
    /// [`Arrivals::Bursty`]: the mean time between two bursts, in seconds.
    #[serde(default = "defaults::rest_s")]
    pub rest_s: f64,
    /// [`Arrivals::Bursty`]: the rate inside a burst as a multiple of the rate outside. The mean
    /// stays `rate`.
    #[serde(default = "defaults::burst_factor")]
    pub burst_factor: f64,
    /// The factor of the rate over time, as (second, factor) points: interpolated linearly between
    /// the points, constant before the first and after the last.
    #[serde(default, rename = "curve")]
    pub rate_curve: Vec<(f64, f64)>,
    /// The traffic of the first proxy as a multiple of that of any other.
    #[serde(default = "defaults::first_proxy_weight", rename = "busiest")]
    pub first_proxy_weight: f64,
    /// The maximum number of retries of one operation by its client.
    #[serde(default)]
    pub retries: u32,
    /// The delay before a retry.
    #[serde(default)]
    pub retry_wait: RetryWait,
    /// The base delay of retries, in milliseconds: the delay of [`RetryWait::Fixed`], the first delay
    /// of [`RetryWait::Exponential`], and the maximum delay that [`RetryWait::RetryAfter`] adds to the
    /// Retry-After.
    #[serde(default = "defaults::retry_ms")]
    pub retry_ms: f64,
    /// The range from which the timeout of each try is drawn, as shares of the deadline of the class.
    #[serde(default = "defaults::timeout_share", rename = "patience")]
    pub timeout_share: (f64, f64),
    /// The share of tries whose client disconnects without notice at a random time before the
    /// timeout.
    #[serde(default, rename = "walk_away")]
    pub disconnect_share: f64,
}

/// The arrival process of operations.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Poisson process: exponential, independent intervals.
    #[default]
    Poisson,
    /// Deterministic: equal intervals.
    Even,
    /// Poisson process whose rate alternates between a high and a low value.
    Bursty,
}

/// The delay before a client retries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RetryWait {
    /// No delay.
    AtOnce,
    /// `retry_ms`, with a jitter of 20 %.
    #[default]
    Fixed,
    /// `retry_ms`, doubled with each retry, with full jitter.
    Exponential,
    /// The Retry-After of the rejection, plus up to `retry_ms`.
    RetryAfter,
}
