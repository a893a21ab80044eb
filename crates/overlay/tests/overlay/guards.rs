//! Each mechanism is disabled in turn, and the property that it maintains is shown to break.

use ironmast_overlay::{Guards, Settings, Version};

use crate::support::deployment::Deployment;
use crate::support::simulation::{Simulation, ms};

const KEY: u64 = 7;

fn settings_with(guards: Guards) -> Settings {
    Settings {
        guards,
        ..Settings::default()
    }
}

/// Number of running nodes that store this version.
fn count_storing(sim: &Simulation, key: u64, version: u64) -> usize {
    let running = sim.nodes.iter().filter_map(|node| node.overlay.as_ref());
    running
        .filter(|overlay| overlay.store().version(key) == Version(version))
        .count()
}

/// Number of updates, of ten under 10 % message loss, that reached all nodes within 2.5 s.
fn in_time_under_loss(guards: Guards) -> usize {
    let mut sim = Simulation::start(Deployment::HUNDRED, settings_with(guards), 1);
    sim.run_for(ms(8_000));
    sim.loss = 0.1;
    let mut in_time = 0;
    for version in 1..=10 {
        sim.publish(version as usize % 5, KEY, version, 100);
        sim.run_for(ms(2_500));
        in_time += usize::from(count_storing(&sim, KEY, version) == sim.deployment.len());
    }
    in_time
}

#[test]
fn lazy_repair_keeps_updates_in_time_under_loss() {
    // Anti-entropy is disabled because it would repair the stores too, a little later.
    let with_it = in_time_under_loss(Guards {
        anti_entropy: false,
        ..Guards::default()
    });
    let without = in_time_under_loss(Guards {
        anti_entropy: false,
        lazy_repair: false,
        ..Guards::default()
    });
    println!(
        "updates in time at all nodes, of ten under loss: {with_it}, without lazy repair {without}"
    );
    assert!(with_it >= 9 && without <= 4);
}

/// Number of nodes that lack an update 10 s after half a second in which its push and its
/// announcement were lost.
fn missing_after_blackout(guards: Guards) -> usize {
    // With a long timeout no parent is suspected: the digest in a graft would repair the stores
    // too.
    let settings = Settings {
        suspect_timeout: ms(2_500),
        ..settings_with(guards)
    };
    let mut sim = Simulation::start(Deployment::HUNDRED, settings, 1);
    sim.run_for(ms(40_000));
    sim.loss = 1.0;
    sim.publish(0, KEY, 1, 100);
    sim.run_for(ms(520));
    sim.loss = 0.0;
    sim.run_for(ms(10_000));
    sim.deployment.len() - count_storing(&sim, KEY, 1)
}

#[test]
fn anti_entropy_delivers_updates_whose_push_and_announcement_were_lost() {
    assert_eq!(missing_after_blackout(Guards::default()), 0);
    let without = missing_after_blackout(Guards {
        anti_entropy: false,
        ..Guards::default()
    });
    println!("without anti-entropy {without} nodes still lack the update");
    assert!(without > 0);
}

/// Number of older versions reported after newer ones when a coordinator publishes an old version.
fn regressions(guards: Guards) -> usize {
    let mut sim = Simulation::start(Deployment::TWENTY, settings_with(guards), 1);
    sim.run_for(ms(5_000));
    sim.publish(0, KEY, 5, 100);
    sim.run_for(ms(1_000));
    sim.publish(1, KEY, 4, 100);
    sim.run_for(ms(1_000));
    sim.regressions
}

#[test]
fn version_check_rejects_older_versions() {
    assert_eq!(regressions(Guards::default()), 0);
    assert!(
        regressions(Guards {
            version_check: false,
            ..Guards::default()
        }) > 0
    );
}

/// Most agents linked to one coordinator, and most children of one agent.
fn max_links_and_children(guards: Guards) -> (usize, usize) {
    let mut sim = Simulation::start(Deployment::HUNDRED, settings_with(guards), 1);
    sim.run_for(ms(15_000));
    let (coordinators, agents) = sim.nodes.split_at(sim.deployment.coordinators);
    let linked = coordinators.iter().filter_map(|node| node.overlay.as_ref());
    let linked = linked.map(|overlay| {
        overlay
            .neighbours()
            .filter(|node| !node.is_coordinator())
            .count()
    });
    let children = agents
        .iter()
        .filter_map(|node| node.overlay.as_ref())
        .map(|overlay| overlay.children().count());
    (linked.max().unwrap_or(0), children.max().unwrap_or(0))
}

#[test]
fn fanout_bound_limits_links_and_children() {
    let settings = Settings::default();
    let (linked, children) = max_links_and_children(Guards::default());
    assert!(
        linked <= settings.coordinator_fanout && children <= settings.fanout,
        "{linked} {children}"
    );
    let (without_bound, _) = max_links_and_children(Guards {
        fanout_bound: false,
        ..Guards::default()
    });
    println!("most agents linked to one coordinator: {linked}, without the bound {without_bound}");
    assert!(without_bound > settings.coordinator_fanout);
}

/// Mean number of region crossings of an update: bytes of entries sent between regions for ten
/// updates, divided by the bytes of their payloads.
fn region_crossings(guards: Guards) -> f64 {
    const SIZE: usize = 5_000;
    let mut sim = Simulation::start(Deployment::HUNDRED, settings_with(guards), 1);
    sim.run_for(ms(8_000));
    let inter_region_entry_bytes = |sim: &Simulation| {
        sim.nodes
            .iter()
            .map(|node| node.sent.inter_region_entry_bytes)
            .sum::<u64>()
    };
    let before = inter_region_entry_bytes(&sim);
    for version in 1..=10 {
        sim.publish(version as usize % 5, KEY, version, SIZE);
        sim.run_for(ms(1_000));
    }
    println!(
        "{} agents have a remote parent",
        (5..105)
            .filter(|agent| sim.has_remote_parent(*agent))
            .count()
    );
    (inter_region_entry_bytes(&sim) - before) as f64 / (10 * SIZE) as f64
}

#[test]
fn region_heads_let_each_update_enter_a_region_once() {
    let with_them = region_crossings(Guards::default());
    let without = region_crossings(Guards {
        region_heads: false,
        ..Guards::default()
    });
    // The minimum is 4: an update enters each of the five regions but that of its origin once.
    println!(
        "crossings an update: {with_them:.2}, without region heads {without:.2}, in a star topology 80"
    );
    assert!(with_them < 4.5 && without > with_them + 2.0);
}

/// Milliseconds from the crash of a region head until no agent has it as its parent and all agents
/// are attached.
fn failover_ms(guards: Guards) -> u64 {
    let mut sim = Simulation::start(Deployment::HUNDRED, settings_with(guards), 1);
    sim.run_for(ms(8_000));
    let head = (5..105)
        .find(|agent| sim.has_remote_parent(*agent))
        .expect("a region without a coordinator has a head");
    sim.power_off(head);
    let start = sim.now;
    while (5..105).any(|agent| sim.is_running(agent) && sim.parent(agent) == Some(head))
        || sim.detached_agents() > 0
    {
        sim.run_for(ms(20));
    }
    (sim.now - start).as_millis() as u64
}

#[test]
fn suspicion_shortens_the_failover_of_a_parent() {
    let with_it = failover_ms(Guards::default());
    let without = failover_ms(Guards {
        suspicion: false,
        ..Guards::default()
    });
    println!("head crashed: all attached again after {with_it} ms, without suspicion {without} ms");
    assert!(with_it < 1_800 && without > 2_200);
}
