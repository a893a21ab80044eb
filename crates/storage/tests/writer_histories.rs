//! Random lives of a writer: what it completed is found after kills and losses of power.

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

/// Histories that are played.
const HISTORIES: u64 = 300;
/// Lives of a process in each.
const LIVES: u64 = 4;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record(u64, String);

impl Supersedes for Record {
    fn supersedes(&self, _earlier: &Self) -> bool {
        true
    }
}

/// A log with the number found and whether that is durable.
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

/// Hands records in under faults; gives the newest that was completed as durable.
fn live(
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

/// Whether some life did not find what the one before completed, or found what nobody handed in.
fn loses(seed: u64, wrap: &dyn Fn(Arc<FaultyDisk>) -> Arc<dyn Disk>) -> bool {
    let disk = Arc::new(FaultyDisk::new(seed));
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let (mut durable, mut next) = (0, 1);
    for _ in 0..LIVES {
        let Ok((log, found, confirmed)) = open(wrap(disk.clone())) else {
            return true;
        };
        if found < durable || found >= next {
            return true;
        }
        durable = if confirmed { found } else { durable };
        durable = live(&disk, log, &mut next, &mut random).unwrap_or(durable);
        disk.lose_power();
    }
    false
}

#[test]
fn completed_records_are_recovered_by_the_next_incarnation() {
    let lost = (0..HISTORIES).find(|seed| loses(*seed, &|disk| disk));
    assert_eq!(lost, None);
}

#[test]
fn histories_detect_each_omitted_safeguard() {
    for left_out in [
        Safeguard::FileSync,
        Safeguard::FolderSync,
        Safeguard::StopAfterFailedSync,
    ] {
        let wrap = move |disk: Arc<FaultyDisk>| -> Arc<dyn Disk> {
            Arc::new(UnsafeDisk::new(disk, left_out))
        };
        assert!(
            (0..HISTORIES).any(|seed| loses(seed, &wrap)),
            "{left_out:?}"
        );
    }
}
