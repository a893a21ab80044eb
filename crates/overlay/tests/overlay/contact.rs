//! A coordinator loses contact with the majority of the coordinators. Its region has a single zone
//! and no other coordinator; updates of the majority must still reach every agent in time.

mod large_deployment;
mod scenario;

use std::time::Duration;

use ironmast_overlay::{Event, Guards, TreePosition};

use self::scenario::{
    ALL_KINDS, COORDINATORS, CutKind, Detection, ISOLATED, MAX_DELAY, Scenario, Step,
};
use crate::support::cuts::CutEffect;
use crate::support::simulation::{Simulation, ms};
use crate::support::statistics::{print_quantiles, quantile};

/// The sorted delays of all updates over these seeds and kinds of cuts. The seed also sets the
/// number of agents in the isolated region: 2 to 10.
fn delays(
    seeds: std::ops::Range<u64>,
    kinds: &[CutKind],
    guards: &Guards,
    detection: Detection,
) -> Vec<Duration> {
    let mut all = Vec::new();
    for kind in kinds {
        let mut delays = Vec::new();
        for seed in seeds.clone() {
            let isolated_region_agents = 2 + (seed % 9) as usize;
            delays.extend(
                Scenario::new(
                    *kind,
                    isolated_region_agents,
                    guards.clone(),
                    detection,
                    seed,
                )
                .run(),
            );
        }
        delays.sort();
        print_quantiles(&format!("{kind:?}"), &delays, MAX_DELAY);
        all.extend(delays);
    }
    all.sort();
    print_quantiles("all", &all, MAX_DELAY);
    all
}

#[test]
fn updates_arrive_in_time_when_a_coordinator_is_cut_off() {
    let delays = delays(0..5, &ALL_KINDS, &Guards::default(), Detection::Detected);
    assert!(quantile(&delays, 1_000) <= MAX_DELAY);
}

#[test]
fn updates_arrive_in_time_when_the_cut_is_not_detected() {
    let delays = delays(0..3, &ALL_KINDS, &Guards::default(), Detection::Undetected);
    assert!(quantile(&delays, 1_000) <= MAX_DELAY);
}

#[test]
fn updates_arrive_in_time_when_no_coordinator_reaches_another() {
    for detection in [Detection::Detected, Detection::Undetected] {
        let delays = delays(
            0..5,
            &[CutKind::AllCoordinators],
            &Guards::default(),
            detection,
        );
        assert!(quantile(&delays, 1_000) <= MAX_DELAY);
    }
}

#[test]
#[ignore = "takes minutes; run in release mode"]
fn updates_arrive_in_time_over_a_thousand_seeds_of_each_cut() {
    for detection in [Detection::Detected, Detection::Undetected] {
        println!("{detection:?}");
        let delays = delays(1_000..2_000, &ALL_KINDS, &Guards::default(), detection);
        assert!(quantile(&delays, 1_000) <= MAX_DELAY);
    }
}

/// The sorted delays for an undetected cut between coordinators, in isolated regions of five to ten
/// agents.
fn delays_undetected(guards: &Guards) -> Vec<Duration> {
    delays(
        3..9,
        &[CutKind::Coordinators],
        guards,
        Detection::Undetected,
    )
}

#[test]
fn remote_standbys_keep_updates_in_time_and_their_absence_does_not() {
    assert!(quantile(&delays_undetected(&Guards::default()), 1_000) <= MAX_DELAY);
    let without = delays_undetected(&Guards {
        stable_standby: false,
        ..Guards::default()
    });
    assert!(quantile(&without, 1_000) > MAX_DELAY);
}

#[test]
fn short_remote_announce_interval_reduces_the_delay() {
    let usual = quantile(&delays_undetected(&Guards::default()), 990);
    let slow = quantile(
        &delays_undetected(&Guards {
            quick_announce: false,
            ..Guards::default()
        }),
        990,
    );
    println!("p99 {usual:?}; with the announce interval of links within a region {slow:?}");
    assert!(usual < ms(500) && slow > ms(700));
}

/// A network in which a coordinator is cut off from the others and has detected its loss of
/// contact.
fn isolated_out_of_contact(guards: Guards) -> Simulation {
    let mut scenario = Scenario::new(CutKind::Coordinators, 6, guards, Detection::Undetected, 1);
    scenario
        .script
        .retain(|(_, step)| matches!(step, Step::Start(_)));
    for (at, step) in std::mem::take(&mut scenario.script) {
        scenario.run_until(at);
        scenario.execute(step);
    }
    scenario.run_until(ms(10_000));
    scenario.execute(Step::Cut);
    scenario.sim.dispatch(ISOLATED, Event::InContact(false));
    scenario.sim
}

/// Number of agents whose path starts at the isolated coordinator.
fn agents_below_isolated(sim: &Simulation) -> usize {
    let isolated = sim.nodes[ISOLATED].descriptor.id();
    let running = sim.nodes.iter().filter_map(|node| node.overlay.as_ref());
    let is_below = |position: &TreePosition| match position {
        TreePosition::Descendant { path, .. } => path[0] == isolated,
        TreePosition::Root { .. } | TreePosition::Detached => false,
    };
    running
        .filter(|overlay| is_below(overlay.position()))
        .count()
}

/// The age of the newest root heartbeat at the agent where it is oldest.
fn max_heartbeat_age(sim: &Simulation) -> Duration {
    let agents = &sim.nodes[COORDINATORS.coordinators..];
    let ages = agents
        .iter()
        .filter_map(|node| node.overlay.as_ref()?.freshness(sim.now));
    ages.max().expect("agents run")
}

#[test]
fn coordinator_out_of_contact_has_no_descendants_until_contact_returns() {
    let mut sim = isolated_out_of_contact(Guards::default());
    sim.run_for(ms(1_000));
    assert_eq!(agents_below_isolated(&sim), 0);
    for _ in 0..100 {
        sim.run_for(ms(100));
        assert!(
            agents_below_isolated(&sim) == 0 && max_heartbeat_age(&sim) < ms(1_500),
            "{:?}",
            max_heartbeat_age(&sim)
        );
    }
    sim.cut_with(CutEffect::Delayed, |_, _| false);
    sim.dispatch(ISOLATED, Event::InContact(true));
    sim.run_for(ms(1_000));
    assert_eq!(agents_below_isolated(&sim), 6);
}

#[test]
fn agents_stay_below_a_coordinator_that_does_not_report_its_loss_of_contact() {
    let mut sim = isolated_out_of_contact(Guards {
        contact: false,
        ..Guards::default()
    });
    sim.run_for(ms(5_000));
    println!(
        "newest heartbeat {:?} old, {} agents below it",
        max_heartbeat_age(&sim),
        agents_below_isolated(&sim)
    );
    assert!(agents_below_isolated(&sim) > 0);
}

/// The 99th percentile of the delays in isolated regions of eight to ten agents whose coordinator
/// is also cut off from all other zones.
fn p99_among_agents(guards: &Guards) -> Duration {
    quantile(
        &delays(6..9, &[CutKind::OtherZones], guards, Detection::Undetected),
        990,
    )
}

#[test]
fn eager_relay_reduces_the_delay_among_agents() {
    let usual = p99_among_agents(&Guards::default());
    let lazy = p99_among_agents(&Guards {
        eager_relay: false,
        ..Guards::default()
    });
    println!("p99 {usual:?}; without the eager relay {lazy:?}");
    assert!(usual < ms(500) && lazy > ms(800));
}
