//! When a simulated deployment tolerates the next loss.

use std::sync::Arc;
use std::time::Duration;

use ironmast_register::{Node, Settings, State};

use super::value::{Change, Value};
use super::world::World;

/// After a loss, a new disk or machine must restore full redundancy within this time.
pub(crate) const SYNC_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

/// A deployment that has taken a change, on a reliable network.
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

/// Whether the host is a member by the newest state that it knows itself.
pub(crate) fn is_member(world: &World, host: usize) -> bool {
    node(world, host).is_some_and(Node::is_member)
}

/// The newest state known as chosen anywhere.
pub(crate) fn newest(world: &World) -> Option<Arc<State<Value>>> {
    let known = world
        .running_hosts()
        .filter_map(|host| node(world, host)?.chosen());
    known.max_by_key(|state| state.sequence).cloned()
}

/// Whether there is a single set of that many replicas, all of which run and know it, and a
/// majority of which has the newest state on its disk.
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

/// Time until the deployment is redundant.
///
/// # Panics
/// It takes longer than [`SYNC_TIME`].
pub(crate) fn time_to_redundancy(world: &mut World, size: usize) -> Duration {
    let case = |world: &World| {
        let members = newest(world).map(|state| state.members.clone());
        format!("not redundant in time: {members:?}")
    };
    run_until(world, SYNC_TIME, case, |world| is_redundant(world, size))
}

/// Runs until a condition holds; returns the time that it took.
///
/// # Panics
/// It takes as long as the limit or longer; `case` describes the world then.
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

/// Every host that runs takes changes and reads, and no property is violated.
pub(crate) fn assert_healthy(world: &mut World, case: &str) {
    world.assert_progress(SYNC_TIME, case);
}
