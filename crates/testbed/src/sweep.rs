//! One figure of a scenario varied over a range.

use std::path::Path;
use std::process::ExitCode;
use std::str::FromStr;

use eyre::WrapErr as _;
use ironmast_emulator::{PolicyName, Scenario};
use thiserror::Error;
use toml::Value;

use crate::compare;
use crate::files::{self, LoadedScenario};
use crate::pictures::{self, Curve, PlotError, Section};
use crate::runner::MeasuredReport;
use crate::statistics::{Estimate, Metric};

/// Steps where none are told.
const STEPS: usize = 8;

/// What is varied, from where to where, in how many steps.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Vary {
    path: String,
    from: f64,
    to: f64,
    steps: usize,
}

/// A text that is no valid `PATH=FROM..TO[:STEPS]`.
#[derive(Debug, Error)]
#[error("`{0}`: expected PATH=FROM..TO[:STEPS], as in clients.rate=100..900:9")]
pub(crate) struct InvalidVary(String);

/// A value that could not be set in the scenario.
#[derive(Debug, Error)]
pub(crate) enum VaryError {
    /// The scenario has no table or list at the path.
    #[error("{0}: the scenario holds no such figure")]
    UnknownPath(String),
    /// The scenario with the value is invalid.
    #[error("{path} = {value}: {problem}")]
    Invalid {
        /// The path of the value.
        path: String,
        /// The value.
        value: f64,
        /// What is wrong, without the line: the text with the value is in no file.
        problem: String,
    },
    /// The scenario's file is not valid TOML. It is no source: its own text has several lines.
    #[error("{}", .0.message())]
    Syntax(toml::de::Error),
    /// The scenario with the value could not be written as TOML.
    #[error("the varied scenario could not be written")]
    Write(#[from] toml::ser::Error),
}

impl FromStr for Vary {
    type Err = InvalidVary;

    fn from_str(text: &str) -> Result<Self, InvalidVary> {
        let expected = || InvalidVary(text.to_string());
        let (path, range) = text.split_once('=').ok_or_else(expected)?;
        let (range, steps) = match range.split_once(':') {
            Some((range, steps)) => (range, steps.parse().map_err(|_| expected())?),
            None => (range, STEPS),
        };
        let (from, to) = range.split_once("..").ok_or_else(expected)?;
        let (from, to): (f64, f64) = (
            from.parse().map_err(|_| expected())?,
            to.parse().map_err(|_| expected())?,
        );
        if path.is_empty() || steps < 2 || !from.is_finite() || !to.is_finite() {
            return Err(expected());
        }
        Ok(Vary {
            path: path.into(),
            from,
            to,
            steps,
        })
    }
}

impl Vary {
    fn values(&self) -> Vec<f64> {
        let step =
            |i: usize| self.from + (self.to - self.from) * i as f64 / (self.steps - 1) as f64;
        (0..self.steps).map(step).collect()
    }

