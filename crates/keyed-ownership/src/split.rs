//! The division of a bound between the gates' own quotas and the owner's pool.

#[cfg(test)]
mod tests;

/// How a bound is divided between the gates' own quotas and the owner's pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSplit {
    /// Requests that each gate may send in one window without a permit.
    pub gate_quota: u32,
    /// Permits that the owner may have outstanding in one window.
    pub pool: u32,
}

impl BoundSplit {
    /// Divides `bound` among at most `gates` gates, which are all gates or those of the server's
    /// region: `reserved_percent` of it goes to the gates' quotas, rounded down, the rest to the
    /// pool.
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

    /// The split as it applies to a gate outside the server's region, where only the gates of the
    /// region were counted.
    #[must_use]
    pub fn without_gate_quota(self) -> Self {
        Self {
            gate_quota: 0,
            ..self
        }
    }
}
