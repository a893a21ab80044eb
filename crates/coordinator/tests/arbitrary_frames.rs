//! Tests that decoding arbitrary bytes as a frame, a register message or a record does not panic.

mod frames;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

use frames::{decode_as_all_types, samples};

/// A configuration with a fixed seed, so that each run tests the same cases.
fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(2);
    ProptestConfig {
        cases: 3_000,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in vec(any::<u8>(), 0..400)) {
        decode_as_all_types(&bytes);
    }

    #[test]
    fn mutated_frames_are_decoded_or_rejected(
        which in any::<Index>(),
        changes in vec((any::<Index>(), any::<u8>()), 1..6),
        length in any::<Index>(),
    ) {
        let mut samples = samples();
        let mut bytes = samples.swap_remove(which.index(samples.len()));
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        decode_as_all_types(&bytes);
        decode_as_all_types(&bytes[..length.index(bytes.len())]);
    }
}
