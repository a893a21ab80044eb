//! The register operations of this coordinator that await their outcome, and the translation of the
//! register's outcomes to those of the API.

use std::collections::BTreeMap;

use ironmast_register::{OperationId, Outcome, RejectionReason};
use tokio::sync::oneshot;

use crate::outcome::{ChangeError, ChangeOutcome, ReadError, ReadOutcome};
use crate::value::{ControlValue, Rejection};

/// An operation that has completed.
#[derive(Debug)]
pub(crate) enum CompletedOperation {
    /// A change of the operator's state.
    Change {
        /// Outcome to send to the caller.
        outcome: ChangeOutcome,
        /// Channel to the caller.
        reply: oneshot::Sender<ChangeOutcome>,
    },
    /// A read of the configuration in force.
    Read {
        /// Outcome to send to the caller.
        outcome: ReadOutcome,
        /// Channel to the caller.
        reply: oneshot::Sender<ReadOutcome>,
    },
    /// The read by which the replica catches up.
    CatchUp(CatchUp),
}

/// Result of the read by which a replica catches up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CatchUp {
    /// The newest state was read from a quorum.
    Succeeded,
    /// No quorum answered in time.
    Failed,
}

enum PendingOperation {
    Change(oneshot::Sender<ChangeOutcome>),
    Read(oneshot::Sender<ReadOutcome>),
}

/// The operations that await their outcome, by identifier.
#[derive(Default)]
pub(crate) struct PendingOperations {
    operations: BTreeMap<OperationId, PendingOperation>,
    catch_up: Option<OperationId>,
    last_id: OperationId,
}

impl PendingOperations {
    /// Adds a change; `reply` receives its outcome.
    #[must_use]
    pub(crate) fn add_change(&mut self, reply: oneshot::Sender<ChangeOutcome>) -> OperationId {
        let id = self.next_id();
        self.operations.insert(id, PendingOperation::Change(reply));
        id
    }

    /// Adds a read of the configuration in force; `reply` receives its outcome.
    #[must_use]
    pub(crate) fn add_read(&mut self, reply: oneshot::Sender<ReadOutcome>) -> OperationId {
        let id = self.next_id();
        self.operations.insert(id, PendingOperation::Read(reply));
        id
    }

    /// Adds the read by which the replica catches up, in place of an earlier one, whose outcome is
    /// then ignored.
    #[must_use]
    pub(crate) fn add_catch_up(&mut self) -> OperationId {
        let id = self.next_id();
        self.catch_up = Some(id);
        id
    }

    /// Removes an operation that has completed; `None` if it is unknown.
    pub(crate) fn complete(
        &mut self,
        id: OperationId,
        outcome: Outcome<ControlValue>,
    ) -> Option<CompletedOperation> {
        if self.catch_up.take_if(|read| *read == id).is_some() {
            return Some(CompletedOperation::CatchUp(catch_up_result(&outcome)));
        }
        Some(match self.operations.remove(&id)? {
            PendingOperation::Change(reply) => CompletedOperation::Change {
                outcome: change_outcome(outcome),
                reply,
            },
            PendingOperation::Read(reply) => CompletedOperation::Read {
                outcome: read_outcome(outcome),
                reply,
            },
        })
    }

    fn next_id(&mut self) -> OperationId {
        self.last_id += 1;
        self.last_id
    }
}

fn catch_up_result(outcome: &Outcome<ControlValue>) -> CatchUp {
    match outcome {
        Outcome::Read(_) => CatchUp::Succeeded,
        _ => CatchUp::Failed,
    }
}

fn change_outcome(outcome: Outcome<ControlValue>) -> ChangeOutcome {
    match outcome {
        Outcome::Written(_) | Outcome::Unchanged(_) | Outcome::Read(_) => Ok(()),
        Outcome::Rejected { reason, .. } => Err(rejection(&reason).into()),
        Outcome::Expired => Err(ChangeError::NoQuorum),
        Outcome::Unknown => Err(ChangeError::Unknown),
    }
}

fn rejection(reason: &RejectionReason<Rejection>) -> Rejection {
    match reason {
        RejectionReason::Change(rejection) => *rejection,
        // Operators change only the value, so this does not occur; it would mean that another
        // change was applied first.
        RejectionReason::ReplicaChange(_) => Rejection::VersionMismatch,
    }
}

fn read_outcome(outcome: Outcome<ControlValue>) -> ReadOutcome {
    match outcome {
        Outcome::Read(state) | Outcome::Written(state) | Outcome::Unchanged(state) => state
            .value
            .configuration
            .as_ref()
            .map(|document| document.body.clone())
            .ok_or(ReadError::NoConfiguration),
        // The register does not reject a read.
        Outcome::Rejected { .. } | Outcome::Expired | Outcome::Unknown => Err(ReadError::NoQuorum),
    }
}

#[cfg(test)]
mod tests;
