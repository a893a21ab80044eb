//! Deterministic random numbers and hashes: the same seed gives the same decisions everywhere.

/// A deterministic random number generator (splitmix64); the field is its state.
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    /// The next number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.0))
    }
}

/// Mixes the bits of a number (the finalizer of splitmix64), as an integer hash.
#[must_use]
pub fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Maps the upper 53 bits of a number to a float in [0, 1).
#[must_use]
pub fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}
