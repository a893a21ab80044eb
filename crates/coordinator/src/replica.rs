//! The register's replica on this coordinator: its protocol node, its record on disk, and the
//! operations that await their outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr as _, eyre};
use ironmast_register::node::NodeLocation;
use ironmast_register::{
    Action, Event, Identity, Message, Node, Operation, OperationId, RecordSource, State,
};
use ironmast_schema::settings::Settings;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::contact::contact_timeout;
use crate::outcome::{ChangeOutcome, ReadOutcome};
use crate::pending_operations::{CompletedOperation, PendingOperations};
use crate::record_writer::RecordWriter;
use crate::register_log::{OpenedLog, RecoveredRecord, RegisterLog, WriteCompletion};
use crate::value::ControlValue;

/// Time within which an operation completes or fails. Callers wait one second for the answer.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(900);

/// An effect of an event on the replica, for the coordinator to apply.
#[derive(Debug)]
pub(crate) enum ReplicaOutput {
    /// Send a message to another coordinator. Delivery is not guaranteed.
    Send {
        /// Address of the receiving coordinator.
        to: SocketAddr,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// The replica has learned that a newer state was chosen.
    StateChosen(Arc<State<ControlValue>>),
    /// An operation has completed.
    Completed(CompletedOperation),
}

/// A replica opened from disk.
pub(crate) struct OpenedReplica {
    /// The replica, ready to handle events.
    pub replica: RegisterReplica,
    /// Completions of its writes, to be passed to [`RegisterReplica::handle_write_completion`].
    pub completions: mpsc::UnboundedReceiver<WriteCompletion>,
}

/// The register's protocol node with its record and its pending operations.
pub(crate) struct RegisterReplica {
    clock: Clock,
    node: Node<ControlValue>,
    writer: RecordWriter,
    pending: PendingOperations,
    /// Time at which the protocol node's timer is due; `None` until the node has set one.
    timer: Option<Duration>,
    log: Logger,
}

impl RegisterReplica {
    /// Opens the log in the data directory and recovers the replica from it.
    ///
    /// # Errors
    /// The settings name no data directory, or the log could not be opened; the error names the
    /// step that failed.
    pub(crate) fn open(
        settings: &Settings,
        own: SocketAddr,
        clock: Clock,
        log: Logger,
    ) -> Result<OpenedReplica> {
        let folder = settings.data_directory.as_deref().ok_or_else(|| {
            eyre!(
                "data_directory is missing in the settings; a coordinator stores its register there"
            )
        })?;
        let opened = RegisterLog::open(folder, settings.limits.disk_mb, &log)
            .wrap_err("reading the register's record")?;
        let OpenedLog {
            register_log,
            recovered,
            completions,
        } = opened;
        log_recovered(&log, &recovered);
        let source = record_source(recovered, settings);
        let location = NodeLocation {
            address: own,
            zone: settings.zone.clone(),
        };
        let mut register_settings =
            ironmast_register::Settings::with_fault_tolerance(settings.fault_tolerance.hosts_lost);
        register_settings.quorum_lease = contact_timeout(&settings.timing_bounds);
        let node = Node::recover(source, location, rand::random(), register_settings);
        let replica = RegisterReplica {
            clock,
            node,
            writer: RecordWriter::new(register_log, log.clone()),
            pending: PendingOperations::default(),
            timer: None,
            log,
        };
        Ok(OpenedReplica {
            replica,
            completions,
        })
    }

    /// Size of the replica set, if this replica is a member.
    pub(crate) fn replica_set_size(&self) -> Option<usize> {
        let state = self.node.chosen().filter(|_| self.node.is_member())?;
        Some(state.members.latest().len())
    }

    /// Whether a write is in flight.
    #[cfg(test)]
    pub(crate) fn is_writing(&self) -> bool {
        self.writer.is_writing()
    }

    /// The coordinator's monotonic clock.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Whether a majority of the replicas has answered a contact check sent within
    /// [`contact_timeout`].
    pub(crate) fn is_in_contact(&self) -> bool {
        self.node.has_quorum_lease(self.clock.now())
    }

    /// Time at which the newest contact check that a majority of the replicas has answered was
    /// sent.
    pub(crate) fn quorum_checked_at(&self) -> Option<Duration> {
        self.node.quorum_confirmed_at(self.clock.now())
    }

    /// Sends a contact check to all coordinators at once.
    pub(crate) fn check_quorum(&mut self) -> Vec<ReplicaOutput> {
        self.handle(Event::CheckQuorum)
    }

    /// Starts a read of the newest state from a quorum; [`CompletedOperation::CatchUp`] reports
    /// its result. The result of a read started earlier is discarded.
    pub(crate) fn catch_up(&mut self) -> Vec<ReplicaOutput> {
        let id = self.pending.add_catch_up();
        self.submit(id, Operation::Read)
    }

    /// Time of the next call to [`RegisterReplica::wake`] that is due.
    pub(crate) fn wake_at(&self) -> Duration {
        // A node without a timer has not handled its first event yet, which is a timer due at once.
        let timer = self.timer.unwrap_or_default();
        self.writer.retry_at().map_or(timer, |at| at.min(timer))
    }

