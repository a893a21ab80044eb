//! Contact with a majority, measured by whole nodes: cuts of each kind, replaced and wiped members,
//! outdated sets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::message::{HeartbeatResponse, MessageBody};
use ironmast_register::{Ballot, Identity, Message, Settings};

use support::value::Change;
use support::world::World;

const STEP: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(4);

fn bound() -> Duration {
    Settings::default().quorum_lease
}

/// A settled register of that many members.
fn world(seed: u64, members: usize, spares: usize) -> World {
    let mut world = World::new(
        seed,
        members,
        spares,
        Settings::with_fault_tolerance(members / 2),
    );
    world.run(Duration::from_millis(500));
    world.submit(0, Some(Change::Mark { mark: 1 }), LIMIT);
    world.run(Duration::from_secs(2));
    world
}

fn in_contact(world: &World, host: usize) -> bool {
    world.hosts[host]
        .node
        .as_ref()
        .is_some_and(|node| node.has_quorum_lease(world.now))
}

/// Cuts all messages from any of `from` to any of `to`.
fn cut(world: &mut World, from: &[usize], to: &[usize]) {
    let pairs = from
        .iter()
        .flat_map(|&from| to.iter().map(move |&to| (from, to)));
    world.cuts.extend(pairs.filter(|(from, to)| from != to));
}

fn cut_both_ways(world: &mut World, one: &[usize], other: &[usize]) {
    cut(world, one, other);
    cut(world, other, one);
}

/// Runs that long; asserts at each step who is in contact.
fn assert_contact(world: &mut World, time: Duration, expected: &[(usize, bool)]) {
    let end = world.now + time;
    while world.now < end {
        for (host, expected) in expected {
            assert_eq!(
                in_contact(world, *host),
                *expected,
                "host {host} at {:?}",
                world.now
            );
        }
        world.run(STEP);
    }
}

#[test]
fn all_are_in_contact_on_a_calm_network_and_with_losses() {
    for seed in 0..20 {
        let mut world = world(seed, 3, 0);
        world.weather.loss = 5;
        world.weather.jitter = 60;
        assert_contact(
            &mut world,
            Duration::from_secs(20),
            &[(0, true), (1, true), (2, true)],
        );
    }
}

#[test]
fn one_that_is_cut_off_loses_contact_within_the_bound_and_finds_it_at_once_on_return() {
    for seed in 0..30 {
        let mut world = world(seed, 3, 0);
        let lost = usize::try_from(seed).expect("small") % 3;
        let others = [(lost + 1) % 3, (lost + 2) % 3];
        match seed % 3 {
            0 => cut_both_ways(&mut world, &[lost], &others),
            1 => cut(&mut world, &[lost], &others),
            _ => cut(&mut world, &others, &[lost]),
        }
        world.run(bound());
        let rest = others.map(|other| (other, true));
        assert_contact(
            &mut world,
            Duration::from_secs(20),
            &[rest[0], rest[1], (lost, false)],
        );
        world.cuts.clear();
        // One interval of the questions and one round trip.
        world.run(bound() / 4 + Duration::from_millis(130));
        assert_contact(&mut world, LIMIT, &[(0, true), (1, true), (2, true)]);
    }
}

#[test]
fn without_a_majority_nobody_is_in_contact() {
    let mut world = world(7, 5, 0);
    cut_both_ways(&mut world, &[0, 1], &[2, 3]);
    cut_both_ways(&mut world, &[0, 1, 2, 3], &[4]);
    world.run(bound());
    assert_contact(
        &mut world,
        LIMIT,
        &[(0, false), (1, false), (2, false), (3, false), (4, false)],
    );
}

#[test]
fn a_member_on_an_empty_disk_does_not_answer_for_what_it_was() {
    let mut world = world(8, 3, 0);
    cut_both_ways(&mut world, &[2], &[0, 1]);
    world.run(bound() * 2);
    world.wipe(1);
    world.start(1);
    world.run(bound());
    assert_contact(&mut world, LIMIT, &[(0, false), (1, false), (2, false)]);
    world.cuts.clear();
    world.run(LIMIT);
    assert_contact(&mut world, bound(), &[(0, true), (1, true), (2, true)]);
}

#[test]
fn a_standby_is_in_contact_by_a_majority_of_the_members() {
    let mut world = world(9, 3, 1);
    world.start(3);
    world.run(LIMIT);
    assert_contact(&mut world, bound(), &[(3, true)]);
    cut_both_ways(&mut world, &[3], &[0]);
    assert_contact(&mut world, LIMIT, &[(3, true)]);
    cut_both_ways(&mut world, &[3], &[1]);
    world.run(bound());
    assert_contact(
        &mut world,
        LIMIT,
        &[(3, false), (0, true), (1, true), (2, true)],
    );
}

/// 0 was replaced by 3 while it was cut off, and then meets only 2: a majority of the set that 0
/// knows, but not of the one in force.
#[test]
fn a_majority_of_an_outdated_set_gives_no_contact() {
    for seed in 0..30 {
        let mut world = world(seed, 3, 1);
        world.start(3);
        world.run(LIMIT);
        cut_both_ways(&mut world, &[0], &[1, 2, 3]);
        world.run(LIMIT);
        let node = world.hosts[3].node.as_ref().expect("runs");
        assert!(
            node.is_member(),
            "seed {seed}: the spare has taken the place"
        );
        world.cuts.clear();
        cut_both_ways(&mut world, &[0, 2], &[1, 3]);
        assert_contact(&mut world, Duration::from_secs(1), &[(0, false)]);
        assert_contact(
            &mut world,
            LIMIT,
            &[(0, false), (1, true), (2, false), (3, true)],
        );
    }
}

/// Bytes of a message of the register as it is sent.
fn bytes_of(body: MessageBody<String>) -> usize {
    let address = SocketAddr::from(([10, 255, 255, 255], 7_000));
    let message = Message {
        sender: Identity(u64::MAX),
        address,
        body,
    };
    postcard::to_stdvec(&message).expect("written").len()
}

/// What a member of three sends for contact alone: two questions and two answers in each interval.
#[test]
fn the_questions_of_a_member_of_three_cost_less_than_a_kilobyte_a_second() {
    let id = u64::from(u32::MAX);
    let newest = Ballot {
        counter: 1_000_000,
        identity: Identity(u64::MAX),
    };
    let heartbeat = bytes_of(MessageBody::Heartbeat { id });
    let response = bytes_of(MessageBody::HeartbeatResponse(HeartbeatResponse {
        id,
        newest,
        membership_fingerprint: u64::MAX,
    }));
    let interval = bound() / 4;
    let messages_a_second = 2.0 / interval.as_secs_f64();
    let bytes_a_second = messages_a_second * (heartbeat + response) as f64;
    assert!(
        bytes_a_second < 1_000.0,
        "{heartbeat} and {response} bytes, {bytes_a_second} a second"
    );
}
