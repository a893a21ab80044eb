//! A model of the register, checked exhaustively within bounds. Its acceptors and rounds are those
//! of the crate.

mod exhaustive;

use exhaustive::{Bounds, Joint, Register, Task};
use ironmast_register::guard::{Guard, Guards};
use stateright::{Checker, Model};

/// Maximum number of states that a check explores to find a violation without a guard.
const MAX_STATES: usize = 1_000_000;

fn puts(ballots: [u8; 2]) -> Bounds {
    let tasks = vec![Task::Put(1), Task::Put(2)];
    Bounds {
        tasks,
        ballots: ballots.into(),
        waits_for_acceptances: true,
        restarts: 0,
        wipes: 0,
        lost_replies: 0,
        joint: Joint::None,
    }
}

fn two_proposers() -> Bounds {
    Bounds {
        lost_replies: 1,
        ..puts([1, 1])
    }
}

fn retried() -> Bounds {
    Bounds {
        waits_for_acceptances: false,
        ..puts([2, 1])
    }
}

fn restarted() -> Bounds {
    Bounds {
        restarts: 1,
        ..puts([2, 1])
    }
}

fn emptied() -> Bounds {
    Bounds {
        wipes: 1,
        ..puts([1, 1])
    }
}

/// A replica change begins while another proposer writes.
fn entered_joint() -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::EnterJoint],
        ..puts([1, 1])
    }
}

/// One proposer leaves the joint membership while another, which doesn't know of it, writes.
fn left_joint() -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::LeaveJoint],
        joint: Joint::Chosen,
        ..puts([1, 1])
    }
}

/// A replica change was left incomplete; one proposer finds and continues it while another writes.
fn incomplete_joint(ballots: [u8; 2]) -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::LeaveJoint],
        joint: Joint::Incomplete,
        ..puts(ballots)
    }
}

/// Conditional changes on one base, one for each proposer. With equal contents, one operator's
/// change is submitted to several proposers, as after a lost answer.
fn conditional(contents: &[u8], ballots: &[u8]) -> Bounds {
    let put = |&content: &u8| Task::ConditionalPut { base: 0, content };
    Bounds {
        tasks: contents.iter().map(put).collect(),
        ballots: ballots.into(),
        ..puts([1, 1])
    }
}

/// Returns the names of the violated properties.
fn violated(checker: &impl Checker<Register>) -> Vec<&'static str> {
    checker
        .discoveries()
        .into_keys()
        .filter(|name| *name != exhaustive::ALL_COMPLETED)
        .collect()
}

/// Checks all states within the bounds: no property is violated, and all tasks can be completed.
fn assert_holds(bounds: Bounds) {
    let model = Register {
        bounds,
        guards: Guards::default(),
    };
    let checker = model.checker().threads(3).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert_eq!(violated(&checker), Vec::<&str>::new());
    assert!(checker.discovery(exhaustive::ALL_COMPLETED).is_some());
}

fn assert_violated_without(bounds: Bounds, guard: Guard) {
    let model = Register {
        bounds,
        guards: Guards::without(guard),
    };
    let checker = model
        .checker()
        .target_state_count(MAX_STATES)
        .threads(3)
        .spawn_dfs()
        .join();
    let (violated, states) = (violated(&checker), checker.unique_state_count());
    println!("without {guard:?}: {violated:?} after {states} states");
    assert!(!violated.is_empty());
}

#[test]
fn concurrent_proposers_with_lost_replies_keep_all_properties() {
    assert_holds(two_proposers());
}

#[test]
fn retrying_proposers_keep_all_properties() {
    assert_holds(retried());
}

#[test]
fn a_restarted_host_keeps_all_properties() {
    assert_holds(restarted());
}

#[test]
fn an_emptied_disk_keeps_all_properties() {
    assert_holds(emptied());
}

#[test]
fn a_replica_change_during_a_write_keeps_all_properties() {
    assert_holds(entered_joint());
    assert_holds(left_joint());
    // With two ballots each there are too many states to visit; for those only the removal of the
    // guard is checked.
    assert_holds(incomplete_joint([1, 1]));
}

#[test]
fn two_changes_on_one_base_keep_all_properties() {
    assert_holds(conditional(&[1, 2], &[2, 1]));
    assert_holds(Bounds {
        restarts: 1,
        ..conditional(&[1, 2], &[2, 1])
    });
    assert_holds(Bounds {
        wipes: 1,
        ..conditional(&[1, 2], &[1, 1])
    });
    assert_holds(Bounds {
        lost_replies: 1,
        ..conditional(&[1, 2], &[1, 1])
    });
}

#[test]
fn a_change_sent_to_two_proposers_and_a_rival_keep_all_properties() {
    assert_holds(conditional(&[1, 1, 2], &[1, 1, 1]));
}

#[test]
fn without_each_guard_a_property_is_violated() {
    assert_violated_without(restarted(), Guard::PersistBeforeReply);
    assert_violated_without(restarted(), Guard::BallotReservation);
    assert_violated_without(emptied(), Guard::IdentityCheck);
    assert_violated_without(retried(), Guard::CompleteAccepted);
    assert_violated_without(entered_joint(), Guard::JointQuorum);
    assert_violated_without(incomplete_joint([2, 2]), Guard::JointChosenFirst);
}
