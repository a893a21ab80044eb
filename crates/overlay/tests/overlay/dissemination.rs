//! Distribution without faults.

use std::collections::BTreeSet;
use std::time::Duration;

use ironmast_overlay::{Settings, TreePosition};

use crate::support::deployment::{Deployment, index};
use crate::support::simulation::{Simulation, ms};

/// Publishes one change a second at changing coordinators and returns how long each took to reach
/// each node, sorted.
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

fn check(deployment: Deployment, seed: u64) {
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
fn a_change_reaches_a_small_deployment() {
    for seed in 0..10 {
        check(Deployment::SMALL, seed);
        check(Deployment::TWENTY, seed);
    }
}

#[test]
fn a_change_reaches_a_hundred_agents() {
    check(Deployment::HUNDRED, 1);
}

#[test]
fn a_change_reaches_five_hundred_agents() {
    check(Deployment::FIVE_HUNDRED, 1);
}

#[test]
#[ignore = "a minute; for the figures in docs/CAPACITY.md"]
fn a_change_reaches_two_thousand_agents() {
    check(Deployment::TWO_THOUSAND, 1);
}

/// Agents fed from another zone, and zones that have agents but no coordinator.
fn zone_edges(sim: &Simulation) -> (usize, usize) {
    let agents = sim.deployment.coordinators..sim.deployment.len();
    let locality = |node: usize| sim.nodes[node].descriptor.locality;
    let apart = |agent: &usize| {
        sim.parent(*agent)
            .is_some_and(|source| locality(source) != locality(*agent))
    };
    let zones: BTreeSet<u32> = agents.clone().map(|agent| locality(agent).zone).collect();
    let with: BTreeSet<u32> = (0..sim.deployment.coordinators)
        .map(|node| locality(node).zone)
        .collect();
    (
        agents.filter(apart).count(),
        zones.difference(&with).count(),
    )
}

#[test]
fn few_edges_cross_zones() {
    for deployment in [Deployment::SMALL, Deployment::TWENTY, Deployment::HUNDRED] {
        let mut sim = Simulation::start(deployment, Settings::default(), 1);
        sim.run_for(ms(15_000));
        let (edges, least) = zone_edges(&sim);
        println!(
            "{} agents: {edges} are fed from another zone, {least} at least",
            deployment.agents
        );
        assert!(edges <= least + least / 4 + 1);
    }
}

/// Neighbours besides the source whose own path leads neither over `agent` nor over its source.
fn other_sources(sim: &Simulation, agent: usize) -> usize {
    let Some(overlay) = &sim.nodes[agent].overlay else {
        return 0;
    };
    let source = overlay.parent().map(index);
    let avoided =
        [Some(agent), source].map(|node| node.map(|node| sim.nodes[node].descriptor.id()));
    let others = overlay
        .neighbours()
        .map(|node| index(node.address))
        .filter(|node| Some(*node) != source);
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

/// Nodes that feed a region alone: the only coordinator in it, or the agent fed from outside.
fn single_feeders(sim: &Simulation) -> Vec<usize> {
    let region = |node: usize| sim.nodes[node].descriptor.locality.region;
    let core = 0..sim.deployment.coordinators;
    let alone = |node: &usize| {
        core.clone()
            .filter(|other| region(*other) == region(*node))
            .count()
            == 1
    };
    let heads = (sim.deployment.coordinators..sim.deployment.len())
        .filter(|agent| sim.has_remote_parent(*agent));
    core.clone().filter(alone).chain(heads).collect()
}

#[test]
fn nearly_all_agents_have_a_second_source_that_does_not_depend_on_the_first() {
    for deployment in [Deployment::SMALL, Deployment::HUNDRED] {
        let mut sim = Simulation::start(deployment, Settings::default(), 1);
        sim.run_for(ms(15_000));
        let single = single_feeders(&sim);
        let agents: Vec<usize> = (deployment.coordinators..deployment.len()).collect();
        // Where one node feeds a region, the deputy among those it feeds holds the second source
        // for all.
        let spared = |agent: &&usize| {
            sim.parent(**agent)
                .is_some_and(|source| single.contains(&source))
        };
        let without = agents
            .iter()
            .filter(|agent| !spared(agent) && other_sources(&sim, **agent) == 0)
            .count();
        println!(
            "{} agents: {without} without a second source",
            deployment.agents
        );
        assert!(without * 100 <= deployment.agents);
        for node in single {
            let region = |node: usize| sim.nodes[node].descriptor.locality.region;
            let fed = agents.iter().filter(|agent| {
                sim.parent(**agent) == Some(node) && region(**agent) == region(node)
            });
            let others: Vec<usize> = fed.map(|agent| other_sources(&sim, *agent)).collect();
            assert!(
                others.is_empty() || others.iter().any(|others| *others > 0),
                "node {node}"
            );
        }
    }
}
