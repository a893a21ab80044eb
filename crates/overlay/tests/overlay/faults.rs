//! Dissemination under single faults: crashes, restarts, partitions, loss and pauses.

use std::time::Duration;

use ironmast_overlay::{Descriptor, Event, Settings, Version};

use crate::support::deployment::{Deployment, address, index};
use crate::support::simulation::{Simulation, ms};

/// Key of the published updates.
const KEY: u64 = 7;

fn start_converged(deployment: Deployment, seed: u64) -> Simulation {
    let mut sim = Simulation::start(deployment, Settings::default(), seed);
    sim.run_for(ms(8_000));
    assert_eq!(sim.detached_agents(), 0);
    sim
}

/// Runs until `is_done`, checked every 20 ms, and returns the time that it took; panics after
/// `limit`.
fn run_until(
    sim: &mut Simulation,
    limit: Duration,
    is_done: impl Fn(&Simulation) -> bool,
) -> Duration {
    let start = sim.now;
    while !is_done(sim) {
        assert!(
            sim.now - start < limit,
            "the condition does not hold after {limit:?}"
        );
        sim.run_for(ms(20));
    }
    sim.now - start
}

/// Whether all running nodes store `version`.
fn all_store(sim: &Simulation, key: u64, version: u64) -> bool {
    let running = sim.nodes.iter().filter_map(|node| node.overlay.as_ref());
    running
        .into_iter()
        .all(|overlay| overlay.store().version(key) == Version(version))
}

fn all_fresh(sim: &Simulation, age: Duration) -> bool {
    let running = sim.nodes.iter().filter_map(|node| node.overlay.as_ref());
    running
        .into_iter()
        .all(|overlay| overlay.freshness(sim.now).is_some_and(|fresh| fresh <= age))
}

/// The agents with a parent in another region.
fn region_heads(sim: &Simulation) -> Vec<usize> {
    (sim.deployment.coordinators..sim.nodes.len())
        .filter(|agent| sim.has_remote_parent(*agent))
        .collect()
}

#[test]
fn region_without_coordinators_has_one_head() {
    for seed in 0..5 {
        let sim = start_converged(Deployment::HUNDRED, seed);
        assert_eq!(
            region_heads(&sim).len(),
            2,
            "two of five regions have no coordinator"
        );
    }
}

/// How a node departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    Leave,
    Crash,
}

/// Removes the head of a region, publishes an update and returns the time until all nodes store it.
fn delay_without_region_head(seed: u64, departure: Departure) -> Duration {
    let mut sim = start_converged(Deployment::HUNDRED, seed);
    let head = region_heads(&sim)[0];
    if departure == Departure::Leave {
        sim.dispatch(head, Event::Leave);
    }
    sim.power_off(head);
    sim.run_for(ms(50));
    sim.publish(0, KEY, 1, 100);
    let time = run_until(&mut sim, ms(4_000), |sim| all_store(sim, KEY, 1));
    run_until(&mut sim, ms(3_000), |sim| {
        sim.detached_agents() == 0 && all_fresh(sim, ms(900))
    });
    sim.run_for(ms(3_000));
    assert_eq!(region_heads(&sim).len(), 2);
    time
}

#[test]
fn another_agent_becomes_head_when_the_region_head_crashes() {
    let worst = (0..5)
        .map(|seed| delay_without_region_head(seed, Departure::Crash))
        .max()
        .expect("five seeds");
    println!("head crashed: a change just after is everywhere after {worst:?} at worst");
    assert!(worst < ms(1_500));
}

#[test]
fn graceful_leave_of_a_region_head_delays_updates_less_than_a_crash() {
    let worst = (0..5)
        .map(|seed| delay_without_region_head(seed, Departure::Leave))
        .max()
        .expect("five seeds");
    println!("head left: a change just after is everywhere after {worst:?} at worst");
    assert!(worst < ms(700));
}

#[test]
fn deployment_recovers_when_half_of_all_nodes_crash() {
    for seed in 0..3 {
        let mut sim = start_converged(Deployment::HUNDRED, seed);
        for node in (0..sim.deployment.len()).filter(|node| node % 2 == 1) {
            sim.power_off(node);
        }
        sim.publish(0, KEY, 1, 100);
        let time = run_until(&mut sim, ms(12_000), |sim| all_store(sim, KEY, 1));
        let attached = run_until(&mut sim, ms(12_000), |sim| {
            sim.detached_agents() == 0 && all_fresh(sim, ms(1_000))
        });
        println!("half crashed: change everywhere after {time:?}, all attached {attached:?} later");
    }
}

