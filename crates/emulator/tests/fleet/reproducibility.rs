//! Reproducibility of runs: the same scenario, policy and seed give the same digest.

use ironmast_emulator::{PolicyName, Simulation};
use rayon::prelude::*;

use crate::support::{DEPLOY, fleet};

/// Arrivals, work and faults do not depend on the policy, so that two runs differ only by the
/// decisions of their policies.
#[test]
fn every_policy_is_sent_the_same_operations() {
    let scenario = fleet(DEPLOY);
    let asked = |policy| Simulation::new(&scenario, policy, 5).run().requests.asked;
    assert!(
        PolicyName::ALL
            .iter()
            .all(|p| asked(*p) == asked(PolicyName::Module))
    );
}

/// The recorded digests hold on any machine, with any number of threads, in debug and release
/// builds.
#[test]
fn digests_depend_on_scenario_policy_and_seed_alone() {
    let scenario = fleet(DEPLOY);
    let digest = |seed| {
        Simulation::new(&scenario, PolicyName::TwoChoices, seed)
            .run()
            .digest
    };
    let sequential: Vec<String> = (0..3).map(digest).collect();
    let parallel: Vec<String> = (0..3).into_par_iter().map(digest).collect();
    assert_eq!(sequential, parallel);
    assert_eq!(
        sequential,
        ["ecd724da619f3a43", "c7d0ed46e6071b1d", "458bb2bf6a46193b"]
    );
    let module = |_| {
        Simulation::new(&scenario, PolicyName::Module, 1)
            .run()
            .digest
    };
    let runs: Vec<String> = (0..4).into_par_iter().map(module).collect();
    assert!(runs.iter().all(|d| *d == runs[0]), "{runs:?}");
}
