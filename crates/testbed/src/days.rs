//! Plays day files of the system on the operators' bench, over seeds and sites, and lists what
//! broke.
//!
//! The bench is a program outside this project, given by its path. What it prints of each play is
//! kept in a file of its own, so that a command that was stopped goes on where it was when it is
//! given again.

mod report;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use thiserror::Error;

use crate::files::{self, FileError};
use report::{Report, ReportError};

/// What is to be played.
#[derive(clap::Args)]
pub(crate) struct Days {
    /// The bench's program.
    #[arg(long, value_name = "PATH")]
    bench: PathBuf,
    /// The deployments' site files.
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
    /// How many seeds, counted up from the first.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Days played side by side.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
    jobs: u16,
    /// Plays without charging processor time: a run then mostly repeats.
    #[arg(long)]
    no_cpu: bool,
    /// The reason that the bench's journal notes.
    #[arg(long)]
    why: String,
    /// The folder that keeps what the bench printed of each play. One for each state of the
    /// sources.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// One day on one deployment with one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Play {
    site: PathBuf,
    day: PathBuf,
    seed: u64,
}

impl Play {
    /// Where the report is kept.
    fn kept(&self, out: &Path) -> PathBuf {
        out.join(stem(&self.site))
            .join(stem(&self.day))
            .join(format!("{}.txt", self.seed))
    }
}

/// Why a play has no report. The message contains its cause, because the list of plays shows it on
/// one line.
#[derive(Debug, Error)]
enum NoReport {
    /// The file that keeps the bench's output cannot be read.
    #[error("{}: {cause}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        cause: io::Error,
    },
    /// The bench's output is no report.
    #[error(transparent)]
    Invalid(#[from] ReportError),
}

/// Plays what has no report yet, then lists all. Ends with 1 where a rule was broken or a play gave
/// no report.
pub(crate) fn run(days: &Days) -> eyre::Result<ExitCode> {
    files::ensure_directory(&days.out)?;
    let plays = plays(days);
    let missing: Vec<&Play> = plays
        .iter()
        .filter(|p| read(p, &days.out).is_err())
        .collect();
    run_all(days, &missing)?;
    let results: Vec<(Play, Result<Report, NoReport>)> = plays
        .into_iter()
        .map(|play| (play.clone(), read(&play, &days.out)))
        .collect();
    print!("{}", list(&results));
    let sound = results
        .iter()
        .all(|(_, result)| result.as_ref().is_ok_and(|r| r.broken.is_empty()));
    Ok(if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// All plays, one seed of each day after the other: a command that is stopped has played each day
/// equally often.
fn plays(days: &Days) -> Vec<Play> {
    let mut plays = Vec::new();
    for seed in days.first_seed..days.first_seed.saturating_add(days.seeds) {
        for day in &days.days {
            for site in &days.sites {
                plays.push(Play {
                    site: site.clone(),
                    day: day.clone(),
                    seed,
                });
            }
        }
    }
    plays
}

/// The kept report of a play, or why there is none.
fn read(play: &Play, out: &Path) -> Result<Report, NoReport> {
    let path = play.kept(out);
    match fs::read_to_string(&path) {
        Ok(text) => Ok(report::read(&text)?),
        Err(cause) => Err(NoReport::Unreadable { path, cause }),
    }
}

/// Plays side by side, each thread the next that nobody has begun.
fn run_all(days: &Days, plays: &[&Play]) -> Result<(), FileError> {
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(play) = plays.get(next.fetch_add(1, Ordering::Relaxed)) {
            play_one(days, play)?;
            // Progress that can't be shown, as on a full disk, is no reason to end the plays.
            let _ = writeln!(io::stderr(), "{}", line(play, &read(play, &days.out)));
        }
        Ok(())
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..days.jobs).map(|_| scope.spawn(work)).collect();
        threads
            .into_iter()
            .try_for_each(|thread| thread.join().expect("a play does not panic"))
    })
}

/// Has the bench play one day. Its report takes its place only when the bench has ended.
fn play_one(days: &Days, play: &Play) -> Result<(), FileError> {
    let kept = play.kept(&days.out);
    let partial = kept.with_extension("part");
    let failed = FileError::io(&partial);
    // Several threads may make the same folder at once, so nothing is tried out in it.
    fs::create_dir_all(kept.parent().expect("it is in a folder")).map_err(&failed)?;
    let output = File::create(&partial).map_err(&failed)?;
    let errors = output.try_clone().map_err(&failed)?;
    let mut command = Command::new(&days.bench);
    command.arg("run").arg(&play.site).arg(&play.day).args([
        "--jobs",
        "1",
        "--seed",
        &play.seed.to_string(),
    ]);
    command.args(["--why", &days.why]);
    if days.no_cpu {
        command.arg("--no-cpu");
    }
    let status = command
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .status();
    // A broken rule may show in the bench's exit code: only its report says what came of the day.
    status.map_err(FileError::io(&days.bench))?;
    fs::rename(&partial, &kept).map_err(&failed)
}

/// What came of the plays: each that broke a rule, fell short or has no report, then a table of
/// days.
fn list(results: &[(Play, Result<Report, NoReport>)]) -> String {
    let mut text = String::new();
    let mut rows: BTreeMap<(String, String), Row> = BTreeMap::new();
    for (play, result) in results {
        let row = rows.entry((stem(&play.day), stem(&play.site))).or_default();
        row.add(result);
        if !result.as_ref().is_ok_and(Report::is_clean) {
            text += &(line(play, result) + "\n");
        }
    }
    let width = rows
        .keys()
        .map(|(day, _)| day.len())
        .max()
        .unwrap_or(0)
        .max("day".len());
    let site_width = rows
        .keys()
        .map(|(_, site)| site.len())
        .max()
        .unwrap_or(0)
        .max("site".len());
    text += &format!(
        "{:width$}  {:site_width$}  seeds  broken  short  no report  mean worth\n",
        "day", "site"
    );
    for ((day, site), row) in &rows {
        let (played, worth) = (row.played, row.mean_worth());
        text += &format!(
            "{day:width$}  {site:site_width$}  {played:>5}  {:>6}  {:>5}  {:>9}  {worth:>10}\n",
            row.broken, row.short, row.unplayed
        );
    }
    text
}

/// One play in a line.
fn line(play: &Play, result: &Result<Report, NoReport>) -> String {
    let name = format!(
        "{} on {}, seed {}",
        stem(&play.day),
        stem(&play.site),
        play.seed
    );
    match result {
        Ok(report) => format!("{name}: {report}"),
        Err(problem) => format!("{name}: no report: {problem}"),
    }
}

/// What came of one day on one deployment, over its seeds.
#[derive(Default)]
struct Row {
    played: u32,
    broken: u32,
    short: u32,
    unplayed: u32,
    worth: f64,
}

impl Row {
    fn add(&mut self, result: &Result<Report, NoReport>) {
        let Ok(report) = result else {
            self.unplayed += 1;
            return;
        };
        self.played += 1;
        self.worth += report.worth;
        self.broken += u32::from(!report.broken.is_empty());
        self.short += u32::from(!report.short.is_empty());
    }

    /// The mean worth over the days that were played.
    fn mean_worth(&self) -> String {
        if self.played == 0 {
            "-".into()
        } else {
            format!("{:.3}", self.worth / f64::from(self.played))
        }
    }
}

/// A file's name without folder and extension.
fn stem(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}
