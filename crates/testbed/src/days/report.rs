//! Parses the report of a day that the bench prints.

use std::fmt;

use thiserror::Error;

/// The start of the list of broken rules in a day's row.
const BROKEN_PREFIX: &str = "BROKEN: ";

/// The start of a line that gives a reason why the day fails the gate.
const SHORT_PREFIX: &str = "short of the gate: ";

/// The first columns of the table of days.
const HEADING: [&str; 4] = ["day", "own/srv", "score", "worth"];

/// The report of one day.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct DayReport {
    /// The value of the requests that were served, less prices, divided by that of all: at most 1,
    /// and below 0 on a very bad day. The bench calls it worth.
    pub value: f64,
    /// The broken rules. A fault of the programs is among them.
    pub broken_rules: Vec<BrokenRule>,
    /// The reasons why the day fails the gate besides broken rules.
    pub short_of_gate: Vec<String>,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BrokenRule {
    /// The bench's name of the rule.
    pub name: String,
    /// How often it was broken; 1 for a fault of the programs.
    pub count: u64,
}

/// The reason why the bench's output is not a report.
#[derive(Debug, Error, PartialEq, Eq)]
pub(super) enum ReportError {
    /// The bench printed no table of days. The text is the last line that it printed.
    #[error("{0}")]
    Unfinished(String),
    /// The bench printed nothing.
    #[error("the bench printed nothing")]
    Empty,
    /// The table of days has a heading and no row.
    #[error("the report ends after its heading")]
    HeadingOnly,
    /// The row of the day has no machine counts or no value.
    #[error("invalid row in the table of days: {0}")]
    InvalidRow(String),
    /// A broken rule has no valid count.
    #[error("invalid list of broken rules: {0}")]
    InvalidRules(String),
}

impl DayReport {
    /// Parses a printed report. The day's row is below the heading of the table of days.
    ///
    /// # Errors
    /// The text is no report, or not in the form in which the bench prints one.
    pub(super) fn parse(text: &str) -> Result<DayReport, ReportError> {
        let mut lines = text.lines();
        if !lines.any(is_heading) {
            return Err(match text.lines().last() {
                Some(last) => ReportError::Unfinished(last.trim().to_string()),
                None => ReportError::Empty,
            });
        }
        let row = lines.next().ok_or(ReportError::HeadingOnly)?;
        let reasons = text
            .lines()
            .filter_map(|line| line.strip_prefix(SHORT_PREFIX));
        Ok(DayReport {
            value: value(row).ok_or_else(|| ReportError::InvalidRow(row.to_string()))?,
            broken_rules: broken_rules(row)
                .ok_or_else(|| ReportError::InvalidRules(row.to_string()))?,
            short_of_gate: reasons.map(String::from).collect(),
        })
    }

    /// Whether no rule is broken and the day passes the gate.
    pub(super) fn is_clean(&self) -> bool {
        self.broken_rules.is_empty() && self.short_of_gate.is_empty()
    }
}

impl fmt::Display for DayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "worth {:.3}", self.value)?;
        for BrokenRule { name, count } in &self.broken_rules {
            write!(f, ", {name} {count}")?;
        }
        let mut reasons = self.short_of_gate.iter();
        reasons.try_for_each(|reason| write!(f, "; {SHORT_PREFIX}{reason}"))
    }
}

fn is_heading(line: &str) -> bool {
    line.split_whitespace().take(HEADING.len()).eq(HEADING)
}

/// The second number after the counts of machines (`11/16`). The day's name before them may contain
/// spaces.
fn value(row: &str) -> Option<f64> {
    let is_machine_counts = |word: &&str| {
        word.split_once('/').is_some_and(|(own, servers)| {
            own.parse::<u32>().is_ok() && servers.parse::<u32>().is_ok()
        })
    };
    row.split_whitespace()
        .skip_while(|word| !is_machine_counts(word))
        .nth(2)?
        .parse()
        .ok()
}

/// The rules after the prefix, up to what the day would have scored without (`(else 0.92)`).
fn broken_rules(row: &str) -> Option<Vec<BrokenRule>> {
    let Some((_, rules)) = row.split_once(BROKEN_PREFIX) else {
        return Some(Vec::new());
    };
    let rules = rules.split_once(" (").map_or(rules, |(rules, _)| rules);
    rules.split(", ").map(broken_rule).collect()
}

/// A rule with its count. A fault of the programs has none.
fn broken_rule(text: &str) -> Option<BrokenRule> {
    let text = text.trim();
    let (name, count) = match text.split_once(' ') {
        Some((name, count)) => (name, count.parse().ok()?),
        None => (text, 1),
    };
    Some(BrokenRule {
        name: name.to_string(),
        count,
    })
}
