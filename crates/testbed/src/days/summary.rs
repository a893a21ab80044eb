//! The list that is printed after all runs.

use std::collections::BTreeMap;
use std::fmt;

use super::day_run::{DayResult, stem};
use super::report::DayReport;

/// The results of one day on one site, over its seeds.
#[derive(Default)]
struct Totals {
    /// Runs with a report.
    reports: u32,
    /// Reports with a broken rule.
    with_broken_rules: u32,
    /// Reports that fall short of the gate.
    short_of_gate: u32,
    /// Runs without a report.
    missing_reports: u32,
    /// The sum of the reports' values.
    value_sum: f64,
}

impl Totals {
    fn add(&mut self, result: &DayResult) {
        let Ok(DayReport {
            value,
            broken_rules,
            short_of_gate,
        }) = &result.report
        else {
            self.missing_reports += 1;
            return;
        };
        self.reports += 1;
        self.value_sum += value;
        self.with_broken_rules += u32::from(!broken_rules.is_empty());
        self.short_of_gate += u32::from(!short_of_gate.is_empty());
    }

    /// The mean value over the reports.
    fn mean_value(&self) -> String {
        if self.reports == 0 {
            "-".into()
        } else {
            format!("{:.3}", self.value_sum / f64::from(self.reports))
        }
    }
}

/// The printed summary: a line for each result that broke a rule, fell short of the gate or has no
/// report, then a table of all days and sites.
pub(super) struct Summary<'a> {
    results: &'a [DayResult],
    /// The totals by the names of the day and of the site.
    totals: BTreeMap<(String, String), Totals>,
}

impl<'a> Summary<'a> {
    pub(super) fn new(results: &'a [DayResult]) -> Summary<'a> {
        let mut totals: BTreeMap<(String, String), Totals> = BTreeMap::new();
        for result in results {
            let names = (stem(&result.run.day), stem(&result.run.site));
            totals.entry(names).or_default().add(result);
        }
        Summary { results, totals }
    }

    fn write_table(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let day_width = width("day", self.totals.keys().map(|(day, _)| day));
        let site_width = width("site", self.totals.keys().map(|(_, site)| site));
        writeln!(
            f,
            "{:day_width$}  {:site_width$}  seeds  broken  short  no report  mean worth",
            "day", "site"
        )?;
        for ((day, site), totals) in &self.totals {
            writeln!(
                f,
                "{day:day_width$}  {site:site_width$}  {:>5}  {:>6}  {:>5}  {:>9}  {:>10}",
                totals.reports,
                totals.with_broken_rules,
                totals.short_of_gate,
                totals.missing_reports,
                totals.mean_value()
            )?;
        }
        Ok(())
    }
}

/// The width of a column with this heading and these cells.
fn width<'a>(heading: &str, cells: impl Iterator<Item = &'a String>) -> usize {
    let widest = cells.map(String::len).max().unwrap_or(0);
    widest.max(heading.len())
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_clean = |result: &DayResult| result.report.as_ref().is_ok_and(DayReport::is_clean);
        for result in self.results.iter().filter(|result| !is_clean(result)) {
            writeln!(f, "{result}")?;
        }
        self.write_table(f)
    }
}
