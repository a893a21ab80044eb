//! Tasks of the proposers, and the state that each proposes next.

use std::sync::Arc;

use ironmast_register::guard::{Guard, Guards};
use ironmast_register::round::QuorumRead;
use ironmast_register::{Ballot, Identity, Membership, Replica, State};

use super::model_state::{MEMBERS, SPARE, Value, address};

/// The task of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// Appends a content.
    Put(u8),
    /// Appends a content if the value has exactly `base` contents: an operator's change on a base
    /// version. Several proposers may have the same change.
    ConditionalPut { base: u8, content: u8 },
    /// Makes the membership joint; in the next set the spare replaces the last member.
    EnterJoint,
    /// Leaves the joint membership.
    LeaveJoint,
}

/// Returns the state that a proposer proposes after a quorum read; the state read if nothing
/// changes.
pub(super) fn successor(
    task: Task,
    read: &QuorumRead<Value>,
    ballot: Ballot,
    guards: Guards,
) -> Arc<State<Value>> {
    let state = &read.proposal.state;
    let value = Arc::clone(&state.value);
    let may_leave = read.is_chosen || !guards.enforces(Guard::JointChosenFirst);
    if let Some(next) = state.members.next.clone().filter(|_| may_leave) {
        return Arc::new(state.successor(ballot, Membership::single(next), value));
    }
    match task {
        Task::Put(content) if !state.value.contains(&content) => {
            let mut value = (*value).clone();
            value.push(content);
            Arc::new(state.successor(ballot, state.members.clone(), Arc::new(value)))
        }
        Task::ConditionalPut { base, content }
            if usize::from(base) == state.value.len() && !state.value.contains(&content) =>
        {
            let mut value = (*value).clone();
            value.push(content);
            Arc::new(state.successor(ballot, state.members.clone(), Arc::new(value)))
        }
        Task::EnterJoint if !state.members.is_joint() && !state.members.contains(SPARE) => {
            joint_with_spare(state, ballot)
        }
        _ => Arc::clone(state),
    }
}

/// Returns the successor of a state with a joint membership. In its next set the spare replaces the
/// last member.
pub(super) fn joint_with_spare(state: &State<Value>, ballot: Ballot) -> Arc<State<Value>> {
    let current = state.members.current.clone();
    let spare = Replica {
        identity: SPARE,
        address: address(MEMBERS),
        zone: String::new(),
    };
    let next = current
        .without(Identity::from_seed_address(address(MEMBERS - 1)))
        .with(spare);
    Arc::new(state.successor(
        ballot,
        Membership::joint(current, next),
        Arc::clone(&state.value),
    ))
}

pub(super) fn is_completed(task: Task, state: &State<Value>) -> bool {
    match task {
        Task::Put(content) => state.value.contains(&content),
        Task::ConditionalPut { base, content } => {
            state.value.contains(&content) || state.value.len() > usize::from(base)
        }
        Task::EnterJoint => state.members.contains(SPARE),
        Task::LeaveJoint => !state.members.is_joint() && state.members.contains(SPARE),
    }
}
