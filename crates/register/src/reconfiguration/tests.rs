//! Tests of the reconfiguration: changes are made one at a time and keep a live majority.

use assert_matches::assert_matches;

use super::*;
use crate::message::Participation;

const NOW: Duration = Duration::from_secs(10);

fn replica(number: u64, zone: &str) -> Replica {
    let port = 7_000 + u16::try_from(number).expect("number fits in u16");
    Replica {
        identity: Identity(number),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: zone.to_owned(),
    }
}

fn members(numbers: &[u64]) -> Membership {
    Membership::single(ReplicaSet::new(
        numbers.iter().map(|&number| replica(number, "")),
    ))
}

/// The status of a coordinator that can reach neither replica 3 nor replica 4.
fn status(zone: &str) -> NodeStatus {
    NodeStatus {
        chosen: None,
        zone: zone.to_owned(),
        leaving: false,
        unreachable: vec![Identity(3), Identity(4)],
        participation: Participation::Advanced,
    }
}

/// The controller of replica 1, which has just received messages from the given replicas.
fn controller(heard: &[(u64, &str)]) -> ReplicaSetController {
    let mut controller = ReplicaSetController::new(replica(1, "a"), &Settings::default());
    for &(number, zone) in heard {
        let other = replica(number, zone);
        controller.message_received(NOW, other.identity, other.address);
        controller.status_received(other.identity, other.address, &status(zone));
    }
    controller
}

fn due(controller: &mut ReplicaSetController, members: &Membership) -> Option<ReplicaChange> {
    controller.due_change(NOW, members).map(|due| due.change)
}

#[test]
fn no_change_is_due_while_all_members_are_reachable() {
    assert_eq!(
        due(
            &mut controller(&[(2, "b"), (3, "c"), (4, "a")]),
            &members(&[1, 2, 3])
        ),
        None
    );
}

#[test]
fn a_member_on_an_emptied_disk_replaces_its_old_identity() {
    let mut controller = controller(&[(2, "b"), (3, "c")]);
    let address = replica(3, "c").address;
    controller.message_received(NOW, Identity(33), address);
    let change = due(&mut controller, &members(&[1, 2, 3]));
    assert_matches!(
        change,
        Some(ReplicaChange::Replace { removed: Identity(3), added })
            if added.identity == Identity(33)
    );
    controller.message_received(NOW, Identity(3), address);
    assert_eq!(
        controller.peers[&address].identity,
        Identity(33),
        "a delayed message under the retired identity is ignored"
    );
}

#[test]
fn a_standby_in_a_zone_without_a_member_is_preferred() {
    let mut controller = controller(&[(2, "b"), (4, "b"), (5, "c")]);
    let change = due(&mut controller, &members(&[1, 2, 3]));
    assert_matches!(
        change,
        Some(ReplicaChange::Replace { removed: Identity(3), added })
            if added.identity == Identity(5)
    );
}

#[test]
fn a_member_that_leaves_is_replaced() {
    let mut controller = controller(&[(2, "b"), (3, "c"), (4, "c")]);
    let leaving_member = replica(3, "c");
    let leaving = NodeStatus {
        leaving: true,
        unreachable: Vec::new(),
        ..status("c")
    };
    controller.status_received(leaving_member.identity, leaving_member.address, &leaving);
    assert_matches!(
        due(&mut controller, &members(&[1, 2, 3])),
        Some(ReplicaChange::Replace {
            removed: Identity(3),
            ..
        })
    );
}

#[test]
fn a_set_below_the_target_grows() {
    let mut even = controller(&[(2, "b"), (3, "c")]);
    assert_matches!(
        due(&mut even, &members(&[1, 2])),
        Some(ReplicaChange::Add(added)) if added.identity == Identity(3)
    );
    assert_eq!(
        due(&mut controller(&[(2, "b")]), &members(&[1])),
        None,
        "two replicas tolerate no more losses than one"
    );
}

#[test]
fn a_set_above_the_target_removes_the_lost_member() {
    let mut controller = controller(&[(2, "b"), (3, "c"), (5, "a")]);
    assert_eq!(
        due(&mut controller, &members(&[1, 2, 3, 4])),
        Some(ReplicaChange::Remove(Identity(4)))
    );
}

#[test]
fn no_change_is_due_without_a_live_majority() {
    let mut controller = controller(&[(4, "b"), (5, "c")]);
    assert_eq!(due(&mut controller, &members(&[1, 2, 3])), None);
}

#[test]
fn no_change_is_due_while_the_membership_is_joint() {
    let current = members(&[1, 2, 3]).current;
    let joint = Membership::joint(current.clone(), current.without(Identity(3)));
    assert_eq!(due(&mut controller(&[(2, "b"), (4, "c")]), &joint), None);
}

#[test]
fn a_later_member_waits_for_its_stagger_and_does_not_repeat_a_change_at_once() {
    let mut controller = controller(&[(2, "b"), (4, "c")]);
    controller.own = replica(9, "a");
    let one = replica(1, "a");
    controller.message_received(NOW, one.identity, one.address);
    controller.status_received(one.identity, one.address, &status("a"));
    let set = members(&[1, 2, 9, 3]);
    assert_eq!(controller.due_change(NOW, &set), None);
    let later = NOW + Settings::default().reconfiguration_stagger * 2;
    assert!(controller.due_change(later, &set).is_some());
    assert_eq!(controller.due_change(later, &set), None);
}

#[test]
fn a_member_that_others_reach_is_not_replaced() {
    let mut controller = controller(&[(2, "b"), (4, "c")]);
    let two = replica(2, "b");
    let reaches_all = NodeStatus {
        unreachable: Vec::new(),
        ..status("b")
    };
    controller.status_received(two.identity, two.address, &reaches_all);
    assert_eq!(due(&mut controller, &members(&[1, 2, 3])), None);
    controller.status_received(two.identity, two.address, &status("b"));
    assert_matches!(
        due(&mut controller, &members(&[1, 2, 3])),
        Some(ReplicaChange::Replace { .. })
    );
}

#[test]
fn a_pause_of_the_own_process_makes_no_member_unreachable() {
    let mut controller = controller(&[(2, "b"), (3, "c"), (4, "a")]);
    let pause = Duration::from_secs(20);
    controller.discount_process_pause(pause);
    assert_eq!(
        controller.unreachable_members(NOW + pause, &members(&[1, 2, 3])),
        []
    );
}
