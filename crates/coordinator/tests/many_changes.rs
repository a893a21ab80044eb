//! Tests with a thousand changes of a configuration of 350 routes. Register nodes with the real log
//! run in simulated time while processes are killed, hosts lose power, and disks stall, fill up and
//! fail. The tests check that no acknowledged change is lost, that no outdated state is published,
//! and that what a coordinator stores and reads at start does not grow with the number of changes.

mod many_changes {
    pub(crate) mod cluster;
    pub(crate) mod host;
    pub(crate) mod value;
    pub(crate) mod workload;
}

use std::time::Duration;

use ironmast_storage::DiskOperation;
use many_changes::cluster::Cluster;
use many_changes::host::LOG_SPACE_BYTES;
use many_changes::workload::{Report, Workload};

/// Size in bytes of a configuration of 350 routes.
const CONFIGURATION_BYTES: usize = 100_000;
/// Time within which a restarted coordinator must hold every change acknowledged before its start.
const MAX_CATCH_UP_TIME: Duration = Duration::from_secs(2);

fn run_seeds(seeds: std::ops::Range<u64>, workload: &Workload) -> Report {
    let mut total = Report::default();
    for seed in seeds {
        let report = workload.run_seed(seed);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            report.max_catch_up_time <= MAX_CATCH_UP_TIME,
            "seed {seed}: caught up after {:?}",
            report.max_catch_up_time
        );
        assert!(
            report.peak_bytes <= LOG_SPACE_BYTES,
            "seed {seed}: {} bytes",
            report.peak_bytes
        );
        total.add(&report);
    }
    println!("{total:?}");
    total
}

#[test]
fn a_thousand_changes_of_350_routes_survive_every_fault() {
    let workload = Workload {
        changes: 1_000,
        body_bytes: CONFIGURATION_BYTES,
        ..Workload::default()
    };
    let report = run_seeds(0..2, &workload);
    assert!(report.has_every_fault(), "{report:?}");
}

#[test]
fn a_thousand_small_changes_survive_every_fault_on_many_seeds() {
    let workload = Workload {
        changes: 1_000,
        body_bytes: 300,
        ..Workload::default()
    };
    let report = run_seeds(100..116, &workload);
    assert!(report.has_every_fault(), "{report:?}");
}

#[test]
fn frequent_faults_violate_no_invariant_on_many_seeds() {
    let workload = Workload {
        changes: 120,
        body_bytes: 2_000,
        changes_between_faults: 3,
        ..Workload::default()
    };
    let report = run_seeds(200..260, &workload);
    assert!(report.has_every_fault(), "{report:?}");
}

/// Stops a replica during `changes` changes. Returns the number of states and of bytes that it
/// receives after its start until it has caught up, and the time that takes.
fn catch_up(changes: u64) -> (u64, u64, Duration) {
    let mut cluster = Cluster::new(1, CONFIGURATION_BYTES);
    cluster.finish_bootstrap();
    cluster.apply_changes(0, 10);
    cluster.kill(2);
    cluster.apply_changes(0, changes);
    cluster.start(2);
    let before = cluster.received(2);
    let caught_up_after = cluster.time_until_caught_up(2, 10 + changes);
    let after = cluster.received(2);
    (
        after.states - before.states,
        after.bytes - before.bytes,
        caught_up_after,
    )
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_catches_up_in_one_exchange() {
    for changes in [1, 100, 800] {
        let (states, bytes, caught_up_after) = catch_up(changes);
        println!(
            "{changes} changes missed: {states} states, {bytes} bytes, caught up after {caught_up_after:?}"
        );
        // The read that a replica submits at its start is answered by a reply of each of the other
        // two, or by the chosen state from one of them.
        assert!((1..=3).contains(&states), "{states} states");
        assert!(bytes < 4 * CONFIGURATION_BYTES as u64, "{bytes} bytes");
        assert!(
            caught_up_after < Duration::from_millis(500),
            "{caught_up_after:?}"
        );
    }
}

/// Each change requires two writes of the complete record on each replica: the promise and the
/// acceptance.
#[test]
fn a_change_is_written_at_most_twice() {
    let changes = 200;
    let mut cluster = Cluster::new(3, CONFIGURATION_BYTES);
    cluster.finish_bootstrap();
    cluster.apply_changes(0, 10);
    let before = (cluster.hosts[1].writes, cluster.hosts[1].written_bytes);
    cluster.apply_changes(0, changes);
    let (writes, bytes) = (
        cluster.hosts[1].writes - before.0,
        cluster.hosts[1].written_bytes - before.1,
    );
    println!(
        "a change: {} writes, {} bytes",
        writes as f64 / changes as f64,
        bytes / changes
    );
    assert!(writes <= 2 * changes + 2, "{writes} writes");
    assert!(
        bytes <= (2 * changes + 2) * (CONFIGURATION_BYTES as u64 + 2_000),
        "{bytes} bytes"
    );
}

/// Size of the log in bytes and number of files read at a start, which should only open the newest
/// one.
fn files_after(changes: u64) -> (u64, u64) {
    let mut cluster = Cluster::new(2, CONFIGURATION_BYTES);
    cluster.finish_bootstrap();
    cluster.apply_changes(0, changes);
    cluster.kill(0);
    let disk = std::sync::Arc::clone(&cluster.hosts[0].disk);
    let (bytes, reads) = (disk.used_bytes(), disk.count(DiskOperation::Read));
    assert!(cluster.start(0));
    (bytes, disk.count(DiskOperation::Read) - reads)
}

#[test]
fn bytes_read_at_start_do_not_grow_with_the_number_of_changes() {
    for changes in [10, 100, 600] {
        let (bytes, reads) = files_after(changes);
        println!("{changes} changes: {bytes} bytes, {reads} files read");
        assert!(bytes <= LOG_SPACE_BYTES / 2, "{bytes} bytes");
        assert_eq!(reads, 1);
    }
}
