//! What a host tells after it was started anew.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_register::guard::{Guard, Guards};
use ironmast_register::{Outcome, Record, Settings};

use support::value::{Change, Value};
use support::world::World;

const LIMIT: Duration = Duration::from_secs(2);

fn cut_off(world: &mut World, host: usize) {
    world.cuts = (0..3)
        .flat_map(|other| [(host, other), (other, host)])
        .collect();
}

/// Host 0 acknowledges a change that host 1 misses, and starts anew while host 1 alone is in reach.
/// What it tells then, and once all are.
fn told_after_restart(guards: Guards) -> (Vec<u64>, Vec<u64>) {
    let mut world = World::new(
        3,
        3,
        0,
        Settings {
            guards,
            ..Settings::default()
        },
    );
    world.run(LIMIT);
    cut_off(&mut world, 1);
    let id = world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT);
    assert_matches!(world.outcomes[&id], Outcome::Written(_));
    world.kill(0);
    cut_off(&mut world, 2);
    world.start(0);
    world.run(LIMIT * 3);
    let alone = world.hosts[0].told.clone();
    world.cuts.clear();
    world.run(LIMIT);
    (alone, world.hosts[0].told.clone())
}

#[test]
fn nothing_older_than_what_was_acknowledged_is_told_after_a_restart() {
    let (alone, together) = told_after_restart(Guards::default());
    assert!(alone.iter().all(|sequence| *sequence >= 1), "{alone:?}");
    assert_eq!(together, [1]);
}

#[test]
fn what_others_tell_passed_on_unread_is_noticed() {
    let (alone, _) = told_after_restart(Guards::without(Guard::ReadBeforeLearned));
    assert!(alone.contains(&0), "{alone:?}");
}

/// Host 0 hears the others before they hear it, and has an order at once: it must not vote before
/// they are members.
#[test]
fn an_order_at_the_very_first_moment_leaves_all_initial_members_members() {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, 0, Settings::default());
        world.run(LIMIT);
        for host in 0..3 {
            world.wipe(host);
        }
        // What an earlier life has sent arrives before.
        world.run(LIMIT);
        world.cuts = [(0, 1), (0, 2)].into();
        for host in 0..3 {
            world.start_first(host);
        }
        world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
        world.run(Duration::from_millis(100 + 10 * seed));
        world.cuts.clear();
        world.run(LIMIT);
        world.expect_progress(LIMIT);
        world.checks.finish();
        assert_eq!(world.checks.violations, [], "seed {seed}");
    }
}

/// Host 0 becomes a member while the others do not hear it, ends and comes back from its disk, and
/// has an order at once. Whether all take changes once all hear one another.
fn progresses_after_early_return(seed: u64, guards: Guards) -> bool {
    let mut world = World::new(
        seed,
        3,
        0,
        Settings {
            guards,
            ..Settings::default()
        },
    );
    world.run(LIMIT);
    for host in 0..3 {
        world.wipe(host);
    }
    // What an earlier life has sent arrives before.
    world.run(LIMIT);
    world.cuts = [(0, 1), (0, 2)].into();
    for host in 0..3 {
        world.start_first(host);
    }
    world.run(Duration::from_millis(100 + 10 * seed));
    assert!(world.hosts[0].disk.is_some(), "host 0 has become a member");
    assert!(
        world.hosts[1].disk.is_none() && world.hosts[2].disk.is_none(),
        "and the others have not"
    );
    world.kill(0);
    world.start(0);
    world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    // The first read of a life goes before the order, and is given up.
    world.run(Settings::default().round_timeout + Duration::from_millis(100));
    assert!(
        world.hosts[1].disk.is_none() && world.hosts[2].disk.is_none(),
        "the others still have not"
    );
    world.cuts.clear();
    world.run(LIMIT);
    world.expect_progress(LIMIT);
    world.checks.finish();
    world.checks.violations.is_empty()
}

#[test]
fn a_member_that_returns_before_the_others_have_started_leaves_them_members() {
    for seed in 0..40 {
        assert!(
            progresses_after_early_return(seed, Guards::default()),
            "seed {seed}"
        );
    }
}

#[test]
fn a_vote_right_after_an_early_return_is_noticed() {
    let guards = Guards::without(Guard::RestartBeforeFirstVote);
    let stuck = (0..40)
        .filter(|&seed| !progresses_after_early_return(seed, guards))
        .count();
    println!("{stuck} of 40");
    assert!(stuck > 0);
}

/// No order has ever come, and host 2 is down.
fn untouched_without_host_2() -> World {
    let mut world = World::new(5, 3, 0, Settings::default());
    world.run(LIMIT);
    let is_untouched = |record: &Record<Value>| !record.has_participated();
    assert!(
        world
            .hosts
            .iter()
            .all(|host| host.disk.as_ref().is_some_and(is_untouched))
    );
    world.kill(2);
    world
}

#[test]
fn with_no_order_yet_two_of_three_suffice_after_a_restart() {
    for restarted in [vec![0], vec![0, 1]] {
        let mut world = untouched_without_host_2();
        restarted.iter().for_each(|&host| world.kill(host));
        restarted.iter().for_each(|&host| world.start(host));
        world.run(LIMIT);
        world.expect_progress(LIMIT);
        world.checks.finish();
        assert_eq!(world.checks.violations, [], "{restarted:?}");
    }
}

#[test]
fn with_no_order_yet_one_of_three_decides_nothing_after_a_restart() {
    let mut world = untouched_without_host_2();
    world.kill(0);
    world.kill(1);
    world.start(0);
    let id = world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT * 3);
    assert_matches!(world.outcomes[&id], Outcome::Expired);
    world.start(1);
    world.start(2);
    world.run(LIMIT);
    world.expect_progress(LIMIT);
    world.checks.finish();
    assert_eq!(world.checks.violations, []);
}

/// Host 0 misses a change, and all that it knows of it comes from those that took it.
#[test]
fn a_member_that_slept_through_all_votes_catches_up() {
    let mut world = World::new(6, 3, 3, Settings::default());
    world.run(LIMIT);
    world.kill(0);
    for (leaves, enters) in [(1, 3), (2, 4)] {
        world.start(enters);
        world.run(LIMIT);
        world.leave(leaves);
        world.run(LIMIT);
        world.kill(leaves);
    }
    let id = world.submit(3, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT);
    assert_matches!(world.outcomes[&id], Outcome::Written(_));
    assert!(
        world.hosts[0]
            .disk
            .as_ref()
            .is_some_and(|record| !record.has_participated())
    );
    world.start(0);
    world.run(LIMIT);
    world.expect_progress(LIMIT);
    world.checks.finish();
    assert_eq!(world.checks.violations, []);
}
