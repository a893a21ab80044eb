//! A second loss that comes during or right after a repair, and members that leave or come back.

mod support;

use std::time::Duration;

use ironmast_register::Settings;
use ironmast_register::guard::{Guard, Guards};

use support::redundancy::{
    SYNC_TIME, assert_well, is_member, is_redundant, newest, settled, time_to_redundancy,
};
use support::value::Change;
use support::world::{CALM, FAR, World};

const STEP: Duration = Duration::from_millis(5);
/// A coordinator told to end waits for so long at most until its place is taken.
const HANDOVER: Duration = Duration::from_millis(3_200);

/// Sends a change to a host that runs and doesn't wait for it.
fn write(world: &mut World, mark: u64) {
    let hosts: Vec<usize> = world.up().collect();
    let host = usize::try_from(world.random.below(hosts.len() as u64)).expect("small");
    world.submit(hosts[host], Some(Change::Mark { mark }), SYNC_TIME);
}

/// A settled register whose network is calm at even seeds, and far at odd ones.
fn near_or_far(seed: u64, members: usize, spares: usize) -> World {
    let mut world = settled(seed, members, spares);
    world.weather = if seed.is_multiple_of(2) { CALM } else { FAR };
    world
}

/// The same with two standbys and a change under way.
fn with_two_standbys(seed: u64, members: usize) -> World {
    let mut world = near_or_far(seed, members, 2);
    world.start(members);
    world.start(members + 1);
    world.run(Duration::from_millis(400));
    write(&mut world, 2);
    world
}

/// Loses a disk for good; another machine is there at once.
fn replace(world: &mut World, lost: usize, by: usize) {
    world.wipe(lost);
    world.start(by);
}

#[test]
fn of_five_a_second_is_lost_at_each_step_of_the_first_repair() {
    for (name, weather) in [("near", CALM), ("far", FAR)] {
        let mut times = Vec::new();
        for delay in (0..4_000).step_by(40) {
            let mut world = settled(delay, 5, 2);
            world.weather = weather;
            write(&mut world, 2);
            replace(&mut world, 1, 5);
            world.run(Duration::from_millis(delay));
            write(&mut world, 3);
            // Another member, or the machine that has just come in its place.
            let second = if delay % 80 == 0 { 3 } else { 5 };
            replace(&mut world, second, 6);
            let left = SYNC_TIME.saturating_sub(Duration::from_millis(delay));
            times.push(time_to_redundancy(&mut world, 5));
            world.run(left);
            assert_well(&mut world, &format!("{name}, second lost after {delay} ms"));
        }
        println!("{name}: worst {:?}", times.iter().max());
    }
}

