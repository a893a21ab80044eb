//! Operations submitted to the register and their outcomes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::replicas::{Replica, ReplicaSet};
use crate::state::State;

/// Identifies an operation; chosen by the caller, unique within one incarnation of a node.
pub type OperationId = u64;

/// A value that the register can hold.
pub trait RegisterValue: Clone {
    /// Why a change of the value is rejected. The register passes it back to the caller, who alone
    /// knows what it means.
    type Rejection: Clone + fmt::Debug + PartialEq + Eq;
}

/// Why an operation is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionReason<R> {
    /// The [`Transition`] rejected the change of the value.
    Change(R),
    /// The change of the replica set can't be applied to the set in force.
    ReplicaChange(ReplicaChangeError),
}

/// What a change makes of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<V: RegisterValue> {
    /// The value is replaced by this one.
    Write(V),
    /// The value already contains the change.
    Unchanged,
    /// The change isn't valid for the value.
    Reject(V::Rejection),
    /// The change isn't valid for the value, and the new value records that.
    RejectAndWrite {
        /// The new value.
        value: V,
        /// Why the change isn't valid.
        reason: V::Rejection,
    },
    /// The value no longer tells whether the change was made before.
    Unknown,
}

/// A change as a pure function of the value (the change function of Rystsov 2018, section 2). It
/// may be applied several times to different values, and must return [`Decision::Unchanged`] for a
/// value that already contains it: this makes it idempotent.
pub trait Transition<V: RegisterValue>: Send + Sync {
    /// Decides on the value.
    fn apply(&self, value: &V) -> Decision<V>;
}

impl<V: RegisterValue, F> Transition<V> for F
where
    F: Fn(&V) -> Decision<V> + Send + Sync,
{
    fn apply(&self, value: &V) -> Decision<V> {
        self(value)
    }
}

/// A change of the replica set by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaChange {
    /// Add a replica.
    Add(Replica),
    /// Remove a replica.
    Remove(Identity),
    /// Remove one replica and add another.
    Replace {
        /// The replica that is removed.
        removed: Identity,
        /// The replica that is added.
        added: Replica,
    },
}

/// Why a replica change can't be applied to a replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaChangeError {
    /// The set isn't the one that the change was made for.
    #[error("the replica set has changed")]
    Outdated,
    /// The change would leave no replica.
    #[error("the last replica can't be left out")]
    LastReplica,
}

impl ReplicaChange {
    /// The replica that is removed, if any.
    #[must_use]
    pub fn removed(&self) -> Option<Identity> {
        match self {
            Self::Add(_) => None,
            Self::Remove(removed) | Self::Replace { removed, .. } => Some(*removed),
        }
    }

    /// The set after the change; nothing if the set already is as the change would leave it.
    ///
    /// # Errors
    /// The set has changed in another way, or would be empty.
    pub fn apply_to(&self, set: &ReplicaSet) -> Result<Option<ReplicaSet>, ReplicaChangeError> {
        let next = match self {
            Self::Add(replica) if set.contains(replica.identity) => return Ok(None),
            Self::Add(replica) => set.with(replica.clone()),
            Self::Remove(identity) if !set.contains(*identity) => return Ok(None),
            Self::Remove(identity) => set.without(*identity),
            Self::Replace { removed, added } => {
                match (set.contains(*removed), set.contains(added.identity)) {
                    (false, true) => return Ok(None),
                    (true, false) => set.without(*removed).with(added.clone()),
                    _ => return Err(ReplicaChangeError::Outdated),
                }
            }
        };
        if next.is_empty() {
            return Err(ReplicaChangeError::LastReplica);
        }
        Ok(Some(next))
    }
}

/// An operation on the register.
pub enum Operation<V: RegisterValue> {
    /// A linearizable read.
    Read,
    /// A change of the value.
    Change(Arc<dyn Transition<V>>),
    /// A change of the replica set: the membership becomes joint.
    ChangeReplicas {
        /// The set that the change was made for; the change is rejected if another is in force.
        expected: ReplicaSet,
        /// The change.
        change: ReplicaChange,
    },
    /// Leaves a joint membership: the old replica set is dropped.
    LeaveJoint,
}

impl<V: RegisterValue> Operation<V> {
    /// A change of the value by a function.
    pub fn change(transition: impl Transition<V> + 'static) -> Self {
        Self::Change(Arc::new(transition))
    }
}

impl<V: RegisterValue> Clone for Operation<V> {
    fn clone(&self) -> Self {
        match self {
            Self::Read => Self::Read,
            Self::Change(transition) => Self::Change(Arc::clone(transition)),
            Self::ChangeReplicas { expected, change } => Self::ChangeReplicas {
                expected: expected.clone(),
                change: change.clone(),
            },
            Self::LeaveJoint => Self::LeaveJoint,
        }
    }
}

impl<V: RegisterValue> fmt::Debug for Operation<V> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read => formatter.write_str("Read"),
            Self::Change(_) => formatter.write_str("Change"),
            Self::ChangeReplicas { change, .. } => write!(formatter, "ChangeReplicas({change:?})"),
            Self::LeaveJoint => formatter.write_str("LeaveJoint"),
        }
    }
}

/// How an operation ended. Every state in an outcome is known as chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<V: RegisterValue> {
    /// The state at some moment between submission and completion.
    Read(Arc<State<V>>),
    /// The change is decided and part of this state's history.
    Written(Arc<State<V>>),
    /// The state already contained the change.
    Unchanged(Arc<State<V>>),
    /// The change isn't valid for the state and was never decided.
    Rejected {
        /// Why it isn't valid.
        reason: RejectionReason<V::Rejection>,
        /// The state that it was applied to, or a later one of the same decision.
        state: Arc<State<V>>,
    },
    /// The deadline passed before a first attempt: the change is not decided and never will be.
    Expired,
    /// The deadline passed after an attempt, or the history is truncated, or the change itself
    /// can't tell: the change may have been decided or may yet be.
    Unknown,
}

/// An operation in the queue or in a round.
#[derive(Clone, Debug)]
pub(crate) struct Pending<V: RegisterValue> {
    pub(crate) id: Option<OperationId>,
    pub(crate) operation: Operation<V>,
    pub(crate) deadline: Duration,
    /// Order of submission.
    pub(crate) arrival: u64,
    pub(crate) attempts: Vec<Attempt>,
}

impl<V: RegisterValue> Pending<V> {
    /// The outcome of the operation when its deadline passes.
    pub(crate) fn outcome_at_deadline(&self) -> Outcome<V> {
        if self.attempts.is_empty() {
            Outcome::Expired
        } else {
            Outcome::Unknown
        }
    }
}

/// A proposal that contained an operation's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) sequence: u64,
    pub(crate) ballot: Ballot,
}
