//! Tests of the quorum lease by itself, without a node.

use std::net::SocketAddr;

use super::*;
use crate::replicas::Replica;

const LENGTH: Duration = Duration::from_secs(1);
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

/// Sends a heartbeat at the given time, in milliseconds, and lets the given replicas acknowledge
/// it.
fn exchange(lease: &mut QuorumLease, at: u64, responding: &[u64]) {
    let id = lease.next_heartbeat(ms(at)).expect("a heartbeat is due");
    for &from in responding {
        lease.acknowledge(Identity(from), id);
    }
}

fn lease() -> QuorumLease {
    QuorumLease::new(LENGTH, HeartbeatId(70))
}

#[test]
fn there_is_no_lease_before_a_majority_has_acknowledged() {
    let mut lease = lease();
    assert_eq!(lease.confirmed_at(ms(0), OWN, &members(&[1, 2, 3])), None);
    exchange(&mut lease, 0, &[]);
    assert!(!lease.is_valid(ms(1), OWN, &members(&[1, 2, 3])));
    exchange(&mut lease, 250, &[2]);
    assert_eq!(
        lease.confirmed_at(ms(300), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
    assert_eq!(
        lease.confirmed_at(ms(300), OWN, &members(&[1, 2, 3, 4])),
        None,
        "of four, three are a majority"
    );
}

#[test]
fn the_lease_counts_from_the_sending_of_the_heartbeat_not_from_the_response() {
    let mut lease = lease();
    let id = lease.next_heartbeat(ms(0)).expect("due");
    let _later = lease.next_heartbeat(ms(250)).expect("due");
    lease.acknowledge(Identity(2), id);
    assert_eq!(
        lease.confirmed_at(ms(900), OWN, &members(&[1, 2, 3])),
        Some(ms(0))
    );
    assert!(lease.is_valid(ms(999), OWN, &members(&[1, 2, 3])));
    assert!(
        !lease.is_valid(ms(1_000), OWN, &members(&[1, 2, 3])),
        "at its full length it has expired"
    );
}

#[test]
fn a_partition_lets_the_lease_expire_and_one_response_renews_it() {
    let mut lease = lease();
    exchange(&mut lease, 0, &[2, 3]);
    for at in (250..=5_000).step_by(250) {
        exchange(&mut lease, at, &[]);
        assert_eq!(
            lease.is_valid(ms(at), OWN, &members(&[1, 2, 3])),
            at < 1_000,
            "{at}"
        );
    }
    exchange(&mut lease, 5_250, &[3]);
    assert!(lease.is_valid(ms(5_250), OWN, &members(&[1, 2, 3])));
}

/// The process is paused while its heartbeat is in flight. The response that was received meanwhile
/// must not renew the lease, which counts from the sending.
#[test]
fn a_response_received_after_a_process_pause_does_not_renew_the_lease() {
    let mut lease = lease();
    exchange(&mut lease, 0, &[2, 3]);
    let before = lease.next_heartbeat(ms(250)).expect("due");
    assert!(!lease.is_valid(ms(9_000), OWN, &members(&[1, 2, 3])));
    lease.acknowledge(Identity(2), before);
    assert!(!lease.is_valid(ms(9_000), OWN, &members(&[1, 2, 3])));
    exchange(&mut lease, 9_000, &[]);
    lease.acknowledge(Identity(3), before);
    assert_eq!(
        lease.confirmed_at(ms(9_000), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
}

#[test]
fn a_joint_membership_needs_a_majority_of_both_sets() {
    let joint = Membership::joint(set(&[1, 2, 3]), set(&[1, 4, 5]));
    let mut lease = lease();
    exchange(&mut lease, 0, &[2, 3]);
    assert!(!lease.is_valid(ms(1), OWN, &joint));
    exchange(&mut lease, 250, &[4]);
    assert_eq!(
        lease.confirmed_at(ms(300), OWN, &joint),
        Some(ms(0)),
        "the older of both"
    );
    exchange(&mut lease, 500, &[2, 5]);
    assert_eq!(lease.confirmed_at(ms(600), OWN, &joint), Some(ms(500)));
}

#[test]
fn a_response_under_a_new_identity_does_not_count_for_the_old_one() {
    let mut lease = lease();
    exchange(&mut lease, 0, &[22]);
    assert!(!lease.is_valid(ms(1), OWN, &members(&[1, 2, 3])));
    assert!(lease.is_valid(ms(1), OWN, &members(&[1, 22, 3])));
}

#[test]
fn a_node_that_is_no_member_needs_a_majority_of_the_members() {
    let mut lease = lease();
    exchange(&mut lease, 0, &[2]);
    assert!(!lease.is_valid(ms(1), OWN, &members(&[2, 3, 4])));
    exchange(&mut lease, 250, &[2, 4]);
    assert!(lease.is_valid(ms(251), OWN, &members(&[2, 3, 4])));
}

#[test]
fn the_only_member_always_has_the_lease() {
    let lease = lease();
    assert!(lease.is_valid(ms(77_000), OWN, &members(&[1])));
    assert!(!lease.is_valid(ms(77_000), OWN, &members(&[2])));
}

#[test]
fn responses_to_heartbeats_never_sent_do_not_count() {
    let mut lease = lease();
    let id = lease.next_heartbeat(ms(0)).expect("due");
    lease.acknowledge(Identity(2), HeartbeatId(id.0 + 1));
    lease.acknowledge(Identity(2), HeartbeatId(id.0 - 1));
    assert_eq!(lease.confirmed_at(ms(0), OWN, &members(&[1, 2, 3])), None);
}

#[test]
fn a_reordered_older_response_does_not_shorten_the_lease() {
    let mut lease = lease();
    let first = lease.next_heartbeat(ms(0)).expect("due");
    let second = lease.next_heartbeat(ms(250)).expect("due");
    lease.acknowledge(Identity(2), second);
    lease.acknowledge(Identity(2), first);
    assert_eq!(
        lease.confirmed_at(ms(300), OWN, &members(&[1, 2, 3])),
        Some(ms(250))
    );
}

#[test]
fn an_expedited_heartbeat_is_due_at_once() {
    let mut lease = lease();
    exchange(&mut lease, 0, &[2]);
    assert_eq!(lease.next_heartbeat(ms(20)), None);
    lease.expedite_heartbeat();
    exchange(&mut lease, 20, &[2]);
    assert_eq!(
        lease.confirmed_at(ms(21), OWN, &members(&[1, 2, 3])),
        Some(ms(20))
    );
    assert_eq!(lease.next_heartbeat(ms(21)), None);
}

#[test]
fn heartbeats_are_due_at_intervals_and_memory_is_bounded() {
    let mut lease = lease();
    assert!(lease.next_heartbeat(ms(0)).is_some());
    assert_eq!(lease.next_heartbeat(ms(249)), None);
    assert_eq!(lease.next_heartbeat_at(), ms(250));
    for at in (250..1_000_000).step_by(250) {
        exchange(&mut lease, at, &[at / 250]);
    }
    assert!(lease.in_flight.len() <= 5, "{}", lease.in_flight.len());
    assert!(
        lease.acknowledged.len() <= 257,
        "{}",
        lease.acknowledged.len()
    );
}
