//! The clients: their request rate, arrival process, retries and timeouts.

use serde::{Deserialize, Serialize};

use super::defaults;

/// How clients send requests.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Mean requests per second over all proxies, without retries.
    pub rate: f64,
    /// The arrival process.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// [`Arrivals::Bursty`]: the mean length of a burst.
    #[serde(default = "defaults::burst_s")]
    pub burst_s: f64,
    /// [`Arrivals::Bursty`]: the mean length of the time between two bursts.
    #[serde(default = "defaults::rest_s")]
    pub rest_s: f64,
    /// [`Arrivals::Bursty`]: the rate inside a burst as a multiple of the rate outside. The mean
    /// stays `rate`.
    #[serde(default = "defaults::burst_factor")]
    pub burst_factor: f64,
    /// The rate over time, as (second, factor): interpolated linearly between the points, constant
    /// before the first and after the last.
    #[serde(default, rename = "curve")]
    pub rate_curve: Vec<(f64, f64)>,
    /// The traffic of the first proxy as a multiple of that of any other.
    #[serde(default = "defaults::first_proxy_weight", rename = "busiest")]
    pub first_proxy_weight: f64,
    /// The most retries of one operation.
    #[serde(default)]
    pub retries: u32,
    /// When they are sent.
    #[serde(default)]
    pub retry_wait: RetryWait,
    /// The delay of [`RetryWait::Fixed`], the first delay of [`RetryWait::Exponential`], the
    /// greatest addition to the Retry-After of [`RetryWait::RetryAfter`].
    #[serde(default = "defaults::retry_ms")]
    pub retry_ms: f64,
    /// The timeout of a try as a share of the class's deadline, drawn between the two.
    #[serde(default = "defaults::timeout_share", rename = "patience")]
    pub timeout_share: (f64, f64),
    /// The share of tries whose client disconnects without notice at some time before its timeout.
    #[serde(default, rename = "walk_away")]
    pub disconnect_share: f64,
}

/// An arrival process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent of each other.
    #[default]
    Poisson,
    /// At equal intervals.
    Even,
    /// Poisson, at a rate that alternates between a high and a low value.
    Bursty,
}

/// When a client retries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum RetryWait {
    /// At once.
    AtOnce,
    /// After `retry_ms`, with a jitter of 20 %.
    #[default]
    Fixed,
    /// After `retry_ms`, doubled with each retry, with full jitter.
    Exponential,
    /// When the rejection's Retry-After says, and up to `retry_ms` later.
    RetryAfter,
}
