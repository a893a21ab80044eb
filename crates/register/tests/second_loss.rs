//! A second loss during or right after a repair, and members that leave, pause or return.

mod support;

use std::time::Duration;

use ironmast_register::Settings;
use ironmast_register::guard::{Guard, Guards};

use support::conditions::{LOCAL, WIDE_AREA};
use support::guards::settings_with;
use support::redundancy::{
    SYNC_TIME, assert_healthy, is_member, is_redundant, newest, run_until, stable_world,
    time_to_redundancy,
};
use support::value::Change;
use support::world::World;

/// Bound of the time until a coordinator that leaves is replaced.
const REPLACEMENT_LIMIT: Duration = Duration::from_millis(3_200);

/// Submits a change to a random running host without waiting for its outcome.
fn write(world: &mut World, mark: u64) {
    let hosts: Vec<usize> = world.running_hosts().collect();
    let host =
        usize::try_from(world.random.below(hosts.len() as u64)).expect("index fits in usize");
    world.submit(hosts[host], Some(Change::Mark { mark }), SYNC_TIME);
}

/// A stable register, on a local network at even seeds and a wide-area network at odd ones.
fn local_or_wide_area(seed: u64, members: usize, spares: usize) -> World {
    let mut world = stable_world(seed, members, spares);
    world.conditions = if seed.is_multiple_of(2) {
        LOCAL
    } else {
        WIDE_AREA
    };
    world
}

/// A stable register with two standbys and a change in flight.
fn with_two_standbys(seed: u64, members: usize) -> World {
    let mut world = local_or_wide_area(seed, members, 2);
    world.start(members);
    world.start(members + 1);
    world.run(Duration::from_millis(400));
    write(&mut world, 2);
    world
}

/// Wipes the disk of one host and starts another host at once.
fn replace(world: &mut World, lost: usize, by: usize) {
    world.wipe(lost);
    world.start(by);
}

#[test]
fn five_replicas_tolerate_a_second_loss_at_each_step_of_the_first_repair() {
    for (name, conditions) in [("local", LOCAL), ("wide area", WIDE_AREA)] {
        let mut times = Vec::new();
        for delay in (0..4_000).step_by(40) {
            let mut world = stable_world(delay, 5, 2);
            world.conditions = conditions;
            write(&mut world, 2);
            replace(&mut world, 1, 5);
            world.run(Duration::from_millis(delay));
            write(&mut world, 3);
            // Loses another member, or the machine that has just replaced the first one.
            let second = if delay % 80 == 0 { 3 } else { 5 };
            replace(&mut world, second, 6);
            let remaining = SYNC_TIME.saturating_sub(Duration::from_millis(delay));
            times.push(time_to_redundancy(&mut world, 5));
            world.run(remaining);
            assert_healthy(&mut world, &format!("{name}, second lost after {delay} ms"));
        }
        println!("{name}: worst {:?}", times.iter().max());
    }
}

