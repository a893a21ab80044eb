//! Random histories of a writer under faults: completed records are recovered after each power
//! loss.

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use ironmast_storage::testing::{FaultyDisk, Safeguard, UnsafeDisk};
use ironmast_storage::{
    Completion, Disk, Log, LogSettings, OpenError, Recovered, Supersedes, Writer,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

/// Number of histories.
const HISTORIES: u64 = 300;
/// Incarnations of the process in each history.
const INCARNATIONS: u64 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record(u64, String);

impl Supersedes for Record {
    fn supersedes(&self, _earlier: &Self) -> bool {
        true
    }
}

/// Opens the log; returns it with the recovered number and whether that is durable.
fn open(disk: Arc<dyn Disk>) -> Result<(Log<Record>, u64, bool), OpenError> {
    let settings = LogSettings::with_space("lives", 4096).expect("settings");
    let (log, recovered) = Log::open(disk, settings)?;
    Ok(match recovered {
        Recovered::Empty => (log, 0, true),
        Recovered::Found {
            record, durable, ..
        } => (log, record.0, durable),
    })
}

fn arm_fault(disk: &FaultyDisk, random: &mut Xoshiro256PlusPlus) {
    match random.random_range(0..8) {
        0 => disk.fail_file_syncs(1),
        1 => disk.fail_folder_syncs(1),
        2 => disk.set_full(true),
        3 => disk.stop_after(random.random_range(0..8)),
        _ => disk.clear_faults(),
    }
}

/// Submits records under faults; returns the newest that was completed as durable.
fn run_incarnation(
    disk: &Arc<FaultyDisk>,
    log: Log<Record>,
    next: &mut u64,
    random: &mut Xoshiro256PlusPlus,
) -> Option<u64> {
    let (sender, completions) = mpsc::channel::<Completion<u64>>();
    let writer = Writer::spawn(
        log,
        || Duration::ZERO,
        move |completion| sender.send(completion).expect("receiver"),
    )
    .expect("thread");
    let first = *next;
    for _ in 0..random.random_range(1..30) {
        arm_fault(disk, random);
        writer.submit(
            Record(*next, "x".repeat(random.random_range(0..200))),
            *next,
        );
        *next += 1;
    }
    writer.finish();
    let completions: Vec<_> = completions.iter().collect();
    assert!(
        completions
            .iter()
            .map(|completion| completion.token)
            .eq(first..*next),
        "tokens in order"
    );
    completions
        .iter()
        .rev()
        .find(|completion| completion.result.is_ok())
        .map(|completion| completion.token)
}

/// Whether an incarnation does not recover a record that the one before completed, recovers one
/// that was never submitted, or cannot open the log.
fn violates_durability(seed: u64, wrap: &dyn Fn(Arc<FaultyDisk>) -> Arc<dyn Disk>) -> bool {
    let disk = Arc::new(FaultyDisk::new(seed));
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let (mut durable, mut next) = (0, 1);
    for _ in 0..INCARNATIONS {
        let Ok((log, found, is_durable)) = open(wrap(disk.clone())) else {
            return true;
        };
        if found < durable || found >= next {
            return true;
        }
        durable = if is_durable { found } else { durable };
        durable = run_incarnation(&disk, log, &mut next, &mut random).unwrap_or(durable);
        disk.lose_power();
    }
    false
}

#[test]
fn completed_records_are_recovered_by_the_next_incarnation() {
    let violation = (0..HISTORIES).find(|seed| violates_durability(*seed, &|disk| disk));
    assert_eq!(violation, None);
}

#[test]
fn histories_detect_each_omitted_safeguard() {
    for omitted in [
        Safeguard::FileSync,
        Safeguard::FolderSync,
        Safeguard::StopAfterFailedSync,
    ] {
        let wrap = move |disk: Arc<FaultyDisk>| -> Arc<dyn Disk> {
            Arc::new(UnsafeDisk::new(disk, omitted))
        };
        assert!(
            (0..HISTORIES).any(|seed| violates_durability(seed, &wrap)),
            "{omitted:?}"
        );
    }
}
