//! Random numbers: one seed, and an independent stream for each purpose.
//!
//! Draws for one purpose do not affect those for another. Two policies under one seed therefore
//! have the same arrivals, work and faults (common random numbers).

use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1, StandardNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use xxhash_rust::xxh3::xxh3_64;

use crate::scenario::Distribution;

/// The purpose of a stream. The order of the variants is part of the seeds.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The arrival times of the operations at a proxy.
    Arrivals,
    /// The classes and the work of operations.
    Work,
    /// The speeds of servers.
    Servers,
    /// The servers and proxies that a fault affects.
    Faults,
    /// The draws of a policy; one stream for each proxy and incarnation.
    Policy,
    /// The loss of datagrams.
    Datagrams,
    /// The generation of scenarios.
    GeneratedScenarios,
}

/// One stream of random numbers (xoshiro256++).
#[derive(Clone, Debug)]
pub struct Stream(Xoshiro256PlusPlus);

/// A hash of the parts, for draws whose order would otherwise depend on the policy.
pub(crate) fn hash_parts(parts: [u64; 4]) -> u64 {
    let mut bytes = [0; 32];
    for (chunk, part) in bytes.chunks_exact_mut(8).zip(parts) {
        chunk.copy_from_slice(&part.to_le_bytes());
    }
    xxh3_64(&bytes)
}

/// Maps 64 random bits to a number in [0, 1), using the upper 53.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

impl Stream {
    /// Creates the stream of a purpose; `index` distinguishes the streams of one purpose.
    #[must_use]
    pub fn new(seed: u64, purpose: Purpose, index: u64) -> Self {
        Stream(Xoshiro256PlusPlus::seed_from_u64(hash_parts([
            seed,
            purpose as u64,
            index,
            0x1a0,
        ])))
    }

    /// A uniformly distributed number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        unit_interval(self.bits())
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A uniformly distributed number between the two bounds, the upper one excluded.
    pub fn uniform(&mut self, (from, to): (f64, f64)) -> f64 {
        from + (to - from) * self.unit()
    }

    /// A uniformly distributed integer below `bound`.
    ///
    /// # Panics
    /// If `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }

    /// An exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let standard: f64 = Exp1.sample(&mut self.0);
        standard * mean
    }

    /// A number with this distribution and mean. `cv` is the coefficient of variation, the ratio of
    /// standard deviation to mean, and applies to the lognormal distribution only.
    ///
    /// The mathematical functions are those of `libm`, since the results of the platform's differ
    /// between machines.
    pub fn sample(&mut self, distribution: Distribution, mean: f64, cv: f64) -> f64 {
        match distribution {
            Distribution::Fixed => mean,
            Distribution::Exponential => self.exponential(mean),
            Distribution::Lognormal => {
                let variance = libm::log(1.0 + cv * cv);
                let normal: f64 = StandardNormal.sample(&mut self.0);
                mean * libm::exp(libm::sqrt(variance) * normal - variance / 2.0)
            }
        }
    }

    /// Shuffles a list (Fisher–Yates).
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        for last in (1..list.len()).rev() {
            list.swap(last, self.below(last + 1));
        }
    }
}
