//! Checks of the contract of [`Disk`]: how a disk behaves, and how a log behaves on it.

use std::sync::Arc;

use crate::disk::{Disk, FailureKind};
use crate::log::Log;
use crate::names;
use crate::recovery::{OpenError, Recovered};
use crate::settings::LogSettings;
use crate::{CorruptionReason, IdentityFile};

/// Name of the log.
const LOG: &str = "contract";
/// Space of the log, in bytes; small, so that new segments are started often.
const SPACE_BYTES: u64 = 4096;

/// Checks an implementation of [`Disk`]; `make_disk` returns a new, empty one at each call.
///
/// # Panics
/// When the disk, or a log on it, violates the contract.
pub fn check_disk_contract(mut make_disk: impl FnMut() -> Arc<dyn Disk>) {
    files_keep_written_bytes(make_disk().as_ref());
    names_in_use_and_unknown_names_are_rejected(make_disk().as_ref());
    the_newest_record_is_recovered(&make_disk());
    space_is_bounded(&make_disk());
    superseded_and_temporary_files_are_removed(&make_disk());
    corruption_is_reported(&make_disk());
    logs_share_a_folder(&make_disk());
}

fn files_keep_written_bytes(disk: &dyn Disk) {
    disk.create("a").expect("create");
    disk.append("a", b"one").expect("append");
    disk.append("a", b" two").expect("append");
    disk.sync_file("a").expect("sync");
    disk.rename("a", "b").expect("rename");
    disk.append("b", b" three").expect("append after rename");
    disk.sync_folder().expect("sync folder");
    assert_eq!(disk.read("b").expect("read"), b"one two three");
    assert_eq!(disk.list().expect("list"), ["b"]);
    disk.remove("b").expect("remove");
    assert!(disk.list().expect("list").is_empty());
}

fn names_in_use_and_unknown_names_are_rejected(disk: &dyn Disk) {
    let kind = |outcome: Result<(), crate::DiskError>| outcome.map_err(|error| error.kind);
    disk.create("a").expect("create");
    disk.create("b").expect("create");
    assert_eq!(kind(disk.create("a")), Err(FailureKind::Exists));
    assert_eq!(kind(disk.rename("a", "b")), Err(FailureKind::Exists));
    assert_eq!(kind(disk.rename("c", "d")), Err(FailureKind::NotFound));
    assert_eq!(kind(disk.remove("c")), Err(FailureKind::NotFound));
    assert_eq!(kind(disk.append("c", b"x")), Err(FailureKind::NotFound));
    assert_eq!(kind(disk.sync_file("c")), Err(FailureKind::NotFound));
    assert_eq!(
        disk.read("c").map_err(|error| error.kind),
        Err(FailureKind::NotFound)
    );
}

fn the_newest_record_is_recovered(disk: &Arc<dyn Disk>) {
    let (mut log, found) = open(disk);
    assert_eq!(found, Recovered::Empty);
    for number in 0..100_u64 {
        log.append(&record(number)).expect("append");
        log.sync().expect("sync");
    }
    drop(log);
    let expected = Recovered::Found {
        record: record(99),
        durable: true,
        dropped_bytes: 0,
    };
    assert_eq!(open(disk).1, expected);
    assert_eq!(open(disk).1, expected);
}

fn space_is_bounded(disk: &Arc<dyn Disk>) {
    let (mut log, _) = open(disk);
    for number in 0..100_u64 {
        log.append(&record(number)).expect("append");
        if number % 7 == 0 {
            log.sync().expect("sync");
        }
        assert!(bytes(disk.as_ref()) <= SPACE_BYTES);
    }
}

fn superseded_and_temporary_files_are_removed(disk: &Arc<dyn Disk>) {
    let (mut log, _) = open(disk);
    log.reopen(&record(1)).expect("reopen");
    let old = segment_names(disk.as_ref());
    let old_bytes = disk.read(&old[0]).expect("read");
    log.reopen(&record(2)).expect("reopen");
    drop(log);
    write_file(disk.as_ref(), &old[0], &old_bytes);
    write_file(disk.as_ref(), &names::temporary(LOG, 90), b"torn");
    let found = Recovered::Found {
        record: record(2),
        durable: true,
        dropped_bytes: 0,
    };
    assert_eq!(open(disk).1, found);
    assert_eq!(disk.list().expect("list"), [names::segment(LOG, 91)]);
}

fn corruption_is_reported(disk: &Arc<dyn Disk>) {
    let (mut log, _) = open(disk);
    for number in 0..3 {
        log.append(&record(number)).expect("append");
        log.sync().expect("sync");
    }
    drop(log);
    let name = segment_names(disk.as_ref()).remove(0);
    let intact = disk.read(&name).expect("read");
    let frame = (intact.len() - crate::format::SEGMENT_HEADER_BYTES) / 3;
    let second = crate::format::SEGMENT_HEADER_BYTES + frame;
    for (position, reason) in [
        (0, CorruptionReason::SegmentHeader),
        (second - 1, CorruptionReason::FirstFrame),
        (second + 5, CorruptionReason::SyncedFrame),
    ] {
        let mut corrupted = intact.clone();
        corrupted[position] ^= 1;
        replace_file(disk.as_ref(), &name, &corrupted);
        let found = Log::<Record>::open(Arc::clone(disk), settings()).map(|(_, found)| found);
        let matches = matches!(&found, Err(OpenError::Corrupted { file, reason: given, .. })
            if *file == name && *given == reason);
        assert!(matches, "corruption at {position}: {found:?}");
    }
    Log::<Record>::erase(disk.as_ref(), &settings()).expect("erase");
    assert_eq!(open(disk).1, Recovered::Empty);
}

fn logs_share_a_folder(disk: &Arc<dyn Disk>) {
    let (mut log, _) = open(disk);
    log.reopen(&record(5)).expect("reopen");
    let mut identity = IdentityFile::<u64>::open(Arc::clone(disk)).expect("open");
    identity.store(6).expect("store");
    let identity = IdentityFile::<u64>::open(Arc::clone(disk)).expect("open");
    assert_eq!(identity.get(), Some(&6));
    assert_eq!(
        open(disk).1,
        Recovered::Found {
            record: record(5),
            durable: true,
            dropped_bytes: 0
        }
    );
}

/// Number and padding of a record.
type Record = (u64, String);

fn record(number: u64) -> Record {
    (number, "x".repeat(200))
}

fn settings() -> LogSettings {
    LogSettings::new_unchecked(LOG, SPACE_BYTES)
}

fn open(disk: &Arc<dyn Disk>) -> (Log<Record>, Recovered<Record>) {
    Log::open(Arc::clone(disk), settings()).expect("open")
}

fn bytes(disk: &dyn Disk) -> u64 {
    let names = disk.list().expect("list");
    names
        .iter()
        .map(|name| disk.read(name).expect("read").len() as u64)
        .sum()
}

fn segment_names(disk: &dyn Disk) -> Vec<String> {
    let names = disk.list().expect("list");
    names
        .into_iter()
        .filter(|name| matches!(names::parse(LOG, name), Some(names::LogFile::Segment(_))))
        .collect()
}

fn replace_file(disk: &dyn Disk, name: &str, bytes: &[u8]) {
    disk.remove(name).expect("remove");
    write_file(disk, name, bytes);
}

fn write_file(disk: &dyn Disk, name: &str, bytes: &[u8]) {
    disk.create(name).expect("create");
    disk.append(name, bytes).expect("append");
    disk.sync_file(name).expect("sync");
    disk.sync_folder().expect("sync folder");
}
