//! One coordinator host: a register node with the real log on a disk with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ironmast_register::node::NodeLocation;
use ironmast_register::{Action, Event, Node, PersistToken, Record, RecordSource, Settings};
use ironmast_storage::testing::FaultyDisk;
use ironmast_storage::{Disk, Log, LogSettings, LogState, Recovered};

use super::value::Control;

/// Duration of a write with its sync on a healthy disk.
pub(crate) const WRITE_TIME: Duration = Duration::from_millis(3);
/// Space in bytes that the log may use of a disk of 128 MB.
pub(crate) const LOG_SPACE_BYTES: u64 = 16 << 20;

/// A write in flight.
struct PendingWrite {
    token: PersistToken,
    record: Record<Control>,
}

/// A running process.
struct Process {
    node: Node<Control>,
    log: Log<Record<Control>>,
    pending_write: Option<PendingWrite>,
}

/// Messages received by a host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Received {
    /// Number of messages that carry a complete state.
    pub states: u64,
    /// Size of all messages in bytes.
    pub bytes: u64,
}

/// A host with its disk and, while it is up, its process.
pub(crate) struct Host {
    pub address: SocketAddr,
    pub disk: Arc<FaultyDisk>,
    process: Option<Process>,
    /// Incremented at each start and end; events of earlier incarnations are ignored.
    pub incarnation: u64,
    /// Writes complete no earlier than this.
    pub stalled_until: Duration,
    /// Duration of a write with its sync.
    pub write_time: Duration,
    /// Time of the latest timer that the node has set.
    pub timer_at: Duration,
    /// Whether the process is paused; a paused process handles no events.
    pub is_paused: bool,
    /// Newest generation acknowledged by any incarnation.
    pub acknowledged: u64,
    pub received: Received,
    pub writes: u64,
    pub failed_writes: u64,
    pub written_bytes: u64,
    pub peak_bytes: u64,
}

impl Host {
    pub(crate) fn new(index: u16, seed: u64) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7_000 + index)),
            disk: Arc::new(FaultyDisk::new(seed)),
            process: None,
            incarnation: 0,
            stalled_until: Duration::ZERO,
            write_time: WRITE_TIME,
            timer_at: Duration::ZERO,
            is_paused: false,
            acknowledged: 0,
            received: Received::default(),
            writes: 0,
            failed_writes: 0,
            written_bytes: 0,
            peak_bytes: 0,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Starts the process from its disk; returns false if the folder cannot be read.
    pub(crate) fn start(&mut self, seeds: &[SocketAddr], bootstrap: bool, seed: u64) -> bool {
        let settings = LogSettings::with_space("register", LOG_SPACE_BYTES).expect("settings");
        let disk = Arc::clone(&self.disk) as Arc<dyn Disk>;
        let Ok((log, recovered)) = Log::<Record<Control>>::open(disk, settings) else {
            return false;
        };
        let source = match recovered {
            Recovered::Found {
                record,
                durable: true,
                ..
            } => RecordSource::Durable(record),
            Recovered::Found { record, .. } => RecordSource::Unsynced(record),
            Recovered::Empty if bootstrap => RecordSource::Bootstrap {
                members: seeds.to_vec(),
                value: Control::default(),
            },
            Recovered::Empty => panic!("the record of {} is lost", self.address),
        };
        let location = NodeLocation {
            address: self.address,
            zone: self.address.port().to_string(),
        };
        let node = Node::recover(source, location, seed, Settings::with_fault_tolerance(1));
        self.process = Some(Process {
            node,
            log,
            pending_write: None,
        });
        self.incarnation += 1;
        true
    }

    /// Ends the process. A write in flight is interrupted after `operations` disk operations, so
    /// that it may reach the disk in part.
    pub(crate) fn stop(&mut self, operations: u64) {
        self.incarnation += 1;
        let Some(mut process) = self.process.take() else {
            return;
        };
        if let Some(pending_write) = process.pending_write.take() {
            self.disk.stop_after(operations);
            let _stopped_midway = write(&mut process.log, &pending_write.record);
        }
    }

    pub(crate) fn generation(&self) -> Option<u64> {
        let process = self.process.as_ref()?;
        process.node.chosen().map(|state| state.value.generation)
    }

    pub(crate) fn handle(&mut self, now: Duration, event: Event<Control>) -> Vec<Action<Control>> {
        let mut actions = Vec::new();
        if let Some(process) = &mut self.process {
            process.node.handle(now, event, &mut actions);
        }
        actions
    }

    /// Starts to write a record.
    pub(crate) fn start_write(&mut self, token: PersistToken, record: Record<Control>) {
        if let Some(process) = &mut self.process {
            process.pending_write = Some(PendingWrite { token, record });
        }
    }

    /// Completes the write in flight; returns `None` if it failed and must be retried.
    pub(crate) fn complete_write(&mut self) -> Option<PersistToken> {
        let process = self.process.as_mut()?;
        let pending_write = process.pending_write.as_ref()?;
        self.writes += 1;
        self.written_bytes +=
            postcard::experimental::serialized_size(&pending_write.record).expect("encoded") as u64;
        let done = write(&mut process.log, &pending_write.record).is_ok();
        self.peak_bytes = self.peak_bytes.max(self.disk.used_bytes());
        if !done {
            self.failed_writes += 1;
            return None;
        }
        process
            .pending_write
            .take()
            .map(|pending_write| pending_write.token)
    }
}

/// Writes a record in the same way as the coordinator's writer thread.
fn write(
    log: &mut Log<Record<Control>>,
    record: &Record<Control>,
) -> Result<(), ironmast_storage::LogError> {
    if log.state() != LogState::Ready {
        return log.reopen(record);
    }
    log.append(record)?;
    log.sync()
}
