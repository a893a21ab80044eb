//! Simulation of the endpoint tables of several coordinators. Servers send heartbeats to any of
//! them, over a network with delays, reordering, message loss and partitions. Checks that no agent
//! sees a server as usable again after it drained or deregistered, that agents learn of drains in
//! time, and that all nodes converge once the faults end.

mod checks;
mod entries;
mod network;
mod server;
mod world;

use checks::{Mechanism, Violation};
use world::World;

const SEEDS: u64 = 200;
/// Number of seeds of which at least one must detect a disabled mechanism.
const SEEDS_TO_DETECT: u64 = 60;

fn violations(coordinators: usize, seed: u64, disabled: Option<Mechanism>) -> Vec<Violation> {
    let mut world = World::new(coordinators, seed, disabled);
    world.run();
    world.violations
}

fn assert_no_violation(coordinators: usize) {
    for seed in 0..SEEDS {
        let found = violations(coordinators, seed, None);
        assert!(found.is_empty(), "seed {seed}: {found:?}");
    }
}

fn assert_detected(disabled: Mechanism, is_symptom: impl Fn(&Violation) -> bool) {
    let detected = (0..SEEDS_TO_DETECT)
        .any(|seed| violations(3, seed, Some(disabled)).iter().any(&is_symptom));
    assert!(detected, "no seed detects that {disabled:?} is disabled");
}

#[test]
fn agents_of_three_coordinators_converge() {
    assert_no_violation(3);
}

#[test]
fn agents_of_five_coordinators_converge() {
    assert_no_violation(5);
}

#[test]
fn missing_resend_of_newer_entries_is_detected() {
    assert_detected(Mechanism::ResendNewer, |violation| {
        matches!(violation, Violation::Diverged { .. })
    });
}

#[test]
fn missing_version_check_is_detected() {
    assert_detected(Mechanism::Versions, |violation| {
        matches!(violation, Violation::Revived { .. })
    });
}

#[test]
fn missing_anti_entropy_is_detected() {
    assert_detected(Mechanism::AntiEntropy, |violation| {
        matches!(violation, Violation::Diverged { .. })
    });
}
