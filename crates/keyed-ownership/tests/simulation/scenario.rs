//! The parameters of a run: sizes, load, faults and the settings of the gates.

use ironmast_keyed_ownership::PermitTiming;
use ironmast_limits::RetryBudgetSettings;

use super::{MS, Micros};

/// The limit that the gates enforce.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Limit {
    /// The slow-start bound of servers that are warming up.
    SlowStart,
    /// The retry budget of services.
    RetryBudget(RetryBudgetSettings),
}

/// The faults of a run, which occur at random times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultPlan {
    /// No faults and a single view.
    None,
    /// Gates, mostly owners, are killed, paused and partitioned. Gates may learn the same view
    /// seconds apart.
    Mixed,
    /// As `Mixed`, and all gates are also restarted at the same time once.
    MixedAndMassRestart,
}

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub seed: u64,
    pub gates: usize,
    pub limit: Limit,
    pub fault_plan: FaultPlan,
    /// The number of servers that are warming up, or of services.
    pub keys: usize,
    /// Requests per second for each key, over all gates.
    pub rate: f64,
    /// The fraction of the requests that arrive at gates of the key's region.
    pub local_fraction: f64,
    pub length: Micros,
    /// Requests (or retries) that all gates together may send in one window.
    pub bound: u32,
    /// The percentage of the bound that is divided among the gates.
    pub reserved_percent: u32,
    /// Whether the reserved part is divided among the gates of the key's region only.
    pub regional_quotas: bool,
    /// The timing that the owners apply.
    pub owner_timing: PermitTiming,
    /// The timing that the clients apply.
    pub client_timing: PermitTiming,
    /// Whether a restarted gate waits before it uses its own quota.
    pub start_delay: bool,
    /// The number of acceptors that the confirmation of an epoch assumes; a majority of them must
    /// agree.
    pub acceptors_counted: usize,
    /// How long a request waits for a permit before it is abandoned.
    pub max_wait: Micros,
}

impl Scenario {
    /// Requests to servers that are warming up, under faults and a load well above the bound.
    pub(crate) fn slow_start(seed: u64, gates: usize) -> Self {
        Self {
            seed,
            gates,
            limit: Limit::SlowStart,
            fault_plan: if seed.is_multiple_of(4) {
                FaultPlan::MixedAndMassRestart
            } else {
                FaultPlan::Mixed
            },
            keys: 2,
            rate: 50.0,
            local_fraction: 0.3,
            length: 12_000 * MS,
            bound: 20,
            reserved_percent: 50,
            regional_quotas: false,
            owner_timing: PermitTiming::slow_start(),
            client_timing: PermitTiming::slow_start(),
            start_delay: true,
            acceptors_counted: 3,
            max_wait: 1_000 * MS,
        }
    }

    /// A run without faults at the rate intended for a server that is warming up.
    pub(crate) fn without_faults(seed: u64, gates: usize, rate: f64) -> Self {
        Self {
            fault_plan: FaultPlan::None,
            rate,
            max_wait: 10_000 * MS,
            ..Self::slow_start(seed, gates)
        }
    }

    /// Retries under faults.
    pub(crate) fn retry(seed: u64, gates: usize) -> Self {
        let window = std::time::Duration::from_secs(3);
        let settings = RetryBudgetSettings {
            ratio: 0.2,
            burst: 54,
            window,
        };
        Self {
            limit: Limit::RetryBudget(settings),
            keys: 1,
            rate: 40.0,
            length: 20_000 * MS,
            bound: settings.burst,
            owner_timing: PermitTiming::retry_burst(window),
            client_timing: PermitTiming::retry_burst(window),
            ..Self::slow_start(seed, gates)
        }
    }
}
