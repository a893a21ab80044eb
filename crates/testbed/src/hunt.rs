//! `hunt`: searches random scenarios for failures of a policy. Each finding is shrunk to the simplest
//! scenario that still shows it.

mod finding;
mod generator;
mod shrink;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, Instant};

use eyre::ensure;
use ironmast_emulator::{PolicyName, Scenario};
use rayon::prelude::*;
use thiserror::Error;

use finding::Finding;
use generator::{add_faults, generate_scenario};
use shrink::simpler_scenarios;

use crate::files::{self, FileError, load_scenario};
use crate::runner::Runner;

/// The maximum number of simpler scenarios that are tried to shrink one finding.
const MAX_SHRINK_ATTEMPTS: usize = 300;

/// The maximum of the time limit, in minutes.
const MAX_MINUTES: f64 = 1e6;

/// A range of seeds, `FROM..TO`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seeds {
    /// The first seed.
    pub from: u64,
    /// The seed after the last.
    pub to: u64,
}

/// A range of seeds that is not `FROM..TO` with `FROM` below `TO`.
#[derive(Debug, Error)]
#[error("`{0}`: expected FROM..TO")]
pub(crate) struct InvalidSeeds(String);

impl FromStr for Seeds {
    type Err = InvalidSeeds;

    fn from_str(text: &str) -> Result<Self, InvalidSeeds> {
        let ends = text.split_once("..");
        ends.and_then(|(from, to)| {
            let (from, to) = (from.parse().ok()?, to.parse().ok()?);
            (from < to).then_some(Seeds { from, to })
        })
        .ok_or_else(|| InvalidSeeds(text.to_string()))
    }
}

// The doc comments of the fields are printed by `--help`.
/// The arguments of `hunt`.
#[derive(clap::Args)]
pub(crate) struct Hunt {
    /// The scenario to which random faults are added; by default, scenarios are random too.
    pub scenario: Option<PathBuf>,
    /// The seeds, as in 0..2000 (without the last).
    #[arg(long, default_value = "0..200")]
    pub seeds: Seeds,
    /// Ends after this time in minutes, with the findings so far.
    #[arg(long)]
    pub minutes: Option<f64>,
    /// The policy under test.
    #[arg(long, default_value = "module")]
    pub policy: PolicyName,
    /// The policy whose service is the reference.
    #[arg(long, default_value = "two-choices")]
    pub reference: PolicyName,
    /// Report a finding if the service is lower than the reference's by more than this (0 to 1).
    #[arg(long, default_value_t = 0.25)]
    pub gap: f64,
    /// The directory for the scenario files of findings.
    #[arg(long)]
    pub out: PathBuf,
}

/// A finding with the simplest scenario that shows it.
struct FoundScenario {
    seed: u64,
    scenario: Scenario,
    finding: Finding,
}

impl Hunt {
    /// The time limit; `None` if there is none.
    ///
    /// # Errors
    /// The limit is not above 0 and at most [`MAX_MINUTES`].
    fn time_limit(&self) -> eyre::Result<Option<Duration>> {
        let Some(minutes) = self.minutes else {
            return Ok(None);
        };
        ensure!(
            minutes > 0.0 && minutes <= MAX_MINUTES,
            "--minutes is {minutes}, expected more than 0 and at most {MAX_MINUTES}"
        );
        Ok(Some(Duration::from_secs_f64(minutes * 60.0)))
    }

    /// Runs a scenario under the policy and the reference; `None` if nothing is wrong.
    fn check(&self, scenario: &Scenario, seed: u64) -> Option<Finding> {
        let service = match finding::service(scenario, self.policy, seed) {
            Ok(service) => service,
            Err(finding) => return Some(finding),
        };
        // A reference that breaks a rule or panics shows a fault of the emulator. Both are reported
        // as a panic.
        match finding::service(scenario, self.reference, seed) {
            Ok(reference) => (service < reference - self.gap)
                .then_some(Finding::PoorService { service, reference }),
            Err(finding) => {
                let message = format!("the reference {}: {finding}", self.reference.name());
                Some(Finding::Panicked(message))
            }
        }
    }

    /// Checks the scenario of one seed, and shrinks it if it has a finding.
    fn search(&self, base: Option<&Scenario>, seed: u64, runner: &Runner) -> Option<FoundScenario> {
        let mut scenario = base.cloned().unwrap_or_else(|| generate_scenario(seed));
        add_faults(&mut scenario, seed);
        let finding = self.check(&scenario, seed)?;
        runner.print_line(&format!("seed {seed}: {finding}; shrinking"));
        let mut found = self.shrink(FoundScenario {
            seed,
            scenario,
            finding,
        });
        found.scenario.name = format!("found-{seed}");
        found.scenario.about = format!(
            "Seed {seed} under {}: {}.",
            self.policy.name(),
            found.finding
        );
        Some(found)
    }

