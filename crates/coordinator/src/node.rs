//! The coordinator's node: composes the register replica, the endpoint table, the peers, the
//! subscribers and the directory, and keeps them consistent with the quorum contact: the state of
//! the contact with a majority of the register's replicas.
//!
//! One thread owns the node and calls its methods; none of them blocks. Each entry point checks the
//! quorum contact before it answers anything, because timers do not run while the process is
//! suspended and so cannot report the loss of contact. `docs/design/control.md` describes the
//! states and the answers.
//!
//! This file holds the event handling; [`commands`] adds the commands of HTTP clients, and
//! [`links`] the frames of peers and subscribers.

use std::time::Duration;

use ironmast_register::State as RegisterState;
use ironmast_schema::control::{Entry, Readability, ToCoordinator};
use ironmast_schema::settings::Settings;
use slog::{Logger, error, info, warn};

use crate::clock::Clock;
use crate::contact::{ContactState, Request, RequestPolicy};
use crate::directory::{Directory, UnreadableConfiguration};
use crate::outcome::{change_error_out_of_contact, read_error_out_of_contact};
use crate::peers::Peers;
use crate::pending_operations::{CatchUp, CompletedOperation};
use crate::pending_reports::PendingReports;
use crate::published_endpoints::PublishedEndpoints;
use crate::publisher::EntryPublisher;
use crate::register_log::WriteCompletion;
use crate::replica::{RegisterReplica, ReplicaOutput};
use crate::subscribers::{KeepAlive, Subscribers};
use crate::value::ControlValue;

mod commands;
mod links;

/// Time without contact after the start until a warning is logged. A majority usually answers
/// within a second.
const STARTING_WARNING_DELAY: Duration = Duration::from_secs(5);

/// The state of a coordinator and its event handlers, without sockets, timers and threads.
pub(crate) struct CoordinatorNode {
    log: Logger,
    clock: Clock,
    contact: ContactState,
    /// Time at which to warn that there has been no contact since the start; `None` once the
    /// warning has been logged or contact has been made.
    starting_warning_at: Option<Duration>,
    replica: RegisterReplica,
    pending_reports: PendingReports,
    endpoints: PublishedEndpoints,
    directory: Directory,
    peers: Peers,
    subscribers: Subscribers,
}

impl CoordinatorNode {
    /// Creates a node in [`ContactState::Starting`], with no endpoints and no subscribers.
    pub(crate) fn new(
        settings: &Settings,
        peers: Peers,
        replica: RegisterReplica,
        publisher: Box<dyn EntryPublisher>,
        directory: Directory,
        log: &Logger,
    ) -> Self {
        let clock = replica.clock().clone();
        CoordinatorNode {
            log: log.clone(),
            contact: ContactState::Starting,
            starting_warning_at: Some(clock.now() + STARTING_WARNING_DELAY),
            pending_reports: PendingReports::default(),
            endpoints: PublishedEndpoints::new(settings, clock.clone(), publisher),
            directory,
            peers,
            subscribers: Subscribers::default(),
            clock,
            replica,
        }
    }

    /// Time at which [`CoordinatorNode::wake`] must next be called, by the node's clock.
    pub(crate) fn wake_at(&self) -> Duration {
        self.replica.wake_at()
    }

    /// Runs the register's timers that are due.
    pub(crate) fn wake(&mut self) {
        self.check_contact();
        let outputs = self.replica.wake();
        self.apply(outputs);
    }

    /// Handles the completion of a write of the register's record.
    pub(crate) fn handle_write_completion(&mut self, completion: WriteCompletion) {
        self.check_contact();
        let outputs = self.replica.handle_write_completion(completion);
        self.apply(outputs);
    }

    /// Runs the periodic work: expires endpoints and sends the keep-alive frames.
    pub(crate) fn tick(&mut self) {
        self.check_contact();
        self.warn_if_never_in_contact();
        // An endpoint that does not report here may report to another coordinator; out of contact,
        // such reports may not arrive.
        if self.contact == ContactState::InContact {
            self.endpoints.expire();
        }
        self.endpoints.purge_inactive();
        self.broadcast_keep_alive();
    }

    /// Merges an entry that was received over the overlay.
    pub(crate) fn receive_entry(&mut self, entry: &Entry) {
        self.endpoints.merge_published(entry);
    }

    /// Begins the graceful shutdown: rejects pending reports and asks for the replica to be
    /// replaced.
    pub(crate) fn leave(&mut self) {
        self.set_contact_state(ContactState::Leaving);
        let outputs = self.replica.leave();
        self.apply(outputs);
    }

    /// Whether this node is a member of the replica set and another coordinator could take its
    /// place: the connected coordinators, itself included, outnumber the members of the set.
    pub(crate) fn can_transfer_replica(&self) -> bool {
        self.replica
            .replica_set_size()
            .is_some_and(|size| self.peers.open_links() + 1 > size)
    }

    /// Updates the state of the quorum contact from the time since the last check to which a
    /// majority responded, and completes pending reports.
    fn check_contact(&mut self) {
        let state = self.contact.after_check(self.replica.is_in_contact());
        self.set_contact_state(state);
        self.pending_reports
            .complete(self.clock.now(), self.replica.quorum_checked_at());
    }

