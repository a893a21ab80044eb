//! Catalogs of several coordinators with servers that call any of them, over a network that delays,
//! reorders and cuts: what agents are told, and what is left once it is calm.

mod world;

use world::{Guard, Violation, World};

const SEEDS: u64 = 200;
/// Seeds in which a removed guard must be noticed at least once.
const SEEDS_TO_NOTICE: u64 = 60;

fn violations(coordinators: usize, seed: u64, removed: Option<Guard>) -> Vec<Violation> {
    let mut world = World::new(coordinators, seed, removed);
    world.play();
    world.violations
}

fn assert_kept(coordinators: usize) {
    for seed in 0..SEEDS {
        let found = violations(coordinators, seed, None);
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

fn assert_noticed(removed: Guard, is_sign: impl Fn(&Violation) -> bool) {
    let noticed =
        (0..SEEDS_TO_NOTICE).any(|seed| violations(3, seed, Some(removed)).iter().any(&is_sign));
    assert!(noticed, "nobody notices that {removed:?} is missing");
}

#[test]
fn agents_of_three_coordinators_are_told_the_truth() {
    assert_kept(3);
}

#[test]
fn agents_of_five_coordinators_are_told_the_truth() {
    assert_kept(5);
}

#[test]
fn it_is_noticed_when_who_knows_better_says_nothing() {
    assert_noticed(Guard::TellAgain, |violation| {
        matches!(violation, Violation::Wrong { .. })
    });
}

#[test]
fn it_is_noticed_when_agents_take_older_versions() {
    assert_noticed(Guard::Versions, |violation| {
        matches!(violation, Violation::WayBack { .. })
    });
}

#[test]
fn it_is_noticed_when_nothing_is_repaired() {
    assert_noticed(Guard::Repair, |violation| {
        matches!(violation, Violation::Wrong { .. })
    });
}
