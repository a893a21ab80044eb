//! Reads what the bench prints of a day.

use std::fmt;

use thiserror::Error;

/// Begins the list of broken rules in a day's line.
const BROKEN: &str = "BROKEN: ";
/// Begins a line that says why the day fails the gate.
const SHORT: &str = "short of the gate: ";

/// What came of one day.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Report {
    /// Worth earned of worth owed, less prices: at most 1, below 0 on a very bad day.
    pub worth: f64,
    /// Broken rules and how often; the bench counts a fault of the programs among them, once.
    pub broken: Vec<(String, u64)>,
    /// Why the day fails the gate besides broken rules.
    pub short: Vec<String>,
}

/// Why a text that the bench printed is no report.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum ReportError {
    /// The bench printed no table of days; with its last line.
    #[error("{0}")]
    Unfinished(String),
    /// The bench printed nothing.
    #[error("nothing was printed")]
    Empty,
    /// The table of days has a heading and no row.
    #[error("the report ends after its heading")]
    HeadingOnly,
    /// The row of the day has no machine counts or no worth.
    #[error("not a day's line: {0}")]
    InvalidRow(String),
    /// A broken rule has no valid count.
    #[error("not a list of rules: {0}")]
    InvalidRules(String),
}

impl Report {
    /// Whether no rule is broken and the day passes the gate.
    pub(super) fn is_clean(&self) -> bool {
        self.broken.is_empty() && self.short.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "worth {:.3}", self.worth)?;
        for (rule, count) in &self.broken {
            write!(f, ", {rule} {count}")?;
        }
        self.short
            .iter()
            .try_for_each(|reason| write!(f, "; short of the gate: {reason}"))
    }
}

/// Reads a printed report. The day's line stands below the heading of the table of days.
///
/// # Errors
/// The text is no report, or not in the form in which the bench prints one.
pub(super) fn read(text: &str) -> Result<Report, ReportError> {
    let mut lines = text.lines();
    if !lines.any(is_heading) {
        return Err(match text.lines().last() {
            Some(last) => ReportError::Unfinished(last.trim().to_string()),
            None => ReportError::Empty,
        });
    }
    let row = lines.next().ok_or(ReportError::HeadingOnly)?;
    let worth = worth(row).ok_or_else(|| ReportError::InvalidRow(row.to_string()))?;
    let broken = broken(row).ok_or_else(|| ReportError::InvalidRules(row.to_string()))?;
    let short = text
        .lines()
        .filter_map(|l| l.strip_prefix(SHORT))
        .map(String::from)
        .collect();
    Ok(Report {
        worth,
        broken,
        short,
    })
}

fn is_heading(line: &str) -> bool {
    line.split_whitespace()
        .take(4)
        .eq(["day", "own/srv", "score", "worth"])
}

/// The second number after the counts of machines (`11/16`). The day's name before them may hold
/// blanks.
fn worth(row: &str) -> Option<f64> {
    let is_machines = |word: &&str| {
        word.split_once('/').is_some_and(|(own, servers)| {
            own.parse::<u32>().is_ok() && servers.parse::<u32>().is_ok()
        })
    };
    row.split_whitespace()
        .skip_while(|word| !is_machines(word))
        .nth(2)?
        .parse()
        .ok()
}

/// The rules after `BROKEN: `, up to what the day would have counted without (`(else 0.92)`).
fn broken(row: &str) -> Option<Vec<(String, u64)>> {
    let Some((_, rules)) = row.split_once(BROKEN) else {
        return Some(Vec::new());
    };
    let rules = rules.split_once(" (").map_or(rules, |(rules, _)| rules);
    rules.split(", ").map(rule).collect()
}

/// A rule with its count. A fault has none.
fn rule(text: &str) -> Option<(String, u64)> {
    match text.trim().split_once(' ') {
        Some((name, count)) => Some((name.to_string(), count.parse().ok()?)),
        None => Some((text.trim().to_string(), 1)),
    }
}
