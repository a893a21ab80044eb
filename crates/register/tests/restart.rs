//! States that a host reports and decides after a restart.

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use ironmast_register::guard::{Guard, Guards};
use ironmast_register::{Outcome, Record, Settings};

use support::guards::settings_with;
use support::value::{Change, Value};
use support::world::World;

const LIMIT: Duration = Duration::from_secs(2);

/// Sequence numbers of the states that a host reports as learned after a restart.
struct Learned {
    /// Reported while only one other host is reachable.
    with_one_reachable: Vec<u64>,
    /// Reported by the time all hosts are reachable.
    with_all_reachable: Vec<u64>,
}

/// Host 0 acknowledges a change that host 1 misses, and restarts while only host 1 is reachable.
fn learned_after_restart(guards: Guards) -> Learned {
    let mut world = World::new(3, 3, 0, settings_with(guards));
    world.run(LIMIT);
    world.isolate(1);
    let id = world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT);
    assert_matches!(world.outcomes[&id], Outcome::Written(_));
    world.kill(0);
    world.blocked_links.clear();
    world.isolate(2);
    world.start(0);
    world.run(LIMIT * 3);
    let with_one_reachable = world.hosts[0].learned.clone();
    world.blocked_links.clear();
    world.run(LIMIT);
    Learned {
        with_one_reachable,
        with_all_reachable: world.hosts[0].learned.clone(),
    }
}

#[test]
fn a_restarted_host_learns_nothing_older_than_it_acknowledged() {
    let learned = learned_after_restart(Guards::default());
    let alone = learned.with_one_reachable;
    assert!(alone.iter().all(|sequence| *sequence >= 1), "{alone:?}");
    assert_eq!(learned.with_all_reachable, [1]);
}

#[test]
fn without_read_before_learned_a_restarted_host_learns_an_older_state() {
    let learned = learned_after_restart(Guards::without(Guard::ReadBeforeLearned));
    let alone = learned.with_one_reachable;
    assert!(alone.contains(&0), "{alone:?}");
}

/// All three hosts lose their disks and bootstrap again, but no message of host 0 arrives.
fn bootstrapping_without_messages_of_host_0(seed: u64, guards: Guards) -> World {
    let mut world = World::new(seed, 3, 0, settings_with(guards));
    world.run(LIMIT);
    for host in 0..3 {
        world.wipe(host);
    }
    // Lets the messages of the earlier incarnations arrive first.
    world.run(LIMIT);
    world.blocked_links = [(0, 1), (0, 2)].into();
    for host in 0..3 {
        world.start_bootstrapping(host);
    }
    world
}

/// Host 0 hears from the others before they hear from it, and a client submits a change to it at
/// once. Host 0 must not vote before the others are members.
#[test]
fn a_change_during_the_first_start_leaves_all_initial_members_members() {
    for seed in 0..40 {
        let mut world = bootstrapping_without_messages_of_host_0(seed, Guards::default());
        world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
        world.run(Duration::from_millis(100 + 10 * seed));
        world.blocked_links.clear();
        world.run(LIMIT);
        world.assert_progress(LIMIT, &format!("seed {seed}"));
    }
}

/// Host 0 becomes a member while the others don't hear from it, restarts from its disk, and
/// receives a change at once. Returns whether all hosts accept changes after the links are
/// restored.
fn progresses_after_early_restart(seed: u64, guards: Guards) -> bool {
    let mut world = bootstrapping_without_messages_of_host_0(seed, guards);
    world.run(Duration::from_millis(100 + 10 * seed));
    assert!(world.hosts[0].disk.is_some(), "host 0 must be a member");
    assert!(
        world.hosts[1].disk.is_none() && world.hosts[2].disk.is_none(),
        "the others must not be members yet"
    );
    world.restart(&[0]);
    world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    // The first read after the start precedes the change and is abandoned.
    world.run(Settings::default().round_timeout + Duration::from_millis(100));
    assert!(
        world.hosts[1].disk.is_none() && world.hosts[2].disk.is_none(),
        "the others must still not be members"
    );
    world.blocked_links.clear();
    world.run(LIMIT);
    world.expect_progress(LIMIT);
    world.checks.finish();
    world.checks.violations.is_empty()
}

#[test]
fn a_member_that_restarts_before_the_others_have_started_leaves_them_members() {
    for seed in 0..40 {
        assert!(
            progresses_after_early_restart(seed, Guards::default()),
            "seed {seed}"
        );
    }
}

#[test]
fn without_restart_before_first_vote_an_early_restart_blocks_progress() {
    let guards = Guards::without(Guard::RestartBeforeFirstVote);
    let stuck = (0..40)
        .filter(|&seed| !progresses_after_early_restart(seed, guards))
        .count();
    println!("{stuck} of 40");
    assert!(stuck > 0);
}

/// A started deployment in which no replica has voted yet, and host 2 is down.
fn without_any_vote_and_host_2() -> World {
    let mut world = World::new(5, 3, 0, Settings::default());
    world.run(LIMIT);
    let has_not_voted = |record: &Record<Value>| !record.has_participated();
    assert!(
        world
            .hosts
            .iter()
            .all(|host| host.disk.as_ref().is_some_and(has_not_voted))
    );
    world.kill(2);
    world
}

#[test]
fn before_the_first_change_two_of_three_suffice_after_a_restart() {
    for restarted in [vec![0], vec![0, 1]] {
        let mut world = without_any_vote_and_host_2();
        world.restart(&restarted);
        world.run(LIMIT);
        world.assert_progress(LIMIT, &format!("{restarted:?}"));
    }
}

#[test]
fn before_the_first_change_one_of_three_decides_nothing_after_a_restart() {
    let mut world = without_any_vote_and_host_2();
    world.kill(0);
    world.kill(1);
    world.start(0);
    let id = world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(LIMIT * 3);
    assert_matches!(world.outcomes[&id], Outcome::Expired);
    world.start(1);
    world.start(2);
    world.run(LIMIT);
    world.assert_progress(LIMIT, "");
}

/// Host 0 is down during a change and learns of it only from the replicas that replaced hosts 1
/// and 2.
#[test]
fn a_member_that_was_down_during_all_votes_catches_up() {
    let mut world = World::new(6, 3, 3, Settings::default());
    world.run(LIMIT);
    world.kill(0);
    for (removed, added) in [(1, 3), (2, 4)] {
        world.start(added);
        world.run(LIMIT);
        world.leave(removed);
        world.run(LIMIT);
        world.kill(removed);
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
    world.assert_progress(LIMIT, "");
}