    /// Runs the timers that are due.
    pub(crate) fn wake(&mut self) -> Vec<ReplicaOutput> {
        let now = self.clock.now();
        self.writer.retry_if_due(now);
        if self.timer.is_some_and(|at| at > now) {
            return Vec::new();
        }
        self.timer = None;
        self.handle(Event::Timer)
    }

    /// Submits a change of the operator's state. It completes by [`OPERATION_TIMEOUT`] at the
    /// latest.
    pub(crate) fn change(
        &mut self,
        operation: Operation<ControlValue>,
        reply: oneshot::Sender<ChangeOutcome>,
    ) -> Vec<ReplicaOutput> {
        let id = self.pending.add_change(reply);
        self.submit(id, operation)
    }

    /// Submits a read of the configuration in force.
    pub(crate) fn read(&mut self, reply: oneshot::Sender<ReadOutcome>) -> Vec<ReplicaOutput> {
        let id = self.pending.add_read(reply);
        self.submit(id, Operation::Read)
    }

    /// Handles a message of another coordinator's replica.
    pub(crate) fn receive(&mut self, bytes: &[u8]) -> Vec<ReplicaOutput> {
        match postcard::from_bytes::<Message<ControlValue>>(bytes) {
            Ok(message) => self.handle(Event::Message(message)),
            Err(error) => {
                warn!(self.log, "cannot decode a register message from another coordinator; ignoring it"; "error" => %error);
                Vec::new()
            }
        }
    }

    /// Replaces the addresses of the other coordinators.
    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>) -> Vec<ReplicaOutput> {
        self.handle(Event::Peers(peers))
    }

    /// Begins the graceful shutdown: the replica asks to be replaced.
    pub(crate) fn leave(&mut self) -> Vec<ReplicaOutput> {
        self.handle(Event::Leaving)
    }

    /// Handles the completion of a write.
    pub(crate) fn handle_write_completion(
        &mut self,
        completion: WriteCompletion,
    ) -> Vec<ReplicaOutput> {
        match self.writer.completed(self.clock.now(), completion) {
            Some(token) => self.handle(Event::Persisted(token)),
            None => Vec::new(),
        }
    }

    fn submit(
        &mut self,
        id: OperationId,
        operation: Operation<ControlValue>,
    ) -> Vec<ReplicaOutput> {
        let deadline = self.clock.now() + OPERATION_TIMEOUT;
        self.handle(Event::Submit {
            id,
            operation,
            deadline,
        })
    }

    fn handle(&mut self, event: Event<ControlValue>) -> Vec<ReplicaOutput> {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        actions
            .into_iter()
            .filter_map(|action| self.perform(action))
            .collect()
    }

    /// Performs an action of the protocol node, or turns it into an output.
    fn perform(&mut self, action: Action<ControlValue>) -> Option<ReplicaOutput> {
        match action {
            Action::Send { to, message } => {
                // A message that cannot be encoded is dropped; the protocol tolerates lost
                // messages.
                let message = postcard::to_stdvec(&message).ok()?;
                return Some(ReplicaOutput::Send { to, message });
            }
            Action::Learned(state) => return Some(ReplicaOutput::StateChosen(state)),
            Action::Persist(write) => self.writer.write(write.token, write.record),
            Action::Completed { id, outcome } => {
                let completed = self.pending.complete(id, outcome)?;
                return Some(ReplicaOutput::Completed(completed));
            }
            Action::DiskLost => warn!(
                self.log,
                "bootstrap is set, but other coordinators hold a newer state; starting as a new replica"
            ),
            Action::Timer(at) => self.timer = Some(at),
        }
        None
    }
}

/// Logs what the disk holds of the register.
fn log_recovered(log: &Logger, recovered: &RecoveredRecord) {
    let (disk, record) = match recovered {
        RecoveredRecord::Durable(record) => ("durable", Some(record)),
        RecoveredRecord::NotDurable(record) => ("not durable", Some(record)),
        RecoveredRecord::Missing => ("empty", None),
        RecoveredRecord::Corrupted => ("corrupted", None),
    };
    let accepted = record.and_then(|record| record.accepted.as_ref());
    let state = accepted.map(|proposal| &proposal.state);
    info!(
        log, "recovered the register's record"; "disk" => disk,
        "sequence" => state.map(|state| state.sequence),
        "configuration" => state.map(|state| state.value.generation())
    );
}

/// Selects the state that the protocol node starts from. `bootstrap` applies only to a disk that
/// has never held a record.
fn record_source(recovered: RecoveredRecord, settings: &Settings) -> RecordSource<ControlValue> {
    match recovered {
        RecoveredRecord::Durable(record) => RecordSource::Durable(record),
        RecoveredRecord::NotDurable(record) => RecordSource::Unsynced(record),
        RecoveredRecord::Missing if settings.bootstrap => RecordSource::Bootstrap {
            members: settings.seed_coordinators(),
            value: ControlValue::default(),
        },
        RecoveredRecord::Missing | RecoveredRecord::Corrupted => RecordSource::Empty {
            identity: Identity(rand::random()),
        },
    }
}