    /// Replaces a scenario by simpler ones as long as they show a finding of the same kind.
    fn shrink(&self, mut found: FoundScenario) -> FoundScenario {
        let mut attempts = 0;
        while let Some(simpler) = self.shrink_once(&found, &mut attempts) {
            found = simpler;
        }
        found
    }

    /// The first of the simpler scenarios that still shows a finding of the same kind; `None` also
    /// after [`MAX_SHRINK_ATTEMPTS`].
    fn shrink_once(&self, found: &FoundScenario, attempts: &mut usize) -> Option<FoundScenario> {
        let candidates = simpler_scenarios(&found.scenario).into_iter();
        let valid = candidates
            .filter(|candidate| candidate.validate().is_ok() && *candidate != found.scenario);
        for scenario in valid {
            *attempts += 1;
            if *attempts > MAX_SHRINK_ATTEMPTS {
                return None;
            }
            let finding = self.check(&scenario, found.seed);
            if let Some(finding) = finding.filter(|finding| finding.is_same_kind(&found.finding)) {
                return Some(FoundScenario {
                    seed: found.seed,
                    scenario,
                    finding,
                });
            }
        }
        None
    }
}

/// Runs the hunt; prints and writes the findings. The exit code is 1 if there are any, and 130
/// after Ctrl-C without any.
///
/// # Errors
/// An argument is invalid, or a file cannot be read or written.
pub(crate) fn run(hunt: &Hunt) -> eyre::Result<ExitCode> {
    let base = hunt.scenario.as_deref().map(load_scenario).transpose()?;
    let base = base.map(|loaded| loaded.scenario);
    files::ensure_directory(&hunt.out)?;
    ensure!(
        hunt.gap > 0.0 && hunt.gap <= 1.0,
        "--gap is {}, expected more than 0 and at most 1",
        hunt.gap
    );
    let time_limit = hunt.time_limit()?;
    let started = Instant::now();
    let runner = Runner::start(hunt.seeds.to - hunt.seeds.from);
    let results = without_panic_messages(|| search_all(hunt, base.as_ref(), &runner, time_limit));
    runner.end();
    let searched = results.len();
    let found: Vec<FoundScenario> = results.into_iter().flatten().collect();
    for found in &found {
        write_found(found, hunt.policy, &hunt.out)?;
    }
    println!(
        "{searched} of {} seeds played in {:.0} s, {} findings",
        hunt.seeds.to - hunt.seeds.from,
        started.elapsed().as_secs_f64(),
        found.len()
    );
    Ok(if !found.is_empty() {
        ExitCode::from(1)
    } else if runner.is_stopped() {
        ExitCode::from(130)
    } else {
        ExitCode::SUCCESS
    })
}

/// Searches all seeds on all cores until the time limit or Ctrl-C. One result for each seed that
/// was searched, in the order of the seeds.
fn search_all(
    hunt: &Hunt,
    base: Option<&Scenario>,
    runner: &Runner,
    time_limit: Option<Duration>,
) -> Vec<Option<FoundScenario>> {
    let started = Instant::now();
    let is_time_up = || time_limit.is_some_and(|limit| started.elapsed() >= limit);
    let search = |seed| {
        if runner.is_stopped() || is_time_up() {
            return None;
        }
        let found = hunt.search(base, seed, runner);
        runner.count_completed();
        Some(found)
    };
    let seeds = (hunt.seeds.from..hunt.seeds.to).into_par_iter();
    seeds.map(search).while_some().collect()
}

/// Calls `run` with panic messages suppressed: a panic is a finding and is printed as one.
fn without_panic_messages<T>(run: impl FnOnce() -> T) -> T {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = run();
    std::panic::set_hook(hook);
    result
}

/// Writes the scenario of a finding, with the command that reproduces it, and prints the finding.
fn write_found(found: &FoundScenario, policy: PolicyName, out: &Path) -> Result<(), FileError> {
    let FoundScenario {
        seed,
        scenario,
        finding,
    } = found;
    let path = out.join(format!("found-{seed}.toml"));
    let command = format!(
        "ironmast-testbed emulate FILE --seed {seed} --policy {}",
        policy.name()
    );
    let text = format!("# {finding}\n# {command}\n{}", scenario.to_toml());
    files::write(&path, &text)?;
    println!("seed {seed}: {finding}: {}", path.display());
    Ok(())
}

#[cfg(test)]
mod tests;
