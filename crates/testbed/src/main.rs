//! The program `ironmast-testbed`: runs scenarios with emulated or real proxies and reports the
//! results.
//!
//! [`cli`] defines the subcommands. `check` and `emulate` ([`emulate`]), `compare` and `sweep` run
//! emulated scenarios: [`runner`] runs trials in parallel, [`matrix`] combines scenarios, policies
//! and seeds, and [`statistics`], [`table`], [`chart`] and [`html_report`] present the results.
//! `hunt` searches random scenarios for faults of a policy. `stage` and `demo` ([`stage`]) inject
//! faults into real proxies on loopback, `membership` simulates the membership protocol, and `days`
//! runs day files on the operators' bench. [`files`] reads scenarios and writes results.
//!
//! The exit code is 0 on success, 1 if a run found something wrong, 2 if nothing could be run, and
//! 130 if Ctrl-C stopped the runs.
#![forbid(unsafe_code)]

mod chart;
mod cli;
mod compare;
mod days;
mod emulate;
mod files;
mod html_report;
mod hunt;
mod matrix;
mod membership;
mod runner;
mod stage;
mod statistics;
mod sweep;
mod table;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser as _;
use ironmast_emulator::PolicyName;

use cli::{Cli, Command, ComparisonArguments};
use files::load_scenario;
use stage::StageArguments;

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        // The alternate form appends the causes, on one line.
        Err(error) => {
            eprintln!("ironmast-testbed: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Runs a command. An error means that nothing could be run: invalid input, or a file that cannot
/// be read or written.
fn run(command: Command) -> eyre::Result<ExitCode> {
    match command {
        Command::Check { scenario } => emulate::check(&scenario),
        Command::Emulate {
            scenario,
            seed,
            policy,
            json,
        } => emulate::run(&emulate::Emulation {
            scenario: &scenario,
            seed,
            policy,
            json: json.as_deref(),
        }),
        Command::Compare {
            scenarios,
            comparison,
        } => run_compare(&scenarios, comparison),
        Command::Sweep {
            scenario,
            vary,
            comparison,
        } => run_sweep(&scenario, &vary, comparison),
        Command::Stage {
            scenario,
            proxy,
            json,
            logs,
        } => stage::run(StageArguments {
            scenario: Some(scenario),
            proxy,
            json,
            logs,
        }),
        Command::Membership {
            members,
            loss,
            seconds,
            seed,
            json,
        } => membership::run(&membership::Trial {
            members,
            loss,
            seconds,
            seed,
            json,
        }),
        Command::Demo { proxy } => stage::run(StageArguments {
            scenario: None,
            proxy,
            json: None,
            logs: None,
        }),
        Command::Days(days) => days::run(&days),
        Command::Hunt(hunt) => hunt::run(&hunt),
    }
}

fn run_compare(paths: &[PathBuf], arguments: ComparisonArguments) -> eyre::Result<ExitCode> {
    let mut scenarios = Vec::new();
    for path in paths {
        scenarios.push(load_scenario(path)?.scenario);
    }
    compare::run(&compare::Comparison {
        scenarios: &scenarios,
        policies: &without_duplicates(arguments.policies),
        seeds: arguments.seeds,
        out: &arguments.out,
    })
}

fn run_sweep(
    path: &Path,
    variation: &sweep::Variation,
    arguments: ComparisonArguments,
) -> eyre::Result<ExitCode> {
    sweep::run(&sweep::Sweep {
        base: &load_scenario(path)?,
        variation,
        policies: &without_duplicates(arguments.policies),
        seeds: arguments.seeds,
        out: &arguments.out,
    })
}

/// The policies in their order, each only once: a duplicate would be run and listed twice.
fn without_duplicates(policies: Vec<PolicyName>) -> Vec<PolicyName> {
    let mut distinct = Vec::new();
    for policy in policies {
        if !distinct.contains(&policy) {
            distinct.push(policy);
        }
    }
    distinct
}
