//! Bursts of updates, large entries, and nodes that start with an empty store.

use std::time::Duration;

use ironmast_overlay::{Settings, Version};

use crate::support::deployment::Deployment;
use crate::support::simulation::{Simulation, ms};

fn start_converged(deployment: Deployment) -> Simulation {
    let mut sim = Simulation::start(deployment, Settings::default(), 1);
    sim.run_for(ms(8_000));
    sim
}

fn stores_all(sim: &Simulation, node: usize, keys: u64) -> bool {
    let overlay = sim.nodes[node].overlay.as_ref().expect("running");
    (0..keys).all(|key| overlay.store().version(key) > Version::default())
}

/// Runs until all `nodes` store all `keys`, checked every 10 ms, and returns the time.
fn run_until_stored(sim: &mut Simulation, nodes: &[usize], keys: u64) -> Duration {
    let start = sim.now;
    while !nodes.iter().all(|node| stores_all(sim, *node, keys)) {
        assert!(
            sim.now - start < ms(10_000),
            "a node lacks entries after 10 s"
        );
        sim.run_for(ms(10));
    }
    sim.now - start
}

#[test]
fn updates_close_together_are_pushed_in_one_message() {
    let mut sim = start_converged(Deployment::HUNDRED);
    let before: Vec<u64> = sim.nodes.iter().map(|node| node.pushes).collect();
    for key in 0..200 {
        sim.publish(0, key, 1, 100);
        sim.run_for(Duration::from_micros(100));
    }
    sim.run_for(ms(300));
    let pushes = sim
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, before)| node.pushes - before);
    let most = pushes.max().expect("nodes");
    println!("200 updates within 20 ms reach a node in {most} messages at most");
    assert!(most <= 4);
    assert!((0..sim.deployment.len()).all(|node| stores_all(&sim, node, 200)));
}

#[test]
fn large_entry_reaches_all_nodes_in_time() {
    let mut sim = start_converged(Deployment::HUNDRED);
    sim.publish(0, 0, 1, 50_000);
    let all: Vec<usize> = (0..sim.deployment.len()).collect();
    let time = run_until_stored(&mut sim, &all, 1);
    println!("an entry of 50 kB is everywhere after {time:?} (bandwidth not counted)");
    assert!(time < ms(400));
}

#[test]
fn restarted_node_receives_all_entries_in_time() {
    const KEYS: u64 = 2_000;
    let mut sim = start_converged(Deployment::HUNDRED);
    for key in 0..KEYS {
        sim.publish(key as usize % 5, key, 1, 300);
    }
    sim.run_for(ms(3_000));
    let agents: Vec<usize> = (5..105)
        .filter(|agent| sim.has_remote_parent(*agent))
        .chain([5, 50])
        .collect();
    let mut worst = Duration::ZERO;
    for agent in agents {
        sim.kill(agent);
        sim.run_for(ms(500));
        sim.start_node(agent);
        worst = worst.max(run_until_stored(&mut sim, &[agent], KEYS));
    }
    println!("a restarted agent stores 2,000 entries after {worst:?} at worst");
    assert!(worst < ms(2_000));
    sim.kill(1);
    sim.run_for(ms(500));
    sim.start_node(1);
    let time = run_until_stored(&mut sim, &[1], KEYS);
    println!("a restarted coordinator stores 2,000 entries after {time:?}");
    assert!(time < ms(2_000));
}

/// The sorted delays of 20 updates to all nodes, and the number that exceeded 5 s.
fn delays_and_late(deployment: Deployment, loss: f64) -> (Vec<Duration>, usize) {
    let mut sim = start_converged(deployment);
    sim.loss = loss;
    let mut delays = Vec::new();
    let mut late = 0;
    for version in 1..=20 {
        let at = sim.publish(version as usize % deployment.coordinators, 7, version, 300);
        sim.run_for(ms(5_000));
        let arrivals = &sim.arrivals[&(7, version)];
        late += deployment.len() - arrivals.len();
        delays.extend(arrivals.values().map(|arrival| *arrival - at));
    }
    delays.sort();
    (delays, late)
}

#[test]
#[ignore = "prints the figures in docs/CAPACITY.md; run in release mode"]
fn delays_by_size_and_loss() {
    let regions = |agents: usize| if agents < 50 { 2 } else { 10 };
    for agents in [7, 30, 100, 300, 1_000] {
        let coordinator_regions = if agents < 50 { 2 } else { 5 };
        let deployment = Deployment {
            coordinators: 5,
            agents,
            regions: regions(agents),
            zones: 4,
            coordinator_regions,
        };
        for loss in [0.0, 0.01, 0.1] {
            let (delays, late) = delays_and_late(deployment, loss);
            let at = |part: usize| delays[(delays.len() - 1) * part / 100];
            println!(
                "{agents:>5} agents, loss {loss}: median {:?} 99 % {:?} worst {:?}, {late} of {} later than 5 s",
                at(50),
                at(99),
                at(100),
                delays.len() + late
            );
            assert_eq!(late, 0);
        }
    }
}
