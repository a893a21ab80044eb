//! The table of a scenario: one row for each policy.

use ironmast_emulator::{PolicyName, Report};

use crate::runner::MeasuredReport;
use crate::statistics::{Estimate, Metric, P99_MS, SERVICE, WORST_WINDOW};
use crate::table::Table;

/// The columns with a mean and its confidence interval.
const METRICS: [(&str, Metric); 4] = [
    ("service", SERVICE),
    ("worst window", WORST_WINDOW),
    ("worst class", |report| report.worst_class),
    ("p99, ms", P99_MS),
];

/// The runs of one scenario under one policy, in the order of their seeds.
pub(super) struct PolicyRuns<'a> {
    /// The policy.
    pub policy: PolicyName,
    /// The reports, one for each seed.
    pub reports: Vec<&'a Report>,
}

impl PolicyRuns<'_> {
    /// The number of seeds.
    pub(super) fn seeds(&self) -> usize {
        self.reports.len()
    }

    /// The values of a metric, one for each run.
    pub(super) fn values(&self, metric: impl Fn(&Report) -> f64) -> Vec<f64> {
        self.reports.iter().map(|report| metric(report)).collect()
    }
}

/// The runs of the scenario called `scenario` by policy, in the given order. Only seeds that are
/// completed under all policies are included.
pub(super) fn runs_by_policy<'a>(
    runs: &'a [MeasuredReport],
    scenario: &str,
    policies: &[PolicyName],
) -> Vec<PolicyRuns<'a>> {
    let find = |policy: PolicyName, seed: u64| {
        let is_wanted = |report: &&Report| {
            report.scenario == scenario && report.policy == policy.name() && report.seed == seed
        };
        runs.iter().map(|run| &run.report).find(is_wanted)
    };
    let mut seeds: Vec<u64> = runs.iter().map(|run| run.report.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds.retain(|seed| policies.iter().all(|policy| find(*policy, *seed).is_some()));
    let runs_of = |policy: PolicyName| PolicyRuns {
        policy,
        reports: seeds
            .iter()
            .filter_map(|seed| find(policy, *seed))
            .collect(),
    };
    policies.iter().copied().map(runs_of).collect()
}

/// One row for each policy: means with intervals, the difference in service from the first policy
/// (paired by seed), and the number of broken rules.
pub(super) fn summary_table(by_policy: &[PolicyRuns]) -> Table {
    let Some(baseline) = by_policy.first() else {
        return Table {
            header: Vec::new(),
            rows: Vec::new(),
        };
    };
    let baseline_service = baseline.values(SERVICE);
    let rows = by_policy.iter().enumerate().map(|(index, runs)| {
        let difference = if index == 0 {
            "-".to_string()
        } else {
            difference(&runs.values(SERVICE), &baseline_service)
        };
        row(runs, difference)
    });
    Table {
        header: header(baseline.policy),
        rows: rows.collect(),
    }
}

fn header(baseline: PolicyName) -> Vec<String> {
    let mut header = vec!["policy".to_string()];
    header.extend(METRICS.iter().map(|(name, _)| (*name).to_string()));
    header.push(format!("service against {}", baseline.name()));
    header.push("rules broken".to_string());
    header
}

fn row(runs: &PolicyRuns, difference: String) -> Vec<String> {
    let violations = runs.reports.iter().map(|report| report.violation_count);
    let mut row = vec![runs.policy.name().to_string()];
    row.extend(
        METRICS
            .iter()
            .map(|(_, metric)| Estimate::of(&runs.values(metric)).to_string()),
    );
    row.push(difference);
    row.push(violations.sum::<u64>().to_string());
    row
}

/// The mean difference of pairs, and whether it is significant (`real`) or not (`not told apart`).
fn difference(values: &[f64], baseline: &[f64]) -> String {
    let difference = Estimate::of_paired_differences(values, baseline);
    let verdict = if difference.is_significant() {
        "real"
    } else {
        "not told apart"
    };
    format!("{difference} ({verdict})")
}
