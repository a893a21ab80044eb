//! Tests of what the others' pasts show.

use super::*;

const PATIENCE: Duration = Duration::from_secs(3);
const SOON: Duration = Duration::from_millis(10);

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host))
}

fn bootstrap_check(members: u16) -> BootstrapCheck<u8> {
    let mut bootstrap_check =
        BootstrapCheck::new(address(0), (0..members).map(address).collect(), 0, PATIENCE);
    let alone = if members == 1 {
        BootstrapVerdict::FirstStart
    } else {
        BootstrapVerdict::Undecided
    };
    assert_eq!(bootstrap_check.verdict(Duration::ZERO), alone);
    bootstrap_check
}

/// What is shown soon, and after a while, by members heard in turn.
fn verdicts(members: u16, pasts: &[Participation]) -> (BootstrapVerdict, BootstrapVerdict) {
    let mut bootstrap_check = bootstrap_check(members);
    for (host, past) in (1..).zip(pasts) {
        bootstrap_check.message_received(
            Identity::from_seed_address(address(host)),
            address(host),
            *past,
        );
    }
    (
        bootstrap_check.verdict(SOON),
        bootstrap_check.verdict(PATIENCE),
    )
}

#[test]
fn once_all_others_have_voted_for_nothing_it_is_the_first_start() {
    let first = (BootstrapVerdict::FirstStart, BootstrapVerdict::FirstStart);
    assert_eq!(verdicts(1, &[]), first);
    assert_eq!(
        verdicts(3, &[Participation::Blank, Participation::Initial]),
        first
    );
    assert_eq!(
        verdicts(
            5,
            &[
                Participation::Blank,
                Participation::Initial,
                Participation::Initial,
                Participation::Blank
            ]
        ),
        first
    );
}

#[test]
fn one_that_knows_more_is_enough_to_show_that_a_disk_was_lost() {
    let later = (
        BootstrapVerdict::AlreadyStarted,
        BootstrapVerdict::AlreadyStarted,
    );
    assert_eq!(verdicts(3, &[Participation::Advanced]), later);
    assert_eq!(
        verdicts(3, &[Participation::Initial, Participation::Advanced]),
        later
    );
    let mut bootstrap_check = bootstrap_check(3);
    bootstrap_check.message_received(Identity(7), address(9), Participation::Advanced);
    assert_eq!(
        bootstrap_check.verdict(SOON),
        BootstrapVerdict::AlreadyStarted,
        "a standby counts too"
    );
}

#[test]
fn with_members_missing_a_majority_on_empty_disks_suffices_after_a_while() {
    assert_eq!(
        verdicts(3, &[]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::Undecided)
    );
    assert_eq!(
        verdicts(3, &[Participation::Blank]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::FirstStart)
    );
    assert_eq!(
        verdicts(5, &[Participation::Blank]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::Undecided)
    );
    assert_eq!(
        verdicts(5, &[Participation::Blank, Participation::Blank]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::FirstStart)
    );
}

#[test]
fn beside_members_that_have_started_before_the_missing_one_is_waited_for() {
    assert_eq!(
        verdicts(3, &[Participation::Initial]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::Undecided)
    );
    assert_eq!(
        verdicts(5, &[Participation::Initial; 3]),
        (BootstrapVerdict::Undecided, BootstrapVerdict::Undecided)
    );
}

#[test]
fn one_that_was_first_heard_on_an_empty_disk_stays_a_witness_of_that() {
    let mut bootstrap_check = bootstrap_check(3);
    let other = Identity::from_seed_address(address(1));
    bootstrap_check.message_received(other, address(1), Participation::Blank);
    bootstrap_check.message_received(other, address(1), Participation::Initial);
    assert_eq!(
        bootstrap_check.verdict(PATIENCE),
        BootstrapVerdict::FirstStart
    );
}

#[test]
fn a_replica_that_took_a_members_address_is_no_witness() {
    let mut bootstrap_check = bootstrap_check(3);
    bootstrap_check.message_received(Identity(5), address(1), Participation::Blank);
    bootstrap_check.message_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Initial,
    );
    assert_eq!(
        bootstrap_check.verdict(PATIENCE),
        BootstrapVerdict::Undecided
    );
}

/// One that hasn't become a member yet would take the votes of a majority for a sign that its disk
/// was lost.
#[test]
fn a_new_member_votes_once_all_are_members_or_after_a_while_a_majority() {
    let mut bootstrap_check = bootstrap_check(3);
    bootstrap_check.is_member = true;
    assert!(!bootstrap_check.may_vote(SOON));
    bootstrap_check.message_received(
        Identity::from_seed_address(address(1)),
        address(1),
        Participation::Initial,
    );
    bootstrap_check.message_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Blank,
    );
    assert!(!bootstrap_check.may_vote(SOON), "the third is not one yet");
    assert!(bootstrap_check.may_vote(PATIENCE));
    bootstrap_check.message_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Initial,
    );
    assert!(bootstrap_check.may_vote(SOON));
}
