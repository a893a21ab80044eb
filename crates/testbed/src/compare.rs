//! Scenarios under several policies and the same seeds: a table, CSV, pictures and one report.

use std::path::Path;
use std::process::ExitCode;

use eyre::bail;
use ironmast_emulator::{COLUMNS, PolicyName, Report, Scenario};

use crate::files;
use crate::pictures::{self, Curve, PlotError};
use crate::runner::{MeasuredReport, Runner, Trial};
use crate::statistics::{Estimate, Metric};

/// Runs of one scenario and policy, by seed.
pub(crate) struct Group<'a> {
    /// The policy.
    pub policy: PolicyName,
    /// The runs.
    pub runs: Vec<&'a MeasuredReport>,
}

impl Group<'_> {
    /// A figure of each run.
    pub(crate) fn values(&self, figure: impl Fn(&Report) -> f64) -> Vec<f64> {
        self.runs.iter().map(|n| figure(&n.report)).collect()
    }
}

/// The columns of the table that get an interval.
const FIGURES: [(&str, Metric); 4] = [
    ("service", |r| r.service),
    ("worst window", |r| r.worst_window),
    ("worst class", |r| r.worst_class),
    ("p99, ms", |r| r.latency_us.p99 as f64 / 1e3),
];

/// Runs of one scenario, by policy in the given order; only seeds that all policies have finished.
pub(crate) fn groups<'a>(
    notes: &'a [MeasuredReport],
    scenario: &str,
    policies: &[PolicyName],
) -> Vec<Group<'a>> {
    let of = |p: PolicyName, seed: u64| {
        let fits = move |n: &&MeasuredReport| {
            n.report.scenario == scenario && n.report.policy == p.name() && n.report.seed == seed
        };
        notes.iter().find(fits)
    };
    let mut seeds: Vec<u64> = notes.iter().map(|n| n.report.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds.retain(|seed| policies.iter().all(|p| of(*p, *seed).is_some()));
    let group = |p: &PolicyName| Group {
        policy: *p,
        runs: seeds.iter().filter_map(|s| of(*p, *s)).collect(),
    };
    policies.iter().map(group).collect()
}

/// One row of the table for each policy: figures, and the difference in service from the first
/// policy.
pub(crate) fn rows(groups: &[Group]) -> Vec<Vec<String>> {
    let first = groups
        .first()
        .map(|g| g.values(FIGURES[0].1))
        .unwrap_or_default();
    let row = |(i, group): (usize, &Group)| {
        let mut row = vec![group.policy.name().to_string()];
        row.extend(
            FIGURES
                .iter()
                .map(|(_, f)| Estimate::of(&group.values(f)).to_string()),
        );
        let difference = Estimate::of_paired_differences(&group.values(FIGURES[0].1), &first);
        row.push(if i == 0 { "-".into() } else { told(difference) });
        row.push(
            group
                .runs
                .iter()
                .map(|n| n.report.violation_count)
                .sum::<u64>()
                .to_string(),
        );
        row
    };
    groups.iter().enumerate().map(row).collect()
}

fn told(difference: Estimate) -> String {
    let verdict = if difference.is_significant() {
        "real"
    } else {
        "not told apart"
    };
    format!("{difference} ({verdict})")
}

/// The table's head; `first` is the policy that others are held against.
pub(crate) fn head(first: &str) -> Vec<String> {
    let figures = FIGURES.iter().map(|f| f.0.to_string());
    let against = format!("service against {first}");
    ["policy".to_string()]
        .into_iter()
        .chain(figures)
        .chain([against, "rules broken".into()])
        .collect()
}

