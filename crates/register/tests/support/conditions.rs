//! Conditions of the simulated network and disks.

/// Conditions of the network and the disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Percent of messages lost.
    pub loss: u64,
    /// Percent of messages that are duplicated.
    pub duplicated: u64,
    /// Largest extra delay, in milliseconds.
    pub jitter: u64,
    /// Time of a write, in milliseconds.
    pub write_time: u64,
    /// Least time of a message in transit, in milliseconds.
    pub min_latency: u64,
}

pub(crate) const LOCAL: Conditions = Conditions {
    loss: 0,
    duplicated: 0,
    jitter: 2,
    write_time: 3,
    min_latency: 0,
};

/// All links have the latency of those between distant regions, and disks are slow.
pub(crate) const WIDE_AREA: Conditions = Conditions {
    write_time: 5,
    min_latency: 55,
    ..LOCAL
};
