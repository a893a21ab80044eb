//! The report of a run: the figures that are written as JSON, and the series for charts.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::judge::{Counts, Judge, ServiceRecord, Violation};
use crate::scenario::Scenario;
use crate::server::ServerStatistics;

/// Percentiles of the latency of answered operations, from their beginning to the last byte, in
/// microseconds; 0 if no operation was answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The maximum.
    pub max: u64,
}

/// The load of the servers. Utilization is busy core time over the core time available while up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    /// The utilization of all servers together.
    pub mean: f64,
    /// The highest utilization of a server, among the servers whose available core time is at least
    /// a tenth of the highest.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// The highest number of requests that one server held at once (executed and queued).
    #[serde(rename = "most_held")]
    pub max_held: u32,
}

/// Counts of the network traffic of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Probes sent to servers.
    pub probes: u64,
    /// Bytes of messages between proxies that arrived.
    pub peer_bytes: u64,
    /// Attempts that crossed zones.
    pub cross_zone: u64,
    /// Deduplicated requests whose effect occurred again because a server executed abandoned work
    /// after the deduplication window. No policy can prevent this, so it does not count as a
    /// violation.
    pub late_repeats: u64,
}

/// The service and the counts of one class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// The value earned over the value offered.
    pub service: f64,
    /// The operations of the class by outcome.
    #[serde(flatten)]
    pub counts: Counts,
}

/// The figures of one server, for charts and for tests against queueing theory.
#[derive(Clone, Debug)]
pub struct ServerReport {
    /// The kind of server, from its pool.
    pub kind: String,
    /// The name of the zone.
    pub zone: String,
    /// The statistics of the server.
    pub statistics: ServerStatistics,
    /// The utilization in each of the [`COLUMNS`](crate::COLUMNS) of the run since the server was
    /// added; NaN while the server was down.
    pub busy: Vec<f32>,
    /// The position in the fleet, which a replacement server inherits.
    pub position: u32,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the random streams.
    pub seed: u64,
    /// The name of the policy.
    pub policy: String,
    /// The digest of the run, in hexadecimal. The same scenario, policy and seed give the same digest.
    pub digest: String,
    /// The value earned over the value offered.
    pub service: f64,
    /// The service of the worst class.
    pub worst_class: f64,
    /// The service of the worst zone.
    pub worst_zone: f64,
    /// The service of the worst proxy.
    pub worst_proxy: f64,
    /// The service of the worst window.
    pub worst_window: f64,
    /// The service and the counts by class.
    pub by_class: BTreeMap<String, ClassReport>,
    /// The service by zone of the proxy.
    pub by_zone: BTreeMap<String, f64>,
    /// The service by window.
    pub by_window: Vec<f64>,
    /// The service by chart column; `None` for a column in which no operation began.
    #[serde(skip)]
    pub by_column: Vec<Option<f64>>,
    /// The operations by outcome.
    pub requests: Counts,
    /// The number of violations of the rules.
    #[serde(rename = "breaks")]
    pub violation_count: u64,
    /// The first 200 violations, in the order in which they occurred.
    #[serde(rename = "rules_broken")]
    pub violations: Vec<Violation>,
    /// Percentiles of the latency of answered operations, in microseconds.
    pub latency_us: Latency,
    /// The latency curve for charts, as (percentile, microseconds).
    #[serde(skip)]
    pub latency_curve: Vec<(f64, u64)>,
    /// The load of the servers.
    pub servers: Load,
    /// The network traffic.
    pub traffic: Traffic,
    /// The number of events of the simulation.
    pub events: u64,
    /// The figures of each server.
    #[serde(skip)]
    pub server_reports: Vec<ServerReport>,
}

/// The percentiles of the latency curve.
const PERCENTILES: [f64; 24] = [
    1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 75.0, 80.0, 85.0, 90.0, 92.5, 95.0, 97.0,
    98.0, 99.0, 99.5, 99.7, 99.9, 99.95, 99.99, 99.999,
];

impl Report {
    pub(crate) fn new(
        scenario: &Scenario,
        policy: String,
        seed: u64,
        events: u64,
        traffic: Traffic,
        judge: &Judge,
        server_reports: Vec<ServerReport>,
    ) -> Self {
        let service = &judge.service;
        Report {
            scenario: scenario.name.clone(),
            seed,
            policy,
            digest: format!("{:016x}", judge.digest()),
            service: service.total.service(),
            worst_class: min_service(service.by_class.iter().map(|class| class.value.service())),
            worst_zone: min_service(service.by_zone.iter().map(|value| value.service())),
            worst_proxy: min_service(service.by_proxy.iter().map(|value| value.service())),
            worst_window: min_service(service.by_window.iter().map(|value| value.service())),
            by_class: class_reports(scenario, service),
            by_zone: scenario
                .zones
                .iter()
                .zip(&service.by_zone)
                .map(|(zone, value)| (zone.clone(), value.service()))
                .collect(),
            by_window: service
                .by_window
                .iter()
                .map(|value| value.service())
                .collect(),
            by_column: service
                .by_column
                .iter()
                .map(|value| (value.offered > 0.0).then(|| value.service()))
                .collect(),
            requests: service.counts,
            violation_count: judge.violations.count,
            violations: judge.violations.recorded.clone(),
            latency_us: Latency::of(&service.latency),
            latency_curve: PERCENTILES
                .iter()
                .map(|percentile| (*percentile, quantile(&service.latency, percentile / 100.0)))
                .collect(),
            servers: Load::of(&server_reports),
            traffic,
            events,
            server_reports,
        }
    }
}

fn min_service(services: impl Iterator<Item = f64>) -> f64 {
    services.fold(1.0, f64::min)
}

fn class_reports(scenario: &Scenario, service: &ServiceRecord) -> BTreeMap<String, ClassReport> {
    scenario
        .classes
        .iter()
        .zip(&service.by_class)
        .map(|(class, recorded)| {
            let report = ClassReport {
                service: recorded.value.service(),
                counts: recorded.counts,
            };
            (class.name.clone(), report)
        })
        .collect()
}

/// A quantile of latencies, in microseconds; 0 if there are none.
fn quantile(latencies: &Histogram<u64>, quantile: f64) -> u64 {
    if latencies.is_empty() {
        0
    } else {
        latencies.value_at_quantile(quantile)
    }
}

impl Latency {
    fn of(latencies: &Histogram<u64>) -> Latency {
        Latency {
            p50: quantile(latencies, 0.5),
            p90: quantile(latencies, 0.9),
            p99: quantile(latencies, 0.99),
            p999: quantile(latencies, 0.999),
            max: if latencies.is_empty() {
                0
            } else {
                latencies.max()
            },
        }
    }
}

impl Load {
    fn of(servers: &[ServerReport]) -> Load {
        let statistics = || servers.iter().map(|server| &server.statistics);
        let busy: f64 = statistics().map(|server| server.busy_core_time).sum();
        let available: f64 = statistics().map(|server| server.available_core_time).sum();
        let longest = statistics()
            .map(|server| server.available_core_time)
            .fold(0.0, f64::max);
        let was_up = |server: &&ServerStatistics| {
            let available = server.available_core_time;
            available > 0.0 && available >= longest / 10.0
        };
        Load {
            mean: if available > 0.0 {
                busy / available
            } else {
                0.0
            },
            max: statistics()
                .filter(was_up)
                .map(|server| server.busy_core_time / server.available_core_time)
                .fold(0.0, f64::max),
            max_held: statistics()
                .map(|server| server.max_in_system)
                .max()
                .unwrap_or(0),
        }
    }
}
