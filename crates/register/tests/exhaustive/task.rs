//! The tasks of the proposers, and what each makes of a state.

use std::sync::Arc;

use ironmast_register::guard::{Guard, Guards};
use ironmast_register::round::QuorumRead;
use ironmast_register::{Ballot, Identity, Membership, Replica, State};

use super::model_state::{MEMBERS, SPARE, Value, address};

/// The task of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    /// Append a content.
    Put(u8),
    /// Append a content if there are that many others: an operator's change on a base version,
    /// which several proposers may have.
    ConditionalPut { base: u8, content: u8 },
    /// Make the membership joint; in the next set the spare replaces the last member.
    EnterJoint,
    /// Leave the joint membership.
    LeaveJoint,
}

/// The state that a proposer proposes after the one that it read.
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

/// The state with a joint membership, in the next set of which the spare replaces the last member.
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
