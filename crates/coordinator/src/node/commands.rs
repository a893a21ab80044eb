//! Commands of HTTP clients: what each does, and when it is acknowledged.

use ironmast_register::{Decision, Operation};
use ironmast_schema::control::{Key, ToCoordinator};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use slog::info;
use tokio::sync::oneshot;

use super::CoordinatorNode;
use crate::caller::Caller;
use crate::command::Command;
use crate::contact::{Request, RequestPolicy};
use crate::outcome::{
    ChangeError, ChangeOutcome, ReadError, ReadOutcome, RegistrationError, RegistrationOutcome,
};
use crate::value::{ControlValue, Rejection, ZoneState};

impl CoordinatorNode {
    /// Executes a command. Its outcome is sent at once or later; a caller that has disconnected is
    /// ignored.
    pub(crate) fn execute(&mut self, command: Command) {
        self.check_contact();
        match command {
            Command::Heartbeat {
                id,
                heartbeat,
                reply,
            } => self.heartbeat(id, heartbeat, reply),
            Command::Deregister { id, reply } => self.deregister(id, reply),
            Command::Configure {
                document,
                base,
                reply,
            } => {
                let change =
                    Operation::change(move |value: &ControlValue| value.configure(&document, base));
                self.change(Request::Configuration, change, reply);
            }
            Command::SetZoneState {
                zone,
                state,
                caller,
                reply,
            } => {
                info!(self.log, "order for a zone"; "zone" => &zone, "state" => ?state);
                let change = zone_change(zone, state, caller);
                self.change(Request::Evacuation, change, reply);
            }
            Command::ReadConfiguration { reply } => self.read(reply),
            Command::Resolve { query, reply } => {
                let policy = self.contact.policy(Request::Resolve);
                let gates = self.endpoints.gates();
                // The caller is gone if its client has disconnected.
                let _ = reply.send(self.directory.resolve(policy, &gates, &query));
            }
        }
    }

    fn change(
        &mut self,
        request: Request,
        change: Operation<ControlValue>,
        reply: oneshot::Sender<ChangeOutcome>,
    ) {
        if let Err(error) = self.admit_change(request) {
            // The caller is gone if its client has disconnected.
            let _ = reply.send(Err(error));
            return;
        }
        let outputs = self.replica.change(change, reply);
        self.apply(outputs);
    }

    /// Checks whether a change may be proposed.
    ///
    /// An evacuation comes into force together with the configuration. While the configuration
    /// cannot be read, only a new one may be proposed, which ends that state.
    fn admit_change(&self, request: Request) -> ChangeOutcome {
        if self.contact.policy(request) == RequestPolicy::Reject {
            return Err(ChangeError::OutOfContact);
        }
        let is_unreadable = self.directory.unreadable_generation().is_some();
        if is_unreadable && request == Request::Evacuation {
            return Err(ChangeError::UnreadableConfiguration);
        }
        Ok(())
    }

    fn read(&mut self, reply: oneshot::Sender<ReadOutcome>) {
        if self.contact.policy(Request::Read) == RequestPolicy::Reject {
            // The caller is gone if its client has disconnected.
            let _ = reply.send(Err(ReadError::OutOfContact));
            return;
        }
        let outputs = self.replica.read(reply);
        self.apply(outputs);
    }

    fn heartbeat(
        &mut self,
        id: String,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<RegistrationOutcome>,
    ) {
        let request = match heartbeat.state {
            InstanceState::Draining => Request::Draining,
            InstanceState::Ready => Request::Heartbeat,
        };
        self.endpoints.record_heartbeat(&id, heartbeat);
        self.acknowledge(request, Key::Instance(id), reply);
    }

    fn deregister(&mut self, id: String, reply: oneshot::Sender<RegistrationOutcome>) {
        self.endpoints.deregister(&id);
        self.acknowledge(Request::Delete, Key::Instance(id), reply);
    }

    /// Answers a server whose report has been recorded.
    fn acknowledge(
        &mut self,
        request: Request,
        key: Key,
        reply: oneshot::Sender<RegistrationOutcome>,
    ) {
        // A caller whose server has disconnected may be gone and its channel closed.
        match self.contact.policy(request) {
            RequestPolicy::AcknowledgeByMajority => self.replicate(key, reply),
            RequestPolicy::Acknowledge => {
                let _ = reply.send(Ok(()));
            }
            _ => {
                let _ = reply.send(Err(RegistrationError::OutOfContact));
            }
        }
    }

    /// Sends the entry of a server to all peers; the server is answered once a majority has it.
    fn replicate(&mut self, key: Key, reply: oneshot::Sender<RegistrationOutcome>) {
        let Some(entry) = self.endpoints.get(&key).cloned() else {
            // Another coordinator may know the server and would not learn of this report, so the
            // report is not acknowledged. The caller is gone if its server has disconnected.
            let _ = reply.send(Err(RegistrationError::UnknownServer));
            return;
        };
        self.peers.broadcast(&ToCoordinator::Entries(vec![entry]));
        self.pending_reports.add(self.clock.now(), key, reply);
        let outputs = self.replica.check_quorum();
        self.apply(outputs);
        self.check_contact();
    }
}

/// The change of an order for a zone.
///
/// The register may apply it later than it was submitted, and again after a conflict with another
/// proposer. A caller that has given up may by then have sent the order elsewhere, and a newer one
/// after it, so each time the change applies only if the caller still waits.
fn zone_change(zone: String, state: ZoneState, caller: Caller) -> Operation<ControlValue> {
    Operation::change(move |value: &ControlValue| {
        if caller.is_waiting() {
            value.set_zone_state(&zone, state)
        } else {
            Decision::Reject(Rejection::CallerGone)
        }
    })
}
