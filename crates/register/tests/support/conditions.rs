//! Loss, delay and write time of the simulated network and disks.

/// Conditions of the simulated network and disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Percentage of messages that are lost.
    pub loss_percent: u64,
    /// Percentage of messages that are duplicated.
    pub duplicate_percent: u64,
    /// Maximum random delay added to a message, in milliseconds.
    pub max_jitter_ms: u64,
    /// Maximum duration of a write, in milliseconds.
    pub max_write_ms: u64,
    /// Minimum latency of a message, in milliseconds.
    pub min_latency_ms: u64,
}

pub(crate) const LOCAL: Conditions = Conditions {
    loss_percent: 0,
    duplicate_percent: 0,
    max_jitter_ms: 2,
    max_write_ms: 3,
    min_latency_ms: 0,
};

/// All links have the latency between distant regions, and disks are slower.
pub(crate) const WIDE_AREA: Conditions = Conditions {
    max_write_ms: 5,
    min_latency_ms: 55,
    ..LOCAL
};
