//! The division of a bound between the gates' own quotas and the owner's pool.

#[cfg(test)]
mod tests;

/// A bound divided between the gates' own quotas and the owner's pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSplit {
    /// The number of requests that each gate may send in one window without a permit.
    pub gate_quota: u32,
    /// The number of permits that the owner may have outstanding in one window.
    pub pool: u32,
}

impl BoundSplit {
    /// Divides `bound`: `reserved_percent` of it is divided equally among `gates` gates, rounded
    /// down to whole requests per gate, and the rest goes to the pool. `gates` is the largest
    /// number of gates with a quota, either all gates or those of the server's region.
    #[must_use]
    pub fn new(bound: u32, gates: u32, reserved_percent: u32) -> Self {
        let gates = gates.max(1);
        let reserved = u64::from(bound) * u64::from(reserved_percent.min(100)) / 100;
        let gate_quota = u32::try_from(reserved / u64::from(gates)).unwrap_or(0);
        Self {
            gate_quota,
            pool: bound - gate_quota * gates,
        }
    }

    /// The split for a gate outside the server's region if only the gates of that region have a
    /// quota.
    #[must_use]
    pub fn without_gate_quota(self) -> Self {
        Self {
            gate_quota: 0,
            ..self
        }
    }
}
