//! A model of the register, checked exhaustively within bounds: acceptors and rounds are those of
//! the crate.

mod exhaustive;

use exhaustive::{Bounds, Joint, Register, Task};
use ironmast_register::guard::{Guard, Guards};
use stateright::{Checker, Model};

/// States within which a check must notice that a guard is missing.
const MOST_STATES: usize = 1_000_000;

fn puts(ballots: [u8; 2]) -> Bounds {
    let tasks = vec![Task::Put(1), Task::Put(2)];
    Bounds {
        tasks,
        ballots: ballots.into(),
        patient: true,
        restarts: 0,
        wipes: 0,
        lost_answers: 0,
        joint: Joint::No,
    }
}

fn two_writers() -> Bounds {
    Bounds {
        lost_answers: 1,
        ..puts([1, 1])
    }
}

fn retried() -> Bounds {
    Bounds {
        patient: false,
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

/// A replica is about to be replaced while another writes.
fn entered() -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::Enter],
        ..puts([1, 1])
    }
}

/// The old replica set is left while another writes that doesn't know of the new one.
fn left() -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::Leave],
        joint: Joint::Chosen,
        ..puts([1, 1])
    }
}

/// A replica change was left half-done; one that finds it would go on while another writes.
fn half_done(ballots: [u8; 2]) -> Bounds {
    Bounds {
        tasks: vec![Task::Put(1), Task::Leave],
        joint: Joint::HalfDone,
        ..puts(ballots)
    }
}

/// One operator's order is sent to two writers, since its first answer was lost, and a rival's to a
/// third.
fn ordered(contents: &[u8], ballots: &[u8]) -> Bounds {
    let order = |&content: &u8| Task::Order { base: 0, content };
    Bounds {
        tasks: contents.iter().map(order).collect(),
        ballots: ballots.into(),
        ..puts([1, 1])
    }
}

/// Names of the broken properties.
fn broken(checker: &impl Checker<Register>) -> Vec<&'static str> {
    checker
        .discoveries()
        .into_keys()
        .filter(|name| *name != exhaustive::ALL_DONE)
        .collect()
}

/// Checks all situations within the bounds.
fn assert_holds(bounds: Bounds) {
    let model = Register {
        bounds,
        guards: Guards::default(),
    };
    let checker = model.checker().threads(3).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert_eq!(broken(&checker), Vec::<&str>::new());
    assert!(checker.discovery(exhaustive::ALL_DONE).is_some());
}

fn assert_notices(bounds: Bounds, guard: Guard) {
    let model = Register {
        bounds,
        guards: Guards::without(guard),
    };
    let checker = model
        .checker()
        .target_state_count(MOST_STATES)
        .threads(3)
        .spawn_dfs()
        .join();
    let (broken, states) = (broken(&checker), checker.unique_state_count());
    println!("without {guard:?}: {broken:?} after {states} states");
    assert!(!broken.is_empty());
}

#[test]
fn two_writers_with_lost_answers() {
    assert_holds(two_writers());
}

#[test]
fn writers_that_try_again() {
    assert_holds(retried());
}

#[test]
fn a_host_that_starts_anew() {
    assert_holds(restarted());
}

#[test]
fn a_disk_that_is_emptied() {
    assert_holds(emptied());
}

#[test]
fn a_replica_replaced_while_another_writes() {
    assert_holds(entered());
    assert_holds(left());
    // With two ballots each there are too many states to visit; of those only the guard's removal
    // is checked.
    assert_holds(half_done([1, 1]));
}

#[test]
fn two_orders_on_one_base() {
    assert_holds(ordered(&[1, 2], &[2, 1]));
    assert_holds(Bounds {
        restarts: 1,
        ..ordered(&[1, 2], &[2, 1])
    });
    assert_holds(Bounds {
        wipes: 1,
        ..ordered(&[1, 2], &[1, 1])
    });
    assert_holds(Bounds {
        lost_answers: 1,
        ..ordered(&[1, 2], &[1, 1])
    });
}

#[test]
fn an_order_sent_to_two_writers_and_a_rival() {
    assert_holds(ordered(&[1, 1, 2], &[1, 1, 1]));
}

#[test]
fn without_its_guard_each_breaks() {
    assert_notices(restarted(), Guard::PersistBeforeReply);
    assert_notices(restarted(), Guard::BallotReservation);
    assert_notices(emptied(), Guard::IdentityCheck);
    assert_notices(retried(), Guard::CompleteAccepted);
    assert_notices(entered(), Guard::JointQuorum);
    assert_notices(half_done([2, 2]), Guard::JointChosenFirst);
}