/// Members are lost one after the other, as often as the time to sync allows.
#[test]
fn successive_losses_after_the_time_to_sync_are_tolerated() {
    for members in [3, 5] {
        for seed in 0..40 {
            let mut world = local_or_wide_area(seed, members, 6);
            for lost in 0..6 {
                write(&mut world, 10 + lost as u64);
                let delay = world.random.millis(0, 250);
                world.run(delay);
                replace(&mut world, lost, members + lost);
                let extra_delay = world.random.millis(0, 300);
                world.run(SYNC_TIME + extra_delay);
                assert!(
                    is_redundant(&world, members),
                    "seed {seed}, {members} members, {lost} lost"
                );
            }
            assert_healthy(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

/// All processes are killed at once, at different steps of a repair; their disks are kept.
#[test]
fn a_repair_survives_a_kill_of_all_at_each_step() {
    for members in [3, 5] {
        for delay in (0..3_000).step_by(60) {
            let mut world = stable_world(delay, members, 1);
            write(&mut world, 2);
            if delay % 120 == 0 {
                replace(&mut world, 1, members);
            } else {
                replace(&mut world, 1, 1);
            }
            world.run(Duration::from_millis(delay));
            let hosts: Vec<usize> = world.running_hosts().collect();
            for &host in &hosts {
                world.kill(host);
            }
            world.run(Duration::from_millis(500));
            for &host in &hosts {
                world.start(host);
            }
            time_to_redundancy(&mut world, members);
            assert_healthy(
                &mut world,
                &format!("{members} members, killed after {delay} ms"),
            );
        }
    }
}

/// When the member leaves, the newest state is on its disk and on just enough other disks to make
/// a majority.
#[test]
fn a_leaving_member_is_removed_once_a_majority_without_it_has_the_newest_state() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = local_or_wide_area(seed, members, 1);
            let lagging = members / 2 + 1..members;
            lagging.for_each(|host| world.isolate(host));
            world.submit(0, Some(Change::Mark { mark: 2 }), SYNC_TIME);
            world.run(Duration::from_secs(1));
            world.blocked_links.clear();
            world.start(members);
            world.leave(0);
            run_until(
                &mut world,
                REPLACEMENT_LIMIT,
                |_| format!("seed {seed}, {members} members"),
                |world| !is_member(world, 0),
            );
            world.wipe(0);
            let state = newest(&world).expect("a chosen state is known");
            assert!(state.value.marks.contains(&2));
            assert!(count_with_state(&world, state.sequence) >= state.members.current.majority());
            assert_healthy(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

/// Number of running hosts with the state of this sequence number, or a newer one, on their disks.
fn count_with_state(world: &World, sequence: u64) -> usize {
    let has_state = |host: &usize| {
        let accepted = world.hosts[*host]
            .disk
            .as_ref()
            .and_then(|record| record.accepted.as_ref());
        accepted.is_some_and(|proposal| proposal.state.sequence >= sequence)
    };
    world.running_hosts().filter(has_state).count()
}

#[test]
fn two_members_that_leave_at_once_are_both_replaced_in_time() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = with_two_standbys(seed, members);
            world.leave(0);
            world.leave(1);
            run_until(
                &mut world,
                REPLACEMENT_LIMIT,
                |_| format!("seed {seed}, {members} members"),
                |world| !is_member(world, 0) && !is_member(world, 1),
            );
            world.wipe(0);
            world.wipe(1);
            time_to_redundancy(&mut world, members);
            assert_healthy(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

#[test]
fn a_member_that_leaves_while_another_is_lost_is_replaced() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = with_two_standbys(seed, members);
            world.wipe(1);
            world.leave(0);
            world.run(REPLACEMENT_LIMIT);
            world.wipe(0);
            time_to_redundancy(&mut world, members);
            assert_healthy(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

#[test]
fn a_paused_and_replaced_member_becomes_a_standby() {
    for (seed, duration) in (0..30).zip([1_000, 2_000, 5_000, 20_000].into_iter().cycle()) {
        let mut world = stable_world(seed, 3, 1);
        world.start(3);
        world.run(Duration::from_secs(1));
        let paused = usize::try_from(seed).expect("index fits in usize") % 3;
        world.pause_process(paused, Duration::from_millis(duration));
        world.run(Duration::from_millis(duration) + SYNC_TIME);
        assert!(is_redundant(&world, 3), "seed {seed}");
        assert_eq!(
            is_member(&world, paused),
            duration == 1_000,
            "seed {seed}, {duration} ms"
        );
        let before = newest(&world)
            .expect("a chosen state is known")
            .members
            .clone();
        world.run(SYNC_TIME * 3);
        assert_eq!(
            newest(&world).expect("a chosen state is known").members,
            before,
            "seed {seed}: the replica set keeps changing"
        );
        let other = (paused + 1) % 3;
        world.wipe(other);
        time_to_redundancy(&mut world, 3);
        assert!(is_member(&world, paused) && is_member(&world, 3));
        assert_healthy(
            &mut world,
            &format!("seed {seed}, paused for {duration} ms"),
        );
    }
}

#[test]
fn a_machine_whose_seeds_are_all_down_joins_once_one_member_knows_it() {
    for seed in 0..20 {
        let mut world = stable_world(seed, 3, 1);
        world.wipe(0);
        world.start_with_peers(
            3,
            &[0],
            1 + usize::try_from(seed).expect("index fits in usize") % 2,
        );
        time_to_redundancy(&mut world, 3);
        assert!(is_member(&world, 3));
        assert_healthy(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn a_member_whose_writes_fail_is_replaced() {
    for seed in 0..20 {
        let mut world = stable_world(seed, 3, 1);
        world.start(3);
        world.run(Duration::from_secs(1));
        world.hosts[1].writes_fail = true;
        write(&mut world, 2);
        run_to_redundancy_without(&mut world, 1);
        // After a restart the host serves its clients again.
        world.kill(1);
        world.start(1);
        assert_healthy(&mut world, &format!("seed {seed}"));
    }
}

/// Runs until the host is no longer a member and the deployment is redundant without it.
fn run_to_redundancy_without(world: &mut World, host: usize) {
    run_until(
        world,
        SYNC_TIME,
        |_| format!("host {host} is still a member"),
        |world| !is_member(world, host) && is_redundant(world, 3),
    );
}

fn without(guard: Guard) -> Settings {
    settings_with(Guards::without(guard))
}

/// Number of changes of the replica set while one member receives nothing from another member, and
/// a second one nothing from the standby.
fn changes_with_one_way_blocks(settings: Settings) -> u64 {
    let mut world = World::new(3, 3, 1, settings);
    world.start(3);
    world.run(Duration::from_secs(2));
    let before = newest(&world).expect("a chosen state is known").sequence;
    world.blocked_links = [(2, 0), (3, 1)].into();
    world.run(Duration::from_secs(20));
    let after = newest(&world).expect("a chosen state is known").sequence;
    world.blocked_links.clear();
    world.run(SYNC_TIME);
    assert_healthy(&mut world, "one-way blocks");
    after - before
}

#[test]
fn a_link_that_fails_in_one_direction_does_not_change_the_replica_set() {
    assert_eq!(changes_with_one_way_blocks(Settings::default()), 0);
    let changes = changes_with_one_way_blocks(without(Guard::UnreachableByMajority));
    println!("{changes} changes without the guard");
    assert!(changes > 4);
}

/// Two of three members are paused. After they resume, the links from the third are restored last.
/// Returns whether the third member is replaced.
fn replaces_a_member_after_process_pause(settings: Settings) -> bool {
    let mut world = World::new(4, 3, 1, settings);
    world.start(3);
    world.run(Duration::from_secs(2));
    world.blocked_links = [(2, 0), (2, 1)].into();
    world.run(Duration::from_millis(200));
    let pause = Duration::from_secs(3);
    world.pause_process(0, pause);
    world.pause_process(1, pause);
    world.run(pause + Duration::from_millis(700));
    world.blocked_links.clear();
    world.run(SYNC_TIME);
    assert_healthy(&mut world, "two of three were paused");
    !is_member(&world, 2)
}

#[test]
fn paused_members_do_not_replace_a_healthy_one() {
    assert!(!replaces_a_member_after_process_pause(Settings::default()));
    assert!(replaces_a_member_after_process_pause(without(
        Guard::ProcessPause
    )));
}
