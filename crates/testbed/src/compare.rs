//! `compare`: runs scenarios under several policies with the same seeds, prints a table for each
//! scenario, and writes CSV, charts and one report.

mod charts;
mod summary;

use std::path::Path;
use std::process::ExitCode;

use eyre::bail;
use ironmast_emulator::{PolicyName, Scenario};

use crate::files;
use crate::html_report::{Section, html_report};
use crate::matrix::{MatrixReports, RunMatrix};
use crate::runner::MeasuredReport;
use charts::{Chart, scenario_charts};
use summary::{PolicyRuns, runs_by_policy, summary_table};

/// The arguments of `compare`.
pub(crate) struct Comparison<'a> {
    /// The scenarios, each with a name of its own.
    pub scenarios: &'a [Scenario],
    /// The policies; differences are from the first.
    pub policies: &'a [PolicyName],
    /// The number of seeds.
    pub seeds: u64,
    /// The directory for the results.
    pub out: &'a Path,
}

/// Makes all runs and reports the completed ones, also after Ctrl-C. The exit code is 1 if a rule
/// was broken, and 130 after Ctrl-C.
///
/// # Errors
/// Two scenarios have the same name, there is nothing to run, or a file cannot be written.
pub(crate) fn run(comparison: &Comparison) -> eyre::Result<ExitCode> {
    if let Some(name) = duplicate_name(comparison.scenarios) {
        bail!("two scenarios are called `{name}`, expected names that differ");
    }
    let matrix = RunMatrix {
        scenarios: comparison.scenarios,
        policies: comparison.policies,
        seeds: comparison.seeds,
    };
    let results = matrix.run(comparison.out)?;
    let mut sections = Vec::new();
    for scenario in comparison.scenarios {
        sections.extend(report_scenario(scenario, comparison, &results.reports)?);
    }
    let path = comparison.out.join("report.html");
    files::write(&path, &html_report("Policies compared", &sections))?;
    println!("written: {}", path.display());
    Ok(exit_code(&results))
}

/// A name that more than one scenario has.
fn duplicate_name(scenarios: &[Scenario]) -> Option<&str> {
    let names = || scenarios.iter().map(|scenario| &*scenario.name);
    names()
        .enumerate()
        .find(|(index, name)| names().take(*index).any(|earlier| earlier == *name))
        .map(|(_, name)| name)
}

/// Prints the table of a scenario, writes its charts, and returns its section of the report; `None`
/// if no seed was completed under all policies.
fn report_scenario(
    scenario: &Scenario,
    comparison: &Comparison,
    reports: &[MeasuredReport],
) -> eyre::Result<Option<Section>> {
    let name = &scenario.name;
    let by_policy = runs_by_policy(reports, name, comparison.policies);
    let seeds = by_policy.first().map_or(0, PolicyRuns::seeds);
    if seeds == 0 {
        println!("{name}: no seed was finished under every policy");
        return Ok(None);
    }
    let table = summary_table(&by_policy);
    println!("{name}, {seeds} seeds, mean and 95 % interval\n{table}\n");
    let charts = scenario_charts(scenario, &by_policy)?;
    for Chart { name: chart, svg } in &charts {
        let file = format!("{}-{chart}.svg", file_name(name));
        files::write(&comparison.out.join(file), svg)?;
    }
    Ok(Some(Section {
        title: format!("{name} - {}", scenario.about),
        note: format!("{seeds} seeds; mean and 95 % interval; differences are paired by seed."),
        table,
        charts: charts.into_iter().map(|chart| chart.svg).collect(),
    }))
}

fn exit_code(results: &MatrixReports) -> ExitCode {
    let broken = |run: &MeasuredReport| run.report.violation_count > 0;
    if results.is_stopped {
        ExitCode::from(130)
    } else if results.reports.iter().any(broken) {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

/// A scenario's name as part of a file name: characters other than ASCII letters, digits, `-`, `_`
/// and `.` become `_`.
fn file_name(name: &str) -> String {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    name.chars()
        .map(|character| {
            if is_allowed(character) {
                character
            } else {
                '_'
            }
        })
        .collect()
}
