//! Tests of a round: who counts, and when a state is known as chosen.

use std::net::SocketAddr;

use assert_matches::assert_matches;

use super::*;
use crate::replicas::ReplicaSet;
use crate::state::State;

fn replica(number: u64) -> Replica {
    let port = 7_000 + u16::try_from(number).expect("small");
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

fn query(base: &Proposal<u8>) -> Round<u8> {
    Round::query(1, Some(base.clone()), base.clone(), Guards::default())
}

fn reported(held: &Proposal<u8>) -> ReplyBody<u8> {
    let report = AcceptorState {
        accepted: Some(held.ballot),
        proposal: Some(held.clone()),
        chosen: Ballot::ZERO,
    };
    ReplyBody::QueryResult(report)
}

#[test]
fn a_majority_that_agrees_confirms() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let newer = proposal(2, base.state.members.clone());
    let mut round = query(&base);
    round.answer(Identity(1), reported(&newer));
    assert_eq!(round.found(), None);
    round.answer(Identity(1), reported(&newer));
    assert_eq!(round.found(), None, "an answer sent twice counts once");
    round.answer(Identity(2), reported(&newer));
    assert_matches!(round.found(), Some(QuorumRead { proposal, confirmed: true }) if proposal == newer);
}

#[test]
fn a_majority_that_differs_finds_the_newest_unconfirmed() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let newer = proposal(2, base.state.members.clone());
    let mut round = query(&base);
    round.answer(Identity(1), reported(&base));
    round.answer(Identity(2), reported(&newer));
    assert_matches!(round.found(), Some(QuorumRead { proposal, confirmed: false }) if proposal == newer);
}

#[test]
fn an_answer_of_a_stranger_does_not_count() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&base);
    round.answer(Identity(1), reported(&base));
    round.answer(Identity(8), reported(&base));
    assert_eq!(round.found(), None);
}

#[test]
fn a_newer_membership_is_asked_and_needs_both_majorities() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let joint = proposal(2, Membership::joint(set(&[1, 2, 3]), set(&[3, 4, 5])));
    let mut round = query(&base);
    round.answer(Identity(1), reported(&joint));
    let asked: Vec<u64> = round
        .unanswered()
        .iter()
        .map(|replica| replica.identity.0)
        .collect();
    assert_eq!(asked, [2, 3, 4, 5]);
    round.answer(Identity(2), reported(&joint));
    assert_eq!(round.found(), None, "the old majority alone is not enough");
    round.answer(Identity(4), reported(&base));
    assert_eq!(round.found(), None);
    round.answer(Identity(5), reported(&base));
    assert_matches!(
        round.found(),
        Some(QuorumRead {
            confirmed: false,
            ..
        })
    );
}

#[test]
fn an_old_and_a_new_majority_cannot_decide_apart() {
    let old = set(&[1, 2, 3]);
    let joint = Membership::joint(old.clone(), set(&[2, 3, 4]));
    for votes in 0..16_u32 {
        let voted = |identity: Identity| votes >> (identity.0 - 1) & 1 == 1;
        let rest = |identity: Identity| !voted(identity);
        let both = joint.is_quorum(voted) && Membership::single(old.clone()).is_quorum(rest);
        assert!(!both, "votes {votes:04b}");
    }
}

#[test]
fn acceptances_count_for_their_ballot_only() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&base).with_promises(ballot(5));
    round.propose(proposal(5, base.state.members.clone()));
    round.answer(Identity(1), ReplyBody::Accepted { ballot: ballot(4) });
    round.answer(Identity(2), ReplyBody::Accepted { ballot: ballot(5) });
    assert_eq!(round.chosen(), None);
    round.answer(Identity(3), ReplyBody::Accepted { ballot: ballot(5) });
    assert!(round.chosen().is_some());
}

#[test]
fn a_round_is_lost_once_a_majority_is_out_of_reach() {
    let base = proposal(1, Membership::single(set(&[1, 2, 3])));
    let mut round = query(&base).with_promises(ballot(5));
    round.answer(
        Identity(1),
        ReplyBody::Conflict {
            promised: ballot(6),
        },
    );
    assert!(!round.is_lost());
    round.answer(
        Identity(2),
        ReplyBody::NotMember {
            chosen: Ballot::ZERO,
        },
    );
    assert!(round.is_lost());
}
