//! Service: the value that operations earned over the value that they offered, overall and by
//! class, zone, proxy and time.

use hdrhistogram::Histogram;
use ironmast_balancer::Micros;
use serde::Serialize;

use crate::scenario::{Scenario, millis, seconds};

/// The number of equal time columns into which charts divide a run.
pub const COLUMNS: usize = 60;
/// The highest latency that histograms distinguish, in microseconds: one hour, the longest deadline
/// that a scenario may have.
const MAX_LATENCY: Micros = 3_600_000_000;
/// The number of significant digits of latencies in histograms.
const LATENCY_DIGITS: u8 = 3;

/// The outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationOutcome {
    /// Answered after this time, whether within the latency target or not.
    Answered(Micros),
    /// The last try was rejected.
    Rejected,
    /// The last try failed, timed out or reached no proxy.
    Failed,
}

impl OperationOutcome {
    /// The code of the outcome in the digest, distinct for each outcome.
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
    /// The number of the operation, in the order in which operations began.
    pub number: u64,
    /// The proxy that the operation was sent to.
    pub proxy: u32,
    /// The index of the proxy's zone.
    pub zone: usize,
    /// The index of the request class.
    pub class: usize,
    /// The time at which the operation began.
    pub start: Micros,
    /// The outcome.
    pub outcome: OperationOutcome,
}

/// Counts of operations by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All operations that ended.
    pub asked: u64,
    /// Operations answered within the latency target.
    pub served: u64,
    /// Operations answered after the latency target.
    pub late: u64,
    /// Operations whose last try was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Operations whose last try failed, timed out or reached no proxy.
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
    /// The value of all operations of the group.
    pub offered: f64,
    /// The value of the operations that were answered within their latency targets.
    pub earned: f64,
}

impl ValueSum {
    /// The earned value over the offered value; 1 if nothing was offered.
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

/// The value and the outcomes of the operations of a run, in total and by group. Operations that
/// begin during the scenario's warm-up are not counted.
pub(crate) struct ServiceRecord {
    origin: Micros,
    counted_from: Micros,
    length: Micros,
    window: Micros,
    targets: Vec<Target>,
    /// The value of all operations.
    pub total: ValueSum,
    /// Value and counts by class.
    pub by_class: Vec<ClassService>,
    /// Value by the zone of the proxy.
    pub by_zone: Vec<ValueSum>,
    /// Value by proxy.
    pub by_proxy: Vec<ValueSum>,
    /// Value by the window of the time series in which the operation began.
    pub by_window: Vec<ValueSum>,
    /// Value by the chart column in which the operation began.
    pub by_column: Vec<ValueSum>,
    /// The counts of all operations by outcome.
    pub counts: Counts,
    /// The latencies of answered operations, measured from their beginning, in microseconds.
    pub latency: Histogram<u64>,
}

impl ServiceRecord {
    /// Creates an empty record for a run whose clock starts at `origin`.
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

    /// Adds an operation that ended, unless it began during the warm-up.
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

/// Limits a position to the last index of a list.
fn clamped_index<T>(position: u64, list: &[T]) -> usize {
    (position as usize).min(list.len() - 1)
}
