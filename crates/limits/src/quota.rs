//! The division of a server's slow-start bound among the gates, without messages between them.
//!
//! An even division over all gates rounds down to zero once there are more gates than permits, and
//! a server that is warming up would then receive no request. The remainder of the even division
//! therefore goes to the gates of the server's own region, which are the ones that use it: evenly
//! as far as possible, and one more permit each to those that rank highest by rendezvous hashing
//! (Thaler and Ravishankar, 1998) for the instance. Gates with equal sets of gates compute the same
//! division, whose sum is the bound less [`RESERVED_FRACTION`].

use xxhash_rust::xxh3::xxh3_64_with_seed;

#[cfg(test)]
mod tests;

/// The fraction of a bound that no gate receives, because gates may learn of each other at
/// different times.
pub const RESERVED_FRACTION: f64 = 0.125;

/// The smallest number of gates by which a bound is divided, because some may not be known yet.
pub const MIN_GATES: u32 = 8;

/// The id of a gate, which every gate derives in the same way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateId(pub u64);

/// A gate that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateMember {
    /// The region in which the gate runs.
    pub region: Box<str>,
    /// The id by which the gate is ranked.
    pub id: GateId,
}

/// All gates that may send requests, including those that have not been heard from recently.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GateSet {
    own: GateId,
    gates: Vec<GateMember>,
}

impl GateSet {
    /// The set of `gates` as known to gate `own`, itself included, in any order.
    #[must_use]
    pub fn new(own: GateId, gates: Vec<GateMember>) -> Self {
        Self { own, gates }
    }

    /// The number of gates by which bounds are divided: at least [`MIN_GATES`].
    #[must_use]
    pub fn divisor(&self) -> u32 {
        u32::try_from(self.gates.len())
            .unwrap_or(u32::MAX)
            .max(MIN_GATES)
    }

    /// The number of requests that this gate may send to `instance` in `region` in one window while
    /// the instance is warming up. `bound` is the number that all gates together may send.
    #[must_use]
    pub fn quota(&self, bound: u32, region: &str, instance: &str) -> u32 {
        let even = bound / self.divisor();
        let candidates = self.remainder_candidates(region);
        if !candidates.contains(&self.own) {
            return even;
        }
        let distributed = (f64::from(bound) * (1.0 - RESERVED_FRACTION)) as u32;
        let remainder = distributed.saturating_sub(even * self.divisor());
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let has_extra = self.rank(&candidates, instance) < u64::from(remainder % count);
        // A gate that knows few others must not take more than an even part among MIN_GATES.
        let max_quota = (bound / MIN_GATES).max(1);
        (even + remainder / count + u32::from(has_extra)).min(max_quota)
    }

    /// The gates that share the remainder of the even division: those of the region, or all gates
    /// if the region has none.
    fn remainder_candidates(&self, region: &str) -> Vec<GateId> {
        let in_region: Vec<GateId> = self
            .gates
            .iter()
            .filter(|gate| *gate.region == *region)
            .map(|gate| gate.id)
            .collect();
        if in_region.is_empty() {
            return self.gates.iter().map(|gate| gate.id).collect();
        }
        in_region
    }

    /// The number of candidates that rank above this gate in the rendezvous order of the instance.
    fn rank(&self, candidates: &[GateId], instance: &str) -> u64 {
        let order = |gate: GateId| (xxh3_64_with_seed(instance.as_bytes(), gate.0), gate);
        let own = order(self.own);
        candidates.iter().filter(|gate| order(**gate) > own).count() as u64
    }
}
