//! Random numbers: one seed, and a stream of its own for each concern, so that what one concern
//! draws never moves another's numbers. Two policies under one seed meet the same arrivals, work
//! and troubles.

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, StandardNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use xxhash_rust::xxh3::xxh3_64;

use crate::scenario::Law;

/// What a stream is for.
#[derive(Clone, Copy, Debug)]
pub enum Concern {
    /// When clients of a proxy ask.
    Arrivals,
    /// What they ask.
    Work,
    /// How fast servers are.
    Servers,
    /// Whom a trouble meets.
    Trouble,
    /// The policy's own draws; one for each proxy and life.
    Policy,
    /// Datagrams.
    Datagrams,
    /// Random scenarios.
    Hunt,
}

/// One stream.
#[derive(Clone, Debug)]
pub struct Stream(Xoshiro256PlusPlus);

/// A number that depends on its parts alone: for draws whose order would depend on the policy.
pub(crate) fn stir(parts: [u64; 4]) -> u64 {
    let mut bytes = [0; 32];
    for (to, part) in bytes.chunks_exact_mut(8).zip(parts) {
        to.copy_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes)
}

/// Maps bits to [0, 1).
pub(crate) fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

impl Stream {
    /// The stream of a concern; `index` tells apart those of one concern.
    #[must_use]
    pub fn new(seed: u64, concern: Concern, index: u64) -> Self {
        Stream(Xoshiro256PlusPlus::seed_from_u64(stir([
            seed,
            concern as u64,
            index,
            0x1a0,
        ])))
    }

    /// A number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        unit(self.bits())
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number between the two.
    pub fn between(&mut self, (from, to): (f64, f64)) -> f64 {
        from + (to - from) * self.unit()
    }

    /// A whole number below `n`, which is not 0.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n)
    }

    /// Exponential, with that mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let x: f64 = Exp1.sample(&mut self.0);
        x * mean
    }

    /// A value of that law and mean; `cv` is the standard deviation over the mean (lognormal only).
    /// The exponential function is `libm`'s: the platform's differs from machine to machine.
    pub fn law(&mut self, law: Law, mean: f64, cv: f64) -> f64 {
        match law {
            Law::Fixed => mean,
            Law::Exponential => self.exponential(mean),
            Law::Lognormal => {
                let variance = libm::log(1.0 + cv * cv);
                let normal: f64 = StandardNormal.sample(&mut self.0);
                mean * libm::exp(libm::sqrt(variance) * normal - variance / 2.0)
            }
        }
    }

    /// Puts a list in random order.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for i in (1..list.len()).rev() {
            list.swap(i, self.below(i + 1));
        }
    }
}
