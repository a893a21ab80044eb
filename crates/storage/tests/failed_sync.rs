//! A write or sync fails, the whole record is written again to another file, and the process or the
//! power ends at any step of that: a record that was reported as durable is found, one that was
//! relied on after a start is found again.
//!
//! After a failed sync the page cache may show what the disk doesn't hold, and a second sync of the
//! same file may succeed without writing anything («Can Applications Recover from fsync Failures?»,
//! 2020). The disk here drops or keeps each write of a failed sync by its seed, and marks all of
//! them as written.

use std::sync::Arc;

use ironmast_storage::testing::{FaultyDisk, Safeguard, UnsafeDisk};
use ironmast_storage::{Disk, Log, LogError, LogSettings, LogState, OpenError, Recovered};

const SEEDS: u64 = 24;
/// Operations of the disk in which the rewriting certainly ends.
const OPERATIONS: u64 = 14;
/// Times that a record is written before the process or the power ends.
const TRIES: u32 = 3;

type Record = (u64, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    FileSync,
    FolderSync,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Kill,
    PowerLoss,
}

/// One case: how the first write fails, how often, when and how the process ends.
#[derive(Clone, Copy, Debug)]
struct Case {
    seed: u64,
    failure: Failure,
    times: u32,
    operations: u64,
    end: End,
    /// Whether the record begins a new segment in any case.
    is_long: bool,
}

/// What a program sees of its disk.
type Seen = fn(Arc<FaultyDisk>) -> Arc<dyn Disk>;

fn open(disk: &Arc<dyn Disk>) -> Result<(Log<Record>, Recovered<Record>), OpenError> {
    Log::open(
        Arc::clone(disk),
        LogSettings::with_space("votes", 4_096).expect("settings"),
    )
}

fn record(number: u64, is_long: bool) -> Record {
    (number, "x".repeat(if is_long { 700 } else { 60 }))
}

/// As the writer's thread does it.
fn write(log: &mut Log<Record>, record: &Record) -> Result<(), LogError> {
    if log.state() != LogState::Ready {
        return log.reopen(record);
    }
    log.append(record)?;
    log.sync()
}

fn end(disk: &FaultyDisk, how: End) {
    match how {
        End::Kill => disk.clear_faults(),
        End::PowerLoss => disk.lose_power(),
    }
}

/// The record that may be relied on after a start.
fn durable(disk: &Arc<dyn Disk>) -> Option<u64> {
    match open(disk).ok()?.1 {
        Recovered::Found {
            record,
            durable: true,
            ..
        } => Some(record.0),
        _ => None,
    }
}

/// Whether what was reported is found, and what was relied on is found again.
fn holds(case: Case, seen: Seen) -> bool {
    let faulty = Arc::new(FaultyDisk::new(case.seed));
    let disk = seen(Arc::clone(&faulty));
    let (mut log, _) = open(&disk).expect("an empty folder");
    log.reopen(&record(1, case.is_long)).expect("reopen");
    match case.failure {
        Failure::FileSync => faulty.fail_file_syncs(case.times),
        Failure::FolderSync => faulty.fail_folder_syncs(case.times),
        Failure::Full => faulty.set_full(true),
    }
    let second = record(2, case.is_long);
    let mut is_reported = write(&mut log, &second).is_ok();
    if case.failure == Failure::Full {
        faulty.set_full(false);
    }
    faulty.stop_after(case.operations);
    for _ in 0..TRIES {
        is_reported = is_reported || write(&mut log, &second).is_ok();
    }
    drop(log);
    end(&faulty, case.end);
    let found = durable(&disk);
    let is_kept = if is_reported {
        found == Some(2)
    } else {
        matches!(found, Some(1 | 2))
    };
    faulty.lose_power();
    is_kept && durable(&disk) == found
}

fn cases() -> impl Iterator<Item = Case> {
    let failures = [Failure::FileSync, Failure::FolderSync, Failure::Full];
    let ends = [End::Kill, End::PowerLoss];
    failures.into_iter().flat_map(move |failure| {
        ends.into_iter().flat_map(move |end| {
            (0..SEEDS * OPERATIONS * 6).map(move |number| {
                let (seed, rest) = (number % SEEDS, number / SEEDS);
                let (operations, rest) = (rest % OPERATIONS, rest / OPERATIONS);
                let (times, is_long) = (1 + (rest % 3) as u32, rest >= 3);
                Case {
                    seed,
                    failure,
                    times,
                    operations,
                    end,
                    is_long,
                }
            })
        })
    })
}

fn broken(seen: Seen) -> Vec<Case> {
    cases().filter(|case| !holds(*case, seen)).collect()
}

#[test]
fn a_record_rewritten_to_another_file_survives_any_interruption() {
    let broken = broken(|disk| disk);
    assert!(
        broken.is_empty(),
        "{} cases, first {:?}",
        broken.len(),
        broken.first()
    );
}

#[test]
fn retrying_a_failed_sync_loses_reported_records() {
    let broken = broken(|disk| Arc::new(UnsafeDisk::new(disk, Safeguard::StopAfterFailedSync)));
    println!("{} cases, first {:?}", broken.len(), broken.first());
    assert!(!broken.is_empty());
}
