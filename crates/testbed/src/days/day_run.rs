//! One run of a day on the bench, and its stored report.

use std::path::{Path, PathBuf};
use std::{fmt, fs, io};

use thiserror::Error;

use super::report::{DayReport, ReportError};

/// One day on one site with one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DayRun {
    /// The site's file.
    pub site: PathBuf,
    /// The day's file.
    pub day: PathBuf,
    /// The seed.
    pub seed: u64,
}

impl DayRun {
    /// The file in which the bench's output is stored.
    pub(super) fn output_path(&self, out: &Path) -> PathBuf {
        out.join(stem(&self.site))
            .join(stem(&self.day))
            .join(format!("{}.txt", self.seed))
    }

    /// Reads the stored report.
    pub(super) fn read_report(&self, out: &Path) -> Result<DayReport, MissingReport> {
        let path = self.output_path(out);
        match fs::read_to_string(&path) {
            Ok(text) => Ok(DayReport::parse(&text)?),
            Err(cause) => Err(MissingReport::Unreadable { path, cause }),
        }
    }
}

/// The reason why a run has no report. The message contains its cause, because the list of runs
/// shows it on one line.
#[derive(Debug, Error)]
pub(super) enum MissingReport {
    /// The file with the bench's output cannot be read.
    #[error("{}: {cause}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The bench's output is no report.
    #[error(transparent)]
    Invalid(#[from] ReportError),
}

/// A run with its report.
pub(super) struct DayResult {
    /// The run.
    pub run: DayRun,
    /// The report, or the reason why there is none.
    pub report: Result<DayReport, MissingReport>,
}

impl DayResult {
    /// A run with the report that is stored.
    pub(super) fn read(run: DayRun, out: &Path) -> DayResult {
        DayResult {
            report: run.read_report(out),
            run,
        }
    }
}

/// The result in one line.
impl fmt::Display for DayResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (day, site) = (stem(&self.run.day), stem(&self.run.site));
        write!(f, "{day} on {site}, seed {}: ", self.run.seed)?;
        match &self.report {
            Ok(report) => write!(f, "{report}"),
            Err(problem) => write!(f, "no report: {problem}"),
        }
    }
}

/// A file's name without directory and extension.
pub(super) fn stem(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}
