//! Batches: operations that one accept phase decides together, each applied to the result of the
//! ones before it. Any number of queued operations thus share two round trips.

use std::sync::Arc;
use std::time::Duration;

use crate::ballot::Ballot;
use crate::guard::{Guard, Guards};
use crate::operation::{
    Attempt, Decision, Operation, OperationId, Outcome, Pending, RegisterValue, RejectionReason,
    ReplicaChange, ReplicaChangeError,
};
use crate::replicas::{Membership, ReplicaSet};
use crate::round::QuorumRead;
use crate::state::{HistoryLookup, State};

/// The result of an operation, valid once the batch's state is chosen.
#[derive(Clone, Debug)]
enum TentativeResult<R> {
    Read,
    Written,
    Unchanged,
    Rejected(RejectionReason<R>),
    Unknown,
    /// The operation has to wait for another round, since a replica change goes first.
    Deferred,
}

impl<R> TentativeResult<R> {
    /// Returns the outcome with the chosen state, or `None` for a deferred operation.
    fn outcome<V: RegisterValue<Rejection = R>>(self, state: &Arc<State<V>>) -> Option<Outcome<V>> {
        let state = Arc::clone(state);
        match self {
            Self::Read => Some(Outcome::Read(state)),
            Self::Written => Some(Outcome::Written(state)),
            Self::Unchanged => Some(Outcome::Unchanged(state)),
            Self::Rejected(reason) => Some(Outcome::Rejected { reason, state }),
            Self::Unknown => Some(Outcome::Unknown),
            Self::Deferred => None,
        }
    }
}

/// An operation of a batch and its tentative result.
struct BatchEntry<V: RegisterValue> {
    pending: Pending<V>,
    result: TentativeResult<V::Rejection>,
}

/// Operations that are decided together, in the order in which they were applied.
pub(super) struct Batch<V: RegisterValue>(Vec<BatchEntry<V>>);

/// A batch and the state to be accepted, by which its operations are decided.
pub(super) struct Assembled<V: RegisterValue> {
    pub(super) batch: Batch<V>,
    pub(super) state: Arc<State<V>>,
}

/// The operations of a batch after its state is chosen.
pub(super) struct Completion<V: RegisterValue> {
    pub(super) completed: Vec<Completed<V>>,
    /// Operations without an outcome, which return to the queue.
    pub(super) undecided: Vec<Pending<V>>,
}

/// An operation with its final outcome.
pub(super) struct Completed<V: RegisterValue> {
    pub(super) id: Option<OperationId>,
    pub(super) outcome: Outcome<V>,
}

impl<V: RegisterValue> Default for Batch<V> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<V: RegisterValue> Batch<V> {
    /// Applies the operations in order to the state that was read. If none changes it, the state to
    /// be accepted is the one that was read.
    pub(super) fn assemble(
        operations: impl Iterator<Item = Pending<V>>,
        read: &QuorumRead<V>,
        ballot: Ballot,
        guards: Guards,
    ) -> Assembled<V> {
        let state = &read.proposal.state;
        let mut draft = Draft::new(read, guards);
        let mut entries = Vec::new();
        for mut pending in operations {
            let result = draft.apply(&pending, state);
            if matches!(result, TentativeResult::Written) {
                pending.attempts.push(Attempt {
                    sequence: state.sequence + 1,
                    ballot,
                });
            }
            entries.push(BatchEntry { pending, result });
        }
        Assembled {
            batch: Self(entries),
            state: draft.finish(state, ballot),
        }
    }

    /// Removes and returns the operations whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Pending<V>> {
        self.0
            .extract_if(.., |entry| entry.pending.deadline <= now)
            .map(|entry| entry.pending)
            .collect()
    }

    /// Whether the batch contains a change of the value that ends as unchanged or rejected.
    pub(super) fn answers_unchanged(&self) -> bool {
        self.0.iter().any(|entry| {
            matches!(entry.pending.operation, Operation::Change(_))
                && matches!(
                    entry.result,
                    TentativeResult::Unchanged | TentativeResult::Rejected(_)
                )
        })
    }

    /// The deadlines of the operations.
    pub(super) fn deadlines(&self) -> impl Iterator<Item = Duration> {
        self.0.iter().map(|entry| entry.pending.deadline)
    }

    /// Returns the operations without their tentative results.
    pub(super) fn into_pending(self) -> Vec<Pending<V>> {
        self.0.into_iter().map(|entry| entry.pending).collect()
    }

    /// Completes the operations with the chosen state. Deferred operations and those with an
    /// arrival number of `first_excluded` or above stay undecided.
    pub(super) fn complete(self, first_excluded: u64, state: &Arc<State<V>>) -> Completion<V> {
        let (mut completed, mut undecided) = (Vec::new(), Vec::new());
        for BatchEntry { pending, result } in self.0 {
            let outcome = result.outcome(state);
            match outcome.filter(|_| pending.arrival < first_excluded) {
                Some(outcome) => completed.push(Completed {
                    id: pending.id,
                    outcome,
                }),
                None => undecided.push(pending),
            }
        }
        Completion {
            completed,
            undecided,
        }
    }
}