#[test]
fn deployment_recovers_when_all_processes_restart() {
    for seed in 0..3 {
        let mut sim = start_converged(Deployment::HUNDRED, seed);
        sim.publish(0, KEY, 1, 100);
        sim.run_for(ms(1_000));
        (0..sim.deployment.len()).for_each(|node| sim.kill(node));
        sim.run_for(ms(200));
        (0..sim.deployment.len()).for_each(|node| sim.start_node(node));
        let attached = run_until(&mut sim, ms(5_000), |sim| sim.detached_agents() == 0);
        sim.publish(0, KEY, 2, 100);
        let time = run_until(&mut sim, ms(1_000), |sim| all_store(sim, KEY, 2));
        println!("all restarted: all attached after {attached:?}, a change then takes {time:?}");
        assert_eq!(sim.regressions, 0);
    }
}

#[test]
fn agents_find_new_coordinators_when_all_old_ones_and_their_seeds_are_gone() {
    let mut sim = start_converged(Deployment::TWENTY, 1);
    let agents: Vec<usize> = (sim.deployment.coordinators..sim.deployment.len()).collect();
    (0..sim.deployment.coordinators).for_each(|node| sim.power_off(node));
    sim.seeds = vec![address(agents[4]), address(agents[9])];
    let first = sim.deployment.len();
    for at in 0..3 {
        let descriptor = Descriptor {
            address: address(first + at),
            ..sim.deployment.descriptor(at)
        };
        sim.add(descriptor);
    }
    sim.publish(first, KEY, 1, 100);
    let time = run_until(&mut sim, ms(15_000), |sim| all_store(sim, KEY, 1));
    let attached = run_until(&mut sim, ms(15_000), |sim| {
        sim.detached_agents() == 0 && all_fresh(sim, ms(1_000))
    });
    println!(
        "coordinators replaced: a change is everywhere after {time:?}, all attached {attached:?} later"
    );
}

#[test]
fn region_catches_up_after_a_partition() {
    for seed in 0..3 {
        let mut sim = start_converged(Deployment::HUNDRED, seed);
        sim.cut(|from, to| (from.locality.region == 4) != (to.locality.region == 4));
        sim.run_for(ms(20_000));
        sim.publish(0, KEY, 1, 100);
        sim.run_for(ms(5_000));
        let inside = |node: usize| (node - 5) % 5 == 4;
        let stale = (5..105)
            .filter(|node| inside(*node))
            .filter_map(|node| sim.nodes[node].overlay.as_ref());
        assert!(
            stale
                .into_iter()
                .all(|overlay| overlay.freshness(sim.now) > Some(ms(20_000)))
        );
        sim.heal();
        let time = run_until(&mut sim, ms(8_000), |sim| all_store(sim, KEY, 1));
        sim.run_for(ms(5_000));
        println!(
            "region back: change everywhere after {time:?}, {:?} with a remote parent",
            region_heads(&sim)
        );
        assert_eq!((region_heads(&sim).len(), sim.detached_agents()), (2, 0));
    }
}

#[test]
fn agent_leaves_a_parent_whose_link_is_cut_in_one_direction() {
    for towards_agent in [true, false] {
        let mut sim = start_converged(Deployment::TWENTY, 3);
        let agent = (3..23)
            .find(|agent| sim.parent(*agent).is_some())
            .expect("all are attached");
        let parent = address(sim.parent(agent).expect("attached"));
        let child = address(agent);
        let (from, to) = if towards_agent {
            (parent, child)
        } else {
            (child, parent)
        };
        sim.cut(move |sender, receiver| sender.address == from && receiver.address == to);
        sim.run_for(ms(300));
        sim.publish(0, KEY, 1, 100);
        let time = run_until(&mut sim, ms(2_500), |sim| all_store(sim, KEY, 1));
        println!("one-way cut: change everywhere after {time:?}");
        sim.run_for(ms(10_000));
        assert_ne!(sim.parent(agent), Some(index(parent)));
        assert_eq!(sim.detached_agents(), 0);
    }
}

