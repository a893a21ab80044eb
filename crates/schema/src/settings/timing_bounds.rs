//! The timing requirements on the system.

use garde::Validate;
use serde::Deserialize;

/// Maximum duration of a bound, in s: one day.
const MAX_S: f64 = 86_400.0;
/// Maximum duration of a bound, in ms: one day.
const MAX_MS: u64 = 86_400_000;
/// Maximum ratio, factor or number of requests of a bound; counts computed from larger ones would
/// not fit their types.
const MAX_COUNT: f64 = 1e9;

/// Timing requirements on the system; the suffixes of the keys are the units.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// Maximum age of the operators' list of machines, in s. No program reads it.
    #[garde(skip)]
    pub seed_staleness_s: f64,
    /// Time after which a server's address may be reused by another server, in s. No program reads
    /// it: instances are told apart by their identifier.
    #[garde(skip)]
    pub address_reuse_s: f64,
    /// Time without faults after which a machine counts as in contact, in ms. A third of the
    /// shortest of this, `config_apply_ms`, `drain_timeout_ms` and `evacuation_ms`, but at least
    /// 600 ms, is the silence after which a coordinator is out of contact: if that is too short,
    /// slow links are taken for partitions; if it is too long, the coordinator answers from stale
    /// state.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub contact_ms: u64,
    /// Timeout for the acknowledgement of an operator's change, in ms. No program reads it.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub ack_timeout_ms: u64,
    /// Time after which a machine that returned counts as synchronised, in s. No program reads it;
    /// `docs/design/control.md` has the measured times.
    #[garde(skip)]
    pub sync_time_s: f64,
    /// Time after a server announces that it drains, within which requests to it must stop, in ms.
    /// See `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub drain_timeout_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s. If it is longer than the platform's, SIGKILL interrupts
    /// requests before they are finished.
    #[garde(range(min = 0.1, max = MAX_S), custom(finite))]
    pub grace_period_s: f64,
    /// Time within which a configuration must be in force on all machines, in ms. See `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub config_apply_ms: u64,
    /// Retry budget, as a fraction of the requests. If it is too high, retries multiply an
    /// overload; at 0 only the retries of `retry_burst` are allowed.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in s. Longer windows allow longer bursts of retries.
    #[garde(range(min = 0.1, max = MAX_S), custom(finite))]
    pub retry_window_s: f64,
    /// Number of retries allowed in a window beyond the ratio; a fraction is truncated. At 0 a gate
    /// with few requests can't retry.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub retry_burst: f64,
    /// Factor on the rate limit of a server that is warming up. Above 1, such servers may be
    /// overloaded; at 0 they receive only the rate that `warmup_tolerance` allows.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub warmup_overshoot: f64,
    /// Tolerance added to the rate limit of a server that is warming up, in requests per second
    /// over all gates.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub warmup_tolerance: f64,
    /// Time after the evacuation of a zone, within which requests to it must stop, in ms. See
    /// `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub evacuation_ms: u64,
    /// Time within which an event of a stream must be forwarded, in ms. No program reads it: events
    /// are forwarded as they arrive.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub pass_ms: u64,
    /// Maximum time to live of a resolved address, in s. If it is too long, clients keep connecting
    /// to a gate that has shut down; if it is too short, they resolve addresses often and load the
    /// directory.
    #[garde(range(min = 0.1, max = MAX_S), custom(finite))]
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

/// Rejects values that are not finite, above all `.nan`, which no range excludes.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "garde passes both by reference"
)]
fn finite(value: &f64, _: &()) -> garde::Result {
    if value.is_finite() {
        return Ok(());
    }
    Err(garde::Error::new("not a finite number"))
}

/// Deserializes a number of ms and truncates a fraction, which is below the resolution of the
/// clock.
fn truncated_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|milliseconds| milliseconds as u64)
}