/// The next state while the operations of a batch are applied to it.
struct Draft<V: RegisterValue> {
    members: Membership,
    value: Arc<V>,
    is_changed: bool,
    /// Whether the draft leaves a joint membership.
    leaves_joint: bool,
}

impl<V: RegisterValue> Draft<V> {
    /// Creates a draft from the state that was read. If that state has a joint membership and is
    /// known as chosen, the draft leaves the old set. Before it is chosen, an older state may still
    /// be chosen by the old set alone (Raft, Ongaro and Ousterhout 2014, section 6).
    fn new(read: &QuorumRead<V>, guards: Guards) -> Self {
        let state = &read.proposal.state;
        let value = Arc::clone(&state.value);
        let may_leave = read.is_chosen || !guards.enforces(Guard::JointChosenFirst);
        match &state.members.next {
            Some(next) if may_leave => Self {
                members: Membership::single(next.clone()),
                value,
                is_changed: true,
                leaves_joint: true,
            },
            _ => Self {
                members: state.members.clone(),
                value,
                is_changed: false,
                leaves_joint: false,
            },
        }
    }

    fn apply(&mut self, pending: &Pending<V>, read: &State<V>) -> TentativeResult<V::Rejection> {
        match lookup_attempts(pending, read) {
            HistoryLookup::Included => return TentativeResult::Written,
            HistoryLookup::Truncated => return TentativeResult::Unknown,
            HistoryLookup::Excluded => {}
        }
        match &pending.operation {
            Operation::Read => TentativeResult::Read,
            Operation::LeaveJoint if self.members.is_joint() => TentativeResult::Deferred,
            Operation::LeaveJoint => TentativeResult::Unchanged,
            Operation::Change(transition) => {
                let decision = transition.apply(&self.value);
                self.apply_decision(decision)
            }
            // Only one change of the replica set is in progress at a time.
            Operation::ChangeReplicas { .. } if self.members.is_joint() || self.leaves_joint => {
                TentativeResult::Deferred
            }
            Operation::ChangeReplicas { expected, change } => {
                self.change_replicas(expected, change)
            }
        }
    }

    /// Makes the membership joint, unless the replica change is already made or can't be applied.
    fn change_replicas(
        &mut self,
        expected: &ReplicaSet,
        change: &ReplicaChange,
    ) -> TentativeResult<V::Rejection> {
        let current = &self.members.current;
        match change.apply_to(current) {
            Ok(None) => TentativeResult::Unchanged,
            Ok(Some(next)) if current.has_same_identities(expected) => {
                self.members = Membership::joint(current.clone(), next);
                self.is_changed = true;
                TentativeResult::Written
            }
            Ok(Some(_)) => TentativeResult::Rejected(RejectionReason::ReplicaChange(
                ReplicaChangeError::Outdated,
            )),
            Err(error) => TentativeResult::Rejected(RejectionReason::ReplicaChange(error)),
        }
    }

    fn apply_decision(&mut self, decision: Decision<V>) -> TentativeResult<V::Rejection> {
        match decision {
            Decision::Write(value) => {
                self.write(value);
                TentativeResult::Written
            }
            Decision::Unchanged => TentativeResult::Unchanged,
            Decision::Reject(reason) => TentativeResult::Rejected(RejectionReason::Change(reason)),
            // Not recorded as an attempt: if the new value isn't chosen, the change is applied
            // again.
            Decision::RejectAndWrite { value, reason } => {
                self.write(value);
                TentativeResult::Rejected(RejectionReason::Change(reason))
            }
            Decision::Unknown => TentativeResult::Unknown,
        }
    }

    fn write(&mut self, value: V) {
        self.value = Arc::new(value);
        self.is_changed = true;
    }

    fn finish(self, read: &Arc<State<V>>, ballot: Ballot) -> Arc<State<V>> {
        if !self.is_changed {
            return Arc::clone(read);
        }
        Arc::new(read.successor(ballot, self.members, self.value))
    }
}

/// Looks up all earlier attempts of an operation in the state's history. `Truncated` takes
/// precedence over `Excluded`: an attempt that can't be looked up may have been chosen.
fn lookup_attempts<V: RegisterValue>(pending: &Pending<V>, read: &State<V>) -> HistoryLookup {
    let mut result = HistoryLookup::Excluded;
    for attempt in &pending.attempts {
        match read.lookup_change(attempt.sequence, attempt.ballot) {
            HistoryLookup::Included => return HistoryLookup::Included,
            HistoryLookup::Truncated => result = HistoryLookup::Truncated,
            HistoryLookup::Excluded => {}
        }
    }
    result
}
