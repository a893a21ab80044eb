//! Tests of the lookup of changes in a state's history.

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
fn a_lookup_finds_the_latest_changes_and_reports_older_ones_as_truncated() {
    let members = Membership::single(ReplicaSet::default());
    let mut state = State::initial(members.clone(), 0);
    for counter in 1..=100 {
        state = state.successor(ballot(counter), members.clone(), Arc::new(0));
    }
    assert_eq!(state.sequence, 100);
    assert_eq!(state.history.len(), MAX_HISTORY);
    assert_eq!(
        state.lookup_change(100, ballot(100)),
        HistoryLookup::Included
    );
    assert_eq!(state.lookup_change(69, ballot(69)), HistoryLookup::Included);
    assert_eq!(state.lookup_change(70, ballot(69)), HistoryLookup::Excluded);
    assert_eq!(
        state.lookup_change(68, ballot(68)),
        HistoryLookup::Truncated
    );
    assert_eq!(
        state.lookup_change(101, ballot(101)),
        HistoryLookup::Excluded
    );
}
