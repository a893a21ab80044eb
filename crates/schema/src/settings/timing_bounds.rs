//! The timing bounds that the system has to keep.

use garde::Validate;
use serde::Deserialize;

/// Timing bounds that the system has to keep; the keys carry their units.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// Largest age of the operators' list of machines, in s.
    #[garde(skip)]
    pub seed_staleness_s: f64,
    /// Time after which a server's address may be reused by another server, in s.
    #[garde(skip)]
    pub address_reuse_s: f64,
    /// Time without faults after which a machine counts as in contact, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub contact_ms: u64,
    /// Timeout for the acknowledgement of an operator's change, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub ack_timeout_ms: u64,
    /// Time after which a machine that returned counts as synchronised, in s.
    #[garde(skip)]
    pub sync_time_s: f64,
    /// Time after a server's announcement to drain, after which it receives no request, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub drain_timeout_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s.
    #[garde(range(min = 0.1))]
    pub grace_period_s: f64,
    /// Time within which a configuration is in force everywhere, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub config_apply_ms: u64,
    /// Retry budget, as a fraction of the requests.
    #[garde(range(min = 0.0))]
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in s.
    #[garde(range(min = 0.1))]
    pub retry_window_s: f64,
    /// Retries allowed beyond the ratio in a window.
    #[garde(range(min = 0.0))]
    pub retry_burst: f64,
    /// Factor on the rate limit of a server that is warming up.
    #[garde(range(min = 0.0))]
    pub warmup_overshoot: f64,
    /// Tolerance added to that rate limit, in requests per second.
    #[garde(range(min = 0.0))]
    pub warmup_tolerance: f64,
    /// Time after an evacuation, after which the zone receives no request, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub evacuation_ms: u64,
    /// Time within which an event of a stream is forwarded, in ms.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1))]
    pub pass_ms: u64,
    /// Largest time to live of a resolved address, in s.
    #[garde(range(min = 0.1))]
    pub ttl_max_s: f64,
}

impl Default for TimingBounds {
    fn default() -> Self {
        TimingBounds {
            seed_staleness_s: 3.0,
            address_reuse_s: 2.0,
            contact_ms: 5_000,
            ack_timeout_ms: 6_000,
            sync_time_s: 4.0,
            drain_timeout_ms: 3_000,
            grace_period_s: 8.0,
            config_apply_ms: 3_000,
            retry_budget_ratio: 0.1,
            retry_window_s: 10.0,
            retry_burst: 10.0,
            warmup_overshoot: 1.0,
            warmup_tolerance: 0.0,
            evacuation_ms: 5_000,
            pass_ms: 600,
            ttl_max_s: 5.0,
        }
    }
}

/// Reads a number of ms, and truncates a fraction, which is below the resolution of the clock.
fn truncated_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|milliseconds| milliseconds as u64)
}
