//! `ironmast-testbed stage` and `demo`: run a fault-injection scenario with real proxies, print one
//! table row per second and the verdict.
//!
//! The format of a scenario (`scenarios/stage/`) and how it is run are described in
//! `ironmast_fault_injection::scenario`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use eyre::eyre;
use ironmast_fault_injection::deployment::{Deployment, DeploymentError};
use ironmast_fault_injection::load::{Outcome, SharedResults};
use ironmast_fault_injection::scenario::{self, Scenario, ScenarioResult, parse};
use thiserror::Error;

use crate::files::{self, FileError};

/// The scenario of `demo`.
const DEMO: &str = include_str!("../../../scenarios/stage/zone-cut.toml");

/// The arguments of `stage` and `demo`.
pub(crate) struct StageArguments {
    /// The scenario's file; the scenario of `demo` if there is none.
    pub scenario: Option<PathBuf>,
    /// The `ironmast` program; the one beside this program if there is none.
    pub proxy: Option<PathBuf>,
    /// Where the verdict is written as JSON.
    pub json: Option<PathBuf>,
    /// The directory for the proxies' logs; they are discarded if there is none.
    pub logs: Option<PathBuf>,
}

/// The `ironmast` program was not found.
#[derive(Debug, Error)]
enum ProgramError {
    /// There is no file at the path.
    #[error(
        "no ironmast program at {}: build it (cargo build --release -p ironmast) or give its path with --proxy",
        .0.display()
    )]
    Missing(PathBuf),
    /// The directory of this program is unknown.
    #[error(
        "cannot determine the directory of this program; give the path of ironmast with --proxy"
    )]
    OwnDirectory(#[source] std::io::Error),
}

/// The path of the `ironmast` program.
fn program(named: Option<PathBuf>) -> Result<PathBuf, ProgramError> {
    let path = match named {
        Some(path) => path,
        None => std::env::current_exe()
            .map_err(ProgramError::OwnDirectory)?
            .with_file_name("ironmast"),
    };
    if path.is_file() {
        Ok(path)
    } else {
        Err(ProgramError::Missing(path))
    }
}

/// The header of the table.
fn table_header(proxies: usize, zones: &[String]) -> String {
    let proxies: String = (0..proxies)
        .map(|proxy| format!("  p{proxy} ok bad"))
        .collect();
    let zones: String = zones.iter().map(|zone| format!(" {zone:>9}")).collect();
    format!("time {proxies}{zones}  faults")
}

/// One row of the table, for the second that ends at `second`: per proxy the number of requests
/// served and of all others, per zone the number of executions, and the active faults.
fn table_row(
    second: u64,
    deployment: &Deployment,
    results: &[SharedResults],
    zones: &[String],
) -> String {
    let from = Duration::from_secs(second.saturating_sub(1));
    let to = Duration::from_secs(second);
    let mut row = format!("{second:>4} s ");
    for sent in results {
        let sent = sent.lock().expect("not poisoned");
        let in_second = sent
            .iter()
            .filter(|request| (from..to).contains(&request.at));
        let (served, other): (Vec<_>, Vec<_>) =
            in_second.partition(|request| request.outcome == Outcome::Served);
        row += &format!(" {:>4} {:>3}", served.len(), other.len());
    }
    let executions = deployment.record.executions();
    for zone in zones {
        let prefix = format!("{zone}-");
        let in_zone = executions.iter().filter(|execution| {
            (from..to).contains(&execution.at) && execution.server.starts_with(&prefix)
        });
        row += &format!(" {:>9}", in_zone.count());
    }
    let faults: Vec<String> = deployment
        .active_faults(to)
        .iter()
        .map(|fault| format!("{:?} {}", fault.kind, fault.link).to_lowercase())
        .collect();
    row + &format!("  {}", faults.join(", "))
}

/// The figures of a run that are printed and written as JSON.
struct Summary<'a> {
    result: &'a ScenarioResult,
    rejected: usize,
    failed: usize,
    broken: usize,
    timed_out: usize,
    p50_ms: f64,
    p99_ms: f64,
}

