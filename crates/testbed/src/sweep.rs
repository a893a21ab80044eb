//! `sweep`: runs a scenario with one of its numbers varied over a range, prints a table and writes
//! CSV, charts and a report.

mod variation;

use std::path::Path;
use std::process::ExitCode;

use eyre::WrapErr as _;
use ironmast_emulator::{PolicyName, Scenario};

use crate::chart::{ChartError, LineChart, Series};
use crate::files::{self, LoadedScenario};
use crate::html_report::{Section, html_report};
use crate::matrix::RunMatrix;
use crate::runner::MeasuredReport;
use crate::statistics::{Estimate, Metric, P99_MS, SERVICE, WORST_WINDOW};
use crate::table::Table;
pub(crate) use variation::Variation;

/// A metric that is drawn over the varied value.
struct Plot {
    /// The name of the chart's file without extension.
    name: &'static str,
    /// The name of the y axis.
    axis: &'static str,
    metric: Metric,
}

const PLOTS: [Plot; 4] = [
    Plot {
        name: "service",
        axis: "worth served in time, share",
        metric: SERVICE,
    },
    Plot {
        name: "worst-window",
        axis: "service of the worst window, share",
        metric: WORST_WINDOW,
    },
    Plot {
        name: "p99",
        axis: "latency of 99 in 100, ms",
        metric: P99_MS,
    },
    Plot {
        name: "load",
        axis: "cores in use, share",
        metric: |report| report.servers.mean,
    },
];

/// The arguments of `sweep`.
pub(crate) struct Sweep<'a> {
    /// The scenario.
    pub base: &'a LoadedScenario,
    /// The varied key and its values.
    pub variation: &'a Variation,
    /// The policies.
    pub policies: &'a [PolicyName],
    /// The number of seeds.
    pub seeds: u64,
    /// The directory for the results.
    pub out: &'a Path,
}

impl Sweep<'_> {
    fn title(&self) -> String {
        let Variation { path, from, to, .. } = self.variation;
        format!("{}: {path} from {from} to {to}", self.base.scenario.name)
    }

    /// One scenario for each value.
    fn scenarios(&self) -> eyre::Result<Vec<Scenario>> {
        let values = self.variation.values().into_iter();
        values.map(|value| self.scenario(value)).collect()
    }

    fn scenario(&self, value: f64) -> eyre::Result<Scenario> {
        let varied = self.variation.apply(&self.base.text, value);
        let mut scenario = varied.wrap_err_with(|| self.base.path.display().to_string())?;
        let (name, path) = (&self.base.scenario.name, &self.variation.path);
        scenario.name = format!("{name} {path}={value:.6}");
        Ok(scenario)
    }
}

/// Makes all runs and reports the completed ones, also after Ctrl-C. The exit code is 130 after
/// Ctrl-C.
///
/// # Errors
/// The scenario is invalid with one of the values, there is nothing to run, or a file cannot be
/// written.
pub(crate) fn run(sweep: &Sweep) -> eyre::Result<ExitCode> {
    let scenarios = sweep.scenarios()?;
    let matrix = RunMatrix {
        scenarios: &scenarios,
        policies: sweep.policies,
        seeds: sweep.seeds,
    };
    let runs = matrix.run(sweep.out)?;
    let results = SweepResults {
        sweep,
        scenarios: &scenarios,
        reports: &runs.reports,
    };
    write_report(&results)?;
    Ok(if runs.is_stopped {
        ExitCode::from(130)
    } else {
        ExitCode::SUCCESS
    })
}

/// Prints the table and writes the charts and the report.
fn write_report(results: &SweepResults) -> eyre::Result<()> {
    let Sweep { seeds, out, .. } = results.sweep;
    let title = results.sweep.title();
    let section = results.section()?;
    println!("{title}, {seeds} seeds, service\n{}", section.table);
    for (plot, svg) in PLOTS.iter().zip(&section.charts) {
        files::write(&out.join(format!("{}.svg", plot.name)), svg)?;
    }
    let path = out.join("report.html");
    files::write(&path, &html_report(&title, &[section]))?;
    println!("written: {}", path.display());
    Ok(())
}

/// The completed runs of a sweep.
struct SweepResults<'a> {
    sweep: &'a Sweep<'a>,
    /// One scenario for each value.
    scenarios: &'a [Scenario],
    reports: &'a [MeasuredReport],
}

impl SweepResults<'_> {
    /// The values with their scenarios.
    fn points(&self) -> impl Iterator<Item = (f64, &Scenario)> {
        let values = self.sweep.variation.values().into_iter();
        values.zip(self.scenarios)
    }

    /// The mean of a metric over the completed runs of a scenario under a policy.
    fn estimate(&self, scenario: &Scenario, policy: PolicyName, metric: Metric) -> Estimate {
        let reports = self.reports.iter().map(|run| &run.report);
        let wanted = reports
            .filter(|report| report.scenario == scenario.name && report.policy == policy.name());
        Estimate::of(&wanted.map(metric).collect::<Vec<_>>())
    }

    fn section(&self) -> Result<Section, ChartError> {
        let charts = PLOTS.iter().map(|plot| self.chart(plot));
        Ok(Section {
            title: self.sweep.title(),
            note: "Service, mean and 95 % interval over the seeds.".into(),
            table: self.service_table(),
            charts: charts.collect::<Result<_, _>>()?,
        })
    }

    /// The service by value and policy.
    fn service_table(&self) -> Table {
        let policies = self.sweep.policies.iter();
        let names = policies.map(|policy| policy.name().to_string());
        let header = std::iter::once(self.sweep.variation.path.clone()).chain(names);
        let rows = self.points().map(|(value, scenario)| {
            let policies = self.sweep.policies.iter();
            let cells =
                policies.map(|policy| self.estimate(scenario, *policy, SERVICE).to_string());
            std::iter::once(format!("{value:.4}"))
                .chain(cells)
                .collect()
        });
        Table {
            header: header.collect(),
            rows: rows.collect(),
        }
    }

    /// The chart of a metric over the varied value, as SVG.
    fn chart(&self, plot: &Plot) -> Result<String, ChartError> {
        let policies = self.sweep.policies.iter();
        let series: Vec<Series> = policies
            .map(|policy| self.series(*policy, plot.metric))
            .collect();
        let chart = LineChart {
            title: &format!("{}: {}", self.sweep.title(), plot.name),
            x_name: &self.sweep.variation.path,
            y_name: plot.axis,
            y_range: None,
        };
        chart.draw(&series)
    }

    fn series(&self, policy: PolicyName, metric: Metric) -> Series {
        let points = self
            .points()
            .map(|(value, scenario)| (value, self.estimate(scenario, policy, metric).mean));
        Series {
            name: policy.name().into(),
            points: points.filter(|point| point.1.is_finite()).collect(),
        }
    }
}
