//! Operations submitted to the register and their outcomes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::replicas::{Replica, ReplicaSet};
use crate::state::State;

/// Identifier of an operation, chosen by the caller and unique within one incarnation of a node.
pub type OperationId = u64;

/// A value that the register can hold.
pub trait RegisterValue: Clone {
    /// Reason for which a [`Transition`] rejects a change. The register passes it to the caller
    /// without interpreting it.
    type Rejection: Clone + fmt::Debug + PartialEq + Eq;
}

/// Reason for which an operation is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionReason<R> {
    /// The [`Transition`] rejected the change of the value.
    Change(R),
    /// The change can't be applied to the current replica set.
    ReplicaChange(ReplicaChangeError),
}

/// Result of applying a [`Transition`] to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<V: RegisterValue> {
    /// Replaces the value by this one.
    Write(V),
    /// The value already contains the change.
    Unchanged,
    /// The change isn't valid for the value, which stays as it is.
    Reject(V::Rejection),
    /// The change isn't valid for the value; a new value that records the rejection is written.
    RejectAndWrite {
        /// The value that records the rejection.
        value: V,
        /// Reason for the rejection.
        reason: V::Rejection,
    },
    /// The value no longer shows whether it already contains the change.
    Unknown,
}

/// A change as a pure function of the value (the change function of Rystsov 2018, section 2).
///
/// A proposer may apply one change several times, to different values. The function must return
/// [`Decision::Unchanged`] for a value that already contains the change; this makes the change
/// idempotent.
pub trait Transition<V: RegisterValue>: Send + Sync {
    /// Applies the change to the value that the proposer has read.
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

/// A change of the replica set that adds, removes or replaces one replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicaChange {
    /// Adds a replica.
    Add(Replica),
    /// Removes the replica of this identity.
    Remove(Identity),
    /// Removes one replica and adds another in the same change.
    Replace {
        /// Identity of the removed replica.
        removed: Identity,
        /// The added replica.
        added: Replica,
    },
}

/// Reason for which a [`ReplicaChange`] can't be applied to a replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaChangeError {
    /// The current set isn't the one that the change was made for.
    #[error("the replica set has changed since the replica change was made")]
    Outdated,
    /// The change would leave no replica.
    #[error("the replica change would remove the last replica")]
    LastReplica,
}

impl ReplicaChange {
    /// Identity of the replica that the change removes, if any.
    #[must_use]
    pub fn removed(&self) -> Option<Identity> {
        match self {
            Self::Add(_) => None,
            Self::Remove(removed) | Self::Replace { removed, .. } => Some(*removed),
        }
    }

    /// Returns the set after the change, or `None` if the set already contains the change.
    ///
    /// # Errors
    /// [`Outdated`](ReplicaChangeError::Outdated) if the set has changed in another way;
    /// [`LastReplica`](ReplicaChangeError::LastReplica) if the change would leave the set empty.
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

/// An operation that a client submits to the register.
pub enum Operation<V: RegisterValue> {
    /// A linearizable read.
    Read,
    /// Changes the value.
    Change(Arc<dyn Transition<V>>),
    /// Changes the replica set: the membership becomes joint.
    ChangeReplicas {
        /// The set that the change was made for; if the current set is another one, the change is
        /// rejected.
        expected: ReplicaSet,
        /// The replica to add, remove or replace.
        change: ReplicaChange,
    },
    /// Leaves a joint membership: the next set becomes the only one.
    LeaveJoint,
}

impl<V: RegisterValue> Operation<V> {
    /// Returns an operation that changes the value by a [`Transition`].
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

/// Outcome of an operation. Every state in an outcome is known as chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<V: RegisterValue> {
    /// A linearizable read: the state at some moment between submission and completion.
    Read(Arc<State<V>>),
    /// The change is chosen and part of this state's history.
    Written(Arc<State<V>>),
    /// The state already contained the change.
    Unchanged(Arc<State<V>>),
    /// The change isn't valid for the state and was never chosen.
    Rejected {
        /// Reason for the rejection.
        reason: RejectionReason<V::Rejection>,
        /// The state that the change was applied to, or the state chosen in the same round.
        state: Arc<State<V>>,
    },
    /// The deadline passed before the change was part of any proposal: the change isn't chosen and
    /// never will be.
    Expired,
    /// The change may have been chosen or may yet be: the deadline passed after an attempt, the
    /// history no longer reaches back to the attempt, or the change returned
    /// [`Decision::Unknown`].
    Unknown,
}

/// A submitted operation without an outcome, in the queue or in a round.
#[derive(Clone, Debug)]
pub(crate) struct Pending<V: RegisterValue> {
    pub(crate) id: Option<OperationId>,
    pub(crate) operation: Operation<V>,
    pub(crate) deadline: Duration,
    /// Position in the order of submission.
    pub(crate) arrival: u64,
    pub(crate) attempts: Vec<Attempt>,
}

impl<V: RegisterValue> Pending<V> {
    /// Outcome of the operation if its deadline passes now.
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