    /// Changes the state of the quorum contact and takes the actions of the transition; does
    /// nothing if the state stays the same.
    fn set_contact_state(&mut self, state: ContactState) {
        let previous = std::mem::replace(&mut self.contact, state);
        if previous == state {
            return;
        }
        match state {
            ContactState::Starting => {}
            ContactState::CatchingUp => self.catch_up(),
            ContactState::InContact => self.on_contact_gained(),
            ContactState::OutOfContact => self.on_contact_lost(previous),
            ContactState::Leaving => self.pending_reports.reject_all(),
        }
        // The catch-up read may have completed at once and changed the state again.
        let was_in_contact = previous == ContactState::InContact;
        if was_in_contact != (self.contact == ContactState::InContact) {
            self.endpoints.set_in_contact(self.is_fresh());
            self.broadcast_keep_alive();
        }
    }

    /// Starts to read the newest state from a quorum: a newer one may have been chosen while this
    /// node was out of contact.
    fn catch_up(&mut self) {
        let outputs = self.replica.catch_up();
        self.apply(outputs);
    }

    fn on_catch_up_completed(&mut self, result: CatchUp) {
        match result {
            CatchUp::Succeeded => self.set_contact_state(self.contact.after_catch_up()),
            CatchUp::Failed if self.contact == ContactState::CatchingUp => self.catch_up(),
            CatchUp::Failed => {}
        }
    }

    fn warn_if_never_in_contact(&mut self) {
        if self.contact != ContactState::Starting {
            self.starting_warning_at = None;
        } else if self
            .starting_warning_at
            .is_some_and(|at| self.clock.now() >= at)
        {
            self.starting_warning_at = None;
            warn!(
                self.log,
                "no contact with a majority of the coordinators since the start";
                "other coordinators" => self.peers.addresses().len(),
                "links" => self.peers.open_links()
            );
        }
    }

    fn on_contact_gained(&mut self) {
        info!(self.log, "in contact with a majority of the coordinators");
        self.endpoints.restart_timeouts();
    }

    fn on_contact_lost(&mut self, previous: ContactState) {
        if previous == ContactState::InContact {
            warn!(
                self.log,
                "lost contact with a majority of the coordinators; acknowledging no change and no report until it returns"
            );
        }
        self.pending_reports.reject_all();
    }

    /// Applies the outputs of the replica in order.
    fn apply(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send { to, message } => {
                    self.peers.send(to, ToCoordinator::Register(message));
                }
                ReplicaOutput::StateChosen(state) => self.apply_control_state(&state),
                ReplicaOutput::Completed(operation) => self.complete(operation),
            }
        }
    }

    /// Sends the outcome of an operation to its caller. Out of contact, a quorum's answer may be
    /// outdated, so the outcome is replaced by an error.
    fn complete(&mut self, operation: CompletedOperation) {
        let is_out_of_contact = self.contact == ContactState::OutOfContact;
        // A caller whose client has disconnected may be gone and its channel closed.
        match operation {
            CompletedOperation::Change { outcome, reply } => {
                let _ = reply.send(if is_out_of_contact {
                    Err(change_error_out_of_contact(outcome))
                } else {
                    outcome
                });
            }
            CompletedOperation::Read { outcome, reply } => {
                let _ = reply.send(if is_out_of_contact {
                    Err(read_error_out_of_contact(&outcome))
                } else {
                    outcome
                });
            }
            CompletedOperation::CatchUp(result) => self.on_catch_up_completed(result),
        }
    }

    /// Puts a newer state of the register in force and publishes it to all gates, unless this
    /// version of the program cannot read its configuration.
    fn apply_control_state(&mut self, state: &RegisterState<ControlValue>) {
        let previously_unreadable = self.directory.unreadable_generation();
        if let Err(unreadable) = self.directory.apply(&state.value) {
            self.log_unreadable_configuration(&unreadable);
        }
        if let Some(control) = self.directory.published_state(&state.value) {
            self.endpoints.set_control_state(state.sequence, control);
        }
        if self.directory.unreadable_generation() != previously_unreadable {
            self.announce_readability();
        }
    }

    fn log_unreadable_configuration(&self, unreadable: &UnreadableConfiguration) {
        error!(
            self.log,
            "cannot read the configuration, the last one that could be read stays in force";
            "version" => unreadable.generation, "error" => %unreadable.source
        );
    }

    /// Tells peers and subscribers whether this node can read the newest configuration.
    fn announce_readability(&mut self) {
        self.peers.broadcast(&self.readability());
        self.endpoints.set_in_contact(self.is_fresh());
        self.broadcast_keep_alive();
    }

    /// Builds the frame that tells peers whether this node can read the newest configuration.
    fn readability(&self) -> ToCoordinator {
        ToCoordinator::Readability(Readability {
            coordinator: self.peers.own_address(),
            unreadable_generation: self.directory.unreadable_generation(),
        })
    }

    /// Whether subscribers may treat this node's state as fresh: the node is in contact with a
    /// majority and can read the newest configuration.
    fn is_fresh(&self) -> bool {
        let in_contact = self.contact.policy(Request::Subscription) == RequestPolicy::MarkFresh;
        in_contact && self.directory.unreadable_generation().is_none()
    }

    /// Sends all subscribers a keep-alive frame.
    fn broadcast_keep_alive(&mut self) {
        let keep_alive = KeepAlive {
            coordinators: self.peers.addresses(),
            observed: self.endpoints.take_observed(),
            in_contact: self.is_fresh(),
        };
        self.subscribers.broadcast(&keep_alive);
    }
}

#[cfg(test)]
mod tests;
