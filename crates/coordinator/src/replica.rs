//! The register's node on this coordinator: its messages, its record on disk, and the operators'
//! changes that wait for their outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr as _, eyre};
use ironmast_register::node::NodeLocation;
use ironmast_register::{
    Action, Event, Identity, Message, Node, Operation, OperationId, Outcome, PersistToken, Record,
    RecordSource, State,
};
use ironmast_schema::settings::Settings;
use slog::{Logger, warn};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::contact::contact_timeout;
use crate::node::Reply;
use crate::register_log::{Persisted, RecoveredRecord, RegisterLog};
use crate::value::{ControlValue, Rejection};

/// An operation is answered within this: callers wait for a second.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(900);
/// After a write that failed, the next try on a new file.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a replica asks of its coordinator.
#[derive(Debug)]
pub(crate) enum ReplicaOutput {
    /// Send a message to another coordinator; it may be lost.
    Send(SocketAddr, Vec<u8>),
    /// A newer state is in force.
    StateChosen(Arc<State<ControlValue>>),
    /// A caller's operation has ended, with this answer.
    Answered(Kind, Reply, oneshot::Sender<Reply>),
    /// The read of [`RegisterReplica::catch_up`] has ended: whether it told the newest state.
    CaughtUp(bool),
}

/// What a caller has asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A change of the operator's state.
    Change,
    /// The configuration in force.
    Read,
}

/// The register's node with what it waits for.
pub(crate) struct RegisterReplica {
    clock: Clock,
    node: Node<ControlValue>,
    register_log: RegisterLog,
    pending: BTreeMap<OperationId, (Kind, oneshot::Sender<Reply>)>,
    next_operation: OperationId,
    /// The read by which this coordinator catches up.
    catching_up: Option<OperationId>,
    /// The write under way; kept until it is durable.
    write: Option<(PersistToken, Record<ControlValue>)>,
    write_retry_at: Option<Duration>,
    timer: Option<Duration>,
    log: Logger,
}

impl RegisterReplica {
    /// Opens the disk and takes up what is there.
    ///
    /// # Errors
    /// The step that failed.
    pub(crate) fn open(
        settings: &Settings,
        own: SocketAddr,
        clock: Clock,
        log: Logger,
    ) -> Result<(Self, mpsc::UnboundedReceiver<Persisted>)> {
        let folder = settings.data_directory.as_deref();
        let folder: &Path =
            folder.ok_or_else(|| eyre!("data_directory is missing: a coordinator keeps files"))?;
        let (register_log, found, persisted) =
            RegisterLog::open(folder, settings.limits.disk_mb, &log)
                .wrap_err("reading the register's record")?;
        let source = match found {
            RecoveredRecord::Durable(record) => RecordSource::Durable(record),
            RecoveredRecord::NotDurable(record) => RecordSource::Unsynced(record),
            RecoveredRecord::Missing if settings.bootstrap => RecordSource::Bootstrap {
                members: settings.seed_coordinators(),
                value: ControlValue::default(),
            },
            RecoveredRecord::Missing | RecoveredRecord::Corrupted => RecordSource::Empty {
                identity: Identity(rand::random()),
            },
        };
        let location = NodeLocation {
            address: own,
            zone: settings.zone.clone(),
        };
        let mut times =
            ironmast_register::Settings::with_fault_tolerance(settings.fault_tolerance.hosts_lost);
        times.quorum_lease = contact_timeout(&settings.timing_bounds);
        let node = Node::recover(source, location, rand::random(), times);
        let (pending, next_operation, catching_up) = Default::default();
        let (write, write_retry_at, timer) = (None, None, None);
        Ok((
            RegisterReplica {
                clock,
                node,
                register_log,
                pending,
                next_operation,
                catching_up,
                write,
                write_retry_at,
                timer,
                log,
            },
            persisted,
        ))
    }

    /// How many replicas there are, if this is one of them.
    pub(crate) fn members(&self) -> Option<usize> {
        let state = self.node.chosen().filter(|_| self.node.is_member())?;
        Some(state.members.latest().len())
    }

    /// Whether a write is under way.
    #[cfg(test)]
    pub(crate) fn is_writing(&self) -> bool {
        self.write.is_some()
    }

