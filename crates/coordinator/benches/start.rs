//! Benchmark of the time and memory of a start, and of the size on disk, after 10 to 10,000 changes
//! of a configuration of 350 routes; each change writes a promise and an acceptance. The benchmark
//! prints a table instead of using criterion because each row needs a disk with its own history.
//!
//! Run with `cargo bench -p ironmast-coordinator --bench start`; the log is written to the folder
//! for temporary files.
//!
//! Measured with `--profile dev` on a file system in memory, so that syncs cost nothing: a start
//! takes 0.14, 0.14, 0.14 and 0.09 ms in the median and 0.3 ms at worst after 10, 100, 1,000 and
//! 10,000 changes, with 97 KiB on the disk each time. It takes from 0 to 2.6 MiB of memory, without
//! relation to the number of changes.

#[path = "../tests/many_changes/value.rs"]
mod value;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ironmast_register::state::Proposal;
use ironmast_register::{Ballot, Decision, Identity, Record, Transition as _};
use ironmast_storage::{Disk, Log, LogSettings, RealDisk, Recovered};
use value::{Control, SetGeneration};

/// Size in bytes of a configuration of 350 routes.
const CONFIGURATION_BYTES: usize = 100_000;
const DISK_BYTES: u64 = 128 << 20;
const STARTS: usize = 15;

fn open(folder: &Path) -> (Log<Record<Control>>, Recovered<Record<Control>>) {
    let disk: Arc<dyn Disk> = Arc::new(RealDisk::open(folder).expect("folder"));
    let settings = LogSettings::new("register", DISK_BYTES).expect("settings");
    Log::open(disk, settings).expect("open")
}

fn initial() -> Record<Control> {
    let members: Vec<SocketAddr> = (7_000..7_003)
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect();
    Record::bootstrap(members[0], &members, Control::default())
}

/// Makes a change: writes and syncs a promise, then an acceptance.
fn change(log: &mut Log<Record<Control>>, record: &mut Record<Control>, generation: u64) {
    let ballot = Ballot {
        counter: generation,
        identity: Identity(7),
    };
    record.promised = ballot;
    log.append(record).expect("append");
    log.sync().expect("sync");
    let accepted = record.accepted.as_ref().expect("initial").state.clone();
    let Decision::Write(value) = (SetGeneration {
        generation,
        bytes: CONFIGURATION_BYTES,
    })
    .apply(&accepted.value) else {
        panic!("generation {generation} does not follow the current one");
    };
    let state = Arc::new(accepted.successor(ballot, accepted.members.clone(), Arc::new(value)));
    record.accepted = Some(Proposal { ballot, state });
    log.append(record).expect("append");
    log.sync().expect("sync");
}

fn folder_bytes(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).expect("folder");
    entries
        .map(|entry| entry.expect("entry").metadata().expect("metadata").len())
        .sum()
}

/// Resident memory of the process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("a size");
    line.trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .expect("a number")
}

fn main() {
    println!("| changes | a change | start, median | start, worst | memory | on disk |");
    println!("|---|---|---|---|---|---|");
    for changes in [10, 100, 1_000, 10_000_u64] {
        let folder = tempfile::tempdir().expect("folder");
        let (mut log, _) = open(folder.path());
        let mut record = initial();
        let started = Instant::now();
        (1..=changes).for_each(|generation| change(&mut log, &mut record, generation));
        let each = started.elapsed() / u32::try_from(changes).expect("few");
        drop((log, record));
        let before = resident_kib();
        let opened = open(folder.path());
        let memory = resident_kib().saturating_sub(before);
        drop(opened);
        let mut times: Vec<Duration> = (0..STARTS)
            .map(|_| {
                let started = Instant::now();
                let (_log, found) = open(folder.path());
                assert!(matches!(found, Recovered::Found { durable: true, .. }));
                started.elapsed()
            })
            .collect();
        times.sort_unstable();
        let on_disk = folder_bytes(folder.path()) >> 10;
        let (median, worst) = (times[STARTS / 2], times[STARTS - 1]);
        println!(
            "| {changes} | {each:.1?} | {median:.1?} | {worst:.1?} | {memory} KiB | {on_disk} KiB |"
        );
    }
}
