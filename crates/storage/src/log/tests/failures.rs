//! Single disk failures and the state of the log after them.

use std::sync::Arc;

use assert_matches::assert_matches;

use crate::disk::{Disk, DiskOperation};
use crate::log::{Log, LogError, LogState};
use crate::recovery::Recovered;
use crate::settings::{LogSettings, OnOpen, SegmentReplacement};
use crate::testing::{FaultyDisk, MemoryDisk};

fn open(disk: &Arc<FaultyDisk>) -> (Log<u64>, Recovered<u64>) {
    let disk: Arc<dyn Disk> = disk.clone();
    Log::open(disk, LogSettings::new_unchecked("failures", 4096)).expect("open")
}

fn found(record: u64, durable: bool) -> Recovered<u64> {
    Recovered::Found {
        record,
        durable,
        dropped_bytes: 0,
    }
}

#[test]
fn after_a_failed_sync_records_are_rejected_until_a_new_segment_is_written() {
    let disk = Arc::new(FaultyDisk::new(1));
    let (mut log, _) = open(&disk);
    log.reopen(&1).expect("reopen");
    disk.fail_file_syncs(1);
    log.append(&2).expect("append");
    assert_matches!(log.sync(), Err(LogError::Disk(error)) if error.operation == DiskOperation::SyncFile);
    assert_matches!(log.append(&3), Err(LogError::Failed(_)));
    assert_matches!(log.sync(), Err(LogError::Failed(_)));
    log.reopen(&3).expect("reopen");
    assert_eq!(log.state(), LogState::Ready);
    disk.lose_power();
    assert_eq!(open(&disk).1, found(3, true));
}

#[test]
fn a_full_disk_rejects_records_and_keeps_durable_ones() {
    let disk = Arc::new(FaultyDisk::new(2));
    let (mut log, _) = open(&disk);
    log.reopen(&1).expect("reopen");
    disk.set_full(true);
    assert_matches!(log.append(&2), Err(LogError::Full(_)));
    assert_matches!(log.reopen(&2), Err(LogError::Full(_)));
    disk.set_full(false);
    log.reopen(&3).expect("there is space again");
    log.append(&4).expect("append");
    log.sync().expect("sync");
    disk.lose_power();
    assert_eq!(open(&disk).1, found(4, true));
}

#[test]
fn a_log_opened_on_a_full_disk_recovers_its_record_as_not_durable() {
    let disk = Arc::new(FaultyDisk::new(3));
    open(&disk).0.reopen(&1).expect("reopen");
    disk.set_full(true);
    let (mut log, recovered) = open(&disk);
    assert_eq!(recovered, found(1, false));
    assert_matches!(log.state(), LogState::Failed(error) if error.is_full());
    disk.set_full(false);
    log.reopen(&1).expect("there is space again");
    assert_eq!(log.state(), LogState::Ready);
}

#[test]
fn a_record_larger_than_a_segment_is_rejected_without_a_failure() {
    let disk: Arc<dyn Disk> = Arc::new(MemoryDisk::new(1 << 20));
    let settings = LogSettings::new_unchecked("failures", 4096);
    let (mut log, _) = Log::<String>::open(disk, settings).expect("open");
    assert_matches!(
        log.append(&"x".repeat(1024)),
        Err(LogError::TooLarge { limit: 1024, .. })
    );
    assert_eq!(log.state(), LogState::Ready);
    log.append(&"x".repeat(900)).expect("append");
    log.sync().expect("sync");
}

#[test]
fn a_day_of_records_stays_within_the_space() {
    let disk = Arc::new(MemoryDisk::new(128 << 20));
    let settings = LogSettings::new("register", 128 << 20).expect("settings");
    let space = settings.space_bytes();
    assert!(space < (128 << 20) / 4);
    let (mut log, _) = Log::<(u64, String)>::open(disk.clone(), settings).expect("open");
    let mut record = (0, "x".repeat(150_000));
    for number in 0..7_400 {
        record.0 = number;
        log.append(&record).expect("append");
        log.sync().expect("sync");
    }
    assert!(
        disk.peak_bytes() <= space,
        "{} bytes used",
        disk.peak_bytes()
    );
}

#[test]
fn a_disk_too_small_rejects_records_until_it_has_grown() {
    let disk = Arc::new(MemoryDisk::new(1_000));
    let settings = LogSettings::new_unchecked("failures", 4096);
    let (mut log, _) = Log::<String>::open(disk.clone(), settings).expect("open");
    log.reopen(&"x".repeat(700)).expect("reopen");
    assert_matches!(log.append(&"y".repeat(300)), Err(LogError::Full(_)));
    assert_matches!(log.reopen(&"y".repeat(300)), Err(LogError::Full(_)));
    disk.set_capacity(2_000);
    log.reopen(&"y".repeat(300)).expect("there is space again");
}