impl<'a> Summary<'a> {
    fn new(result: &'a ScenarioResult) -> Summary<'a> {
        let count = |outcome| {
            let requests = result.sent.iter().flatten();
            requests
                .filter(|request| request.outcome == outcome)
                .count()
        };
        let latency_ms = |quantile| result.latency.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            result,
            rejected: count(Outcome::Rejected),
            failed: count(Outcome::Failed),
            broken: count(Outcome::Broken),
            timed_out: count(Outcome::TimedOut),
            p50_ms: latency_ms(0.5),
            p99_ms: latency_ms(0.99),
        }
    }

    fn print(&self) {
        let verdict = &self.result.verdict;
        println!(
            "sent {}, served {}, refused {}, failed {}, broken {}, given up {}; \
             latency of served p50 {:.1} ms, p99 {:.1} ms",
            verdict.sent,
            verdict.served,
            self.rejected,
            self.failed,
            self.broken,
            self.timed_out,
            self.p50_ms,
            self.p99_ms
        );
        println!(
            "ran twice where the class forbids it: {}; served without a run: {}",
            verdict.executed_twice.len(),
            verdict.fabricated.len()
        );
        for error in &self.result.signal_errors {
            println!("the scenario's signal failed: {error}");
        }
        for violation in &self.result.violations {
            println!("not as expected: {violation}");
        }
    }

    fn to_json(&self, scenario: &str) -> serde_json::Value {
        let ScenarioResult {
            verdict,
            violations,
            signal_errors,
            ..
        } = self.result;
        let signal_errors: Vec<String> = signal_errors.iter().map(ToString::to_string).collect();
        let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
        let executed_twice = verdict.executed_twice.iter();
        let executed_twice: Vec<&str> = executed_twice.map(|request| &*request.txn).collect();
        serde_json::json!({
            "scenario": scenario,
            "sent": verdict.sent,
            "served": verdict.served,
            "refused": self.rejected,
            "failed": self.failed,
            "broken": self.broken,
            "given_up": self.timed_out,
            "ran_twice": executed_twice,
            "served_without_run": verdict.fabricated,
            "not_as_expected": violations,
            "signals_failed": signal_errors,
            "latency_ms": {"p50": self.p50_ms, "p99": self.p99_ms},
        })
    }
}

/// Runs a scenario and prints its table while it runs.
fn run_with_table(
    scenario: &Scenario,
    schedule: ironmast_fault_injection::fault::Schedule,
    program: PathBuf,
) -> Result<ScenarioResult, DeploymentError> {
    let zones = scenario.zone_names();
    println!("{}: {}", scenario.name, scenario.description);
    println!("{}", table_header(scenario.proxies, &zones));
    let print_row = |second, deployment: &Deployment, results: &[SharedResults]| {
        println!("{}", table_row(second, deployment, results, &zones));
    };
    scenario::run(scenario, schedule, program, print_row)
}

/// Runs a scenario. The exit code is 1 if something was executed twice, was served without an
/// execution or violates an assertion; the caller exits with 2 if the scenario could not be run.
pub(crate) fn run(arguments: StageArguments) -> eyre::Result<ExitCode> {
    let (text, file) = match &arguments.scenario {
        Some(path) => (
            std::fs::read_to_string(path).map_err(FileError::io(path))?,
            path.display().to_string(),
        ),
        None => (DEMO.to_string(), "the demo".to_string()),
    };
    let (scenario, schedule) = parse(&text, &file)?;
    let program = program(arguments.proxy)?;
    // The error is reduced to its message, which contains its cause already.
    let result = run_with_table(&scenario, schedule, program).map_err(|error| eyre!("{error}"))?;
    let summary = Summary::new(&result);
    summary.print();
    if let Some(path) = &arguments.json {
        files::write_or_print(path, &summary.to_json(&scenario.name).to_string())?;
    }
    if let Some(directory) = &arguments.logs {
        write_logs(directory, &result.logs)?;
    }
    Ok(if result.passed() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// Writes the log of each proxy to a file of its own.
fn write_logs(directory: &Path, logs: &[Vec<String>]) -> Result<(), FileError> {
    std::fs::create_dir_all(directory).map_err(FileError::io(directory))?;
    for (proxy, lines) in logs.iter().enumerate() {
        let path = directory.join(format!("proxy{proxy}.log"));
        files::write(&path, &(lines.join("\n") + "\n"))?;
    }
    Ok(())
}