    /// The scenario with the figure set; whole numbers stay whole.
    fn apply(&self, text: &str, value: f64) -> Result<Scenario, VaryError> {
        let set = |written: Option<Value>| {
            let mut root: toml::Table = text.parse().map_err(VaryError::Syntax)?;
            let (table, key) = place(&mut root, &self.path)
                .ok_or_else(|| VaryError::UnknownPath(self.path.clone()))?;
            let whole = Value::Integer(value.round() as i64);
            let shown = matches!(table.get(key), Some(Value::Integer(_)));
            let plain = if shown { whole } else { Value::Float(value) };
            // A figure that the file leaves to its default may be named too: the reading finds
            // wrong names.
            table.insert(key.to_string(), written.unwrap_or(plain));
            let text = toml::to_string(&root)?;
            Scenario::parse(&text).map_err(|error| VaryError::Invalid {
                path: self.path.clone(),
                value,
                problem: error.problem,
            })
        };
        let whole = Value::Integer(value.round() as i64);
        set(None).or_else(|problem| set(Some(whole)).map_err(|_| problem))
    }
}

/// The table that holds the last key of a path, and that key.
fn place<'a, 'p>(
    root: &'a mut toml::Table,
    path: &'p str,
) -> Option<(&'a mut toml::Table, &'p str)> {
    let (way, last) = path.rsplit_once('.').unwrap_or(("", path));
    let (mut table, mut way) = (root, way.split('.').filter(|key| !key.is_empty()));
    while let Some(key) = way.next() {
        table = match table.get_mut(key)? {
            Value::Table(table) => table,
            Value::Array(items) => items
                .get_mut(way.next()?.parse::<usize>().ok()?)?
                .as_table_mut()?,
            _ => return None,
        };
    }
    Some((table, last))
}

/// Figures that are drawn over the varied one.
const FIGURES: [(&str, &str, Metric); 4] = [
    ("service", "worth served in time, share", |r| r.service),
    ("worst-window", "service of the worst window, share", |r| {
        r.worst_window
    }),
    ("p99", "latency of 99 in 100, ms", |r| {
        r.latency_us.p99 as f64 / 1e3
    }),
    ("load", "cores in use, share", |r| r.servers.mean),
];

/// Plays all values, and writes what was finished even where it was stopped.
pub(crate) fn run(
    loaded: &LoadedScenario,
    vary: &Vary,
    policies: &[PolicyName],
    seeds: u64,
    out: &Path,
) -> eyre::Result<ExitCode> {
    let values = vary.values();
    let scenarios: Vec<Scenario> = values
        .iter()
        .map(|value| {
            let mut scenario = vary
                .apply(&loaded.text, *value)
                .wrap_err_with(|| loaded.path.display().to_string())?;
            scenario.name = format!("{} {}={value:.6}", loaded.scenario.name, vary.path);
            Ok(scenario)
        })
        .collect::<eyre::Result<_>>()?;
    let (notes, stopped) = compare::play_grid(&scenarios, policies, seeds, out)?;
    let title = format!(
        "{}: {} from {} to {}",
        loaded.scenario.name, vary.path, vary.from, vary.to
    );
    let section = section(&title, vary, (&scenarios, &values), policies, &notes)?;
    println!(
        "{title}, {seeds} seeds, service\n{}",
        compare::plain_table(&section.head, &section.rows)
    );
    for ((name, ..), svg) in FIGURES.iter().zip(&section.pictures) {
        files::write(&out.join(format!("{name}.svg")), svg)?;
    }
    files::write(
        &out.join("report.html"),
        &pictures::page(&title, &[section]),
    )?;
    println!("written: {}", out.join("report.html").display());
    Ok(if stopped {
        ExitCode::from(130)
    } else {
        ExitCode::SUCCESS
    })
}

fn section(
    title: &str,
    vary: &Vary,
    (scenarios, values): (&[Scenario], &[f64]),
    policies: &[PolicyName],
    notes: &[MeasuredReport],
) -> Result<Section, PlotError> {
    let of = |scenario: &Scenario, policy: PolicyName, figure: Metric| {
        let fits = |n: &&MeasuredReport| {
            n.report.scenario == scenario.name && n.report.policy == policy.name()
        };
        Estimate::of(
            &notes
                .iter()
                .filter(fits)
                .map(|n| figure(&n.report))
                .collect::<Vec<_>>(),
        )
    };
    let mut pictures = Vec::new();
    for (name, axis, figure) in FIGURES {
        let curve = |policy: &PolicyName| {
            let points = scenarios
                .iter()
                .zip(values)
                .map(|(s, x)| (*x, of(s, *policy, figure).mean));
            Curve {
                name: policy.name().into(),
                points: points.filter(|p| p.1.is_finite()).collect(),
            }
        };
        let curves: Vec<Curve> = policies.iter().map(curve).collect();
        let title = format!("{title}: {name}");
        pictures.push(pictures::curves(&title, (&vary.path, axis), &curves, None)?);
    }
    let row = |(scenario, value): (&Scenario, &f64)| {
        let cells = policies
            .iter()
            .map(|p| of(scenario, *p, FIGURES[0].2).to_string());
        [format!("{value:.4}")].into_iter().chain(cells).collect()
    };
    Ok(Section {
        title: title.to_string(),
        note: "Service, mean and 95 % interval over the seeds.".into(),
        head: [vary.path.clone()]
            .into_iter()
            .chain(policies.iter().map(|p| p.name().into()))
            .collect(),
        rows: scenarios.iter().zip(values).map(row).collect(),
        pictures,
    })
}

#[cfg(test)]
mod tests;
