//! Tests of the bootstrap check: the verdict for each combination of reports, and when a member may
//! vote.

use super::*;

const TIMEOUT: Duration = Duration::from_secs(3);
const SOON: Duration = Duration::from_millis(10);

fn address(host: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host))
}

fn check(members: u16) -> BootstrapCheck<u8> {
    let mut check =
        BootstrapCheck::new(address(0), (0..members).map(address).collect(), 0, TIMEOUT);
    let alone = if members == 1 {
        BootstrapVerdict::FirstStart
    } else {
        BootstrapVerdict::Undecided
    };
    assert_eq!(check.verdict(Duration::ZERO), alone);
    check
}

/// Verdicts before and after the timeout, with `reports` from the other members in turn.
fn verdicts(members: u16, reports: &[Participation]) -> (BootstrapVerdict, BootstrapVerdict) {
    let mut check = check(members);
    for (host, participation) in (1..).zip(reports) {
        check.participation_received(
            Identity::from_seed_address(address(host)),
            address(host),
            *participation,
        );
    }
    (check.verdict(SOON), check.verdict(TIMEOUT))
}

#[test]
fn first_start_once_all_other_members_report_no_vote() {
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
fn one_report_of_a_later_state_shows_that_the_disk_was_lost() {
    let already_started = (
        BootstrapVerdict::AlreadyStarted,
        BootstrapVerdict::AlreadyStarted,
    );
    assert_eq!(verdicts(3, &[Participation::Advanced]), already_started);
    assert_eq!(
        verdicts(3, &[Participation::Initial, Participation::Advanced]),
        already_started
    );
    let mut check = check(3);
    check.participation_received(Identity(7), address(9), Participation::Advanced);
    assert_eq!(
        check.verdict(SOON),
        BootstrapVerdict::AlreadyStarted,
        "a standby counts too"
    );
}

#[test]
fn with_members_missing_a_majority_on_empty_disks_suffices_after_the_timeout() {
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
fn check_waits_for_missing_members_once_one_has_started() {
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
fn only_the_first_report_of_a_member_counts() {
    let mut check = check(3);
    let other = Identity::from_seed_address(address(1));
    check.participation_received(other, address(1), Participation::Blank);
    check.participation_received(other, address(1), Participation::Initial);
    assert_eq!(check.verdict(TIMEOUT), BootstrapVerdict::FirstStart);
}

#[test]
fn a_report_under_another_identity_does_not_count_for_the_member() {
    let mut check = check(3);
    check.participation_received(Identity(5), address(1), Participation::Blank);
    check.participation_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Initial,
    );
    assert_eq!(check.verdict(TIMEOUT), BootstrapVerdict::Undecided);
}

/// A vote before all initial members are members would make one that is still checking conclude
/// that its disk was lost.
#[test]
fn a_new_member_votes_once_all_are_members_or_after_the_timeout_a_majority() {
    let mut check = check(3);
    check.is_member = true;
    assert!(!check.may_vote(SOON));
    check.participation_received(
        Identity::from_seed_address(address(1)),
        address(1),
        Participation::Initial,
    );
    check.participation_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Blank,
    );
    assert!(!check.may_vote(SOON), "the third is not a member yet");
    assert!(check.may_vote(TIMEOUT));
    check.participation_received(
        Identity::from_seed_address(address(2)),
        address(2),
        Participation::Initial,
    );
    assert!(check.may_vote(SOON));
}
