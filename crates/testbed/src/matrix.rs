//! Runs each of several scenarios under each of several policies with each of several seeds.

use std::path::Path;

use eyre::ensure;
use ironmast_emulator::{PolicyName, Scenario};

use crate::files;
use crate::runner::{MeasuredReport, Runner, Trial};

/// The columns of `runs.csv`.
const CSV_HEADER: &str = "scenario,policy,seed,service,worst_window,worst_class,worst_zone,worst_proxy,asked,served,\
                          late,refused,failed,p50_us,p90_us,p99_us,p999_us,max_us,mean_load,greatest_load,attempts,\
                          cross_zone,probes,breaks,events,wall_s,digest\n";

/// The combinations of scenario, policy and seed to run.
pub(crate) struct RunMatrix<'a> {
    /// The scenarios.
    pub scenarios: &'a [Scenario],
    /// The policies. Under one seed all have the same clients, work and faults.
    pub policies: &'a [PolicyName],
    /// The number of seeds; the seeds are 1 to this number.
    pub seeds: u64,
}

/// The results of the runs.
pub(crate) struct MatrixReports {
    /// The reports of the completed runs, by scenario, then seed, then policy.
    pub reports: Vec<MeasuredReport>,
    /// Whether Ctrl-C stopped the other runs.
    pub is_stopped: bool,
}

impl RunMatrix<'_> {
    /// All runs, by scenario, then seed, then policy.
    fn trials(&self) -> Vec<Trial<'_>> {
        let mut trials = Vec::new();
        for scenario in self.scenarios {
            for seed in 1..=self.seeds {
                trials.extend(self.policies.iter().map(|&policy| Trial {
                    scenario,
                    policy,
                    seed,
                }));
            }
        }
        trials
    }

    /// Makes all runs and writes `runs.csv` into the directory `out`, also if they were stopped.
    ///
    /// # Errors
    /// There is no policy or no seed (before the first run), or `out` cannot be written.
    pub(crate) fn run(&self, out: &Path) -> eyre::Result<MatrixReports> {
        ensure!(
            self.seeds > 0 && !self.policies.is_empty(),
            "nothing to run: at least one policy and one seed are required"
        );
        files::ensure_directory(out)?;
        let trials = self.trials();
        let runner = Runner::start(trials.len() as u64);
        let reports = runner.run_all(&trials);
        runner.end();
        files::write(&out.join("runs.csv"), &csv(&reports))?;
        Ok(MatrixReports {
            reports,
            is_stopped: runner.is_stopped(),
        })
    }
}

/// The header and one line for each run.
fn csv(runs: &[MeasuredReport]) -> String {
    let lines = runs.iter().map(csv_line);
    CSV_HEADER.to_string() + &lines.collect::<String>()
}

fn csv_line(run: &MeasuredReport) -> String {
    let report = &run.report;
    let (requests, latency) = (&report.requests, &report.latency_us);
    format!(
        "{},{},{},{:.6},{:.6},{:.6},{:.6},{:.6},{},{},{},{},{},{},{},{},{},{},{:.5},{:.5},{},{},{},{},{},{:.3},{}\n",
        report.scenario.replace(',', " "),
        report.policy,
        report.seed,
        report.service,
        report.worst_window,
        report.worst_class,
        report.worst_zone,
        report.worst_proxy,
        requests.asked,
        requests.served,
        requests.late,
        requests.rejected,
        requests.failed,
        latency.p50,
        latency.p90,
        latency.p99,
        latency.p999,
        latency.max,
        report.servers.mean,
        report.servers.max,
        report.traffic.attempts,
        report.traffic.cross_zone,
        report.traffic.probes,
        report.violation_count,
        report.events,
        run.wall_s,
        report.digest
    )
}