/// Members are lost one after the other as soon as that is allowed.
#[test]
fn one_after_the_other_is_lost_from_the_time_to_sync_on() {
    for members in [3, 5] {
        for seed in 0..40 {
            let mut world = near_or_far(seed, members, 6);
            for lost in 0..6 {
                write(&mut world, 10 + lost as u64);
                let moment = world.random.millis(0, 250);
                world.run(moment);
                replace(&mut world, lost, members + lost);
                let late = world.random.millis(0, 300);
                world.run(SYNC_TIME + late);
                assert!(
                    is_redundant(&world, members),
                    "seed {seed}, {members} members, {lost} lost"
                );
            }
            assert_well(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

/// All processes may be killed at any moment; their disks are kept.
#[test]
fn all_are_killed_at_each_step_of_a_repair() {
    for members in [3, 5] {
        for delay in (0..3_000).step_by(60) {
            let mut world = settled(delay, members, 1);
            write(&mut world, 2);
            if delay % 120 == 0 {
                replace(&mut world, 1, members);
            } else {
                replace(&mut world, 1, 1);
            }
            world.run(Duration::from_millis(delay));
            let hosts: Vec<usize> = world.up().collect();
            hosts.iter().for_each(|&host| world.kill(host));
            world.run(Duration::from_millis(500));
            hosts.iter().for_each(|&host| world.start(host));
            time_to_redundancy(&mut world, members);
            assert_well(
                &mut world,
                &format!("{members} members, killed after {delay} ms"),
            );
        }
    }
}

/// The newest state is on the disk of one that leaves and of just as many others as it takes.
#[test]
fn one_that_leaves_is_let_go_once_a_majority_without_it_holds_the_newest_state() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = near_or_far(seed, members, 1);
            let behind = members / 2 + 1..members;
            behind.for_each(|host| world.isolate(host));
            world.submit(0, Some(Change::Mark { mark: 2 }), SYNC_TIME);
            world.run(Duration::from_secs(1));
            world.cuts.clear();
            world.start(members);
            world.leave(0);
            let start = world.now;
            while is_member(&world, 0) {
                world.run(STEP);
                assert!(
                    world.now - start < HANDOVER,
                    "seed {seed}, {members} members"
                );
            }
            world.wipe(0);
            let state = newest(&world).expect("known");
            assert!(state.value.marks.contains(&2));
            assert!(holders(&world, state.sequence) >= state.members.current.majority());
            assert_well(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

/// Hosts that run and hold that state, or a newer one, on their disks.
fn holders(world: &World, sequence: u64) -> usize {
    let holds = |host: &usize| {
        let accepted = world.hosts[*host]
            .disk
            .as_ref()
            .and_then(|record| record.accepted.as_ref());
        accepted.is_some_and(|held| held.state.sequence >= sequence)
    };
    world.up().filter(holds).count()
}

#[test]
fn two_that_leave_at_once_are_both_let_go_in_time() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = with_two_standbys(seed, members);
            world.leave(0);
            world.leave(1);
            let start = world.now;
            while is_member(&world, 0) || is_member(&world, 1) {
                world.run(STEP);
                assert!(
                    world.now - start < HANDOVER,
                    "seed {seed}, {members} members"
                );
            }
            world.wipe(0);
            world.wipe(1);
            time_to_redundancy(&mut world, members);
            assert_well(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

#[test]
fn one_leaves_while_another_is_lost() {
    for members in [3, 5] {
        for seed in 0..20 {
            let mut world = with_two_standbys(seed, members);
            world.wipe(1);
            world.leave(0);
            world.run(HANDOVER);
            world.wipe(0);
            time_to_redundancy(&mut world, members);
            assert_well(&mut world, &format!("seed {seed}, {members} members"));
        }
    }
}

#[test]
fn one_that_was_frozen_and_replaced_becomes_a_standby() {
    for (seed, lasts) in (0..30).zip([1_000, 2_000, 5_000, 20_000].into_iter().cycle()) {
        let mut world = settled(seed, 3, 1);
        world.start(3);
        world.run(Duration::from_secs(1));
        let frozen = usize::try_from(seed).expect("small") % 3;
        world.freeze(frozen, Duration::from_millis(lasts));
        world.run(Duration::from_millis(lasts) + SYNC_TIME);
        assert!(is_redundant(&world, 3), "seed {seed}");
        assert_eq!(
            is_member(&world, frozen),
            lasts == 1_000,
            "seed {seed}, {lasts} ms"
        );
        let before = newest(&world).expect("known").members.clone();
        world.run(SYNC_TIME * 3);
        assert_eq!(
            newest(&world).expect("known").members,
            before,
            "seed {seed}: the set has settled"
        );
        let other = (frozen + 1) % 3;
        world.wipe(other);
        time_to_redundancy(&mut world, 3);
        assert!(is_member(&world, frozen) && is_member(&world, 3));
        assert_well(&mut world, &format!("seed {seed}, frozen for {lasts} ms"));
    }
}

#[test]
fn a_machine_whose_seeds_are_all_dead_comes_in_once_one_member_knows_it() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 1);
        world.wipe(0);
        world.start_secluded(3, &[0], 1 + usize::try_from(seed).expect("small") % 2);
        time_to_redundancy(&mut world, 3);
        assert!(is_member(&world, 3));
        assert_well(&mut world, &format!("seed {seed}"));
    }
}

#[test]
fn one_that_can_not_vote_any_more_is_replaced() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 1);
        world.start(3);
        world.run(Duration::from_secs(1));
        world.hosts[1].fails = true;
        write(&mut world, 2);
        time_to_redundancy_without(&mut world, 1);
        // Its own clients are served again once its process starts anew.
        world.kill(1);
        world.start(1);
        assert_well(&mut world, &format!("seed {seed}"));
    }
}

/// Runs until the host is no member any more.
fn time_to_redundancy_without(world: &mut World, host: usize) {
    let start = world.now;
    while is_member(world, host) || !is_redundant(world, 3) {
        world.run(STEP);
        assert!(world.now - start < SYNC_TIME, "{host} is still a member");
    }
}

fn without(guard: Guard) -> Settings {
    Settings {
        guards: Guards::without(guard),
        ..Settings::default()
    }
}

/// Changes of the replica set while one member doesn't hear another, and another one not the
/// standby.
fn changes_under_one_way_cuts(settings: Settings) -> u64 {
    let mut world = World::new(3, 3, 1, settings);
    world.start(3);
    world.run(Duration::from_secs(2));
    let before = newest(&world).expect("known").sequence;
    world.cuts = [(2, 0), (3, 1)].into();
    world.run(Duration::from_secs(20));
    let after = newest(&world).expect("known").sequence;
    world.cuts.clear();
    world.run(SYNC_TIME);
    assert_well(&mut world, "one-way cuts");
    after - before
}

#[test]
fn a_link_that_fails_in_one_direction_changes_no_replica_set() {
    assert_eq!(changes_under_one_way_cuts(Settings::default()), 0);
    let changes = changes_under_one_way_cuts(without(Guard::UnreachableByMajority));
    println!("{changes} changes without the guard");
    assert!(changes > 4);
}

/// Two of three members stand still; once they go on, the links of the third come up last. Whether
/// it is replaced.
fn replaces_a_member_after_own_pause(settings: Settings) -> bool {
    let mut world = World::new(4, 3, 1, settings);
    world.start(3);
    world.run(Duration::from_secs(2));
    world.cuts = [(2, 0), (2, 1)].into();
    world.run(Duration::from_millis(200));
    let pause = Duration::from_secs(3);
    world.freeze(0, pause);
    world.freeze(1, pause);
    world.run(pause + Duration::from_millis(700));
    world.cuts.clear();
    world.run(SYNC_TIME);
    assert_well(&mut world, "two of three stood still");
    !is_member(&world, 2)
}

#[test]
fn members_that_stood_still_do_not_replace_one_that_was_well() {
    assert!(!replaces_a_member_after_own_pause(Settings::default()));
    assert!(replaces_a_member_after_own_pause(without(
        Guard::ProcessPause
    )));
}
