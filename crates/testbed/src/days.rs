//! `days`: runs day files of the system on the operators' bench, over seeds and sites, and lists
//! the broken rules.
//!
//! The bench is a program outside this project, given by its path. The output of each run is stored
//! in a file of its own, so that a command that was stopped continues where it was when it is run
//! again.

mod day_run;
mod report;
mod summary;
#[cfg(test)]
mod tests;

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::files::{self, FileError};
use day_run::{DayResult, DayRun};
use report::DayReport;
use summary::Summary;

// The doc comments of the fields are printed by `--help`.
/// The arguments of `days`.
#[derive(clap::Args)]
pub(crate) struct Days {
    /// The bench's program.
    #[arg(long, value_name = "PATH")]
    bench: PathBuf,
    /// The site files of the deployments.
    #[arg(long = "site", value_name = "FILE", required = true)]
    sites: Vec<PathBuf>,
    /// The day files (see scenarios/system/).
    #[expect(
        clippy::struct_field_names,
        reason = "the name of the argument on the command line"
    )]
    #[arg(required = true)]
    days: Vec<PathBuf>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// The number of seeds, counted up from the first.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// The number of days that run in parallel.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
    jobs: u16,
    /// Runs without charging processor time: a run is then mostly repeatable.
    #[arg(long)]
    no_cpu: bool,
    /// The reason that the bench records in its journal.
    #[arg(long)]
    why: String,
    /// The directory for the bench's output of each run. Use another for other sources.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Makes the runs that have no stored report yet, then lists the results of all runs. The exit code
/// is 1 if a rule was broken or a run gave no report.
///
/// # Errors
/// The bench cannot be started, or a file cannot be written.
pub(crate) fn run(days: &Days) -> eyre::Result<ExitCode> {
    files::ensure_directory(&days.out)?;
    let runs = days.runs();
    let pending: Vec<&DayRun> = runs
        .iter()
        .filter(|run| run.read_report(&days.out).is_err())
        .collect();
    days.run_pending(&pending)?;
    let results: Vec<DayResult> = runs
        .into_iter()
        .map(|run| DayResult::read(run, &days.out))
        .collect();
    print!("{}", Summary::new(&results));
    let keeps_rules = |report: &DayReport| report.broken_rules.is_empty();
    let mut reports = results.iter().map(|result| result.report.as_ref());
    Ok(if reports.all(|report| report.is_ok_and(keeps_rules)) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

impl Days {
    /// All runs, ordered by seed first, so that a command that is stopped has run each day about
    /// equally often.
    fn runs(&self) -> Vec<DayRun> {
        let mut runs = Vec::new();
        for seed in self.first_seed..self.first_seed.saturating_add(self.seeds) {
            for day in &self.days {
                runs.extend(self.sites.iter().map(|site| DayRun {
                    site: site.clone(),
                    day: day.clone(),
                    seed,
                }));
            }
        }
        runs
    }

    /// Makes runs in parallel: each thread takes the next run that no other thread has begun.
    fn run_pending(&self, runs: &[&DayRun]) -> Result<(), FileError> {
        let next = AtomicUsize::new(0);
        let work = || {
            while let Some(run) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                self.run_day(run)?;
                let result = DayResult::read((*run).clone(), &self.out);
                // A failure to print progress, as on a full disk, must not end the runs.
                let _ = writeln!(io::stderr(), "{result}");
            }
            Ok(())
        };
        thread::scope(|scope| {
            let threads: Vec<_> = (0..self.jobs).map(|_| scope.spawn(work)).collect();
            threads
                .into_iter()
                .try_for_each(|thread| thread.join().expect("a run does not panic"))
        })
    }

    /// Runs one day on the bench. The output is renamed to its final path only when the bench has
    /// ended, so that partial output is never taken for a result.
    fn run_day(&self, run: &DayRun) -> Result<(), FileError> {
        let path = run.output_path(&self.out);
        let partial = path.with_extension("part");
        let failed = FileError::io(&partial);
        // `files::ensure_directory` writes a probe file, which threads that share a directory would
        // remove from each other; so the directory is only created.
        fs::create_dir_all(path.parent().expect("it is in a directory")).map_err(&failed)?;
        let output = File::create(&partial).map_err(&failed)?;
        let errors = output.try_clone().map_err(&failed)?;
        let mut command = self.bench_command(run);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        // The exit code is ignored: it may be that of a broken rule, and the report has the result.
        command.status().map_err(FileError::io(&self.bench))?;
        fs::rename(&partial, &path).map_err(&failed)
    }

    /// The command that runs one day.
    fn bench_command(&self, run: &DayRun) -> Command {
        let mut command = Command::new(&self.bench);
        command.arg("run").arg(&run.site).arg(&run.day);
        command.args(["--jobs", "1", "--seed", &run.seed.to_string()]);
        command.args(["--why", &self.why]);
        if self.no_cpu {
            command.arg("--no-cpu");
        }
        command
    }
}
