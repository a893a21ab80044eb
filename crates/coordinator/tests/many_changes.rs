//! A thousand changes of a configuration of 350 routes, on the register's nodes and the real log,
//! through kills, losses of power, and disks that stall, fill up and fail: nothing acknowledged is
//! lost, nothing old is fed, and what a coordinator keeps and reads at its start doesn't grow.

mod many_changes {
    pub(crate) mod fleet;
    pub(crate) mod host;
    pub(crate) mod operator;
    pub(crate) mod value;
}

use std::time::Duration;

use ironmast_storage::Step;
use many_changes::fleet::Fleet;
use many_changes::host::SPACE_BYTES;
use many_changes::operator::{Day, Report};

/// Bytes of a configuration of 350 routes.
const ROUTES_350: usize = 100_000;
/// A restarted coordinator holds what was acknowledged before its start within this.
const LEVEL_WITHIN: Duration = Duration::from_secs(2);

fn play(seeds: std::ops::Range<u64>, day: &Day) -> Report {
    let mut total = Report::default();
    for seed in seeds {
        let report = day.play(seed);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            report.level_within <= LEVEL_WITHIN,
            "seed {seed}: level after {:?}",
            report.level_within
        );
        assert!(
            report.peak_bytes <= SPACE_BYTES,
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
    let day = Day {
        changes: 1_000,
        body_bytes: ROUTES_350,
        ..Day::default()
    };
    let report = play(0..2, &day);
    assert!(report.is_full_of_trouble(), "{report:?}");
}

#[test]
fn a_thousand_small_changes_survive_every_fault_on_many_seeds() {
    let day = Day {
        changes: 1_000,
        body_bytes: 300,
        ..Day::default()
    };
    let report = play(100..116, &day);
    assert!(report.is_full_of_trouble(), "{report:?}");
}

#[test]
fn frequent_faults_violate_no_invariant_on_many_seeds() {
    let day = Day {
        changes: 120,
        body_bytes: 2_000,
        changes_between: 3,
        ..Day::default()
    };
    let report = play(200..260, &day);
    assert!(report.is_full_of_trouble(), "{report:?}");
}

/// One is without power for that many changes; the messages and bytes that come to it until it is
/// level.
fn catch_up(changes: u64) -> (u64, u64, Duration) {
    let mut fleet = Fleet::new(1, ROUTES_350);
    fleet.settle();
    fleet.change_through(0, 10);
    fleet.kill(2);
    fleet.change_through(0, changes);
    fleet.start(2);
    let before = fleet.received(2);
    let level = fleet.until_level(2, 10 + changes);
    let after = fleet.received(2);
    (
        after.states - before.states,
        after.bytes - before.bytes,
        level,
    )
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_catches_up_in_one_exchange() {
    for changes in [1, 100, 800] {
        let (states, bytes, level) = catch_up(changes);
        println!("{changes} changes missed: {states} states, {bytes} bytes, level after {level:?}");
        // A reply of each of the others, or what one of them tells as chosen, for a read under way
        // at the start.
        assert!((1..=3).contains(&states), "{states} states");
        assert!(bytes < 4 * ROUTES_350 as u64, "{bytes} bytes");
        assert!(level < Duration::from_millis(500), "{level:?}");
    }
}

/// A change costs each replica two writes of the whole record: its promise, and its acceptance.
#[test]
fn a_change_is_written_at_most_twice() {
    let changes = 200;
    let mut fleet = Fleet::new(3, ROUTES_350);
    fleet.settle();
    fleet.change_through(0, 10);
    let before = (fleet.hosts[1].writes, fleet.hosts[1].written_bytes);
    fleet.change_through(0, changes);
    let (writes, bytes) = (
        fleet.hosts[1].writes - before.0,
        fleet.hosts[1].written_bytes - before.1,
    );
    println!(
        "a change: {} writes, {} bytes",
        writes as f64 / changes as f64,
        bytes / changes
    );
    assert!(writes <= 2 * changes + 2, "{writes} writes");
    assert!(
        bytes <= (2 * changes + 2) * (ROUTES_350 as u64 + 2_000),
        "{bytes} bytes"
    );
}

/// What a start reads: the files of the log, of which it opens the newest alone.
fn files_after(changes: u64) -> (u64, u64) {
    let mut fleet = Fleet::new(2, ROUTES_350);
    fleet.settle();
    fleet.change_through(0, changes);
    fleet.kill(0);
    let disk = std::sync::Arc::clone(&fleet.hosts[0].disk);
    let (bytes, reads) = (disk.used_bytes(), disk.count(Step::Read));
    assert!(fleet.start(0));
    (bytes, disk.count(Step::Read) - reads)
}

#[test]
fn bytes_read_at_start_do_not_grow_with_the_number_of_changes() {
    for changes in [10, 100, 600] {
        let (bytes, reads) = files_after(changes);
        println!("{changes} changes: {bytes} bytes, {reads} files read");
        assert!(bytes <= SPACE_BYTES / 2, "{bytes} bytes");
        assert_eq!(reads, 1);
    }
}
