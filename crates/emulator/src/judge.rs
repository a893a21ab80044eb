//! The judge: hears what truly happened, from clients and servers, never from a policy, and counts.
//!
//! Each operation (a client's wish, with all its tries) is asked once and ends in one fate. The
//! four rules are checked on every try, run and send; each break is kept with its time, request,
//! proxy and server.

use std::fmt;

use hdrhistogram::Histogram;
use ironmast_balancer::Micros;
use rustc_hash::FxHashMap;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::scenario::{Scenario, millis, seconds};

/// Breaks kept with their details; all are counted.
const MAX_RECORDED_VIOLATIONS: usize = 200;
/// Columns of pictures over time.
pub const COLUMNS: usize = 60;
/// Greatest latency that histograms tell apart, in microseconds.
const LATENCY_MOST: u64 = 3_600_000_000;

/// The four rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer for each request taken, in time.
    OneAnswer,
    /// No effect twice; attempts never together where that is not allowed, and not too many.
    NoEffectTwice,
    /// Nothing new to a draining or gone server.
    #[serde(rename = "drains-kept")]
    NoSendAfterDrain,
    /// No cold server pushed over.
    #[serde(rename = "cold-spared")]
    NoWarmUpOverload,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "OneAnswer",
            Rule::NoEffectTwice => "NoEffectTwice",
            Rule::NoSendAfterDrain => "DrainsKept",
            Rule::NoWarmUpOverload => "ColdSpared",
        })
    }
}

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When, in seconds of the run.
    pub at_s: f64,
    /// The proxy.
    pub proxy: u32,
    /// The server's number, where one is concerned.
    pub server: Option<u32>,
    /// The operation's number, where one is concerned.
    pub request: Option<u64>,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperationOutcome {
    /// Answered within its aim, or later.
    Answered(Micros),
    /// Its last try was refused.
    Rejected,
    /// Its last try failed, was left unanswered or could reach no proxy.
    Failed,
}

/// Counts of operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Asked.
    pub asked: u64,
    /// Answered within the aim.
    pub served: u64,
    /// Answered after it.
    pub late: u64,
    /// Refused in the end.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed in the end.
    pub failed: u64,
}

/// Worth asked for and worth served in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Served in time.
    pub served: f64,
}

impl Worth {
    /// Served over asked; 1 where nothing was asked.
    pub(crate) fn share(self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }
}

/// What the judge knows of one operation when it ends.
pub(crate) struct EndedOperation {
    /// Its number, in the order of asking.
    pub number: u64,
    /// The proxy asked.
    pub proxy: u32,
    /// The proxy's zone.
    pub zone: usize,
    /// Its class.
    pub class: usize,
    /// When it was asked.
    pub start: Micros,
    /// How it ended.
    pub outcome: OperationOutcome,
}

/// Work on its way to one cold server.
#[derive(Default)]
struct Pressure {
    window: std::collections::VecDeque<(Micros, f64, bool)>,
    sum: f64,
    informed: f64,
}

/// Counts, checks and digests one run.
pub(crate) struct Judge {
    origin: Micros,
    warm_until: Micros,
    length: Micros,
    window: Micros,
    /// Times its capacity that a cold server bears, over how long, and the mean work of a request.
    cold: (f64, f64, f64),
    drain_grace: Micros,
    worths: Vec<f64>,
    aims: Vec<Micros>,
    /// All, by class, by zone, by proxy, by window.
    pub total: Worth,
    /// See `total`.
    pub by_class: Vec<(Worth, Counts)>,
    /// See `total`.
    pub by_zone: Vec<Worth>,
    /// See `total`.
    pub by_proxy: Vec<Worth>,
    /// See `total`.
    pub by_window: Vec<Worth>,
    /// In sixtieths of the run, for pictures.
    pub by_column: Vec<Worth>,
    /// Operations.
    pub counts: Counts,
    /// Time from asking to the answer, of all that were answered.
    pub latency: Histogram<u64>,
    /// The first breaks, and how many there were.
    pub violations: Vec<Violation>,
    /// See `breaks`.
    pub violation_count: u64,
    pressure: FxHashMap<u32, Pressure>,
    digest: Xxh3,
}

impl Judge {
    /// A judge for a run of a scenario whose clock starts at `origin`.
    pub(crate) fn new(scenario: &Scenario, origin: Micros) -> Self {
        let window = seconds(scenario.window_s).max(1);
        let windows = seconds(scenario.length_s).div_ceil(window) as usize;
        let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mean = scenario
            .classes
            .iter()
            .map(|c| c.share * c.work_ms * 1e3)
            .sum::<f64>()
            / shares;
        Judge {
            origin,
            warm_until: origin + seconds(scenario.warmup_s),
            length: seconds(scenario.length_s).max(1),
            window,
            cold: (
                scenario.rules.overload_multiple,
                scenario.rules.overload_window_s * 1e6,
                mean,
            ),
            drain_grace: millis(scenario.rules.drain_grace_ms),
            worths: scenario.classes.iter().map(|c| c.value).collect(),
            aims: scenario
                .classes
                .iter()
                .map(|c| millis(c.latency_target_ms))
                .collect(),
            total: Worth::default(),
            by_class: vec![Default::default(); scenario.classes.len()],
            by_zone: vec![Worth::default(); scenario.zones.len()],
            by_proxy: vec![Worth::default(); scenario.proxies.count as usize],
            by_window: vec![Worth::default(); windows],
            by_column: vec![Worth::default(); COLUMNS],
            counts: Counts::default(),
            latency: Histogram::new_with_bounds(1, LATENCY_MOST, 3).expect("sound bounds"),
            violations: Vec::new(),
            violation_count: 0,
            pressure: FxHashMap::default(),
            digest: Xxh3::new(),
        }
    }

