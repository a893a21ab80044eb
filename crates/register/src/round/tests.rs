//! Tests of rounds: which replies count, when a state is known as chosen, and when a round fails.

use std::net::SocketAddr;

use assert_matches::assert_matches;

use super::*;
use crate::replicas::ReplicaSet;
use crate::state::State;

fn replica(number: u64) -> Replica {
    let port = 7_000 + u16::try_from(number).expect("number fits in u16");
    Replica {
        identity: Identity(number),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: String::new(),
    }
}

fn set(numbers: &[u64]) -> ReplicaSet {
    ReplicaSet::new(numbers.iter().map(|&number| replica(number)))
}

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        identity: Identity(9),
    }
}

fn proposal(counter: u64, members: Membership) -> Proposal<u8> {
    Proposal {
        ballot: ballot(counter),
        state: State::initial(members, 0).into(),
    }
}

fn query(known: &Proposal<u8>) -> Round<u8> {
    Round::query(
        RoundId(1),
        Some(known.clone()),
        known.clone(),
        Guards::default(),
    )
}

fn query_result(accepted: &Proposal<u8>) -> ReplyBody<u8> {
    let state = AcceptorState {
        accepted: Some(accepted.ballot),
        proposal: Some(accepted.clone()),
        chosen: Ballot::ZERO,
    };
    ReplyBody::QueryResult(state)
}

#[test]
fn a_state_is_chosen_once_a_majority_has_accepted_it() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let newer = proposal(2, known.state.members.clone());
    let mut round = query(&known);
    round.record_reply(Identity(1), query_result(&newer));
    assert_eq!(round.quorum_read(), None);
    round.record_reply(Identity(1), query_result(&newer));
    assert_eq!(round.quorum_read(), None, "a duplicate reply counts once");
    round.record_reply(Identity(2), query_result(&newer));
    assert_matches!(
        round.quorum_read(),
        Some(QuorumRead { proposal, is_chosen: true }) if proposal == newer
    );
}

#[test]
fn the_newest_state_is_not_chosen_while_a_majority_disagrees() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let newer = proposal(2, known.state.members.clone());
    let mut round = query(&known);
    round.record_reply(Identity(1), query_result(&known));
    round.record_reply(Identity(2), query_result(&newer));
    assert_matches!(
        round.quorum_read(),
        Some(QuorumRead { proposal, is_chosen: false }) if proposal == newer
    );
}

#[test]
fn a_reply_of_a_replica_that_is_no_member_does_not_count() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&known);
    round.record_reply(Identity(1), query_result(&known));
    round.record_reply(Identity(8), query_result(&known));
    assert_eq!(round.quorum_read(), None);
}

#[test]
fn a_newer_joint_membership_receives_requests_and_needs_both_majorities() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let joint = proposal(2, Membership::joint(set(&[1, 2, 3]), set(&[3, 4, 5])));
    let mut round = query(&known);
    round.record_reply(Identity(1), query_result(&joint));
    let awaited: Vec<u64> = round
        .awaiting_reply()
        .iter()
        .map(|replica| replica.identity.0)
        .collect();
    assert_eq!(awaited, [2, 3, 4, 5]);
    round.record_reply(Identity(2), query_result(&joint));
    assert_eq!(
        round.quorum_read(),
        None,
        "the old majority alone is not enough"
    );
    round.record_reply(Identity(4), query_result(&known));
    assert_eq!(round.quorum_read(), None);
    round.record_reply(Identity(5), query_result(&known));
    assert_matches!(
        round.quorum_read(),
        Some(QuorumRead {
            is_chosen: false,
            ..
        })
    );
}

#[test]
fn an_old_and_a_joint_membership_never_both_have_a_quorum() {
    let old = set(&[1, 2, 3]);
    let joint = Membership::joint(old.clone(), set(&[2, 3, 4]));
    for votes in 0..16_u32 {
        let voted = |identity: Identity| votes >> (identity.0 - 1) & 1 == 1;
        let others = |identity: Identity| !voted(identity);
        let both = joint.is_quorum(voted) && Membership::single(old.clone()).is_quorum(others);
        assert!(!both, "votes {votes:04b}");
    }
}

#[test]
fn acceptances_of_another_ballot_do_not_count() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&known).into_prepare(ballot(5));
    round.start_accept(proposal(5, known.state.members.clone()));
    round.record_reply(Identity(1), ReplyBody::Accepted { ballot: ballot(4) });
    round.record_reply(Identity(2), ReplyBody::Accepted { ballot: ballot(5) });
    assert_eq!(round.chosen(), None);
    round.record_reply(Identity(3), ReplyBody::Accepted { ballot: ballot(5) });
    assert!(round.chosen().is_some());
}

#[test]
fn a_round_is_lost_once_a_majority_has_rejected_it() {
    let known = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&known).into_prepare(ballot(5));
    round.record_reply(
        Identity(1),
        ReplyBody::Conflict {
            promised: ballot(6),
        },
    );
    assert!(!round.is_lost());
    round.record_reply(
        Identity(2),
        ReplyBody::NotMember {
            chosen: Ballot::ZERO,
        },
    );
    assert!(round.is_lost());
}
