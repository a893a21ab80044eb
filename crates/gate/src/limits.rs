//! The limits that hold over all gates together, as the decisions ask for them: this gate's part of
//! each.

use std::sync::Arc;
use std::time::Duration;

use ironmast_limits::{
    GateSet, RetryBudgetSettings, SlowStartLimiter, WarmupReport, WarmupTracker, slow_start_bound,
};
use ironmast_routing::{Micros, Permits, RetryAfter, RetryBudget, ServerSpec, ServiceSpec};
use ironmast_schema::settings::TimingBounds;
use rustc_hash::{FxHashMap, FxHashSet};

/// A permit holds for a send within this; one that is later needs another.
const PERMIT_HOLDS: Micros = 40_000;
/// The wait where none is known.
const WAIT_UNKNOWN: Micros = 1_000_000;
/// The longest time that a heartbeat is on its way to a gate.
const RELAY_MOST: Duration = Duration::from_secs(1);

/// Cold servers and repeats, within this gate's part of what all may do.
pub(crate) struct Limits {
    overshoot: f64,
    tolerance: f64,
    /// Gates that repeats are divided by.
    gates: u32,
    tier: GateSet,
    started: Duration,
    /// By service: the bound of one server, and what this gate has sent.
    cold: FxHashMap<Arc<str>, (u32, SlowStartLimiter<Arc<str>>)>,
    tracker: WarmupTracker<Arc<str>>,
    /// Instances of which nothing is known since they were disturbed.
    disturbed: FxHashSet<Arc<str>>,
    retry: ironmast_limits::RetryBudget<Arc<str>>,
    terms: RetryBudgetSettings,
}

impl Limits {
    /// The limits of a gate that starts now.
    pub(crate) fn new(bounds: &TimingBounds, now: Micros) -> Self {
        let started = span(now);
        let terms = RetryBudgetSettings {
            ratio: bounds.retry_budget_ratio,
            burst: bounds.retry_burst as u32,
            window: Duration::from_secs_f64(bounds.retry_window_s),
        };
        let tier = GateSet::default();
        Limits {
            overshoot: bounds.warmup_overshoot,
            tolerance: bounds.warmup_tolerance,
            gates: tier.divisor(),
            tier,
            started,
            cold: FxHashMap::default(),
            tracker: WarmupTracker::default(),
            disturbed: FxHashSet::default(),
            retry: ironmast_limits::RetryBudget::with_even_share(
                terms,
                GateSet::default().divisor(),
                started,
            ),
            terms,
        }
    }

    /// The services in force and the gates, those that are not heard of among them: they may still
    /// send.
    pub(crate) fn set(&mut self, now: Micros, tier: GateSet, services: &[ServiceSpec]) {
        let gates = tier.divisor().max(self.gates);
        if gates != self.gates {
            self.retry =
                ironmast_limits::RetryBudget::with_even_share(self.terms, gates, span(now));
        }
        self.gates = gates;
        self.tier = tier;
        self.cold
            .retain(|name, _| services.iter().any(|service| service.name == *name));
        for service in services {
            let bound = slow_start_bound(service.warmup_per_s, self.overshoot, self.tolerance);
            if bound == 0 {
                self.cold.remove(&service.name);
                continue;
            }
            let fresh = || {
                (
                    bound,
                    SlowStartLimiter::with_even_share(bound, gates, self.started),
                )
            };
            let (known, _) = self.cold.entry(service.name.clone()).or_insert_with(fresh);
            *known = bound;
        }
    }

    /// Whether servers of a service are limited while they are cold.
    pub(crate) fn is_limited(&self, service: &str) -> bool {
        self.cold.contains_key(service)
    }

    /// A server said in a heartbeat how much longer it is cold.
    pub(crate) fn heartbeat(&mut self, now: Micros, instance: &Arc<str>, left_ms: f64) {
        let said_at = span(now).saturating_sub(RELAY_MOST);
        self.told(now, instance, said_at, left_ms);
    }

    /// A server said so in a health check that was sent at `sent`.
    pub(crate) fn health(&mut self, now: Micros, sent: Micros, instance: &Arc<str>, left_ms: f64) {
        self.told(now, instance, span(sent), left_ms);
        self.disturbed.remove(instance);
    }

    fn told(&mut self, now: Micros, instance: &Arc<str>, said_at: Duration, left_ms: f64) {
        let left = Duration::try_from_secs_f64(left_ms.max(0.0) / 1_000.0).unwrap_or_default();
        self.tracker.report(
            span(now),
            instance,
            WarmupReport {
                made_at: said_at,
                remaining: left,
            },
        );
    }

    /// A server may have turned cold: nothing said before counts.
    pub(crate) fn disturbed(&mut self, now: Micros, instance: &Arc<str>) {
        self.tracker.reset(span(now), instance);
        self.disturbed.insert(instance.clone());
    }

    /// Takes the servers that are to be asked how cold they are.
    pub(crate) fn take_disturbed(&mut self) -> Vec<Arc<str>> {
        self.disturbed.drain().collect()
    }

    /// Whether a server is cold by what is known of it.
    pub(crate) fn is_cold(&self, now: Micros, server: &ServerSpec) -> bool {
        self.is_limited(&server.service) && self.tracker.is_warming_up(span(now), &server.instance)
    }

    /// Forgets what is of no more use.
    pub(crate) fn sweep(&mut self, now: Micros, known: impl Fn(&str) -> bool) {
        self.cold
            .values_mut()
            .for_each(|(_, limiter)| limiter.sweep(span(now)));
        self.retry.sweep(span(now));
        self.tracker.retain(|instance| known(instance));
        self.disturbed.retain(|instance| known(instance));
    }

    /// Whether a request that got its permit at `taken` may still be written: one that waited for
    /// its connection belongs to another second by now.
    pub(crate) fn may_write(&mut self, now: Micros, taken: Micros, server: &ServerSpec) -> bool {
        let late = now > taken.saturating_add(PERMIT_HOLDS);
        !late || self.try_acquire(now, server).is_ok()
    }
}

impl Permits for Limits {
    fn try_acquire(&mut self, now: Micros, server: &ServerSpec) -> Result<(), RetryAfter> {
        let cold = self.is_cold(now, server);
        let Some((bound, limiter)) = self.cold.get_mut(&server.service) else {
            return Ok(());
        };
        if !cold {
            // It may turn out to be cold: what it got by then counts.
            limiter.record(span(now), &server.instance);
            return Ok(());
        }
        let wait = |wait: ironmast_limits::LimitExceeded| {
            wait.retry_delay(span(now)).map_or(WAIT_UNKNOWN, micros)
        };
        let permits = self.tier.quota(*bound, &server.region, &server.instance);
        limiter
            .try_acquire_within(span(now), &server.instance, permits)
            .map_err(|told| RetryAfter(wait(told)))
    }
}

impl RetryBudget for Limits {
    fn deposit(&mut self, now: Micros, service: &ServiceSpec) {
        self.retry.deposit(span(now), &service.name);
    }

    fn withdraw(&mut self, now: Micros, service: &ServiceSpec) -> bool {
        self.retry.withdraw(span(now), &service.name).is_ok()
    }
}

fn span(at: Micros) -> Duration {
    Duration::from_micros(at)
}

fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

#[cfg(test)]
mod tests;
