//! Occupancy of one server: the attempts that this gate has in flight there, the server's load
//! reports, and the backoff after the server rejected a request for lack of capacity.

use ironmast_balancer::Micros;
use smallvec::SmallVec;

use crate::guards::Guard;
use crate::load::{CapacityLimits, Load, LoadReport, TokenDemand, report_weight};

/// Assumed number of slots of a server if neither its reports nor its service specify one.
const DEFAULT_SLOTS: u32 = 64;
/// Multiple of its even share of a server's connections that a gate may use, because gates are not
/// equally busy.
const MAX_CONNECTION_SHARE: f64 = 2.0;
/// First backoff after a server rejected a request for lack of capacity, in microseconds. It
/// doubles with each consecutive rejection.
const INITIAL_BACKOFF: Micros = 50_000;
/// Longest backoff, in microseconds.
const MAX_BACKOFF: Micros = 1_000_000;

/// Averages over the servers of one pool, used in place of values that a server has not reported
/// recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolAverages {
    /// Mean number of other gates' requests at a server. Servers without a fresh report count as
    /// idle.
    other_gates: f64,
    /// Mean tokens of one of this gate's requests, without the shared prefix.
    unshared_tokens: f64,
}

impl PoolAverages {
    /// Computes the averages over a pool's servers.
    pub(crate) fn of<'a>(
        pool: impl Iterator<Item = &'a Occupancy>,
        now: Micros,
        max_age: Micros,
    ) -> PoolAverages {
        let (mut servers, mut other_gates, mut in_flight, mut unshared) = (0, 0.0, 0, 0);
        for occupancy in pool {
            servers += 1;
            other_gates += occupancy
                .fresh_report(now, max_age)
                .map_or(0.0, |fresh| fresh.report.other_gates);
            in_flight += occupancy.in_flight;
            unshared += occupancy.unshared_tokens;
        }
        PoolAverages {
            other_gates: other_gates / f64::from(servers.max(1)),
            unshared_tokens: unshared as f64 / f64::from(in_flight.max(1)),
        }
    }
}

/// This gate's attempts in flight at one server, and the server's latest load report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    /// Number of this gate's attempts in flight.
    pub(crate) in_flight: u32,
    /// Tokens of the attempts in flight, each shared prefix counted once.
    tokens: u64,
    /// Tokens of the attempts in flight without the shared prefixes.
    unshared_tokens: u64,
    prefixes: SmallVec<[SharedPrefix; 2]>,
    report: Option<Report>,
    backoff_until: Micros,
    backoff: Micros,
}

/// A prompt prefix that attempts in flight share.
#[derive(Clone, Copy, Debug)]
struct SharedPrefix {
    key: u64,
    attempts: u32,
    tokens: u64,
}

/// The part of a server's load report that is kept.
#[derive(Clone, Copy, Debug)]
struct Report {
    received_at: Micros,
    /// Other gates' requests, running and waiting.
    other_gates: f64,
    /// Other gates' tokens. A report without KV-cache usage keeps the previous value.
    other_gates_tokens: Option<TokenReport>,
    slots: Option<u32>,
    kv_cache: Option<u64>,
    waiting: u32,
}

/// Other gates' tokens at a server.
#[derive(Clone, Copy, Debug)]
struct TokenReport {
    received_at: Micros,
    tokens: f64,
}

/// A report younger than the maximum age, with its weight, which decreases with age.
#[derive(Clone, Copy, Debug)]
struct FreshReport {
    weight: f64,
    report: Report,
}

impl Occupancy {
    /// Adds an attempt.
    pub(crate) fn add(&mut self, demand: TokenDemand) {
        self.in_flight += 1;
        self.tokens += demand.own;
        self.unshared_tokens += demand.own;
        let Some(key) = demand.key else { return };
        if let Some(prefix) = self.prefixes.iter_mut().find(|prefix| prefix.key == key) {
            prefix.attempts += 1;
            return;
        }
        self.tokens += demand.shared;
        self.prefixes.push(SharedPrefix {
            key,
            attempts: 1,
            tokens: demand.shared,
        });
    }

