//! Tests of the measure of contact, without a node.

use std::net::SocketAddr;

use super::*;
use crate::replicas::Replica;

const BOUND: Duration = Duration::from_secs(1);
const OWN: Identity = Identity(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn set(numbers: &[u64]) -> ReplicaSet {
    ReplicaSet::new(numbers.iter().map(|&number| Replica {
        identity: Identity(number),
        address: SocketAddr::from((
            [127, 0, 0, 1],
            7_000 + u16::try_from(number).expect("small"),
        )),
        zone: String::new(),
    }))
}

fn members(numbers: &[u64]) -> Membership {
    Membership::single(set(numbers))
}

/// Asks at that time; these replicas answer.
fn exchange(contact: &mut QuorumLease, at: u64, answering: &[u64]) {
    let number = contact.next_heartbeat(ms(at)).expect("a question is due");
    answering
        .iter()
        .for_each(|&from| contact.acknowledge(Identity(from), number));
}

fn contact() -> QuorumLease {
    QuorumLease::new(BOUND, 70)
}

#[test]
fn there_is_no_contact_before_a_majority_has_answered() {
    let mut contact = contact();
    assert_eq!(contact.confirmed_at(ms(0), OWN, &members(&[1, 2, 3])), None);
    exchange(&mut contact, 0, &[]);
    assert!(!contact.is_valid(ms(1), OWN, &members(&[1, 2, 3])));
    exchange(&mut contact, 250, &[2]);
    assert_eq!(
        contact.confirmed_at(ms(300), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
    assert_eq!(
        contact.confirmed_at(ms(300), OWN, &members(&[1, 2, 3, 4])),
        None,
        "of four, three are a majority"
    );
}

#[test]
fn contact_is_as_old_as_the_asking_not_as_the_answer() {
    let mut contact = contact();
    let number = contact.next_heartbeat(ms(0)).expect("due");
    let _later = contact.next_heartbeat(ms(250)).expect("due");
    contact.acknowledge(Identity(2), number);
    assert_eq!(
        contact.confirmed_at(ms(900), OWN, &members(&[1, 2, 3])),
        Some(ms(0))
    );
    assert!(contact.is_valid(ms(999), OWN, &members(&[1, 2, 3])));
    assert!(
        !contact.is_valid(ms(1_000), OWN, &members(&[1, 2, 3])),
        "at the bound it is over"
    );
}

#[test]
fn a_cut_ends_contact_after_the_bound_and_one_answer_restores_it() {
    let mut contact = contact();
    exchange(&mut contact, 0, &[2, 3]);
    for at in (250..=5_000).step_by(250) {
        exchange(&mut contact, at, &[]);
        assert_eq!(
            contact.is_valid(ms(at), OWN, &members(&[1, 2, 3])),
            at < 1_000,
            "{at}"
        );
    }
    exchange(&mut contact, 5_250, &[3]);
    assert!(contact.is_valid(ms(5_250), OWN, &members(&[1, 2, 3])));
}

/// The process stands still while its question is out: the answer that waits for it then is worth
/// nothing.
#[test]
fn a_freeze_of_the_own_process_is_loss() {
    let mut contact = contact();
    exchange(&mut contact, 0, &[2, 3]);
    let before = contact.next_heartbeat(ms(250)).expect("due");
    assert!(!contact.is_valid(ms(9_000), OWN, &members(&[1, 2, 3])));
    contact.acknowledge(Identity(2), before);
    assert!(!contact.is_valid(ms(9_000), OWN, &members(&[1, 2, 3])));
    exchange(&mut contact, 9_000, &[]);
    contact.acknowledge(Identity(3), before);
    assert_eq!(
        contact.confirmed_at(ms(9_000), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
}

#[test]
fn while_two_sets_are_held_both_need_a_majority() {
    let joint = Membership::joint(set(&[1, 2, 3]), set(&[1, 4, 5]));
    let mut contact = contact();
    exchange(&mut contact, 0, &[2, 3]);
    assert!(!contact.is_valid(ms(1), OWN, &joint));
    exchange(&mut contact, 250, &[4]);
    assert_eq!(
        contact.confirmed_at(ms(300), OWN, &joint),
        Some(ms(0)),
        "the older of both"
    );
    exchange(&mut contact, 500, &[2, 5]);
    assert_eq!(contact.confirmed_at(ms(600), OWN, &joint), Some(ms(500)));
}

#[test]
fn a_peer_with_a_new_identity_does_not_answer_for_its_old_one() {
    let mut contact = contact();
    exchange(&mut contact, 0, &[22]);
    assert!(!contact.is_valid(ms(1), OWN, &members(&[1, 2, 3])));
    assert!(contact.is_valid(ms(1), OWN, &members(&[1, 22, 3])));
}

#[test]
fn one_that_is_no_member_needs_a_majority_of_the_others() {
    let mut contact = contact();
    exchange(&mut contact, 0, &[2]);
    assert!(!contact.is_valid(ms(1), OWN, &members(&[2, 3, 4])));
    exchange(&mut contact, 250, &[2, 4]);
    assert!(contact.is_valid(ms(251), OWN, &members(&[2, 3, 4])));
}

#[test]
fn the_only_member_is_always_in_contact() {
    let contact = contact();
    assert!(contact.is_valid(ms(77_000), OWN, &members(&[1])));
    assert!(!contact.is_valid(ms(77_000), OWN, &members(&[2])));
}

#[test]
fn answers_to_questions_never_asked_do_not_count() {
    let mut contact = contact();
    let number = contact.next_heartbeat(ms(0)).expect("due");
    contact.acknowledge(Identity(2), number + 1);
    contact.acknowledge(Identity(2), number - 1);
    assert_eq!(contact.confirmed_at(ms(0), OWN, &members(&[1, 2, 3])), None);
}

#[test]
fn answers_out_of_order_do_not_make_contact_older() {
    let mut contact = contact();
    let first = contact.next_heartbeat(ms(0)).expect("due");
    let second = contact.next_heartbeat(ms(250)).expect("due");
    contact.acknowledge(Identity(2), second);
    contact.acknowledge(Identity(2), first);
    assert_eq!(
        contact.confirmed_at(ms(300), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
}

#[test]
fn a_question_can_be_asked_before_its_time() {
    let mut contact = contact();
    exchange(&mut contact, 0, &[2]);
    assert_eq!(contact.next_heartbeat(ms(20)), None);
    contact.expedite_heartbeat();
    exchange(&mut contact, 20, &[2]);
    assert_eq!(
        contact.confirmed_at(ms(21), OWN, &members(&[1, 2, 3])),
        Some(ms(20))
    );
    assert_eq!(contact.next_heartbeat(ms(21)), None);
}

#[test]
fn questions_come_at_intervals_and_nothing_grows() {
    let mut contact = contact();
    assert!(contact.next_heartbeat(ms(0)).is_some());
    assert_eq!(contact.next_heartbeat(ms(249)), None);
    assert_eq!(contact.wake(), ms(250));
    for at in (250..1_000_000).step_by(250) {
        exchange(&mut contact, at, &[at / 250]);
    }
    assert!(contact.open.len() <= 5, "{}", contact.open.len());
    assert!(contact.answered.len() <= 257, "{}", contact.answered.len());
}
