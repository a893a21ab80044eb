//! The health of a group of servers, with which one of them is compared.

use crate::guards::Guard;

/// Health of the other servers in a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GroupHealth {
    /// Number of listed servers, the one that is judged included.
    pub(crate) count: usize,
    /// Number of other servers that are ejected.
    pub(crate) ejected: usize,
    /// Median of the others' short-term failure rates.
    pub(crate) short_term_failures: f32,
    /// Median of the others' long-term failure rates.
    pub(crate) long_term_failures: f32,
    /// Median of the others' slowness; 0 if unknown.
    pub(crate) slowness: f32,
}

impl GroupHealth {
    /// True if another ejection leaves at most half of the group ejected.
    pub(super) fn allows_ejection(&self) -> bool {
        2 * (self.ejected + 1) <= self.count || !Guard::MaxEjectedShare.on()
    }
}
