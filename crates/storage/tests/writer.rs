//! The writer on disks that stall, fail and fill up.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, TryRecvError};
use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_storage::testing::FaultyDisk;
use ironmast_storage::{
    Activity, Completion, Disk, DiskOperation, Log, LogError, LogSettings, Recovered, Supersedes,
    Writer,
};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    number: u64,
    supersedes: bool,
}

impl Supersedes for Record {
    fn supersedes(&self, _earlier: &Self) -> bool {
        self.supersedes
    }
}

struct Fixture {
    disk: Arc<FaultyDisk>,
    now: Arc<AtomicU64>,
    writer: Writer<Record, u64>,
    completions: Receiver<Completion<u64>>,
}

fn open(disk: &Arc<FaultyDisk>) -> (Log<Record>, Recovered<Record>) {
    let disk: Arc<dyn Disk> = disk.clone();
    Log::open(
        disk,
        LogSettings::with_space("writer", 1 << 16).expect("settings"),
    )
    .expect("open")
}

fn fixture() -> Fixture {
    let disk = Arc::new(FaultyDisk::new(1));
    let (log, _) = open(&disk);
    let now = Arc::new(AtomicU64::new(0));
    let clock = Arc::clone(&now);
    let (sender, completions) = mpsc::channel();
    let writer = Writer::spawn(
        log,
        move || Duration::from_secs(clock.load(Ordering::Relaxed)),
        move |completion| sender.send(completion).expect("receiver"),
    );
    Fixture {
        disk,
        now,
        writer: writer.expect("thread"),
        completions,
    }
}

impl Fixture {
    fn submit(&self, number: u64) {
        self.writer.submit(
            Record {
                number,
                supersedes: true,
            },
            number,
        );
    }

    fn submit_and_wait(&self, number: u64) -> Result<(), LogError> {
        self.submit(number);
        let completion = self.completions.recv().expect("completion");
        assert_eq!(completion.token, number);
        completion.result
    }

    fn durable(&self, count: usize) -> Vec<u64> {
        let completions = self.completions.iter().take(count);
        completions
            .map(|completion| {
                completion
                    .result
                    .map(|()| completion.token)
                    .expect("durable")
            })
            .collect()
    }

    /// The number that is recovered after a power loss.
    fn finish_and_lose_power(self) -> Option<u64> {
        self.writer.finish();
        self.disk.lose_power();
        match open(&self.disk).1 {
            Recovered::Empty => None,
            Recovered::Found { record, .. } => Some(record.number),
        }
    }
}

#[test]
fn a_stalled_disk_delays_completions_and_health_reports_since_when() {
    let fixture = fixture();
    fixture.disk.stall();
    fixture.now.store(5, Ordering::Relaxed);
    fixture.submit(1);
    fixture.disk.wait_for_stalled_operation();
    fixture.now.store(9, Ordering::Relaxed);
    fixture.submit(2);
    let health = fixture.writer.health();
    assert_eq!(
        health.activity,
        Activity::Busy {
            since: Duration::from_secs(5)
        }
    );
    assert_eq!((health.queued, health.failure), (1, None));
    assert_eq!(fixture.completions.try_recv(), Err(TryRecvError::Empty));
    fixture.disk.release();
    assert_eq!(fixture.durable(2), [1, 2]);
    assert_eq!(fixture.finish_and_lose_power(), Some(2));
}

#[test]
fn only_the_newest_queued_record_is_written_and_synced_once() {
    let fixture = fixture();
    fixture.submit_and_wait(0).expect("durable");
    fixture.disk.stall();
    fixture.submit(1);
    fixture.disk.wait_for_stalled_operation();
    (2..50).for_each(|number| fixture.submit(number));
    let before = (
        fixture.disk.count(DiskOperation::Append),
        fixture.disk.count(DiskOperation::SyncFile),
    );
    fixture.disk.release();
    assert_eq!(fixture.durable(49), (1..50).collect::<Vec<_>>());
    let after = (
        fixture.disk.count(DiskOperation::Append),
        fixture.disk.count(DiskOperation::SyncFile),
    );
    assert_eq!((after.0 - before.0, after.1 - before.1), (2, 2));
    assert_eq!(fixture.finish_and_lose_power(), Some(49));
}

#[test]
fn records_that_supersede_nothing_are_all_written_and_synced_once() {
    let fixture = fixture();
    fixture.submit_and_wait(0).expect("durable");
    fixture.disk.stall();
    fixture.submit(1);
    fixture.disk.wait_for_stalled_operation();
    (2..5).for_each(|number| {
        fixture.writer.submit(
            Record {
                number,
                supersedes: false,
            },
            number,
        );
    });
    let before = (
        fixture.disk.count(DiskOperation::Append),
        fixture.disk.count(DiskOperation::SyncFile),
    );
    fixture.disk.release();
    assert_eq!(fixture.durable(4), [1, 2, 3, 4]);
    let after = (
        fixture.disk.count(DiskOperation::Append),
        fixture.disk.count(DiskOperation::SyncFile),
    );
    assert_eq!((after.0 - before.0, after.1 - before.1), (4, 2));
}

#[test]
fn after_a_failed_sync_the_next_record_starts_a_new_segment() {
    let fixture = fixture();
    fixture.submit_and_wait(1).expect("durable");
    fixture.disk.fail_file_syncs(1);
    assert_matches!(fixture.submit_and_wait(2), Err(LogError::Disk(error)) if error.operation == DiskOperation::SyncFile);
    assert!(fixture.writer.health().failure.is_some());
    fixture.submit_and_wait(3).expect("durable");
    assert_eq!(fixture.writer.health().failure, None);
    assert_eq!(fixture.finish_and_lose_power(), Some(3));
}

#[test]
fn a_full_disk_rejects_records_until_there_is_space_and_keeps_durable_ones() {
    let fixture = fixture();
    fixture.submit_and_wait(1).expect("durable");
    fixture.disk.set_full(true);
    assert_matches!(fixture.submit_and_wait(2), Err(LogError::Full(_)));
    assert_matches!(fixture.submit_and_wait(3), Err(LogError::Full(_)));
    fixture.disk.set_full(false);
    fixture.submit_and_wait(4).expect("durable");
    assert_eq!(fixture.finish_and_lose_power(), Some(4));
}

#[test]
fn durable_records_survive_a_full_disk_and_a_power_loss() {
    let fixture = fixture();
    fixture.submit_and_wait(1).expect("durable");
    fixture.disk.set_full(true);
    assert_matches!(fixture.submit_and_wait(2), Err(LogError::Full(_)));
    assert_eq!(fixture.finish_and_lose_power(), Some(1));
}

#[test]
fn a_dropped_writer_writes_submitted_records_and_ends() {
    let fixture = fixture();
    fixture.disk.stall();
    fixture.submit(1);
    fixture.disk.wait_for_stalled_operation();
    fixture.submit(2);
    drop(fixture.writer);
    fixture.disk.release();
    let tokens: Vec<u64> = fixture
        .completions
        .iter()
        .map(|completion| completion.token)
        .collect();
    assert_eq!(tokens, [1, 2]);
}
