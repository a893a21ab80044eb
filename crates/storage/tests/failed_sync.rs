//! A write or sync fails, the record is rewritten to another file, and the process is killed or the
//! power lost after any disk operation of the rewrite: a record that was reported as durable is
//! recovered, and one that was recovered as durable is recovered again.
//!
//! After a failed sync the page cache may hold what the disk doesn't, and a second sync of the same
//! file may succeed without writing anything ("Can Applications Recover from fsync Failures?",
//! 2020). The disk here drops or keeps each write of a failed sync by its seed, and marks all of
//! them as clean.

use std::sync::Arc;

use ironmast_storage::testing::{FaultyDisk, Safeguard, UnsafeDisk};
use ironmast_storage::{Disk, Log, LogError, LogSettings, LogState, OpenError, Recovered};

const SEEDS: u64 = 24;
/// Upper bound on the disk operations of the rewrite.
const OPERATIONS: u64 = 14;
/// Attempts to write the record before the interruption.
const ATTEMPTS: u32 = 3;

type Record = (u64, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    FileSync,
    FolderSync,
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    Kill,
    PowerLoss,
}

/// One case: how the first write fails, how often, and when and how the process is interrupted.
#[derive(Clone, Copy, Debug)]
struct Case {
    seed: u64,
    failure: Failure,
    times: u32,
    operations: u64,
    interruption: Interruption,
    /// Whether the record is so long that it starts a new segment in any case.
    is_long: bool,
}

/// Wraps the disk for the log under test.
type WrapDisk = fn(Arc<FaultyDisk>) -> Arc<dyn Disk>;

fn open(disk: &Arc<dyn Disk>) -> Result<(Log<Record>, Recovered<Record>), OpenError> {
    Log::open(
        Arc::clone(disk),
        LogSettings::with_space("votes", 4_096).expect("settings"),
    )
}

fn record(number: u64, is_long: bool) -> Record {
    (number, "x".repeat(if is_long { 700 } else { 60 }))
}

/// Writes a record as the writer's thread does.
fn write(log: &mut Log<Record>, record: &Record) -> Result<(), LogError> {
    if log.state() != LogState::Ready {
        return log.reopen(record);
    }
    log.append(record)?;
    log.sync()
}

fn interrupt(disk: &FaultyDisk, interruption: Interruption) {
    match interruption {
        Interruption::Kill => disk.clear_faults(),
        Interruption::PowerLoss => disk.lose_power(),
    }
}

/// The number of the record that is recovered as durable.
fn recovered_number(disk: &Arc<dyn Disk>) -> Option<u64> {
    match open(disk).ok()?.1 {
        Recovered::Found {
            record,
            durable: true,
            ..
        } => Some(record.0),
        _ => None,
    }
}

/// Whether a reported record is recovered, and a recovered one is recovered again.
fn is_durable(case: Case, wrap: WrapDisk) -> bool {
    let faulty = Arc::new(FaultyDisk::new(case.seed));
    let disk = wrap(Arc::clone(&faulty));
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
    for _ in 0..ATTEMPTS {
        is_reported = is_reported || write(&mut log, &second).is_ok();
    }
    drop(log);
    interrupt(&faulty, case.interruption);
    let found = recovered_number(&disk);
    let is_kept = if is_reported {
        found == Some(2)
    } else {
        matches!(found, Some(1 | 2))
    };
    faulty.lose_power();
    is_kept && recovered_number(&disk) == found
}

fn cases() -> impl Iterator<Item = Case> {
    let failures = [Failure::FileSync, Failure::FolderSync, Failure::Full];
    let interruptions = [Interruption::Kill, Interruption::PowerLoss];
    failures.into_iter().flat_map(move |failure| {
        interruptions.into_iter().flat_map(move |interruption| {
            (0..SEEDS * OPERATIONS * 6).map(move |number| {
                let (seed, rest) = (number % SEEDS, number / SEEDS);
                let (operations, rest) = (rest % OPERATIONS, rest / OPERATIONS);
                let (times, is_long) = (1 + (rest % 3) as u32, rest >= 3);
                Case {
                    seed,
                    failure,
                    times,
                    operations,
                    interruption,
                    is_long,
                }
            })
        })
    })
}

fn failing_cases(wrap: WrapDisk) -> Vec<Case> {
    cases().filter(|case| !is_durable(*case, wrap)).collect()
}

#[test]
fn a_record_rewritten_to_another_file_survives_any_interruption() {
    let failing = failing_cases(|disk| disk);
    assert!(
        failing.is_empty(),
        "{} cases, first {:?}",
        failing.len(),
        failing.first()
    );
}

#[test]
fn retrying_a_failed_sync_loses_reported_records() {
    let failing =
        failing_cases(|disk| Arc::new(UnsafeDisk::new(disk, Safeguard::StopAfterFailedSync)));
    println!("{} cases, first {:?}", failing.len(), failing.first());
    assert!(!failing.is_empty());
}
