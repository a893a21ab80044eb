//! Whatever bytes a segment holds, opening the log never panics and never recovers a record that
//! was not written.

use std::sync::Arc;

use assert_matches::assert_matches;
use ironmast_storage::testing::MemoryDisk;
use ironmast_storage::{Disk, Log, LogSettings, OpenError, Recovered};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Name of the newest segment.
const SEGMENT: &str = "bytes-0000000000000003.segment";
/// Size of a segment header, in bytes.
const SEGMENT_HEADER_BYTES: usize = 28;

type Record = (u64, String);

fn settings() -> LogSettings {
    LogSettings::with_space("bytes", 1 << 16).expect("settings")
}

fn open(bytes: &[u8]) -> Result<Recovered<Record>, OpenError> {
    let disk = Arc::new(MemoryDisk::new(1 << 20));
    disk.create(SEGMENT).expect("create");
    disk.append(SEGMENT, bytes).expect("append");
    Log::open(disk, settings()).map(|(_, recovered)| recovered)
}

/// The bytes of a segment with these records, each synced.
fn segment(records: &[Record]) -> Vec<u8> {
    let disk = Arc::new(MemoryDisk::new(1 << 20));
    disk.create("bytes-0000000000000002.tmp").expect("create");
    let (mut log, _) = Log::<Record>::open(disk.clone(), settings()).expect("open");
    for record in records {
        log.append(record).expect("append");
        log.sync().expect("sync");
    }
    disk.read(SEGMENT).expect("segment")
}

fn records(paddings: Vec<String>) -> Vec<Record> {
    (0..).zip(paddings).collect()
}

fn is_corrupted(outcome: &Result<Recovered<Record>, OpenError>) -> bool {
    matches!(outcome, Err(OpenError::Corrupted { .. }))
}

#[derive(Clone, Debug)]
enum Corruption {
    Flip(prop::sample::Index, u8),
    Truncate(prop::sample::Index),
    Zero(prop::sample::Index, usize),
    Insert(prop::sample::Index, Vec<u8>),
    Repeat(prop::sample::Index, usize),
}

fn corruption() -> impl Strategy<Value = Corruption> {
    prop_oneof![
        (any::<prop::sample::Index>(), 1..=255_u8)
            .prop_map(|(at, bits)| Corruption::Flip(at, bits)),
        any::<prop::sample::Index>().prop_map(Corruption::Truncate),
        (any::<prop::sample::Index>(), 1..64_usize)
            .prop_map(|(at, length)| Corruption::Zero(at, length)),
        (any::<prop::sample::Index>(), vec(any::<u8>(), 1..32))
            .prop_map(|(at, bytes)| Corruption::Insert(at, bytes)),
        (any::<prop::sample::Index>(), 1..200_usize)
            .prop_map(|(at, length)| Corruption::Repeat(at, length)),
    ]
}

fn apply(bytes: &mut Vec<u8>, corruption: Corruption) {
    if bytes.is_empty() {
        return;
    }
    match corruption {
        Corruption::Flip(at, bits) => {
            let at = at.index(bytes.len());
            bytes[at] ^= bits;
        }
        Corruption::Truncate(at) => bytes.truncate(at.index(bytes.len())),
        Corruption::Zero(at, length) => {
            let at = at.index(bytes.len());
            bytes
                .iter_mut()
                .skip(at)
                .take(length)
                .for_each(|byte| *byte = 0);
        }
        Corruption::Insert(at, inserted) => {
            let at = at.index(bytes.len());
            bytes.splice(at..at, inserted);
        }
        Corruption::Repeat(at, length) => {
            let at = at.index(bytes.len());
            let copy: Vec<u8> = bytes[at..].iter().copied().take(length).collect();
            bytes.extend(copy);
        }
    }
}

