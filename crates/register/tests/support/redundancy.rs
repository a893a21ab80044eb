//! Redundancy of a simulated deployment: whether it tolerates the next loss, and how soon.

use std::sync::Arc;
use std::time::Duration;

use ironmast_register::{Node, Settings, State};

use super::value::{Change, Value};
use super::world::World;

/// Time within which a new disk or machine must restore full redundancy after a loss.
pub(crate) const SYNC_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

/// Returns a deployment on a reliable network that has completed a change.
pub(crate) fn stable_world(seed: u64, members: usize, spares: usize) -> World {
    let mut world = World::new(
        seed,
        members,
        spares,
        Settings::with_fault_tolerance(members / 2),
    );
    world.run(Duration::from_millis(500));
    world.submit(0, Some(Change::Mark { mark: 1 }), SYNC_TIME);
    world.run(Duration::from_secs(2));
    world
}

fn node(world: &World, host: usize) -> Option<&Node<Value>> {
    world.hosts[host].node.as_ref()
}

/// Whether the host is a member according to the newest state that the host knows.
pub(crate) fn is_member(world: &World, host: usize) -> bool {
    node(world, host).is_some_and(Node::is_member)
}

/// Returns the newest state that any running host knows as chosen.
pub(crate) fn newest(world: &World) -> Option<Arc<State<Value>>> {
    let known = world
        .running_hosts()
        .filter_map(|host| node(world, host)?.chosen());
    known.max_by_key(|state| state.sequence).cloned()
}

/// Whether the membership is a single set of `size` replicas, all of which run and know the
/// membership, and a majority of which has the newest state on disk.
pub(crate) fn is_redundant(world: &World, size: usize) -> bool {
    let Some(state) = newest(world) else {
        return false;
    };
    let members: Vec<usize> = world
        .running_hosts()
        .filter(|&host| {
            node(world, host).is_some_and(|node| state.members.contains(node.identity()))
        })
        .collect();
    let knows = |&host: &usize| {
        let chosen = node(world, host).and_then(Node::chosen);
        chosen.is_some_and(|known| known.members == state.members)
    };
    let has_newest = |host: &&usize| {
        let accepted = world.hosts[**host]
            .disk
            .as_ref()
            .and_then(|record| record.accepted.as_ref());
        accepted.is_some_and(|proposal| proposal.state.sequence >= state.sequence)
    };
    !state.members.is_joint()
        && state.members.current.len() == size
        && members.len() == size
        && members.iter().all(knows)
        && members.iter().filter(has_newest).count() >= state.members.current.majority()
}

/// Runs until the deployment is redundant; returns the time taken.
///
/// # Panics
/// Panics if this takes [`SYNC_TIME`] or longer.
pub(crate) fn time_to_redundancy(world: &mut World, size: usize) -> Duration {
    let case = |world: &World| {
        let members = newest(world).map(|state| state.members.clone());
        format!("not redundant in time: {members:?}")
    };
    run_until(world, SYNC_TIME, case, |world| is_redundant(world, size))
}

/// Runs until a condition holds; returns the time taken.
///
/// # Panics
/// Panics if this takes as long as `limit` or longer; `case` returns the message.
pub(crate) fn run_until(
    world: &mut World,
    limit: Duration,
    case: impl Fn(&World) -> String,
    is_reached: impl Fn(&World) -> bool,
) -> Duration {
    let start = world.now;
    while !is_reached(world) {
        world.run(STEP);
        assert!(world.now - start < limit, "{}", case(world));
    }
    world.now - start
}

/// Asserts that every running host completes a change and a read, and that no property is violated.
pub(crate) fn assert_healthy(world: &mut World, case: &str) {
    world.assert_progress(SYNC_TIME, case);
}
