//! A length that a frame claims reserves no memory that its bytes don't account for. The test
//! stands alone in its file: it reads the memory of the whole process, and tests beside it would
//! add theirs.

mod frames;

use frames::{read, samples};

/// Most memory, in KiB, that reading may reserve at a time: serde reserves up to 1 MiB for a
/// collection whose length it has only been told.
const MEMORY_MOST: u64 = 64 << 10;

/// The most memory, in KiB, that this process has reserved at a time, touched or not.
fn memory_peak() -> u64 {
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

/// Every byte of every frame is taken for the start of a length of 4 GB, of 2^42, and of 2^63.
#[test]
fn a_length_prefix_of_gigabytes_allocates_no_memory() {
    let lengths: [&[u8]; 3] = [
        &[0xff, 0xff, 0xff, 0xff, 0x0f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
        &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
    ];
    let before = memory_peak();
    for sample in samples() {
        for at in 0..sample.len() {
            for length in lengths {
                let mut bytes = sample[..at].to_vec();
                bytes.extend(length);
                bytes.extend([1, 0, 0]);
                read(&bytes);
            }
        }
    }
    let reserved = memory_peak() - before;
    assert!(reserved < MEMORY_MOST, "{reserved} KiB");
}
