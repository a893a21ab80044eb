//! Tests of what the others' pasts show.

use super::*;

const PATIENCE: Duration = Duration::from_secs(3);
const SOON: Duration = Duration::from_millis(10);

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host))
}

fn first_start(members: u16) -> FirstStart<u8> {
    let mut first_start =
        FirstStart::new(address(0), (0..members).map(address).collect(), 0, PATIENCE);
    let alone = if members == 1 {
        Verdict::First
    } else {
        Verdict::Open
    };
    assert_eq!(first_start.verdict(Duration::ZERO), alone);
    first_start
}

/// What is shown soon, and after a while, by members heard in turn.
fn verdicts(members: u16, pasts: &[Past]) -> (Verdict, Verdict) {
    let mut first_start = first_start(members);
    for (host, past) in (1..).zip(pasts) {
        first_start.hear(Identity::of_seed(address(host)), address(host), *past);
    }
    (first_start.verdict(SOON), first_start.verdict(PATIENCE))
}

#[test]
fn once_all_others_have_voted_for_nothing_it_is_the_first_start() {
    let first = (Verdict::First, Verdict::First);
    assert_eq!(verdicts(1, &[]), first);
    assert_eq!(verdicts(3, &[Past::Blank, Past::Initial]), first);
    assert_eq!(
        verdicts(5, &[Past::Blank, Past::Initial, Past::Initial, Past::Blank]),
        first
    );
}

#[test]
fn one_that_knows_more_is_enough_to_show_that_a_disk_was_lost() {
    let later = (Verdict::Later, Verdict::Later);
    assert_eq!(verdicts(3, &[Past::Changed]), later);
    assert_eq!(verdicts(3, &[Past::Initial, Past::Changed]), later);
    let mut first_start = first_start(3);
    first_start.hear(Identity(7), address(9), Past::Changed);
    assert_eq!(
        first_start.verdict(SOON),
        Verdict::Later,
        "a standby counts too"
    );
}

#[test]
fn with_members_missing_a_majority_on_empty_disks_suffices_after_a_while() {
    assert_eq!(verdicts(3, &[]), (Verdict::Open, Verdict::Open));
    assert_eq!(verdicts(3, &[Past::Blank]), (Verdict::Open, Verdict::First));
    assert_eq!(verdicts(5, &[Past::Blank]), (Verdict::Open, Verdict::Open));
    assert_eq!(
        verdicts(5, &[Past::Blank, Past::Blank]),
        (Verdict::Open, Verdict::First)
    );
}

#[test]
fn beside_members_that_have_started_before_the_missing_one_is_waited_for() {
    assert_eq!(
        verdicts(3, &[Past::Initial]),
        (Verdict::Open, Verdict::Open)
    );
    assert_eq!(
        verdicts(5, &[Past::Initial; 3]),
        (Verdict::Open, Verdict::Open)
    );
}

#[test]
fn one_that_was_first_heard_on_an_empty_disk_stays_a_witness_of_that() {
    let mut first_start = first_start(3);
    let other = Identity::of_seed(address(1));
    first_start.hear(other, address(1), Past::Blank);
    first_start.hear(other, address(1), Past::Initial);
    assert_eq!(first_start.verdict(PATIENCE), Verdict::First);
}

#[test]
fn a_replica_that_took_a_members_address_is_no_witness() {
    let mut first_start = first_start(3);
    first_start.hear(Identity(5), address(1), Past::Blank);
    first_start.hear(Identity::of_seed(address(2)), address(2), Past::Initial);
    assert_eq!(first_start.verdict(PATIENCE), Verdict::Open);
}

/// One that hasn't become a member yet would take the votes of a majority for a sign that its disk
/// was lost.
#[test]
fn a_new_member_votes_once_all_are_members_or_after_a_while_a_majority() {
    let mut first_start = first_start(3);
    first_start.is_member = true;
    assert!(!first_start.may_vote(SOON));
    first_start.hear(Identity::of_seed(address(1)), address(1), Past::Initial);
    first_start.hear(Identity::of_seed(address(2)), address(2), Past::Blank);
    assert!(!first_start.may_vote(SOON), "the third is not one yet");
    assert!(first_start.may_vote(PATIENCE));
    first_start.hear(Identity::of_seed(address(2)), address(2), Past::Initial);
    assert!(first_start.may_vote(SOON));
}
