//! Days full of faults, by seed: what was acknowledged stays, and work goes on once the faults end.

mod support;

use ironmast_register::Settings;

use support::day::{Plan, Report, play};

fn hunt(seeds: std::ops::Range<u64>, plan: &Plan) {
    let members = plan.members;
    let mut total = [0_u64; 8];
    let mut broken = Vec::new();
    for seed in seeds {
        let report = play(
            seed,
            plan.clone(),
            Settings::with_fault_tolerance(members / 2),
        );
        if !report.violations.is_empty() {
            broken.push((seed, report.violations));
        }
        let Report {
            acknowledged,
            rejected,
            unknown,
            expired,
            reads,
            replica_changes,
            failed_writes,
            messages,
            ..
        } = report;
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
        "acknowledged, rejected, unknown, expired, reads, replica changes, failed writes, messages: {total:?}"
    );
    assert!(
        broken.is_empty(),
        "{members} members, {} seeds broken, first {:?}",
        broken.len(),
        &broken[..broken.len().min(8)]
    );
}

#[test]
fn three_replicas_keep_what_they_acknowledged() {
    hunt(seeds(0, 200), &Plan::ordinary(3));
}

#[test]
fn five_replicas_keep_what_they_acknowledged() {
    hunt(seeds(1_000, 80), &Plan::ordinary(5));
}

#[test]
fn faults_that_follow_closely_are_borne() {
    hunt(seeds(2_000, 100), &Plan::rough(3));
}

#[test]
fn disks_lost_one_after_the_other_are_borne() {
    hunt(seeds(3_000, 100), &Plan::wearing(3));
}

#[test]
fn emptied_machines_that_start_as_if_for_the_first_time_are_borne() {
    hunt(seeds(4_000, 100), &Plan::misled(3));
    hunt(seeds(4_500, 40), &Plan::misled(5));
}

/// The seeds of a test; `REGISTER_SEEDS=FIRST,COUNT` plays others.
fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let told = std::env::var("REGISTER_SEEDS").ok();
    let told = told.as_deref().and_then(|text| text.split_once(','));
    let told = told.and_then(|(first, count)| Some((first.parse().ok()?, count.parse().ok()?)));
    let (first, count): (u64, u64) = told.unwrap_or((first, count));
    first..first + count
}