#[test]
fn updates_arrive_when_one_message_in_ten_is_lost() {
    let mut sim = start_converged(Deployment::HUNDRED, 1);
    sim.loss = 0.1;
    for version in 1..=20 {
        sim.publish(version as usize % 5, KEY, version, 100);
        sim.run_for(ms(1_000));
    }
    let time = run_until(&mut sim, ms(4_000), |sim| all_store(sim, KEY, 20));
    println!(
        "one in ten lost: the last of 20 changes is everywhere after {:?}",
        time + ms(1_000)
    );
    assert_eq!(sim.regressions, 0);
}

#[test]
fn paused_agent_reports_its_staleness_and_catches_up() {
    for seconds in [1, 2, 4, 10] {
        let mut sim = start_converged(Deployment::TWENTY, 2);
        let agent = (3..23).find(|agent| {
            sim.nodes[*agent]
                .overlay
                .as_ref()
                .is_some_and(|node| node.children().count() > 0)
        });
        let agent = agent.expect("some agent has children");
        sim.pause(agent);
        sim.publish(0, KEY, 1, 100);
        sim.run_for(ms(seconds * 1_000));
        sim.resume(agent);
        let now = sim.now;
        let age = sim.nodes[agent]
            .overlay
            .as_ref()
            .and_then(|node| node.freshness(now))
            .expect("heartbeats were recorded");
        println!("paused for {seconds} s: newest heartbeat {age:?} old on return");
        // Neighbours send heartbeats to the paused agent until they close the link, and it reads
        // them on return: the newest may be sent up to 5.5 s after the start of the pause.
        assert!(age + ms(5_500) > ms(seconds * 1_000));
        let time = run_until(&mut sim, ms(3_000), |sim| {
            all_store(sim, KEY, 1) && sim.detached_agents() == 0
        });
        println!(
            "paused for {seconds} s: change everywhere, all attached {time:?} after the return"
        );
    }
}

#[test]
fn agents_become_stale_when_root_heartbeats_stop() {
    let mut sim = start_converged(Deployment::TWENTY, 2);
    for coordinator in 0..3 {
        sim.dispatch(coordinator, Event::InContact(false));
    }
    sim.run_for(ms(4_000));
    assert_eq!(sim.detached_agents(), 0);
    let ages = sim.nodes[3..]
        .iter()
        .filter_map(|node| node.overlay.as_ref()?.freshness(sim.now));
    assert!(ages.min() >= Some(ms(3_000)));
}

#[test]
fn agents_stay_fresh_when_their_coordinator_is_out_of_contact() {
    let mut sim = start_converged(Deployment::TWENTY, 2);
    sim.dispatch(1, Event::InContact(false));
    let isolated = address(1);
    sim.cut(move |from, to| {
        from.is_coordinator()
            && to.is_coordinator()
            && (from.address == isolated || to.address == isolated)
    });
    let mut worst = Duration::ZERO;
    for _ in 0..600 {
        sim.run_for(ms(20));
        let ages = sim.nodes[3..]
            .iter()
            .filter_map(|node| node.overlay.as_ref()?.freshness(sim.now));
        worst = worst.max(ages.max().expect("agents"));
    }
    sim.publish(0, KEY, 1, 100);
    let at = sim.now;
    sim.run_for(ms(3_000));
    let arrivals = &sim.arrivals[&(KEY, 1)];
    let slowest = arrivals.values().map(|arrival| *arrival - at).max();
    println!(
        "one coordinator isolated: newest heartbeat {worst:?} old at worst, an update takes {slowest:?}"
    );
    assert_eq!(arrivals.len(), sim.deployment.len());
    assert!(worst < ms(5_000));
}

#[test]
fn agents_attach_soon_after_coordinators_that_start_late() {
    let mut sim = Simulation::start(Deployment::SMALL, Settings::default(), 4);
    (0..3).for_each(|coordinator| sim.kill(coordinator));
    sim.run_for(ms(30_000));
    assert_eq!(sim.detached_agents(), 7);
    (0..3).for_each(|coordinator| sim.start_node(coordinator));
    let time = run_until(&mut sim, ms(5_000), |sim| sim.detached_agents() == 0);
    println!("coordinators up after 30 s: all attached {time:?} later");
    assert!(time < ms(2_500));
}
