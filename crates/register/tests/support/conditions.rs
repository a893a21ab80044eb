//! Conditions of the simulated network and disks.

/// Conditions of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Percent of messages lost.
    pub loss_percent: u64,
    /// Percent of messages that are duplicated.
    pub duplicate_percent: u64,
    /// Largest extra delay, in milliseconds.
    pub max_jitter_ms: u64,
    /// Time of a write, in milliseconds.
    pub max_write_ms: u64,
    /// Least time of a message in transit, in milliseconds.
    pub min_latency_ms: u64,
}

pub(crate) const LOCAL: Conditions = Conditions {
    loss_percent: 0,
    duplicate_percent: 0,
    max_jitter_ms: 2,
    max_write_ms: 3,
    min_latency_ms: 0,
};

/// All links have the latency of those between distant regions, and disks are slow.
pub(crate) const WIDE_AREA: Conditions = Conditions {
    max_write_ms: 5,
    min_latency_ms: 55,
    ..LOCAL
};
