//! The charts of a scenario: service over time, latency, and the load of the servers.

use ironmast_emulator::{COLUMNS, Scenario};

use super::summary::PolicyRuns;
use crate::chart::{
    ChartError, LineChart, Series, latency_axis_position, latency_chart, server_heat_map,
};
use crate::statistics::Estimate;

/// The lowest latency that is drawn, in milliseconds: a logarithmic axis cannot show 0.
const MIN_LATENCY_MS: f64 = 0.01;

/// A chart with the name of its file.
pub(super) struct Chart {
    /// The part of the file's name after the scenario's.
    pub name: String,
    /// The chart as SVG.
    pub svg: String,
}

/// The charts of a scenario, each with one line for each policy, and a heat map of the servers for
/// each policy. Each policy has one run at least.
///
/// # Errors
/// A chart could not be drawn.
pub(super) fn scenario_charts(
    scenario: &Scenario,
    by_policy: &[PolicyRuns],
) -> Result<Vec<Chart>, ChartError> {
    let mut charts = vec![
        service_chart(scenario, by_policy)?,
        latencies_chart(scenario, by_policy)?,
        load_chart(scenario, by_policy)?,
    ];
    for runs in by_policy {
        charts.push(servers_chart(scenario, runs)?);
    }
    Ok(charts)
}

/// One series for each policy.
fn series_by_policy(
    by_policy: &[PolicyRuns],
    points: impl Fn(&PolicyRuns) -> Vec<(f64, f64)>,
) -> Vec<Series> {
    let series = by_policy.iter().map(|runs| Series {
        name: runs.policy.name().into(),
        points: points(runs),
    });
    series.collect()
}

fn service_chart(scenario: &Scenario, by_policy: &[PolicyRuns]) -> Result<Chart, ChartError> {
    let chart = LineChart {
        title: &format!("{}: service over time", scenario.name),
        x_name: "time, s",
        y_name: "worth served in time, share",
        y_range: Some(0.0..1.02),
    };
    let series = series_by_policy(by_policy, |runs| service_over_time(scenario, runs));
    Ok(Chart {
        name: "service".into(),
        svg: chart.draw(&series)?,
    })
}

/// The mean service of the runs per column of the time axis; columns without requests are omitted.
fn service_over_time(scenario: &Scenario, runs: &PolicyRuns) -> Vec<(f64, f64)> {
    let width_s = scenario.length_s / COLUMNS as f64;
    let point = |column: usize| {
        let reports = runs.reports.iter();
        let values: Vec<f64> = reports
            .filter_map(|report| report.by_column[column])
            .collect();
        let middle_s = (column as f64 + 0.5) * width_s;
        (!values.is_empty()).then(|| (middle_s, Estimate::of(&values).mean))
    };
    (0..COLUMNS).filter_map(point).collect()
}

fn latencies_chart(scenario: &Scenario, by_policy: &[PolicyRuns]) -> Result<Chart, ChartError> {
    let title = format!("{}: latency of answers", scenario.name);
    let series = series_by_policy(by_policy, latency_points);
    Ok(Chart {
        name: "latency".into(),
        svg: latency_chart(&title, &series)?,
    })
}

/// The mean latency of the runs at each percentile, in milliseconds.
fn latency_points(runs: &PolicyRuns) -> Vec<(f64, f64)> {
    let percentiles = runs.reports[0].latency_curve.iter().map(|point| point.0);
    let points = percentiles.enumerate().map(|(index, percentile)| {
        let latencies_ms = runs.values(|report| report.latency_curve[index].1 as f64 / 1e3);
        let mean_ms = Estimate::of(&latencies_ms).mean;
        (
            latency_axis_position(percentile),
            mean_ms.max(MIN_LATENCY_MS),
        )
    });
    points.collect()
}

fn load_chart(scenario: &Scenario, by_policy: &[PolicyRuns]) -> Result<Chart, ChartError> {
    let chart = LineChart {
        title: &format!("{}: load per server, first seed", scenario.name),
        x_name: "server, least busy first",
        y_name: "cores in use, %",
        y_range: Some(0.0..102.0),
    };
    Ok(Chart {
        name: "load".into(),
        svg: chart.draw(&series_by_policy(by_policy, load_by_server))?,
    })
}

/// The load of each server that ran in the first run, in percent, in ascending order.
fn load_by_server(runs: &PolicyRuns) -> Vec<(f64, f64)> {
    let servers = runs.reports[0].server_reports.iter();
    let statistics = servers.map(|server| &server.statistics);
    let mut loads: Vec<f64> = statistics
        .filter(|statistics| statistics.available_core_time > 0.0)
        .map(|statistics| statistics.busy_core_time / statistics.available_core_time * 100.0)
        .collect();
    loads.sort_by(f64::total_cmp);
    let points = loads.into_iter().enumerate();
    points
        .map(|(index, load)| (index as f64 + 1.0, load))
        .collect()
}

fn servers_chart(scenario: &Scenario, runs: &PolicyRuns) -> Result<Chart, ChartError> {
    let policy = runs.policy.name();
    let title = format!("{}: servers over time, {policy}, first seed", scenario.name);
    let servers = &runs.reports[0].server_reports;
    Ok(Chart {
        name: format!("servers-{policy}"),
        svg: server_heat_map(&title, scenario.length_s, servers)?,
    })
}