    /// The coordinator's steady clock.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Whether a majority of the replicas has answered a question asked within the bound.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.node.has_quorum_lease(self.clock.now())
    }

    /// When the newest question was asked that a majority of the replicas has answered.
    pub(crate) fn contact_since(&self) -> Option<Duration> {
        self.node.quorum_confirmed_at(self.clock.now())
    }

    /// Asks all coordinators at once whether they are there.
    pub(crate) fn question(&mut self) -> Vec<ReplicaOutput> {
        self.handle(Event::CheckQuorum)
    }

    /// Reads the newest state from a quorum; [`ReplicaOutput::CaughtUp`] tells the end. A read begun
    /// before doesn't count any more.
    pub(crate) fn catch_up(&mut self) -> Vec<ReplicaOutput> {
        let id = self.next_operation();
        self.catching_up = Some(id);
        self.handle_submit(id, Operation::Read)
    }

    /// When [`RegisterReplica::wake`] is to be called.
    pub(crate) fn wake_at(&self) -> Duration {
        // The first event of a node is its timer.
        let timer = self.timer.unwrap_or_default();
        self.write_retry_at.map_or(timer, |at| at.min(timer))
    }

    /// Does what is due.
    pub(crate) fn wake(&mut self) -> Vec<ReplicaOutput> {
        let now = self.clock.now();
        if self.write_retry_at.is_some_and(|at| at <= now) {
            self.write_retry_at = None;
            if let Some((token, record)) = &self.write {
                self.register_log.write(record.clone(), *token);
            }
        }
        if self.timer.is_some_and(|at| at > now) {
            return Vec::new();
        }
        self.timer = None;
        self.handle(Event::Timer)
    }

    /// Submits a change; it is answered when its outcome is known, or in time that it isn't.
    pub(crate) fn change(
        &mut self,
        operation: Operation<ControlValue>,
        to: oneshot::Sender<Reply>,
    ) -> Vec<ReplicaOutput> {
        self.submit(Kind::Change, operation, to)
    }

    /// Reads the configuration in force.
    pub(crate) fn read(&mut self, to: oneshot::Sender<Reply>) -> Vec<ReplicaOutput> {
        self.submit(Kind::Read, Operation::Read, to)
    }

    fn submit(
        &mut self,
        kind: Kind,
        operation: Operation<ControlValue>,
        to: oneshot::Sender<Reply>,
    ) -> Vec<ReplicaOutput> {
        let id = self.next_operation();
        self.pending.insert(id, (kind, to));
        self.handle_submit(id, operation)
    }

    fn next_operation(&mut self) -> OperationId {
        self.next_operation += 1;
        self.next_operation
    }

    fn handle_submit(
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

    /// Takes a message of another coordinator.
    pub(crate) fn receive(&mut self, bytes: &[u8]) -> Vec<ReplicaOutput> {
        match postcard::from_bytes::<Message<ControlValue>>(bytes) {
            Ok(message) => self.handle(Event::Message(message)),
            Err(error) => {
                warn!(self.log, "a message of the register can't be read"; "why" => %error);
                Vec::new()
            }
        }
    }

    /// The other coordinators that are known.
    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>) -> Vec<ReplicaOutput> {
        self.handle(Event::Peers(peers))
    }

    /// This machine is about to stop.
    pub(crate) fn leave(&mut self) -> Vec<ReplicaOutput> {
        self.handle(Event::Leaving)
    }

    /// A write has ended. One that failed is written once more, whole, to a new file: until that is
    /// durable the replica gives no vote. [`ironmast_storage`] tells why that is safe after a
    /// failed sync.
    pub(crate) fn persisted(&mut self, completion: Persisted) -> Vec<ReplicaOutput> {
        if self
            .write
            .as_ref()
            .is_none_or(|(token, _)| *token != completion.token)
        {
            return Vec::new();
        }
        match completion.result {
            Ok(()) => {
                self.write = None;
                self.handle(Event::Persisted(completion.token))
            }
            Err(error) => {
                warn!(self.log, "the register's record can't be written"; "why" => %error);
                self.write_retry_at = Some(self.clock.now() + WRITE_RETRY_DELAY);
                Vec::new()
            }
        }
    }

    fn handle(&mut self, event: Event<ControlValue>) -> Vec<ReplicaOutput> {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        actions
            .into_iter()
            .filter_map(|action| self.carry_out(action))
            .collect()
    }

    fn carry_out(&mut self, action: Action<ControlValue>) -> Option<ReplicaOutput> {
        match action {
            Action::Send { to, message } => {
                return Some(ReplicaOutput::Send(to, postcard::to_stdvec(&message).ok()?));
            }
            Action::Learned(state) => return Some(ReplicaOutput::StateChosen(state)),
            Action::Persist(write) => {
                self.register_log.write(write.record.clone(), write.token);
                self.write = Some((write.token, write.record));
            }
            Action::Completed { id, outcome } => return self.completed(id, outcome),
            Action::DiskLost => warn!(
                self.log,
                "the settings say that the system starts for the first time, but \
                other coordinators know more: this replica begins anew under another identity"
            ),
            Action::Timer(at) => self.timer = Some(at),
        }
        None
    }

    fn completed(
        &mut self,
        id: OperationId,
        outcome: Outcome<ControlValue>,
    ) -> Option<ReplicaOutput> {
        if self.catching_up.take_if(|read| *read == id).is_some() {
            return Some(ReplicaOutput::CaughtUp(matches!(outcome, Outcome::Read(_))));
        }
        let (kind, to) = self.pending.remove(&id)?;
        Some(ReplicaOutput::Answered(kind, reply(kind, outcome), to))
    }
}

fn reply(kind: Kind, outcome: Outcome<ControlValue>) -> Reply {
    match (kind, outcome) {
        (Kind::Read, Outcome::Read(state)) => match &state.value.configuration {
            Some(document) => Reply::json(document.body.clone()),
            None => Reply::refused(404, "there is no configuration yet"),
        },
        (_, Outcome::Written(_) | Outcome::Unchanged(_) | Outcome::Read(_)) => Reply::json("{}"),
        (_, Outcome::Rejected { reason, .. }) => {
            Reply::refused(Rejection::of(&reason).status(), &reason)
        }
        (Kind::Change, Outcome::Unknown) => {
            Reply::refused(504, "it may be in force or come into force")
        }
        (_, Outcome::Expired | Outcome::Unknown) => {
            Reply::refused(503, "no majority of the coordinators has answered in time")
        }
    }
}

/// What is told in place of an answer that has come from a quorum, but too long ago to stand for
/// the newest state.
pub(crate) fn withheld(kind: Kind, reply: Reply) -> Reply {
    let is_success = reply.status < 300;
    match kind {
        Kind::Change if is_success => {
            Reply::refused(504, "it may be in force; contact was lost meanwhile")
        }
        _ if reply.status < 500 => {
            Reply::refused(503, "contact with the other coordinators was lost")
        }
        _ => reply,
    }
}
