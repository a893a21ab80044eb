//! What one run plays: sizes, load, faults and the terms that the gates go by.

use ironmast_keyed_ownership::PermitTiming;
use ironmast_limits::RetryBudgetSettings;

use super::{MS, Micros};

/// What the gates are limited in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Subject {
    /// Requests to cold servers.
    Cold,
    /// Repeats to a service.
    Retry(RetryBudgetSettings),
}

/// Faults that a run may have, each at random moments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// None, with one view all along.
    Calm,
    /// Gates killed, frozen and cut one way, owners first of all, with views that gates learn
    /// seconds apart.
    Mixed,
    /// As `Mixed`, and all gates restarted at once.
    Herd,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Play {
    pub seed: u64,
    pub gates: usize,
    pub subject: Subject,
    pub trouble: Trouble,
    /// Cold servers or services.
    pub keys: usize,
    /// Requests a second for each key, all gates together.
    pub rate: f64,
    /// The part of the requests that come to gates of the key's region.
    pub near: f64,
    pub length: Micros,
    /// Requests (or repeats) that all gates may send in a span.
    pub bound: u32,
    /// The part of the bound that is divided among the gates, in percent.
    pub reserved_percent: u32,
    /// Whether only gates of the key's region have a share of it.
    pub shares_near: bool,
    /// PermitTiming of the owners.
    pub owner: PermitTiming,
    /// PermitTiming of the clients.
    pub client: PermitTiming,
    /// Whether a restarted gate waits before it uses its share.
    pub quiet_share: bool,
    /// Witnesses that must agree on the epoch.
    pub witnesses_asked: usize,
    /// How long a request waits for a permit before it goes elsewhere.
    pub patience: Micros,
}

impl Play {
    /// Cold servers under faults, pressed well beyond the bound.
    pub(crate) fn cold(seed: u64, gates: usize) -> Self {
        Self {
            seed,
            gates,
            subject: Subject::Cold,
            trouble: if seed.is_multiple_of(4) {
                Trouble::Herd
            } else {
                Trouble::Mixed
            },
            keys: 2,
            rate: 50.0,
            near: 0.3,
            length: 12_000 * MS,
            bound: 20,
            reserved_percent: 50,
            shares_near: false,
            owner: PermitTiming::slow_start(),
            client: PermitTiming::slow_start(),
            quiet_share: true,
            witnesses_asked: 3,
            patience: 1_000 * MS,
        }
    }

    /// A calm run at the rate a cold server is meant to get.
    pub(crate) fn calm(seed: u64, gates: usize, rate: f64) -> Self {
        Self {
            trouble: Trouble::Calm,
            rate,
            patience: 10_000 * MS,
            ..Self::cold(seed, gates)
        }
    }

    /// Repeats under faults.
    pub(crate) fn retry(seed: u64, gates: usize) -> Self {
        let window = std::time::Duration::from_secs(3);
        let terms = RetryBudgetSettings {
            ratio: 0.2,
            burst: 54,
            window,
        };
        Self {
            subject: Subject::Retry(terms),
            keys: 1,
            rate: 40.0,
            length: 20_000 * MS,
            bound: terms.burst,
            owner: PermitTiming::retry_burst(window),
            client: PermitTiming::retry_burst(window),
            ..Self::cold(seed, gates)
        }
    }
}
