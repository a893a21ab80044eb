//! Health of a server's group, which is the baseline of outlier detection.

use crate::guards::Guard;

/// Health of a server's group, without the server itself except in `count`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupHealth {
    /// Number of listed servers in the group, including the server itself.
    pub(crate) count: usize,
    /// Number of other servers that are ejected.
    pub(crate) ejected: usize,
    /// Median of the others' short-term failure rates.
    pub(crate) short_term_failures: f32,
    /// Median of the others' long-term failure rates.
    pub(crate) long_term_failures: f32,
    /// Median of the others' slowness (see `SlownessStatistics`); 0 if unknown.
    pub(crate) slowness: f32,
}

impl GroupHealth {
    /// True if another ejection leaves at most half of the group ejected.
    pub(super) fn allows_ejection(&self) -> bool {
        2 * (self.ejected + 1) <= self.count || !Guard::MaxEjectedShare.on()
    }
}
