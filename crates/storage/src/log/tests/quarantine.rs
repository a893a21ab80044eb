//! Quarantine and erasure of a corrupted log, interrupted by a power loss at any operation.

use std::sync::Arc;

use assert_matches::assert_matches;

use crate::disk::{Disk, DiskError};
use crate::log::{Log, MAX_QUARANTINED_SEGMENTS};
use crate::names;
use crate::recovery::{OpenError, Recovered};
use crate::settings::LogSettings;
use crate::testing::FaultyDisk;

const LOG: &str = "damage";
const SPACE_BYTES: u64 = 4096;
/// Upper bound on the disk operations of a quarantine or an erasure.
const OPERATIONS: u64 = 16;

fn settings() -> LogSettings {
    LogSettings::new_unchecked(LOG, SPACE_BYTES)
}

fn open(disk: &Arc<FaultyDisk>) -> Result<(Log<u64>, Recovered<u64>), OpenError> {
    Log::open(disk.clone() as Arc<dyn Disk>, settings())
}

fn write_file(disk: &FaultyDisk, name: &str, bytes: &[u8]) {
    disk.create(name).expect("create");
    disk.append(name, bytes).expect("append");
    disk.sync_file(name).expect("sync");
    disk.sync_folder().expect("sync folder");
}

fn corrupt(disk: &FaultyDisk, sequence: u64) {
    let name = names::segment(LOG, sequence);
    let mut bytes = disk.read(&name).expect("read");
    bytes[30] ^= 1;
    disk.remove(&name).expect("remove");
    write_file(disk, &name, &bytes);
}

/// A disk on which the newest segment is corrupted and an older, intact one still exists.
fn corrupted_disk(seed: u64) -> Arc<FaultyDisk> {
    let disk = Arc::new(FaultyDisk::new(seed));
    let (mut log, _) = open(&disk).expect("open");
    log.reopen(&1).expect("reopen");
    let older = names::segment(LOG, 0);
    let bytes = disk.read(&older).expect("read");
    log.reopen(&2).expect("reopen");
    drop(log);
    write_file(&disk, &older, &bytes);
    corrupt(&disk, 1);
    assert_matches!(
        open(&disk).map(|(_, found)| found),
        Err(OpenError::Corrupted { .. })
    );
    disk
}

/// Runs `reset` with a power loss after each number of operations; returns the seeds and numbers
/// after which an older record is recovered.
fn older_record_recovered(reset: impl Fn(&FaultyDisk) -> Result<(), DiskError>) -> Vec<(u64, u64)> {
    let mut wrong = Vec::new();
    for seed in 0..40 {
        for operations in 0..OPERATIONS {
            let disk = corrupted_disk(seed);
            disk.stop_after(operations);
            let ended = reset(&disk);
            disk.lose_power();
            match open(&disk).map(|(_, found)| found) {
                Ok(Recovered::Empty) => {}
                Err(OpenError::Corrupted { .. }) if ended.is_err() => {}
                _ => wrong.push((seed, operations)),
            }
        }
    }
    wrong
}

#[test]
fn no_older_record_is_recovered_after_quarantine() {
    assert_eq!(
        older_record_recovered(|disk| Log::<u64>::quarantine(disk, &settings()).map(drop)),
        []
    );
}

#[test]
fn no_older_record_is_recovered_after_erasure() {
    assert_eq!(
        older_record_recovered(|disk| Log::<u64>::erase(disk, &settings())),
        []
    );
}

#[test]
fn removing_all_files_with_one_sync_would_let_an_older_record_be_recovered() {
    let remove_all = |disk: &FaultyDisk| {
        disk.list()?.iter().try_for_each(|name| disk.remove(name))?;
        disk.sync_folder()
    };
    assert!(!older_record_recovered(remove_all).is_empty());
}

#[test]
fn corrupted_bytes_are_kept_under_the_returned_name() {
    let disk = corrupted_disk(1);
    let bytes = disk.read(&names::segment(LOG, 1)).expect("read");
    let kept = Log::<u64>::quarantine(disk.as_ref(), &settings())
        .expect("quarantine")
        .expect("kept");
    assert_eq!(disk.read(&kept).expect("read"), bytes);
    assert_eq!(
        Log::<u64>::quarantined_files(disk.as_ref(), &settings()).expect("list"),
        std::slice::from_ref(&kept)
    );
    let (mut log, found) = open(&disk).expect("open");
    assert_eq!(found, Recovered::Empty);
    log.reopen(&3).expect("reopen");
    disk.lose_power();
    assert_matches!(
        open(&disk).map(|(_, found)| found),
        Ok(Recovered::Found { record: 3, .. })
    );
    assert_eq!(disk.read(&kept).expect("still there"), bytes);
}

#[test]
fn repeated_corruption_keeps_the_newest_two_segments_within_the_space() {
    let disk = corrupted_disk(2);
    for number in 3..9 {
        Log::<u64>::quarantine(disk.as_ref(), &settings()).expect("quarantine");
        let (mut log, _) = open(&disk).expect("open");
        log.reopen(&number).expect("reopen");
        let name = disk
            .list()
            .expect("list")
            .into_iter()
            .find(|name| name.ends_with(".segment"));
        let Some(names::LogFile::Segment(sequence)) = names::parse(LOG, &name.expect("a segment"))
        else {
            panic!("a segment")
        };
        corrupt(&disk, sequence);
        let kept = Log::<u64>::quarantined_files(disk.as_ref(), &settings()).expect("list");
        assert!(kept.len() <= MAX_QUARANTINED_SEGMENTS, "{kept:?}");
    }
    let kept = Log::<u64>::quarantined_files(disk.as_ref(), &settings()).expect("list");
    assert_eq!(kept.len(), MAX_QUARANTINED_SEGMENTS);
    assert!(disk.used_bytes() <= SPACE_BYTES + SPACE_BYTES / 4 * MAX_QUARANTINED_SEGMENTS as u64);
}

#[test]
fn a_file_longer_than_a_segment_is_not_kept() {
    let disk = corrupted_disk(3);
    let name = names::segment(LOG, 1);
    disk.append(&name, &vec![7; SPACE_BYTES as usize])
        .expect("append");
    assert_eq!(
        Log::<u64>::quarantine(disk.as_ref(), &settings()).expect("quarantine"),
        None
    );
    assert_eq!(disk.used_bytes(), 0);
}