/// Columns of equal width, for the terminal.
pub(crate) fn plain_table(head: &[String], rows: &[Vec<String>]) -> String {
    let width = |c: usize| {
        rows.iter()
            .chain([&head.to_vec()])
            .map(|r| r[c].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |row: &[String]| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, w)| format!("{cell:w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    let lines: Vec<String> = [line(head)]
        .into_iter()
        .chain(rows.iter().map(|r| line(r)))
        .collect();
    lines.join("\n")
}

/// One line a run.
pub(crate) fn csv(notes: &[MeasuredReport]) -> String {
    let mut text = String::from(
        "scenario,policy,seed,service,worst_window,worst_class,worst_zone,worst_proxy,asked,served,late,refused,\
         failed,p50_us,p90_us,p99_us,p999_us,max_us,mean_load,greatest_load,attempts,cross_zone,probes,breaks,\
         events,wall_s,digest\n",
    );
    for note in notes {
        let (r, q, l) = (&note.report, &note.report.requests, &note.report.latency_us);
        text += &format!(
            "{},{},{},{:.6},{:.6},{:.6},{:.6},{:.6},{},{},{},{},{},{},{},{},{},{},{:.5},{:.5},{},{},{},{},{},{:.3},{}\n",
            r.scenario.replace(',', " "),
            r.policy,
            r.seed,
            r.service,
            r.worst_window,
            r.worst_class,
            r.worst_zone,
            r.worst_proxy,
            q.asked,
            q.served,
            q.late,
            q.rejected,
            q.failed,
            l.p50,
            l.p90,
            l.p99,
            l.p999,
            l.max,
            r.servers.mean,
            r.servers.max,
            r.traffic.attempts,
            r.traffic.cross_zone,
            r.traffic.probes,
            r.violation_count,
            r.events,
            note.wall_s,
            r.digest
        );
    }
    text
}

/// Plays every scenario under every policy and seeds 1 to `seeds`, and writes `runs.csv`: what was
/// finished, and whether it was stopped.
pub(crate) fn play_grid(
    scenarios: &[Scenario],
    policies: &[PolicyName],
    seeds: u64,
    out: &Path,
) -> eyre::Result<(Vec<MeasuredReport>, bool)> {
    if seeds == 0 || policies.is_empty() {
        bail!("nothing to play, expected one policy and one seed at least");
    }
    files::ensure_directory(out)?;
    let mut trials = Vec::new();
    for scenario in scenarios {
        for seed in 1..=seeds {
            trials.extend(policies.iter().map(|&policy| Trial {
                scenario,
                policy,
                seed,
            }));
        }
    }
    let runner = Runner::start(trials.len() as u64);
    let notes = runner.run_all(&trials);
    runner.end();
    files::write(&out.join("runs.csv"), &csv(&notes))?;
    Ok((notes, runner.is_stopped()))
}

/// Plays everything, and writes what was finished even where it was stopped.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the command line hands its scenarios over"
)]
pub(crate) fn run(
    scenarios: Vec<Scenario>,
    policies: &[PolicyName],
    seeds: u64,
    out: &Path,
) -> eyre::Result<ExitCode> {
    for (i, scenario) in scenarios.iter().enumerate() {
        if scenarios[..i].iter().any(|s| s.name == scenario.name) {
            bail!(
                "two scenarios are called `{}`, expected names that differ",
                scenario.name
            );
        }
    }
    let (notes, stopped) = play_grid(&scenarios, policies, seeds, out)?;
    let mut sections = Vec::new();
    for scenario in &scenarios {
        let groups = groups(&notes, &scenario.name, policies);
        let played = groups.first().map_or(0, |g| g.runs.len());
        if played == 0 {
            println!("{}: no seed was finished under every policy", scenario.name);
            continue;
        }
        let (head, rows) = (head(policies[0].name()), rows(&groups));
        println!(
            "{}, {played} seeds, mean and 95 % interval\n{}\n",
            scenario.name,
            plain_table(&head, &rows)
        );
        let pictures = scenario_pictures(scenario, &groups)?;
        for (name, svg) in &pictures {
            files::write(
                &out.join(format!("{}-{name}.svg", file_name(&scenario.name))),
                svg,
            )?;
        }
        sections.push(pictures::Section {
            title: format!("{} - {}", scenario.name, scenario.about),
            note: format!(
                "{played} seeds; mean and 95 % interval; differences are paired by seed."
            ),
            head,
            rows,
            pictures: pictures.into_iter().map(|p| p.1).collect(),
        });
    }
    files::write(
        &out.join("report.html"),
        &pictures::page("Policies compared", &sections),
    )?;
    println!("written: {}", out.join("report.html").display());
    let broken: u64 = notes.iter().map(|n| n.report.violation_count).sum();
    Ok(match () {
        () if stopped => ExitCode::from(130),
        () if broken > 0 => ExitCode::from(1),
        () => ExitCode::SUCCESS,
    })
}

