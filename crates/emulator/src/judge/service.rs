//! Service: the value that operations earned over the value that they offered, overall and by
//! class, zone, proxy and time.

use hdrhistogram::Histogram;
use ironmast_balancer::Micros;
use serde::Serialize;

use crate::scenario::{Scenario, millis, seconds};

/// The number of equal columns into which a run is divided in pictures.
pub const COLUMNS: usize = 60;
/// The greatest latency that histograms distinguish, in microseconds: an hour, which is the longest
/// deadline that a scenario may have.
const MAX_LATENCY: Micros = 3_600_000_000;
/// The number of significant digits of latencies in histograms.
const LATENCY_DIGITS: u8 = 3;

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationOutcome {
    /// It was answered after this time, within its latency target or not.
    Answered(Micros),
    /// Its last try was rejected.
    Rejected,
    /// Its last try failed, timed out or reached no proxy.
    Failed,
}

impl OperationOutcome {
    /// A number for the digest that distinguishes all outcomes.
    pub(super) fn code(self) -> u64 {
        match self {
            OperationOutcome::Answered(latency) => latency,
            OperationOutcome::Rejected => u64::MAX,
            OperationOutcome::Failed => u64::MAX - 1,
        }
    }
}

/// An operation that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedOperation {
    /// Its number, in the order in which operations began.
    pub number: u64,
    /// The proxy that it was sent to.
    pub proxy: u32,
    /// The proxy's zone.
    pub zone: usize,
    /// Its class.
    pub class: usize,
    /// When it began.
    pub start: Micros,
    /// How it ended.
    pub outcome: OperationOutcome,
}

/// Counts of operations by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All.
    pub asked: u64,
    /// Answered within the latency target.
    pub served: u64,
    /// Answered later.
    pub late: u64,
    /// Rejected in the end.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed in the end.
    pub failed: u64,
}

impl Counts {
    fn add(&mut self, outcome: OperationOutcome, in_time: bool) {
        self.asked += 1;
        match outcome {
            OperationOutcome::Answered(_) if in_time => self.served += 1,
            OperationOutcome::Answered(_) => self.late += 1,
            OperationOutcome::Rejected => self.rejected += 1,
            OperationOutcome::Failed => self.failed += 1,
        }
    }
}

/// The value of a group of operations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ValueSum {
    /// The value of all of them.
    pub offered: f64,
    /// The value of those that were answered within their latency targets.
    pub earned: f64,
}

impl ValueSum {
    /// Earned over offered; 1 if nothing was offered.
    pub(crate) fn service(self) -> f64 {
        if self.offered > 0.0 {
            self.earned / self.offered
        } else {
            1.0
        }
    }
}

/// The value and the counts of a class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassService {
    pub value: ValueSum,
    pub counts: Counts,
}

/// The latency target of a class and the value of meeting it.
struct Target {
    value: f64,
    latency: Micros,
}

/// The service of a run. Operations that begin during the scenario's warm-up are not counted.
pub(crate) struct ServiceRecord {
    origin: Micros,
    counted_from: Micros,
    length: Micros,
    window: Micros,
    targets: Vec<Target>,
    /// All operations.
    pub total: ValueSum,
    /// By class.
    pub by_class: Vec<ClassService>,
    /// By the zone of the proxy.
    pub by_zone: Vec<ValueSum>,
    /// By proxy.
    pub by_proxy: Vec<ValueSum>,
    /// By window of the time series in which the operation began.
    pub by_window: Vec<ValueSum>,
    /// By column of pictures in which the operation began.
    pub by_column: Vec<ValueSum>,
    /// All operations.
    pub counts: Counts,
    /// The latencies of answered operations, from their beginning, in microseconds.
    pub latency: Histogram<u64>,
}

impl ServiceRecord {
    /// An empty record of a run whose clock starts at `origin`.
    pub(super) fn new(scenario: &Scenario, origin: Micros) -> Self {
        let window = seconds(scenario.window_s).max(1);
        let windows = seconds(scenario.length_s).div_ceil(window) as usize;
        let targets = scenario.classes.iter().map(|class| Target {
            value: class.value,
            latency: millis(class.latency_target_ms),
        });
        ServiceRecord {
            origin,
            counted_from: origin + seconds(scenario.warmup_s),
            length: seconds(scenario.length_s).max(1),
            window,
            targets: targets.collect(),
            total: ValueSum::default(),
            by_class: vec![ClassService::default(); scenario.classes.len()],
            by_zone: vec![ValueSum::default(); scenario.zones.len()],
            by_proxy: vec![ValueSum::default(); scenario.proxies.count as usize],
            by_window: vec![ValueSum::default(); windows],
            by_column: vec![ValueSum::default(); COLUMNS],
            counts: Counts::default(),
            latency: Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)
                .expect("constant, valid bounds"),
        }
    }

    /// Adds an operation.
    pub(super) fn add(&mut self, operation: &EndedOperation) {
        if operation.start < self.counted_from {
            return;
        }
        let target = &self.targets[operation.class];
        let outcome = operation.outcome;
        let in_time =
            matches!(outcome, OperationOutcome::Answered(after) if after <= target.latency);
        let (offered, earned) = (target.value, if in_time { target.value } else { 0.0 });
        let elapsed = operation.start - self.origin;
        let window = clamped_index(elapsed / self.window, &self.by_window);
        let column = clamped_index(elapsed * COLUMNS as u64 / self.length, &self.by_column);
        let class = &mut self.by_class[operation.class];
        for sum in [
            &mut self.total,
            &mut class.value,
            &mut self.by_zone[operation.zone],
            &mut self.by_proxy[operation.proxy as usize],
            &mut self.by_window[window],
            &mut self.by_column[column],
        ] {
            sum.offered += offered;
            sum.earned += earned;
        }
        self.counts.add(outcome, in_time);
        class.counts.add(outcome, in_time);
        if let OperationOutcome::Answered(latency) = outcome {
            self.latency.saturating_record(latency.max(1));
        }
    }
}

/// A position in a list, or its last one if the position is beyond the end.
fn clamped_index<T>(position: u64, list: &[T]) -> usize {
    (position as usize).min(list.len() - 1)
}