    /// Removes an attempt that ended.
    pub(crate) fn remove(&mut self, demand: TokenDemand) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(demand.own);
        self.unshared_tokens = self.unshared_tokens.saturating_sub(demand.own);
        let mut prefixes = self.prefixes.iter();
        let Some(index) = prefixes.position(|prefix| Some(prefix.key) == demand.key) else {
            return;
        };
        self.prefixes[index].attempts -= 1;
        if self.prefixes[index].attempts == 0 {
            let prefix = self.prefixes.swap_remove(index);
            self.tokens = self.tokens.saturating_sub(prefix.tokens);
        }
    }

    /// Records the server's report of its load.
    pub(crate) fn record_load_report(&mut self, now: Micros, load: LoadReport) {
        let active = f64::from(load.running) + f64::from(load.waiting);
        let previous = self.report;
        let other_gates_tokens = load.kv_cache.map(|usage| TokenReport {
            received_at: now,
            tokens: (usage.used as f64 - self.tokens as f64).max(0.0),
        });
        let kv_cache = load.kv_cache.map(|usage| usage.capacity);
        self.report = Some(Report {
            received_at: now,
            other_gates: (active - f64::from(self.in_flight)).max(0.0),
            other_gates_tokens: other_gates_tokens
                .or(previous.and_then(|report| report.other_gates_tokens)),
            slots: load.slots.filter(|slots| *slots > 0),
            kv_cache: kv_cache.or(previous.and_then(|report| report.kv_cache)),
            waiting: load.waiting,
        });
        let has_free_slot = load.slots.is_some_and(|slots| load.running < slots);
        if has_free_slot && load.waiting == 0 {
            self.backoff_until = self.backoff_until.min(now);
        }
    }

    /// Records that the server rejected a request for lack of capacity.
    pub(crate) fn record_overload(&mut self, now: Micros, retry_after: Option<Micros>) {
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        let backoff = retry_after.unwrap_or(0).clamp(self.backoff, MAX_BACKOFF);
        if Guard::OverloadBackoff.on() {
            self.backoff_until = self.backoff_until.max(now + backoff);
        }
    }

    /// Records that the server served a request: the next backoff starts at `INITIAL_BACKOFF`
    /// again.
    pub(crate) fn record_success(&mut self) {
        self.backoff = 0;
    }

    /// Time at which the backoff ends; not in the future if there is none.
    pub(crate) fn backoff_until(&self) -> Micros {
        self.backoff_until
    }

    fn fresh_report(&self, now: Micros, max_age: Micros) -> Option<FreshReport> {
        let report = self.report?;
        let weight = report_weight(now, report.received_at, max_age);
        (weight > 0.0).then_some(FreshReport { weight, report })
    }

    /// True if the server's fresh report shows requests waiting in its queue.
    pub(crate) fn has_queue(&self, now: Micros, max_age: Micros) -> bool {
        self.fresh_report(now, max_age)
            .is_some_and(|fresh| fresh.report.waiting > 0)
    }

    /// The estimated load. The pool's averages replace reported values as these age.
    pub(crate) fn load(
        &self,
        now: Micros,
        max_age: Micros,
        limits: &CapacityLimits,
        averages: PoolAverages,
    ) -> Load {
        let fresh = self.fresh_report(now, max_age);
        let (weight, reported) =
            fresh.map_or((0.0, 0.0), |fresh| (fresh.weight, fresh.report.other_gates));
        let other_gates = blend(weight, reported, averages.other_gates);
        let average_tokens = other_gates * averages.unshared_tokens;
        let token_report = fresh.and_then(|fresh| fresh.report.other_gates_tokens);
        let other_gates_tokens = token_report.map_or(average_tokens, |report| {
            let weight = report_weight(now, report.received_at, max_age);
            blend(weight, report.tokens, average_tokens)
        });
        let reported_slots = self.report.and_then(|report| report.slots);
        let slots = match reported_slots.unwrap_or(limits.slots) {
            0 => DEFAULT_SLOTS,
            known => known,
        };
        let reported_kv_cache = self.report.and_then(|report| report.kv_cache);
        let kv_cache = match reported_kv_cache.unwrap_or(limits.kv_cache) {
            0 => f64::INFINITY,
            known => known as f64,
        };
        Load {
            active: f64::from(self.in_flight) + other_gates,
            slots: f64::from(slots),
            tokens: self.tokens as f64 + other_gates_tokens,
            kv_cache,
        }
    }

    /// Number of tokens that one more request would add. A shared prefix that is already in use
    /// adds none.
    pub(crate) fn added_tokens(&self, demand: TokenDemand) -> u64 {
        let is_in_use = |key| self.prefixes.iter().any(|prefix| prefix.key == key);
        if demand.key.is_some_and(is_in_use) {
            demand.own
        } else {
            demand.total()
        }
    }

    /// True if one more connection stays within this gate's share of the server's connections.
    pub(crate) fn has_connection_capacity(&self, limits: &CapacityLimits) -> bool {
        let even_share = f64::from(limits.connections) / f64::from(limits.gates.max(1));
        let max = (even_share * MAX_CONNECTION_SHARE).max(1.0);
        limits.connections == 0 || f64::from(self.in_flight) < max
    }
}

/// Weighted mean of a reported value and an average; `weight` is that of the reported value.
fn blend(weight: f64, reported: f64, average: f64) -> f64 {
    weight * reported + (1.0 - weight) * average
}

#[cfg(test)]
mod tests;
