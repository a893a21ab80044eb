//! A pseudo-random number generator for random delays and identities (`SplitMix64`; Steele, Lea and
//! Flood 2014). All numbers follow from the seed, so that a simulation can be repeated.

use std::time::Duration;

/// A `SplitMix64` generator; not cryptographically secure.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator; equal seeds give equal sequences.
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number, uniform over all of `u64`.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A duration in whole microseconds, at least zero and below `bound`; zero for a bound below 2
    /// µs.
    pub(crate) fn below(&mut self, bound: Duration) -> Duration {
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX).max(1);
        Duration::from_micros(self.next() % micros)
    }
}
