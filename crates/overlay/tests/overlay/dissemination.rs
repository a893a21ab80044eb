//! Dissemination without faults: delays of updates, and the shape of the relay tree.

use std::collections::BTreeSet;
use std::time::Duration;

use ironmast_overlay::{Settings, TreePosition};

use crate::support::deployment::{Deployment, index};
use crate::support::simulation::{Simulation, ms};

/// Publishes one update a second at changing coordinators and returns the delays of all updates to
/// all nodes, sorted.
fn delays(sim: &mut Simulation, changes: u64) -> Vec<Duration> {
    let mut delays = Vec::new();
    for version in 1..=changes {
        let at = sim.publish(
            version as usize % sim.deployment.coordinators,
            7,
            version,
            300,
        );
        sim.run_for(ms(1_000));
        let arrivals = &sim.arrivals[&(7, version)];
        assert_eq!(
            arrivals.len(),
            sim.deployment.len(),
            "version {version} reached all within a second"
        );
        delays.extend(arrivals.values().map(|arrival| *arrival - at));
    }
    delays.sort();
    delays
}

fn check_delays(deployment: Deployment, seed: u64) {
    let mut sim = Simulation::start(deployment, Settings::default(), seed);
    sim.run_for(ms(5_000));
    assert_eq!(sim.detached_agents(), 0);
    let delays = delays(&mut sim, 8);
    let at = |part: usize| delays[(delays.len() - 1) * part / 100];
    println!(
        "{} agents: p50 {:?} p99 {:?} worst {:?}",
        deployment.agents,
        at(50),
        at(99),
        at(100)
    );
    assert!(at(99) < ms(300));
    assert_eq!(sim.regressions, 0);
}

#[test]
fn updates_reach_small_deployments_in_time() {
    for seed in 0..10 {
        check_delays(Deployment::SMALL, seed);
        check_delays(Deployment::TWENTY, seed);
    }
}

#[test]
fn updates_reach_a_hundred_agents_in_time() {
    check_delays(Deployment::HUNDRED, 1);
}

#[test]
fn updates_reach_five_hundred_agents_in_time() {
    check_delays(Deployment::FIVE_HUNDRED, 1);
}

#[test]
#[ignore = "takes a minute; prints the figures in docs/CAPACITY.md"]
fn updates_reach_two_thousand_agents_in_time() {
    check_delays(Deployment::TWO_THOUSAND, 1);
}

/// Number of agents with a parent in another zone, and of zones with agents but no coordinator.
fn zone_edges(sim: &Simulation) -> (usize, usize) {
    let agents = sim.deployment.coordinators..sim.deployment.len();
    let locality = |node: usize| sim.nodes[node].descriptor.locality;
    let has_parent_in_other_zone = |agent: &usize| {
        sim.parent(*agent)
            .is_some_and(|parent| locality(parent) != locality(*agent))
    };
    let zones: BTreeSet<u32> = agents.clone().map(|agent| locality(agent).zone).collect();
    let with_coordinator: BTreeSet<u32> = (0..sim.deployment.coordinators)
        .map(|node| locality(node).zone)
        .collect();
    (
        agents.filter(has_parent_in_other_zone).count(),
        zones.difference(&with_coordinator).count(),
    )
}

#[test]
fn tree_edges_between_zones_are_few() {
    for deployment in [Deployment::SMALL, Deployment::TWENTY, Deployment::HUNDRED] {
        let mut sim = Simulation::start(deployment, Settings::default(), 1);
        sim.run_for(ms(15_000));
        let (edges, min_edges) = zone_edges(&sim);
        println!(
            "{} agents: {edges} have a parent in another zone, {min_edges} is the minimum",
            deployment.agents
        );
        assert!(edges <= min_edges + min_edges / 4 + 1);
    }
}

/// Number of neighbours other than the parent whose own path contains neither `agent` nor its
/// parent.
fn independent_parents(sim: &Simulation, agent: usize) -> usize {
    let Some(overlay) = &sim.nodes[agent].overlay else {
        return 0;
    };
    let parent = overlay.parent().map(index);
    let avoided =
        [Some(agent), parent].map(|node| node.map(|node| sim.nodes[node].descriptor.id()));
    let others = overlay
        .neighbours()
        .map(|node| index(node.address))
        .filter(|node| Some(*node) != parent);
    let positions = others
        .filter_map(|node| sim.nodes[node].overlay.as_ref())
        .map(ironmast_overlay::Overlay::position);
    let independent = |position: &&TreePosition| match position {
        TreePosition::Root { .. } => true,
        TreePosition::Detached => false,
        TreePosition::Descendant { path, .. } => {
            !path.iter().any(|node| avoided.contains(&Some(*node)))
        }
    };
    positions.filter(independent).count()
}

/// Nodes that are the single entry of updates into a region: its only coordinator, or its head.
fn single_region_entries(sim: &Simulation) -> Vec<usize> {
    let region = |node: usize| sim.nodes[node].descriptor.locality.region;
    let coordinators = 0..sim.deployment.coordinators;
    let is_only_coordinator = |node: &usize| {
        coordinators
            .clone()
            .filter(|other| region(*other) == region(*node))
            .count()
            == 1
    };
    let heads = (sim.deployment.coordinators..sim.deployment.len())
        .filter(|agent| sim.has_remote_parent(*agent));
    coordinators
        .clone()
        .filter(is_only_coordinator)
        .chain(heads)
        .collect()
}

#[test]
fn agents_have_an_alternative_parent_independent_of_the_first() {
    for deployment in [Deployment::SMALL, Deployment::HUNDRED] {
        let mut sim = Simulation::start(deployment, Settings::default(), 1);
        sim.run_for(ms(15_000));
        let single = single_region_entries(&sim);
        let agents: Vec<usize> = (deployment.coordinators..deployment.len()).collect();
        // Children of the single entry node of a region are exempt: one of them (the successor) has
        // an alternative parent, which suffices for the region.
        let depends_on_single_entry = |agent: &&usize| {
            sim.parent(**agent)
                .is_some_and(|parent| single.contains(&parent))
        };
        let without = agents
            .iter()
            .filter(|agent| {
                !depends_on_single_entry(agent) && independent_parents(&sim, **agent) == 0
            })
            .count();
        println!(
            "{} agents: {without} without an alternative parent",
            deployment.agents
        );
        assert!(without * 100 <= deployment.agents);
        for node in single {
            let region = |node: usize| sim.nodes[node].descriptor.locality.region;
            let children = agents.iter().filter(|agent| {
                sim.parent(**agent) == Some(node) && region(**agent) == region(node)
            });
            let others: Vec<usize> = children
                .map(|agent| independent_parents(&sim, *agent))
                .collect();
            assert!(
                others.is_empty() || others.iter().any(|others| *others > 0),
                "node {node}"
            );
        }
    }
}
