//! Isolated coordinators with regions of thirty agents, and a deployment without a majority.

use std::time::Duration;

use ironmast_overlay::{Descriptor, Event, Settings};

use super::scenario::{CONTACT_TIMEOUT, Detection, KEY, MAX_DELAY, PAYLOAD_BYTES};
use crate::support::cuts::CutEffect;
use crate::support::deployment::{Deployment, index};
use crate::support::simulation::{Simulation, ms};

/// Regions of thirty agents, half of them with one coordinator.
const LARGE: Deployment = Deployment {
    coordinators: 5,
    agents: 300,
    regions: 10,
    zones: 4,
    coordinator_regions: 5,
};

fn both_coordinators(from: &Descriptor, to: &Descriptor) -> bool {
    from.is_coordinator() && to.is_coordinator()
}

/// Cuts the first `isolated` coordinators off from the others and returns the longest delay of an
/// update.
fn worst_delay_when_isolated(isolated: usize, detection: Detection) -> Duration {
    let mut sim = Simulation::start(LARGE, Settings::default(), 1);
    sim.run_for(ms(8_000));
    let is_isolated = move |node: &Descriptor| index(node.address) < isolated;
    sim.cut_with(CutEffect::Delayed, move |from, to| {
        both_coordinators(from, to) && (is_isolated(from) || is_isolated(to))
    });
    let detected_at = sim.now + CONTACT_TIMEOUT;
    let mut worst = Duration::ZERO;
    for version in 1..=12 {
        if detection == Detection::Detected && sim.now >= detected_at {
            (0..isolated).for_each(|node| sim.dispatch(node, Event::InContact(false)));
        }
        let at = sim.publish(
            isolated + version as usize % (LARGE.coordinators - isolated),
            KEY,
            version,
            PAYLOAD_BYTES,
        );
        sim.run_for(ms(1_500));
        for agent in LARGE.coordinators..LARGE.len() {
            let arrived = sim.arrivals[&(KEY, version)]
                .get(&agent)
                .copied()
                .unwrap_or(Duration::MAX);
            worst = worst.max(arrived.saturating_sub(at));
        }
    }
    println!(
        "{isolated} of 5 coordinators cut off, {detection:?}: an update takes {worst:?} at worst"
    );
    worst
}

#[test]
fn updates_arrive_in_time_in_large_regions() {
    for isolated in [1, 2] {
        assert!(worst_delay_when_isolated(isolated, Detection::Detected) <= MAX_DELAY);
        assert!(worst_delay_when_isolated(isolated, Detection::Undetected) <= MAX_DELAY);
    }
}

/// Runs the simulation for `seconds` and returns the number of bytes sent between regions.
fn inter_region_bytes(sim: &mut Simulation, seconds: u64) -> u64 {
    let total = |sim: &Simulation| {
        sim.nodes
            .iter()
            .map(|node| node.sent.inter_region_bytes)
            .sum::<u64>()
    };
    let before = total(sim);
    sim.run_for(ms(seconds * 1_000));
    total(sim) - before
}

#[test]
fn large_deployment_without_a_majority_delivers_updates_at_bounded_traffic() {
    const SECONDS: u64 = 20;
    let mut sim = Simulation::start(LARGE, Settings::default(), 1);
    sim.run_for(ms(8_000));
    let with_majority = inter_region_bytes(&mut sim, SECONDS);
    sim.cut_with(CutEffect::Delayed, both_coordinators);
    (0..LARGE.coordinators).for_each(|node| sim.dispatch(node, Event::InContact(false)));
    let without_majority = inter_region_bytes(&mut sim, SECONDS);
    println!(
        "bytes between regions in {SECONDS} s: {with_majority}, without a majority {without_majority}"
    );
    let mut worst = Duration::ZERO;
    for version in 1..=10 {
        let at = sim.publish(
            version as usize % LARGE.coordinators,
            KEY,
            version,
            PAYLOAD_BYTES,
        );
        sim.run_for(ms(1_500));
        let arrivals = &sim.arrivals[&(KEY, version)];
        worst = worst.max(*arrivals.values().max().expect("the publisher has it") - at);
        assert_eq!(arrivals.len(), LARGE.len(), "version {version}");
    }
    println!("without a majority an update takes {worst:?} at worst");
    assert!(without_majority < 4 * with_majority);
    assert_eq!(sim.detached_agents(), 0);
}
