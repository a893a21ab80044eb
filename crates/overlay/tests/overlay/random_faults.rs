//! Random faults over many seeds: after the last fault all nodes converge, and no node ever reports
//! an older version after a newer one.

use std::collections::BTreeMap;

use ironmast_overlay::{Event, Settings, Version};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::support::deployment::Deployment;
use crate::support::simulation::{Simulation, ms};

/// Number of steps of a script, and the mean time of a step in milliseconds.
const STEPS: usize = 40;
const MEAN_STEP_MS: u64 = 700;

/// Number of keys that are published.
const KEYS: u64 = 12;

/// A run of random faults and updates. The disk of a coordinator survives its restarts: it has the
/// version that the coordinator last published for each key, and whether that was a removal.
struct Script {
    sim: Simulation,
    random: Xoshiro256PlusPlus,
    disks: Vec<BTreeMap<u64, (u64, bool)>>,
    version: u64,
}

impl Script {
    fn new(deployment: Deployment, seed: u64) -> Script {
        let sim = Simulation::start(deployment, Settings::default(), seed);
        let disks = vec![BTreeMap::new(); deployment.coordinators];
        Script {
            sim,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            disks,
            version: 0,
        }
    }

    fn any_node(&mut self) -> usize {
        self.random.random_range(0..self.sim.deployment.len())
    }

    fn step(&mut self) {
        match self.random.random_range(0..12) {
            0 => self.kill(),
            1 => self.power_off(),
            2 | 3 => self.start_stopped_node(),
            4 => self.cut_one_way(),
            5 => self.cut_region(),
            6 => self.sim.heal(),
            7 => {
                self.sim.loss = if self.random.random_bool(0.5) {
                    0.1
                } else {
                    0.0
                }
            }
            8 => self.leave(),
            _ => self.publish(),
        }
        self.publish();
        let time = self.random.random_range(0..2 * MEAN_STEP_MS);
        self.sim.run_for(ms(time));
    }

    fn kill(&mut self) {
        let many = if self.random.random_bool(0.1) {
            self.sim.deployment.len()
        } else {
            2
        };
        for _ in 0..many {
            let node = self.any_node();
            self.sim.kill(node);
        }
    }

    fn power_off(&mut self) {
        let node = self.any_node();
        self.sim.power_off(node);
    }

    fn leave(&mut self) {
        let node = self.any_node();
        self.sim.dispatch(node, Event::Leave);
        self.sim.power_off(node);
    }

    fn start_stopped_node(&mut self) {
        let down: Vec<usize> = (0..self.sim.deployment.len())
            .filter(|node| !self.sim.is_running(*node))
            .collect();
        if !down.is_empty() {
            let node = down[self.random.random_range(0..down.len())];
            self.start_node(node);
        }
    }

    /// Starts a node; a coordinator publishes the versions on its disk again.
    fn start_node(&mut self, node: usize) {
        self.sim.start_node(node);
        for (key, (version, removed)) in self.disks.get(node).cloned().unwrap_or_default() {
            self.publish_version(node, key, version, removed);
        }
    }

    fn publish_version(&mut self, node: usize, key: u64, version: u64, removed: bool) {
        if removed {
            let version = Version(version);
            self.sim.dispatch(node, Event::Remove { key, version });
        } else {
            self.sim.publish(node, key, version, 50);
        }
    }

    fn publish(&mut self) {
        let node = self
            .random
            .random_range(0..self.sim.deployment.coordinators);
        if !self.sim.is_running(node) {
            return;
        }
        self.version += 1;
        let (key, removed) = (
            self.random.random_range(0..KEYS),
            self.random.random_bool(0.2),
        );
        self.disks[node].insert(key, (self.version, removed));
        self.publish_version(node, key, self.version, removed);
    }

    fn cut_one_way(&mut self) {
        let from = self.any_node();
        let from = self.sim.nodes[from].descriptor.address;
        let modulus = self.random.random_range(2..6);
        self.sim
            .cut(move |sender, receiver| sender.address == from && receiver.id() % modulus == 0);
    }

    fn cut_region(&mut self) {
        let region = self
            .random
            .random_range(0..self.sim.deployment.regions as u32);
        self.sim.cut(move |from, to| {
            (from.locality.region == region) != (to.locality.region == region)
        });
    }

    /// Ends all faults, starts all nodes and runs for 12 s, within which they must converge.
    fn converge(&mut self) {
        self.sim.heal();
        self.sim.loss = 0.0;
        for node in 0..self.sim.deployment.len() {
            if !self.sim.is_running(node) {
                self.start_node(node);
            }
        }
        self.sim.run_for(ms(12_000));
    }

    /// Checks that all nodes are attached, fresh and have the newest version of each key, that no
    /// node reported an older version, and that each region without a coordinator has one head.
    fn check(&self, seed: u64) {
        let newest =
            self.disks
                .iter()
                .flatten()
                .fold(BTreeMap::new(), |mut newest, (key, (version, _))| {
                    let version_of_key = newest.entry(*key).or_insert(0);
                    *version_of_key = *version.max(version_of_key);
                    newest
                });
        assert_eq!(
            self.sim.regressions, 0,
            "seed {seed}: a node reported an older version after a newer one"
        );
        assert_eq!(
            self.sim.detached_agents(),
            0,
            "seed {seed}: agents without a parent"
        );
        for (at, node) in self.sim.nodes.iter().enumerate() {
            let overlay = node.overlay.as_ref().expect("running");
            for (key, version) in &newest {
                assert_eq!(
                    overlay.store().version(*key),
                    Version(*version),
                    "seed {seed}: node {at}, key {key}"
                );
            }
            assert!(
                overlay.freshness(self.sim.now) <= Some(ms(1_000)),
                "seed {seed}: node {at} is stale"
            );
        }
        let heads = (self.sim.deployment.coordinators..self.sim.deployment.len())
            .filter(|agent| self.sim.has_remote_parent(*agent));
        let without = self.sim.deployment.regions - self.sim.deployment.coordinator_regions;
        assert_eq!(
            heads.count(),
            without,
            "seed {seed}: number of region heads"
        );
    }
}

fn check_seeds(deployment: Deployment, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut script = Script::new(deployment, seed);
        (0..STEPS).for_each(|_| script.step());
        script.converge();
        script.check(seed);
    }
}

const FIVE_COORDINATORS: Deployment = Deployment {
    coordinators: 5,
    agents: 20,
    regions: 4,
    zones: 2,
    coordinator_regions: 3,
};

#[test]
fn three_coordinators_converge_after_random_faults() {
    check_seeds(Deployment::TWENTY, 0..30);
}

#[test]
fn five_coordinators_converge_after_random_faults() {
    check_seeds(FIVE_COORDINATORS, 0..30);
}

#[test]
fn small_deployment_converges_after_random_faults() {
    check_seeds(Deployment::SMALL, 0..30);
}

#[test]
#[ignore = "takes minutes; run in release mode"]
fn deployments_converge_over_a_thousand_seeds_each() {
    check_seeds(Deployment::SMALL, 1_000..2_000);
    check_seeds(Deployment::TWENTY, 1_000..2_000);
    check_seeds(FIVE_COORDINATORS, 1_000..2_000);
}
