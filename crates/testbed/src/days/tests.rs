//! Tests of parsing reports, and of ordering and listing runs. No bench is needed.

use super::report::{BrokenRule, ReportError};
use super::*;

const HEADING: &str =
    "day                  own/srv  score  worth served refused failed  weakest part\n";

fn printed(row: &str, rest: &str) -> String {
    format!("built in 0.4 s; 40869 lines in 320 files\n{HEADING}{row}\n\n{rest}snapshot ffc934d2\n")
}

fn rules(report: &DayReport) -> Vec<(&str, u64)> {
    report
        .broken_rules
        .iter()
        .map(|rule| (rule.name.as_str(), rule.count))
        .collect()
}

#[test]
fn a_day_without_broken_rules_is_clean_and_has_its_value() {
    let row = "cut-twenty-seconds     11/16   1.00  0.800  0.961   0.004  0.012  worst windows 0.67; prices 0.094, most \
               for machine-seconds";
    let report = DayReport::parse(&printed(row, "")).expect("a report");
    assert_eq!(
        report,
        DayReport {
            value: 0.8,
            broken_rules: vec![],
            short_of_gate: vec![]
        }
    );
    assert!(report.is_clean());
}

#[test]
fn broken_rules_are_parsed_with_their_counts() {
    let row = "trouble-1              10/13   0.00  0.281  0.686   0.308  0.007  worst windows 0.00; prices 0.211, most \
               for worth refused again  BROKEN: CONFIG 11, RECOVER 1 (else 0.00)";
    let report = DayReport::parse(&printed(row, "")).expect("a report");
    assert_eq!(rules(&report), [("CONFIG", 11), ("RECOVER", 1)]);
    assert_eq!(report.value, 0.281);
    assert!(!report.is_clean());
}

#[test]
fn a_fault_and_the_reasons_of_a_missed_gate_are_parsed() {
    let row = "quiet-1                10/13   0.00  -0.053  0.000   0.000  1.000  whole day 0.00; prices 0.053, most for \
               machine-seconds  BROKEN: fault (else 0.00)";
    let rest = "short of the gate: fault: no request was served\nshort of the gate: 0.00 of the worth owed was earned\n";
    let report = DayReport::parse(&printed(row, rest)).expect("a report");
    assert_eq!(rules(&report), [("fault", 1)]);
    assert_eq!(report.value, -0.053);
    assert_eq!(
        report.short_of_gate,
        [
            "fault: no request was served",
            "0.00 of the worth owed was earned"
        ]
    );
}

#[test]
fn a_day_whose_name_has_spaces_is_parsed() {
    let row = "mix --seed 465257939546     10/13   0.00  0.879  0.967   0.000  0.002  worst class 0.82; prices 0.048, \
               most for processor seconds  BROKEN: CONFIG 5 (else 0.88)";
    let report = DayReport::parse(&printed(row, "")).expect("a report");
    assert_eq!((report.value, rules(&report)), (0.879, vec![("CONFIG", 5)]));
}

#[test]
fn a_text_that_is_no_report_gives_its_last_line_as_the_error() {
    let problem = "built in 0.4 s\nthe run did not finish\n";
    let unfinished = ReportError::Unfinished("the run did not finish".into());
    assert_eq!(unfinished.to_string(), "the run did not finish");
    assert_eq!(DayReport::parse(problem), Err(unfinished));
    assert_eq!(DayReport::parse(""), Err(ReportError::Empty));
    assert_eq!(ReportError::Empty.to_string(), "the bench printed nothing");
    assert_eq!(DayReport::parse(HEADING), Err(ReportError::HeadingOnly));
    let row = "a line without counts";
    assert_eq!(
        DayReport::parse(&printed(row, "")),
        Err(ReportError::InvalidRow(row.into()))
    );
    let uncounted = "day  1/2  0.0  0.5  1  0  0  BROKEN: CONFIG some (else 0.1)";
    assert_eq!(
        DayReport::parse(&printed(uncounted, "")),
        Err(ReportError::InvalidRules(uncounted.into()))
    );
}

#[test]
fn each_day_is_run_once_before_any_is_run_again() {
    let days = Days {
        bench: "bench".into(),
        sites: vec!["x/a.toml".into(), "b.toml".into()],
        days: vec!["one.toml".into(), "two.toml".into()],
        first_seed: 7,
        seeds: 2,
        jobs: 1,
        no_cpu: false,
        why: String::new(),
        out: "out".into(),
    };
    let order: Vec<String> = days
        .runs()
        .iter()
        .map(|run| run.output_path(&days.out).to_string_lossy().into_owned())
        .collect();
    let first = [
        "out/a/one/7.txt",
        "out/b/one/7.txt",
        "out/a/two/7.txt",
        "out/b/two/7.txt",
    ];
    assert_eq!(order[..4], first);
    assert_eq!(order[4..].len(), 4);
    assert_eq!(order[4], "out/a/one/8.txt");
}

#[test]
fn the_summary_lists_broken_rules_and_missing_reports_and_counts_days() {
    let result = |seed, report| DayResult {
        run: DayRun {
            site: "s/small.toml".into(),
            day: "d/cut.toml".into(),
            seed,
        },
        report,
    };
    let report = |value, broken_rules| DayReport {
        value,
        broken_rules,
        short_of_gate: vec![],
    };
    let broken_rule = BrokenRule {
        name: "CONFIG".into(),
        count: 3,
    };
    let unfinished = ReportError::Unfinished("the run did not finish".into());
    let results = [
        result(1, Ok(report(0.8, vec![]))),
        result(2, Ok(report(0.7, vec![broken_rule]))),
        result(3, Err(unfinished.into())),
    ];
    assert_eq!(
        Summary::new(&results).to_string(),
        "cut on small, seed 2: worth 0.700, CONFIG 3\n\
         cut on small, seed 3: no report: the run did not finish\n\
         day  site   seeds  broken  short  no report  mean worth\n\
         cut  small      2       1      0          1       0.750\n"
    );
}
