//! Tests of `replacement.rs`.

use super::*;
use Action::{Descriptors, Finish, Serve, StandBack, TellServing};
use Event::{Held, PredecessorLost, SuccessorCame, SuccessorLost, SuccessorServes, Term};

fn run(predecessor: bool, events: &[Event]) -> (Replacement, Vec<Vec<Action>>) {
    let (mut part, first) = Replacement::start(predecessor);
    let rest = events.iter().map(|&e| part.on(e));
    let all = std::iter::once(first).chain(rest).collect();
    (part, all)
}

#[test]
fn alone_it_serves_at_once_and_accepts_until_the_end() {
    let (part, all) = run(false, &[Held, Held, Term, Term]);
    assert_eq!(
        all,
        [
            vec![Serve],
            vec![],
            vec![],
            vec![Finish { linger: false }],
            vec![]
        ]
    );
    assert!(part.serves());
}

#[test]
fn a_replacement_passes_the_door_once() {
    let (old, all) = run(
        false,
        &[SuccessorCame, SuccessorServes, Term, SuccessorLost],
    );
    let finish = vec![Finish { linger: true }];
    assert_eq!(
        all,
        [
            vec![Serve],
            vec![Descriptors(50)],
            vec![StandBack],
            finish,
            vec![]
        ]
    );
    assert!(!old.may_be_succeeded());
    let (new, all) = run(true, &[Held, Held, PredecessorLost, PredecessorLost]);
    let serve = vec![TellServing, Serve];
    assert_eq!(
        all,
        [
            vec![Descriptors(50)],
            serve,
            vec![],
            vec![Descriptors(100)],
            vec![]
        ]
    );
    assert!(new.serves() && new.may_be_succeeded());
}

#[test]
fn a_successor_that_dies_gives_the_door_back() {
    let (part, all) = run(
        false,
        &[
            SuccessorCame,
            SuccessorLost,
            SuccessorCame,
            SuccessorServes,
            SuccessorLost,
        ],
    );
    assert_eq!(all[2], [Descriptors(100)]);
    assert_eq!(all[5], [Descriptors(100), Serve]);
    assert!(part.serves() && part.may_be_succeeded());
}

#[test]
fn a_predecessor_that_dies_first_leaves_the_door_to_the_new_one() {
    let (part, all) = run(true, &[PredecessorLost, Held]);
    assert_eq!(
        all,
        [vec![Descriptors(50)], vec![Descriptors(100), Serve], vec![]]
    );
    assert!(part.serves());
}

#[test]
fn nobody_is_succeeded_twice_at_once_or_before_it_serves() {
    let (part, all) = run(false, &[SuccessorCame, SuccessorCame]);
    assert!(all[2].is_empty() && !part.may_be_succeeded());
    let (part, all) = run(true, &[SuccessorCame]);
    assert!(all[1].is_empty() && !part.may_be_succeeded());
}

/// Two in a row: the new one is succeeded while its predecessor still finishes.
#[test]
fn a_chain_of_replacements_serves_at_one_place_at_a_time() {
    let (part, all) = run(
        true,
        &[Held, SuccessorCame, SuccessorServes, PredecessorLost],
    );
    assert_eq!(
        all[2..],
        [
            vec![Descriptors(50)],
            vec![StandBack],
            vec![Descriptors(100)]
        ]
    );
    assert!(!part.serves());
}