#[test]
fn repeated_starts_on_a_folder_that_cannot_be_synced_add_no_files() {
    let disk = Arc::new(FaultyDisk::new(4));
    open(&disk).0.reopen(&1).expect("reopen");
    for _ in 0..20 {
        disk.fail_folder_syncs(u32::MAX);
        let (mut log, recovered) = open(&disk);
        assert_eq!(recovered, found(1, false));
        assert_matches!(log.reopen(&1), Err(LogError::Disk(error)) if error.operation == DiskOperation::SyncFolder);
        assert!(disk.list().expect("list").len() <= 2);
    }
    disk.clear_faults();
    assert_eq!(open(&disk).1, found(1, true));
    assert_eq!(disk.list().expect("list").len(), 1);
}

#[test]
fn a_sync_without_new_records_does_not_touch_the_disk() {
    let disk = Arc::new(FaultyDisk::new(5));
    let (mut log, _) = open(&disk);
    log.sync().expect("sync");
    log.append(&1).expect("append");
    log.sync().expect("sync");
    let before = disk.count(DiskOperation::SyncFile);
    log.sync().expect("sync");
    assert_eq!(disk.count(DiskOperation::SyncFile), before);
}

/// Three segments in a row get names that may or may not be durable, a fourth can't be created, and
/// the process is killed. Then record 5 is reported as durable and the power is lost. Returns what
/// is recovered then.
fn recover_after_failed_renames(seed: u64, replacement: SegmentReplacement) -> Recovered<u64> {
    let disk = Arc::new(FaultyDisk::new(seed));
    let mut settings = LogSettings::new_unchecked("failures", 4096);
    settings.guards.replacement = replacement;
    let open = || Log::open(disk.clone() as Arc<dyn Disk>, settings.clone()).expect("open");
    let (mut log, _) = open();
    log.reopen(&1).expect("reopen");
    disk.fail_folder_syncs(3);
    for number in 2..5 {
        assert_matches!(log.reopen(&number), Err(LogError::Disk(_)));
    }
    disk.set_full(true);
    assert_matches!(log.reopen(&4), Err(LogError::Full(_)));
    drop(log);
    disk.clear_faults();
    let (mut log, _) = open();
    log.append(&5).expect("append");
    log.sync().expect("sync");
    disk.lose_power();
    open().1
}

#[test]
fn a_removed_segment_that_reappears_is_never_recovered() {
    for seed in 0..200 {
        assert_eq!(
            recover_after_failed_renames(seed, SegmentReplacement::CreateFirst),
            found(5, true),
            "seed {seed}"
        );
    }
}

#[test]
fn a_reused_segment_number_would_let_a_removed_segment_be_recovered() {
    let wrong = (0..200).filter(|seed| {
        recover_after_failed_renames(*seed, SegmentReplacement::RemoveFirst) != found(5, true)
    });
    assert!(wrong.count() > 0);
}

/// Record 2 is written in part because the disk is full, the process is killed, record 3 is
/// reported as durable and the power is lost. Returns the record that is recovered then.
fn recover_after_torn_end(seed: u64, on_open: OnOpen) -> Option<u64> {
    let disk = Arc::new(FaultyDisk::new(seed));
    let mut settings = LogSettings::new_unchecked("failures", 4096);
    settings.guards.on_open = on_open;
    let open = || Log::open(disk.clone() as Arc<dyn Disk>, settings.clone());
    let (mut log, _) = open().expect("open");
    log.reopen(&1).expect("reopen");
    disk.set_full(true);
    assert_matches!(log.append(&2), Err(LogError::Full(_)));
    drop(log);
    disk.clear_faults();
    let (mut log, _) = open().expect("open");
    log.append(&3).expect("append");
    log.sync().expect("sync");
    disk.lose_power();
    match open() {
        Ok((_, Recovered::Found { record, .. })) => Some(record),
        _ => None,
    }
}

#[test]
fn a_record_is_never_appended_after_a_torn_end() {
    assert!((0..50).all(|seed| recover_after_torn_end(seed, OnOpen::Rewrite) == Some(3)));
    assert!(
        (0..50).any(|seed| recover_after_torn_end(seed, OnOpen::AppendAfterTornEnd) != Some(3))
    );
}
