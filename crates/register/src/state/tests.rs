//! Tests of a state's lineage.

use super::*;
use crate::ballot::Identity;
use crate::replicas::ReplicaSet;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        identity: Identity(1),
    }
}

#[test]
fn a_state_knows_its_latest_changes_and_forgets_older_ones() {
    let members = Membership::single(ReplicaSet::default());
    let mut state = State::initial(members.clone(), 0);
    for counter in 1..=100 {
        state = state.successor(ballot(counter), members.clone(), Arc::new(0));
    }
    assert_eq!(state.sequence, 100);
    assert_eq!(state.lineage.len(), LINEAGE_LENGTH);
    assert_eq!(state.descends_from(100, ballot(100)), Descent::Yes);
    assert_eq!(state.descends_from(69, ballot(69)), Descent::Yes);
    assert_eq!(state.descends_from(70, ballot(69)), Descent::No);
    assert_eq!(state.descends_from(68, ballot(68)), Descent::Forgotten);
    assert_eq!(state.descends_from(101, ballot(101)), Descent::No);
}
