//! Operations submitted to the register and their outcomes.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::Identity;
use crate::replicas::{Replica, ReplicaSet};
use crate::state::State;

/// Number by which the caller knows an operation; drawn by the caller, unique within one life of a
/// node.
pub type OperationId = u64;

/// Why a change is refused, in the caller's terms.
pub type Reason = String;

/// What a change makes of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<V> {
    /// The value that follows.
    Write(V),
    /// The value already shows the change.
    Unchanged,
    /// The change doesn't fit the value.
    Reject(Reason),
    /// The change doesn't fit the value, and the value that follows remembers that.
    RejectAndWrite {
        /// The value that follows.
        value: V,
        /// Why the change doesn't fit.
        reason: Reason,
    },
    /// Whether the change was made before can't be told any more.
    Unknown,
}

/// A change as a pure function of the value. It may be applied several times to different values,
/// and must answer `Unchanged` for a value that already shows it.
pub trait Transition<V>: Send + Sync {
    /// Decides what follows from the value.
    fn apply(&self, value: &V) -> Decision<V>;
}

impl<V, F> Transition<V> for F
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
    /// Take in a replica.
    Add(Replica),
    /// Leave out a replica.
    Remove(Identity),
    /// Leave out one replica and take in another.
    Replace {
        /// The replica that is removed.
        removed: Identity,
        /// The replica that is added.
        added: Replica,
    },
}

impl ReplicaChange {
    /// Reason of refusal where the set isn't the one that the change was made for.
    pub const OUTDATED: &str = "the replica set has changed";

    /// The replica that is left out, if any.
    #[must_use]
    pub fn removed(&self) -> Option<Identity> {
        match self {
            Self::Add(_) => None,
            Self::Remove(removed) | Self::Replace { removed, .. } => Some(*removed),
        }
    }

    /// The set after the change; nothing if it is so already.
    ///
    /// # Errors
    /// The set has changed otherwise, or would be left empty.
    pub fn apply_to(&self, set: &ReplicaSet) -> Result<Option<ReplicaSet>, Reason> {
        let next = match self {
            Self::Add(replica) if set.contains(replica.identity) => return Ok(None),
            Self::Add(replica) => set.with(replica.clone()),
            Self::Remove(identity) if !set.contains(*identity) => return Ok(None),
            Self::Remove(identity) => set.without(*identity),
            Self::Replace { removed, added } => {
                match (set.contains(*removed), set.contains(added.identity)) {
                    (false, true) => return Ok(None),
                    (true, false) => set.without(*removed).with(added.clone()),
                    _ => return Err(Self::OUTDATED.to_owned()),
                }
            }
        };
        if next.is_empty() {
            return Err("the last replica can't be left out".to_owned());
        }
        Ok(Some(next))
    }
}

/// What is asked of the register.
pub enum Operation<V> {
    /// A linearizable read.
    Read,
    /// A change of the value.
    Change(Arc<dyn Transition<V>>),
    /// A change of the replica set.
    ChangeReplicas {
        /// The set that the change was made for; refused if another is in force.
        expected: ReplicaSet,
        /// The change.
        change: ReplicaChange,
    },
    /// Leave the old replica set, where two are held.
    LeaveJoint,
}

impl<V> Operation<V> {
    /// A change of the value by a function.
    pub fn change(transition: impl Transition<V> + 'static) -> Self {
        Self::Change(Arc::new(transition))
    }
}

impl<V> Clone for Operation<V> {
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

impl<V> fmt::Debug for Operation<V> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read => formatter.write_str("Read"),
            Self::Change(_) => formatter.write_str("Change"),
            Self::ChangeReplicas { change, .. } => write!(formatter, "Replicas({change:?})"),
            Self::LeaveJoint => formatter.write_str("Settle"),
        }
    }
}

/// How an operation ended. Every state named is known as chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<V> {
    /// The state at some moment between submission and completion.
    Read(Arc<State<V>>),
    /// The change is decided and part of this state's history.
    Written(Arc<State<V>>),
    /// The state already showed the change.
    Unchanged(Arc<State<V>>),
    /// The change doesn't fit the state and was never decided.
    Rejected {
        /// The change's reason.
        reason: Reason,
        /// The state that it was applied to, or one that followed within the same decision.
        state: Arc<State<V>>,
    },
    /// The deadline passed before a first attempt: the change is not and won't be decided.
    Expired,
    /// The deadline passed, or the history is forgotten, or the change itself can't tell: it may
    /// have been decided or may yet be.
    Unknown,
}

/// An operation on its way.
#[derive(Clone, Debug)]
pub(crate) struct Pending<V> {
    pub(crate) id: Option<OperationId>,
    pub(crate) operation: Operation<V>,
    pub(crate) deadline: Duration,
    /// Order of submission.
    pub(crate) arrival: u64,
    pub(crate) attempts: Vec<Attempt>,
}

/// A proposal of which an operation's change was part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) sequence: u64,
    pub(crate) ballot: crate::ballot::Ballot,
}
