//! Seeded random numbers of the simulation (`SplitMix64`).

use std::time::Duration;

#[derive(Clone, Debug)]
pub(crate) struct Random(pub u64);

impl Random {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }

    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn micros(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_micros(low + self.below(high - low))
    }

    pub(crate) fn millis(&mut self, low: u64, high: u64) -> Duration {
        self.micros(low * 1_000, high * 1_000)
    }
}
