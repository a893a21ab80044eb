//! Tests that decoding a frame with a huge length prefix reserves no memory for that length. This
//! test needs a file, and thus a process, of its own because it measures the memory of the whole
//! process, to which other tests would add.

mod frames;

use frames::{decode_as_all_types, samples};

/// Limit of the memory, in KiB, that decoding may reserve at a time. serde reserves up to 1 MiB for
/// a collection on account of its length prefix alone.
const MAX_RESERVED_KIB: u64 = 64 << 10;

/// Peak size of the virtual memory of this process, in KiB.
fn peak_memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmPeak:"))
        .expect("a peak");
    line.trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .expect("a number")
}

/// Replaces each byte of each frame by a length prefix of 4 GB, of 2^42, and of 2^63.
#[test]
fn a_length_prefix_of_gigabytes_allocates_no_memory() {
    let lengths: [&[u8]; 3] = [
        &[0xff, 0xff, 0xff, 0xff, 0x0f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
    ];
    let before = peak_memory_kib();
    for sample in samples() {
        for at in 0..sample.len() {
            for length in lengths {
                let mut bytes = sample[..at].to_vec();
                bytes.extend(length);
                bytes.extend([1, 0, 0]);
                decode_as_all_types(&bytes);
            }
        }
    }
    let reserved = peak_memory_kib() - before;
    assert!(reserved < MAX_RESERVED_KIB, "{reserved} KiB");
}
