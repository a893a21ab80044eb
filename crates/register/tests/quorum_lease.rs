//! The quorum lease of complete nodes: partitions in one or both directions, replaced members,
//! wiped disks and outdated replica sets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::message::{HeartbeatResponse, MessageBody};
use ironmast_register::quorum_lease::HeartbeatId;
use ironmast_register::{Ballot, Identity, Message, Settings};

use support::redundancy::stable_world;
use support::world::World;

const STEP: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(4);

fn lease_length() -> Duration {
    Settings::default().quorum_lease
}

fn has_lease(world: &World, host: usize) -> bool {
    world.hosts[host]
        .node
        .as_ref()
        .is_some_and(|node| node.has_quorum_lease(world.now))
}

/// Blocks all messages from the hosts `from` to the hosts `to`.
fn block(world: &mut World, from: &[usize], to: &[usize]) {
    let pairs = from
        .iter()
        .flat_map(|&from| to.iter().map(move |&to| (from, to)));
    world
        .blocked_links
        .extend(pairs.filter(|(from, to)| from != to));
}

fn partition(world: &mut World, one: &[usize], other: &[usize]) {
    block(world, one, other);
    block(world, other, one);
}

/// Runs for this time; asserts at each step which hosts have a quorum lease.
fn assert_leases(world: &mut World, time: Duration, expected: &[(usize, bool)]) {
    let end = world.now + time;
    while world.now < end {
        for (host, expected) in expected {
            assert_eq!(
                has_lease(world, *host),
                *expected,
                "host {host} at {:?}",
                world.now
            );
        }
        world.run(STEP);
    }
}

#[test]
fn all_have_a_lease_in_spite_of_message_loss() {
    for seed in 0..20 {
        let mut world = stable_world(seed, 3, 0);
        world.conditions.loss_percent = 5;
        world.conditions.max_jitter_ms = 60;
        assert_leases(
            &mut world,
            Duration::from_secs(20),
            &[(0, true), (1, true), (2, true)],
        );
    }
}

#[test]
fn a_partitioned_host_loses_the_lease_in_time_and_regains_it_at_once() {
    for seed in 0..30 {
        let mut world = stable_world(seed, 3, 0);
        let lost = usize::try_from(seed).expect("index fits in usize") % 3;
        let others = [(lost + 1) % 3, (lost + 2) % 3];
        match seed % 3 {
            0 => partition(&mut world, &[lost], &others),
            1 => block(&mut world, &[lost], &others),
            _ => block(&mut world, &others, &[lost]),
        }
        world.run(lease_length());
        let rest = others.map(|other| (other, true));
        assert_leases(
            &mut world,
            Duration::from_secs(20),
            &[rest[0], rest[1], (lost, false)],
        );
        world.blocked_links.clear();
        // One heartbeat interval and one round trip.
        world.run(lease_length() / 4 + Duration::from_millis(130));
        assert_leases(&mut world, LIMIT, &[(0, true), (1, true), (2, true)]);
    }
}

#[test]
fn without_a_majority_no_host_has_a_lease() {
    let mut world = stable_world(7, 5, 0);
    partition(&mut world, &[0, 1], &[2, 3]);
    partition(&mut world, &[0, 1, 2, 3], &[4]);
    world.run(lease_length());
    assert_leases(
        &mut world,
        LIMIT,
        &[(0, false), (1, false), (2, false), (3, false), (4, false)],
    );
}

#[test]
fn a_member_on_an_emptied_disk_does_not_count_under_its_old_identity() {
    let mut world = stable_world(8, 3, 0);
    partition(&mut world, &[2], &[0, 1]);
    world.run(lease_length() * 2);
    world.wipe(1);
    world.start(1);
    world.run(lease_length());
    assert_leases(&mut world, LIMIT, &[(0, false), (1, false), (2, false)]);
    world.blocked_links.clear();
    world.run(LIMIT);
    assert_leases(
        &mut world,
        lease_length(),
        &[(0, true), (1, true), (2, true)],
    );
}

#[test]
fn a_standby_has_a_lease_by_a_majority_of_the_members() {
    let mut world = stable_world(9, 3, 1);
    world.start(3);
    world.run(LIMIT);
    assert_leases(&mut world, lease_length(), &[(3, true)]);
    partition(&mut world, &[3], &[0]);
    assert_leases(&mut world, LIMIT, &[(3, true)]);
    partition(&mut world, &[3], &[1]);
    world.run(lease_length());
    assert_leases(
        &mut world,
        LIMIT,
        &[(3, false), (0, true), (1, true), (2, true)],
    );
}

/// Host 0 was replaced by host 3 while partitioned, and afterwards reaches only host 2. The two are
/// a majority of the set that host 0 knows, but not of the current one.
#[test]
fn a_majority_of_an_outdated_set_gives_no_lease() {
    for seed in 0..30 {
        let mut world = stable_world(seed, 3, 1);
        world.start(3);
        world.run(LIMIT);
        partition(&mut world, &[0], &[1, 2, 3]);
        world.run(LIMIT);
        assert!(
            world.node(3).is_member(),
            "seed {seed}: the spare has replaced host 0"
        );
        world.blocked_links.clear();
        partition(&mut world, &[0, 2], &[1, 3]);
        assert_leases(&mut world, Duration::from_secs(1), &[(0, false)]);
        assert_leases(
            &mut world,
            LIMIT,
            &[(0, false), (1, true), (2, false), (3, true)],
        );
    }
}

/// Encoded size of a message of the register.
fn bytes_of(body: MessageBody<String>) -> usize {
    let address = SocketAddr::from(([10, 255, 255, 255], 7_000));
    let message = Message {
        sender: Identity(u64::MAX),
        address,
        body,
    };
    postcard::to_stdvec(&message)
        .expect("the value is encoded")
        .len()
}

/// For the lease, a member of three sends two heartbeats and two responses in each interval.
#[test]
fn the_heartbeats_of_a_member_of_three_cost_less_than_a_kilobyte_a_second() {
    let id = HeartbeatId(u64::from(u32::MAX));
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
    let interval = lease_length() / 4;
    let messages_per_second = 2.0 / interval.as_secs_f64();
    let bytes_per_second = messages_per_second * (heartbeat + response) as f64;
    assert!(
        bytes_per_second < 1_000.0,
        "{heartbeat} and {response} bytes, {bytes_per_second} a second"
    );
}