    /// Takes a fact into the digest.
    pub(crate) fn record_fact(&mut self, kind: u8, parts: [u64; 3]) {
        let mut bytes = [0; 25];
        bytes[0] = kind;
        for (to, part) in bytes[1..].chunks_exact_mut(8).zip(parts) {
            to.copy_from_slice(&part.to_le_bytes());
        }
        self.digest.update(&bytes);
    }

    /// The digest of all facts so far.
    pub(crate) fn digest(&self) -> u64 {
        self.digest.digest()
    }

    /// A rule was broken.
    pub(crate) fn record_violation(
        &mut self,
        rule: Rule,
        at: Micros,
        proxy: u32,
        server: Option<u32>,
        request: Option<u64>,
        description: impl Into<String>,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            let at_s = (at - self.origin) as f64 / 1e6;
            self.violations.push(Violation {
                rule,
                at_s,
                proxy,
                server,
                request,
                description: description.into(),
            });
        }
    }

    /// An operation ended.
    pub(crate) fn operation_ended(&mut self, ended: &EndedOperation) {
        let EndedOperation {
            number,
            proxy,
            zone,
            class,
            start,
            outcome,
        } = *ended;
        let took = match outcome {
            OperationOutcome::Answered(took) => took,
            OperationOutcome::Rejected => u64::MAX,
            OperationOutcome::Failed => u64::MAX - 1,
        };
        self.record_fact(1, [number, took, u64::from(proxy)]);
        if start < self.warm_until {
            return;
        }
        let worth = self.worths[class];
        let in_time =
            matches!(outcome, OperationOutcome::Answered(took) if took <= self.aims[class]);
        let served = if in_time { worth } else { 0.0 };
        let window = ((start - self.origin) / self.window) as usize;
        let window = window.min(self.by_window.len() - 1);
        let column = ((start - self.origin) * COLUMNS as u64 / self.length) as usize;
        let column = column.min(COLUMNS - 1);
        for place in [
            &mut self.by_column[column],
            &mut self.total,
            &mut self.by_class[class].0,
            &mut self.by_zone[zone],
            &mut self.by_proxy[proxy as usize],
            &mut self.by_window[window],
        ] {
            place.asked += worth;
            place.served += served;
        }
        for counts in [&mut self.counts, &mut self.by_class[class].1] {
            counts.asked += 1;
            match outcome {
                OperationOutcome::Answered(_) if in_time => counts.served += 1,
                OperationOutcome::Answered(_) => counts.late += 1,
                OperationOutcome::Rejected => counts.rejected += 1,
                OperationOutcome::Failed => counts.failed += 1,
            }
        }
        if let OperationOutcome::Answered(took) = outcome {
            self.latency.saturating_record(took.max(1));
        }
    }

    /// A send to a server that the proxy knew to be draining or gone since `told`.
    pub(crate) fn check_send_after_drain(
        &mut self,
        at: Micros,
        told: Micros,
        proxy: u32,
        server: u32,
        request: u64,
    ) {
        if at > told + self.drain_grace {
            let late = (at - told) as f64 / 1e3;
            let what =
                format!("sent {late:.0} ms after it was told that the server drains or is gone");
            self.record_violation(
                Rule::NoSendAfterDrain,
                at,
                proxy,
                Some(server),
                Some(request),
                what,
            );
        }
    }

    /// Work reached a cold server of that capacity; true where it is too much and the server falls
    /// over: beyond its budget of N requests of mean work only twice the root of N and two are put
    /// down to chance, from however many proxies they came. The rule is broken where two thirds of
    /// it came from proxies that knew of its start.
    pub(crate) fn work_reached_warming_server(
        &mut self,
        at: Micros,
        server: u32,
        proxy: u32,
        work: f64,
        capacity: f64,
        informed: bool,
    ) -> bool {
        let (multiple, window, mean) = self.cold;
        let pressure = self.pressure.entry(server).or_default();
        pressure.window.push_back((at, work, informed));
        pressure.sum += work;
        pressure.informed += if informed { work } else { 0.0 };
        while let Some(&(_, old, knew)) = pressure
            .window
            .front()
            .filter(|w| (at - w.0) as f64 > window)
        {
            pressure.sum -= old;
            pressure.informed -= if knew { old } else { 0.0 };
            pressure.window.pop_front();
        }
        let budget = multiple * capacity * window / mean;
        let most = (budget + 2.0 * budget.sqrt() + 2.0) * mean;
        let (sum, informed) = (pressure.sum, pressure.informed);
        if sum <= most {
            return false;
        }
        self.pressure.remove(&server);
        if informed * 3.0 >= sum * 2.0 {
            let what = format!(
                "{:.0} ms of work in its window, it bears {:.0} ms",
                sum / 1e3,
                most / 1e3
            );
            self.record_violation(Rule::NoWarmUpOverload, at, proxy, Some(server), None, what);
        }
        true
    }

    /// A server is warm, or gone: nothing is held against it any more.
    pub(crate) fn warm_up_ended(&mut self, server: u32) {
        self.pressure.remove(&server);
    }
}

#[cfg(test)]
mod tests;
