//! Time until the register tolerates the next loss after a disk is wiped or a machine is replaced.

mod support;

use std::time::Duration;

use ironmast_register::Settings;

use support::conditions::{Conditions, LOCAL, WIDE_AREA};
use support::redundancy::{
    SYNC_TIME, assert_healthy, is_member, run_until, stable_world, time_to_redundancy,
};
use support::value::Change;
use support::world::World;

/// How a disk is lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The machine returns at once with an empty disk.
    Emptied,
    /// Another machine starts at once.
    Replaced,
    /// Another machine has been running as a standby.
    Standby,
}

impl Loss {
    /// Bound of the time to redundancy without concurrent changes on a local network.
    fn bound_without_faults(self) -> Duration {
        match self {
            Loss::Emptied => Duration::from_secs(1),
            Loss::Replaced | Loss::Standby => Duration::from_millis(2_800),
        }
    }
}

/// Conditions under which a disk is lost.
#[derive(Clone, Copy, Debug)]
struct Environment {
    conditions: Conditions,
    /// Whether changes are in flight when the disk is lost.
    has_changes_in_flight: bool,
}

/// Returns the time from the loss of a disk to full redundancy.
fn time_after(seed: u64, members: usize, loss: Loss, environment: Environment) -> Duration {
    let mut world = stable_world(seed, members, 1);
    world.conditions = environment.conditions;
    if matches!(loss, Loss::Standby) {
        world.start(members);
    }
    let delay = world.random.millis(1_500, 2_100);
    world.run(delay);
    if environment.has_changes_in_flight {
        for mark in 0..3 {
            let host =
                usize::try_from(world.random.below(members as u64)).expect("index fits in usize");
            world.submit(host, Some(Change::Mark { mark: 100 + mark }), SYNC_TIME);
            let delay = world.random.millis(0, 150);
            world.run(delay);
        }
    }
    let host = usize::try_from(world.random.below(members as u64)).expect("index fits in usize");
    world.wipe(host);
    match loss {
        Loss::Emptied => world.start(host),
        Loss::Replaced => world.start(members),
        Loss::Standby => {}
    }
    let time = time_to_redundancy(&mut world, members);
    assert_healthy(
        &mut world,
        &format!("seed {seed}, {members} members, {loss:?}, {environment:?}"),
    );
    time
}

/// Prints the distribution of the time to redundancy and asserts a bound of the worst case.
fn assert_times(seeds: std::ops::Range<u64>) {
    for members in [3, 5] {
        for loss in [Loss::Emptied, Loss::Replaced, Loss::Standby] {
            for (name, conditions) in [("local", LOCAL), ("wide area", WIDE_AREA)] {
                for has_changes_in_flight in [false, true] {
                    let environment = Environment {
                        conditions,
                        has_changes_in_flight,
                    };
                    let mut times: Vec<Duration> = seeds
                        .clone()
                        .map(|seed| time_after(seed, members, loss, environment))
                        .collect();
                    times.sort_unstable();
                    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
                    let high = times[times.len() * 99 / 100];
                    println!(
                        "{members} members, {loss:?}, {name}, \
                         changes in flight {has_changes_in_flight}: \
                         median {median:?}, 99 % {high:?}, worst {worst:?}"
                    );
                    assert!(worst < SYNC_TIME);
                    if !has_changes_in_flight && name == "local" {
                        assert!(worst < loss.bound_without_faults(), "{worst:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn redundancy_is_restored_within_the_time_to_sync() {
    assert_times(0..30);
}

/// Runs the test above over many seeds for its printed distribution.
#[test]
#[ignore = "minutes"]
fn redundancy_is_restored_within_the_time_to_sync_over_many_seeds() {
    assert_times(0..1_000);
}

#[test]
fn a_member_that_leaves_is_replaced_before_it_stops() {
    for members in [3, 5] {
        for host in 0..members {
            let mut world = stable_world(host as u64, members, 1);
            world.start(members);
            world.run(Duration::from_millis(200));
            world.leave(host);
            run_until(
                &mut world,
                Duration::from_secs(1),
                |_| format!("host {host} is still a member"),
                |world| !is_member(world, host),
            );
            world.wipe(host);
            time_to_redundancy(&mut world, members);
            assert_healthy(&mut world, &format!("{members} members, {host} left"));
        }
    }
}

#[test]
fn two_lost_in_turn_are_both_replaced() {
    let mut world = World::new(5, 3, 2, Settings::default());
    world.run(Duration::from_secs(1));
    world.submit(1, Some(Change::Mark { mark: 1 }), SYNC_TIME);
    world.run(Duration::from_secs(1));
    for (lost, spare) in [(0, 3), (1, 4)] {
        world.wipe(lost);
        world.start(spare);
        time_to_redundancy(&mut world, 3);
    }
    world.wipe(2);
    world.expect_progress(SYNC_TIME);
    let marks = world.hosts[4]
        .node
        .as_ref()
        .and_then(|node| node.chosen())
        .map(|state| state.value.marks.clone());
    assert!(marks.is_some_and(|marks| marks.contains(&1)));
    world.checks.finish();
    assert_eq!(world.checks.violations, []);
}

#[test]
fn a_replaced_member_that_returns_with_its_disk_is_a_standby() {
    let mut world = World::new(6, 3, 1, Settings::default());
    world.run(Duration::from_secs(1));
    world.kill(0);
    world.start(3);
    time_to_redundancy(&mut world, 3);
    world.start(0);
    world.run(SYNC_TIME);
    assert!(!is_member(&world, 0));
    assert!(is_member(&world, 3));
    world.wipe(1);
    world.run(SYNC_TIME);
    assert!(
        is_member(&world, 0),
        "the standby replaces the next lost member"
    );
    assert_healthy(&mut world, "");
}

#[test]
fn a_replacement_that_crashes_midway_is_replaced_itself() {
    for delay in (1_400..2_200).step_by(10) {
        let mut world = World::new(delay, 3, 2, Settings::default());
        world.run(Duration::from_secs(1));
        world.wipe(2);
        world.start(3);
        world.run(Duration::from_millis(delay));
        world.wipe(3);
        world.start(4);
        world.run(SYNC_TIME);
        assert!(is_member(&world, 4), "died after {delay} ms");
        assert_healthy(&mut world, &format!("died after {delay} ms"));
    }
}

#[test]
fn without_a_standby_a_lost_member_stays_a_member() {
    let mut world = stable_world(7, 3, 1);
    world.kill(1);
    world.run(SYNC_TIME);
    let state = world
        .node(0)
        .chosen()
        .cloned()
        .expect("a chosen state is known");
    assert_eq!(state.members.current.len(), 3);
    world.start(1);
    assert_healthy(&mut world, "");
}
