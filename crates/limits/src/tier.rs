//! The gates that share the bound of a cold server, and the permits that each holds without asking
//! anybody.
//!
//! Dividing a bound evenly over all gates rounds down to nothing once there are more gates than
//! permits, and a cold server then stands unused. So what an even division leaves over goes to the
//! gates of the server's own region, which are those that use it: evenly as far as it goes, and one
//! more permit each to those with the highest rendezvous rank for the instance. Gates that know the
//! same tier come to the same division, whose sum is the bound less [`RESERVE`]; so no message
//! passes between them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

#[cfg(test)]
mod tests;

/// The part of the bound that nobody holds: gates may know of each other at different times.
pub const RESERVE: f64 = 0.125;

/// Gates that are counted on at least: some may not be known yet.
pub const GATES_LEAST: u32 = 8;

/// A gate, by a number that is the same at all gates.
pub type GateNumber = u64;

/// All gates that may send, those that were not heard of lately among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tier {
    own: GateNumber,
    gates: Vec<(Box<str>, GateNumber)>,
}

impl Tier {
    /// The tier of gate `own`: all gates, each with its region. The order is of no matter.
    #[must_use]
    pub fn new(own: GateNumber, gates: Vec<(Box<str>, GateNumber)>) -> Self {
        Self { own, gates }
    }

    /// Gates that bounds are divided by.
    #[must_use]
    pub fn size(&self) -> u32 {
        u32::try_from(self.gates.len())
            .unwrap_or(u32::MAX)
            .max(GATES_LEAST)
    }

    /// Requests that this gate may send in one span to a cold instance in `region` whose bound is
    /// `bound`.
    #[must_use]
    pub fn permits(&self, bound: u32, region: &str, instance: &str) -> u32 {
        let even = bound / self.size();
        let held = (f64::from(bound) * (1.0 - RESERVE)) as u32;
        let over = held.saturating_sub(even * self.size());
        let mut near: Vec<GateNumber> = self.in_region(region).collect();
        if near.is_empty() {
            near.extend(self.gates.iter().map(|(_, gate)| *gate));
        }
        if !near.contains(&self.own) {
            return even;
        }
        let gates = u32::try_from(near.len()).unwrap_or(u32::MAX);
        let rank = |gate: GateNumber| (xxh3_64_with_seed(instance.as_bytes(), gate), gate);
        let own = rank(self.own);
        let before = near.into_iter().filter(|gate| rank(*gate) > own).count();
        let further = u32::from((before as u64) < u64::from(over % gates));
        // No gate counts on fewer others than this, however few it knows.
        (even + over / gates + further).min((bound / GATES_LEAST).max(1))
    }

    fn in_region(&self, region: &str) -> impl Iterator<Item = GateNumber> {
        self.gates
            .iter()
            .filter(move |(of, _)| **of == *region)
            .map(|(_, gate)| *gate)
    }
}
