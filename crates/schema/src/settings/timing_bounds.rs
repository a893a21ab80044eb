//! The timing bounds that the system has to keep.

use garde::Validate;
use serde::Deserialize;

/// The longest time in a bound, in s: a day.
const MAX_S: f64 = 86_400.0;
/// The same in ms.
const MAX_MS: u64 = 86_400_000;
/// The largest ratio, factor or number of requests in a bound; beyond it, counts would not fit.
const MAX_COUNT: f64 = 1e9;

/// Timing bounds that the system has to keep; the keys carry their units.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(default)]
pub struct TimingBounds {
    /// Largest age of the operators' list of machines, in s. No program reads it.
    #[garde(skip)]
    pub seed_staleness_s: f64,
    /// Time after which a server's address may be reused by another server, in s. No program reads
    /// it: instances are told apart by their identifier.
    #[garde(skip)]
    pub address_reuse_s: f64,
    /// Time without faults after which a machine counts as in contact, in ms. Together with
    /// `config_apply_ms`, `drain_timeout_ms` and `evacuation_ms` it decides after which silence a
    /// coordinator is out of contact (a third of the shortest, at least 600 ms): too short, and slow
    /// links look like partitions; too long, and it answers from stale state.
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
    /// Time after a server's announcement to drain, after which it receives no request, in ms. See
    /// `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub drain_timeout_ms: u64,
    /// Time from SIGTERM to SIGKILL, in s. Longer than what the platform grants, and requests are cut
    /// off by the SIGKILL instead of being finished.
    #[garde(range(min = 0.1, max = MAX_S), custom(finite))]
    pub grace_period_s: f64,
    /// Time within which a configuration is in force everywhere, in ms. See `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub config_apply_ms: u64,
    /// Retry budget, as a fraction of the requests. Too high, and retries multiply an overload; at 0
    /// only `retry_burst` is left.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub retry_budget_ratio: f64,
    /// Window of the retry budget, in s. Longer windows permit longer bursts of retries.
    #[garde(range(min = 0.1, max = MAX_S), custom(finite))]
    pub retry_window_s: f64,
    /// Retries allowed beyond the ratio in a window; a fraction is truncated. At 0 a gate with few
    /// requests can't retry.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub retry_burst: f64,
    /// Factor on the rate limit of a server that is warming up. Above 1, such servers may be
    /// overloaded; at 0 they receive only what `warmup_tolerance` permits.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub warmup_overshoot: f64,
    /// Tolerance added to that rate limit, in requests per second, over all gates.
    #[garde(range(min = 0.0, max = MAX_COUNT), custom(finite))]
    pub warmup_tolerance: f64,
    /// Time after an evacuation, after which the zone receives no request, in ms. See `contact_ms`.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub evacuation_ms: u64,
    /// Time within which an event of a stream is forwarded, in ms. No program reads it: events are
    /// forwarded as they arrive.
    #[serde(deserialize_with = "truncated_ms")]
    #[garde(range(min = 1, max = MAX_MS))]
    pub pass_ms: u64,
    /// Largest time to live of a resolved address, in s. Too long, and clients keep connecting to a
    /// gate that has shut down; too short, and they load the directory.
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

/// Rejects `.nan`, which no range excludes.
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

/// Reads a number of ms, and truncates a fraction, which is below the resolution of the clock.
fn truncated_ms<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|milliseconds| milliseconds as u64)
}