/// A name as part of a file's name.
pub(crate) fn file_name(name: &str) -> String {
    name.chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || "-_.".contains(c) {
                c
            } else {
                '_'
            }
        })
        .collect()
}

fn scenario_pictures(
    scenario: &Scenario,
    groups: &[Group],
) -> Result<Vec<(String, String)>, PlotError> {
    let name = &scenario.name;
    let over_time = |group: &Group| {
        let column = scenario.length_s / COLUMNS as f64;
        let at = |c: usize| {
            group
                .runs
                .iter()
                .filter_map(|n| n.report.by_column[c])
                .collect::<Vec<f64>>()
        };
        let points = (0..COLUMNS).map(|c| {
            (
                (c as f64 + 0.5) * column,
                Estimate::of(&at(c)).mean,
                at(c).len(),
            )
        });
        let points = points.filter(|p| p.2 > 0).map(|p| (p.0, p.1)).collect();
        Curve {
            name: group.policy.name().into(),
            points,
        }
    };
    let latency = |group: &Group| {
        let count = group.runs[0].report.latency_curve.len();
        let point = |i: usize| {
            let percentile = group.runs[0].report.latency_curve[i].0;
            let ms = Estimate::of(&group.values(|r| r.latency_curve[i].1 as f64 / 1e3)).mean;
            (pictures::nines(percentile), ms.max(0.01))
        };
        Curve {
            name: group.policy.name().into(),
            points: (0..count).map(point).collect(),
        }
    };
    let load = |group: &Group| {
        let report = &group.runs[0].report;
        let up = report
            .server_reports
            .iter()
            .filter(|s| s.statistics.available_core_time > 0.0);
        let mut busy: Vec<f64> = up
            .map(|s| s.statistics.busy_core_time / s.statistics.available_core_time * 100.0)
            .collect();
        busy.sort_by(f64::total_cmp);
        let points = busy
            .iter()
            .enumerate()
            .map(|(i, b)| (i as f64 + 1.0, *b))
            .collect();
        Curve {
            name: group.policy.name().into(),
            points,
        }
    };
    let mut all = vec![
        (
            "service".to_string(),
            pictures::curves(
                &format!("{name}: service over time"),
                ("time, s", "worth served in time, share"),
                &groups.iter().map(over_time).collect::<Vec<_>>(),
                Some((0.0, 1.02)),
            )?,
        ),
        (
            "latency".to_string(),
            pictures::latency(
                &format!("{name}: latency of answers"),
                &groups.iter().map(latency).collect::<Vec<_>>(),
            )?,
        ),
        (
            "load".to_string(),
            pictures::curves(
                &format!("{name}: load per server, first seed"),
                ("server, least busy first", "cores in use, %"),
                &groups.iter().map(load).collect::<Vec<_>>(),
                Some((0.0, 102.0)),
            )?,
        ),
    ];
    for group in groups {
        let title = format!(
            "{name}: servers over time, {}, first seed",
            group.policy.name()
        );
        let picture = pictures::heat(
            &title,
            scenario.length_s,
            &group.runs[0].report.server_reports,
        )?;
        all.push((format!("servers-{}", group.policy.name()), picture));
    }
    Ok(all)
}