/// Runs the same cases each time.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_reported_as_corruption(bytes in vec(any::<u8>(), 0..2_000)) {
        let outcome = open(&bytes);
        prop_assert!(is_corrupted(&outcome), "{:?}", outcome);
    }

    #[test]
    fn a_corrupted_segment_yields_a_written_record_or_an_error(
        paddings in vec("[a-zF ]{0,80}", 1..8),
        corruptions in vec(corruption(), 1..4),
    ) {
        let records = records(paddings);
        let mut bytes = segment(&records);
        for corruption in corruptions {
            apply(&mut bytes, corruption);
        }
        match open(&bytes) {
            Ok(Recovered::Found { record, .. }) => prop_assert!(records.contains(&record)),
            Ok(Recovered::Empty) => prop_assert!(false, "a corrupted segment was read as empty"),
            outcome => prop_assert!(is_corrupted(&outcome), "{:?}", outcome),
        }
    }

    #[test]
    fn a_flipped_bit_before_the_last_frame_is_reported(
        paddings in vec("[a-z]{0,80}", 2..8),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let records = records(paddings);
        let mut bytes = segment(&records);
        let last = segment(&records[..records.len() - 1]).len();
        bytes[at.index(last)] ^= 1 << bit;
        let outcome = open(&bytes);
        prop_assert!(is_corrupted(&outcome), "{:?}", outcome);
    }

    #[test]
    fn a_truncated_segment_yields_the_last_complete_record(
        paddings in vec("[a-z]{0,80}", 2..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let records = records(paddings);
        let bytes = segment(&records);
        let first = segment(&records[..1]).len();
        let cut = first + cut.index(bytes.len() - first);
        let whole = (1..=records.len()).rev().find(|count| segment(&records[..*count]).len() <= cut);
        let expected = records[whole.expect("the first frame is whole") - 1].clone();
        let found = open(&bytes[..cut]).expect("a torn end is not corruption");
        let record = match found {
            Recovered::Empty => None,
            Recovered::Found { record, .. } => Some(record),
        };
        prop_assert_eq!(record, Some(expected));
    }
}

#[test]
fn a_segment_without_its_first_frame_is_corrupted() {
    let bytes = segment(&[(1, "x".to_owned())]);
    assert_matches!(
        open(&bytes[..SEGMENT_HEADER_BYTES]),
        Err(OpenError::Corrupted { offset: 28, .. })
    );
    assert_matches!(open(&[]), Err(OpenError::Corrupted { offset: 0, .. }));
}

#[test]
fn a_segment_under_another_name_is_corrupted() {
    let bytes = segment(&[(1, "x".to_owned())]);
    let disk = Arc::new(MemoryDisk::new(1 << 20));
    disk.create("bytes-0000000000000009.segment")
        .expect("create");
    disk.append("bytes-0000000000000009.segment", &bytes)
        .expect("append");
    assert_matches!(
        Log::<Record>::open(disk, settings()).map(|(_, found)| found),
        Err(OpenError::Corrupted { .. })
    );
}

#[test]
fn a_frame_inside_a_record_is_not_taken_for_a_frame() {
    let mut inner = segment(&[
        (7, "x".repeat(200)),
        (8, "known to be synced up to here".to_owned()),
    ]);
    inner.extend([0; 8]);
    let disk = Arc::new(MemoryDisk::new(1 << 20));
    disk.create("bytes-0000000000000002.tmp").expect("create");
    let (mut log, _) = Log::<Vec<u8>>::open(disk.clone(), settings()).expect("open");
    log.reopen(&vec![0]).expect("reopen");
    log.append(&inner).expect("append");
    let whole = disk.read(SEGMENT).expect("segment");
    let torn = &whole[..whole.len() - 1];
    let disk = Arc::new(MemoryDisk::new(1 << 20));
    disk.create(SEGMENT).expect("create");
    disk.append(SEGMENT, torn).expect("append");
    let found = Log::<Vec<u8>>::open(disk, settings())
        .map(|(_, found)| found)
        .expect("open");
    assert_matches!(found, Recovered::Found { record, .. } if record == [0]);
}
