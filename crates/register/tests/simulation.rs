//! Simulated runs with many faults, one per seed: acknowledged changes are kept, and the register
//! makes progress once the faults end.

mod support;

use ironmast_register::Settings;

use support::fault_plan::FaultPlan;
use support::fault_run::{RunSummary, run_with_faults};

fn assert_runs_hold(seeds: std::ops::Range<u64>, plan: &FaultPlan) {
    let members = plan.members;
    let mut total = [0_u64; 8];
    let mut violated = Vec::new();
    for seed in seeds {
        let summary = run_with_faults(
            seed,
            plan.clone(),
            Settings::with_fault_tolerance(members / 2),
        );
        if !summary.violations.is_empty() {
            violated.push((seed, summary.violations));
        }
        let RunSummary {
            acknowledged,
            rejected,
            unknown,
            expired,
            reads,
            replica_changes,
            failed_writes,
            messages,
            ..
        } = summary;
        let counts = [
            acknowledged,
            rejected,
            unknown,
            expired,
            reads,
            replica_changes,
            failed_writes,
            messages,
        ];
        total
            .iter_mut()
            .zip(counts)
            .for_each(|(total, count)| *total += count);
    }
    println!(
        "acknowledged, rejected, unknown, expired, reads, replica changes, failed writes, \
         messages: {total:?}"
    );
    assert!(
        violated.is_empty(),
        "{members} members, {} seeds violated, first {:?}",
        violated.len(),
        &violated[..violated.len().min(8)]
    );
}

#[test]
fn three_replicas_keep_what_they_acknowledged() {
    assert_runs_hold(seeds(0, 200), &FaultPlan::ordinary(3));
}

#[test]
fn five_replicas_keep_what_they_acknowledged() {
    assert_runs_hold(seeds(1_000, 80), &FaultPlan::ordinary(5));
}

#[test]
fn short_faults_in_quick_succession_are_tolerated() {
    assert_runs_hold(seeds(2_000, 100), &FaultPlan::short_faults(3));
}

#[test]
fn successive_disk_losses_are_tolerated() {
    assert_runs_hold(seeds(3_000, 100), &FaultPlan::disk_losses(3));
}

#[test]
fn emptied_disks_with_stale_bootstrap_settings_are_tolerated() {
    assert_runs_hold(seeds(4_000, 100), &FaultPlan::stale_bootstrap(3));
    assert_runs_hold(seeds(4_500, 40), &FaultPlan::stale_bootstrap(5));
}

/// The seeds of a test; `REGISTER_SEEDS=FIRST,COUNT` selects others.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let selected = std::env::var("REGISTER_SEEDS").ok();
    let selected = selected.as_deref().and_then(|text| text.split_once(','));
    let selected =
        selected.and_then(|(first, count)| Some((first.parse().ok()?, count.parse().ok()?)));
    let (first, count): (u64, u64) = selected.unwrap_or((first, count));
    first..first + count
}
