//! What a run found: the figures, as they are written to JSON, and the series behind the pictures.

use serde::Serialize;
use std::collections::BTreeMap;

use crate::judge::{Counts, Judge, Violation};
use crate::scenario::Scenario;
use crate::server::ServerStatistics;

/// Latency of answered operations, from asking to the last byte, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// Half are quicker.
    pub p50: u64,
    /// Nine in ten.
    pub p90: u64,
    /// 99 in 100.
    pub p99: u64,
    /// 999 in 1,000.
    pub p999: u64,
    /// The slowest.
    pub max: u64,
}

/// How busy the servers were: core time in use over core time that was there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Load {
    /// Over all servers.
    pub mean: f64,
    /// Of the busiest that was up for a tenth of the run at least.
    #[serde(rename = "greatest")]
    pub max: f64,
    /// Most requests held by one server at once.
    #[serde(rename = "most_held")]
    pub max_held: u32,
}

/// What passed over the network.
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
    /// Keyed requests that ran again because a server kept work that had been given up beyond the
    /// time for which repeats are dropped: nobody's break, and yet a second effect.
    pub late_repeats: u64,
}

/// Service and counts of one class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Worth served in time over worth asked for.
    pub service: f64,
    /// Operations.
    #[serde(flatten)]
    pub counts: Counts,
}

/// One server, for pictures and theory.
#[derive(Clone, Debug)]
pub struct ServerReport {
    /// Its kind and zone.
    pub kind: String,
    /// See `kind`.
    pub zone: String,
    /// What it did.
    pub statistics: ServerStatistics,
    /// Busy share in each sixtieth of the run, from its start on; not a number while it was down.
    pub busy: Vec<f32>,
    /// Where it stood.
    pub position: u32,
}

/// One run's result.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The policy's name.
    pub policy: String,
    /// Of all facts of the run, in hex: the same scenario, policy and seed give the same.
    pub digest: String,
    /// Worth served in time over worth asked for.
    pub service: f64,
    /// Service of the worst class, zone and proxy.
    pub worst_class: f64,
    /// See `worst_class`.
    pub worst_zone: f64,
    /// See `worst_class`.
    pub worst_proxy: f64,
    /// Service of the worst window.
    pub worst_window: f64,
    /// By class.
    pub by_class: BTreeMap<String, ClassReport>,
    /// Service by zone of the proxy.
    pub by_zone: BTreeMap<String, f64>,
    /// Service by window.
    pub by_window: Vec<f64>,
    /// Service in sixtieths of the run; none where nothing was asked.
    #[serde(skip)]
    pub by_column: Vec<Option<f64>>,
    /// Operations: asked is the sum of the others.
    pub requests: Counts,
    /// How many rules were broken.
    #[serde(rename = "breaks")]
    pub violation_count: u64,
    /// The first of them.
    #[serde(rename = "rules_broken")]
    pub violations: Vec<Violation>,
    /// Latency of answered operations.
    pub latency_us: Latency,
    /// Latency at percentiles, for curves: (percentile, microseconds).
    #[serde(skip)]
    pub latency_curve: Vec<(f64, u64)>,
    /// Load of the servers.
    pub servers: Load,
    /// Messages.
    pub traffic: Traffic,
    /// Events played.
    pub events: u64,
    /// The servers one by one.
    #[serde(skip)]
    pub server_reports: Vec<ServerReport>,
}

/// Percentiles of the latency curve.
const CURVE: [f64; 24] = [
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
        each: Vec<ServerReport>,
    ) -> Self {
        let least = |shares: &mut dyn Iterator<Item = f64>| shares.fold(1.0, f64::min);
        let at = |share: f64| judge.latency.value_at_quantile(share);
        let some = !judge.latency.is_empty();
        let quantile = |q: f64| if some { at(q) } else { 0 };
        let by_class =
            scenario
                .classes
                .iter()
                .zip(&judge.by_class)
                .map(|(class, (worth, counts))| {
                    (
                        class.name.clone(),
                        ClassReport {
                            service: worth.share(),
                            counts: *counts,
                        },
                    )
                });
        let zones = scenario
            .zones
            .iter()
            .zip(&judge.by_zone)
            .map(|(z, w)| (z.clone(), w.share()));
        let busy: f64 = each.iter().map(|s| s.statistics.busy_core_time).sum();
        let there: f64 = each.iter().map(|s| s.statistics.available_core_time).sum();
        let most = each
            .iter()
            .map(|s| s.statistics.available_core_time)
            .fold(0.0, f64::max);
        let counted = each.iter().filter(|s| {
            s.statistics.available_core_time > 0.0
                && s.statistics.available_core_time >= most / 10.0
        });
        Report {
            scenario: scenario.name.clone(),
            seed,
            policy,
            digest: format!("{:016x}", judge.digest()),
            service: judge.total.share(),
            worst_class: least(&mut judge.by_class.iter().map(|c| c.0.share())),
            worst_zone: least(&mut judge.by_zone.iter().map(|w| w.share())),
            worst_proxy: least(&mut judge.by_proxy.iter().map(|w| w.share())),
            worst_window: least(&mut judge.by_window.iter().map(|w| w.share())),
            by_class: by_class.collect(),
            by_zone: zones.collect(),
            by_window: judge.by_window.iter().map(|w| w.share()).collect(),
            by_column: judge
                .by_column
                .iter()
                .map(|w| (w.asked > 0.0).then(|| w.share()))
                .collect(),
            requests: judge.counts,
            violation_count: judge.violation_count,
            violations: judge.violations.clone(),
            latency_us: Latency {
                p50: quantile(0.5),
                p90: quantile(0.9),
                p99: quantile(0.99),
                p999: quantile(0.999),
                max: if some { judge.latency.max() } else { 0 },
            },
            latency_curve: CURVE.iter().map(|p| (*p, quantile(p / 100.0))).collect(),
            servers: Load {
                mean: if there > 0.0 { busy / there } else { 0.0 },
                max: counted
                    .map(|s| s.statistics.busy_core_time / s.statistics.available_core_time)
                    .fold(0.0, f64::max),
                max_held: each
                    .iter()
                    .map(|s| s.statistics.max_in_system)
                    .max()
                    .unwrap_or(0),
            },
            traffic,
            events,
            server_reports: each,
        }
    }
}
