//! Tests of the learner: which states are new to it, and how long an accepted proposal is unchosen.

use super::*;
use crate::ballot::Identity;
use crate::replicas::{Membership, ReplicaSet};

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        identity: Identity(1),
    }
}

fn proposal(counter: u64, sequence: u64) -> Proposal<u8> {
    let members = Membership::single(ReplicaSet::default());
    let state = State {
        sequence,
        ..State::initial(members, 0)
    };
    Proposal {
        ballot: ballot(counter),
        state: state.into(),
    }
}

#[test]
fn learn_returns_a_state_only_for_a_higher_sequence() {
    let mut learner = Learner::default();
    assert!(learner.learn(&proposal(1, 1)).is_some());
    assert!(learner.learn(&proposal(2, 1)).is_none());
    assert_eq!(learner.ballot(), ballot(2));
    assert!(learner.learn(&proposal(1, 1)).is_none());
    assert!(learner.learn(&proposal(3, 2)).is_some());
}

#[test]
fn learn_ballot_needs_no_state_for_a_known_sequence() {
    let mut learner = Learner::default();
    assert!(!learner.learn_ballot(ballot(1), 1));
    learner.learn(&proposal(1, 1));
    assert!(learner.learn_ballot(ballot(4), 1));
    assert_eq!(learner.ballot(), ballot(4));
    assert!(!learner.learn_ballot(ballot(5), 2));
}

#[test]
fn unchosen_since_counts_from_the_first_call_with_a_ballot() {
    let mut learner = Learner::default();
    learner.learn(&proposal(1, 1));
    let at = Duration::from_millis;
    assert_eq!(learner.unchosen_since(at(1), Some(ballot(1))), None);
    assert_eq!(learner.unchosen_since(at(2), Some(ballot(2))), Some(at(2)));
    assert_eq!(learner.unchosen_since(at(9), Some(ballot(2))), Some(at(2)));
    assert_eq!(learner.unchosen_since(at(9), Some(ballot(3))), Some(at(9)));
    learner.learn(&proposal(3, 2));
    assert_eq!(learner.unchosen_since(at(10), Some(ballot(3))), None);
}
