//! This gate's share of the limits that hold for all gates together: requests to servers that are
//! warming up, and retries per service.
//!
//! A server that is warming up is slow, and the gates would overload it if each counted only its
//! own requests. Retries of all gates together would amplify an outage. `ironmast-limits` computes
//! the shares; this module keeps the state of one gate and implements the permits and the retry
//! budget that the routing decisions ask for.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ironmast_limits::{
    GateSet, RetryBudgetSettings, SlowStartLimiter, WarmupReport, WarmupTracker, slow_start_bound,
};
use ironmast_routing::{Micros, Permits, RetryAfter, RetryBudget, ServerSpec, ServiceSpec};
use ironmast_schema::settings::TimingBounds;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::Notify;

use report_age::ReportAge;

mod report_age;

/// How long a permit is valid. A request that is written later needs a new permit.
const PERMIT_LIFETIME: Micros = 40_000;
/// The retry delay if the warm-up limiter gives none.
const DEFAULT_RETRY_DELAY: Micros = 1_000_000;
/// The retry delay for a server whose report is undated: a health check usually dates it by then.
const UNDATED_RETRY_DELAY: Micros = 50_000;
/// The longest time that a heartbeat takes from its server to a gate.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(1);

/// The longest time until the other gates know of a gate that has started, and use smaller shares.
/// A new gate uses none of the retry budget's burst until they have done so for a whole window.
const MAX_GATE_DISCOVERY_DELAY: Duration = Duration::from_secs(2);

/// This gate's share of the warm-up limits and the retry budgets.
pub(crate) struct Limits {
    /// The factor by which all gates together may exceed a warm-up limit.
    overshoot: f64,
    /// The number of requests by which all gates together may exceed it in addition.
    tolerance: f64,
    /// The services of the current table.
    services: Vec<ServiceSpec>,
    /// The gates that share the warm-up limits.
    gates: GateSet,
    /// The number of gates that the limits are divided by. It never decreases, because gates that
    /// are no longer known may still send.
    divisor: u32,
    /// When the gate started.
    started: Duration,
    /// The warm-up limit of each service that has one.
    warmup: FxHashMap<Arc<str>, WarmupLimit>,
    /// The warm-up reports of each incarnation.
    tracker: WarmupTracker<Arc<str>>,
    /// Whether those reports can be dated.
    report_age: ReportAge,
    /// The incarnations whose warm-up must be queried, because earlier reports are invalid
    /// or undated.
    invalidated: FxHashSet<Arc<str>>,
    /// Notified when an incarnation is added for which a request waits.
    query_requested: Rc<Notify>,
    retry: ironmast_limits::RetryBudget<Arc<str>>,
}

/// The warm-up limit of a service's servers.
struct WarmupLimit {
    /// The requests per second that one server may get from all gates together.
    bound: u32,
    /// Counts the requests that this gate has sent to each server.
    limiter: SlowStartLimiter<Arc<str>>,
}

impl Limits {
    /// Creates the limits of a gate that starts now.
    pub(crate) fn new(bounds: &TimingBounds, now: Micros) -> Self {
        let started = to_duration(now);
        let gates = GateSet::default();
        let divisor = gates.divisor();
        let retry = ironmast_limits::RetryBudget::with_even_share(
            retry_settings(bounds),
            divisor,
            started + MAX_GATE_DISCOVERY_DELAY,
        );
        Limits {
            overshoot: bounds.warmup_overshoot,
            tolerance: bounds.warmup_tolerance,
            services: Vec::new(),
            gates,
            divisor,
            started,
            warmup: FxHashMap::default(),
            tracker: WarmupTracker::default(),
            report_age: ReportAge::default(),
            invalidated: FxHashSet::default(),
            query_requested: Rc::default(),
            retry,
        }
    }

    /// Replaces the bounds after a reload of the settings. Requests already sent still count.
    pub(crate) fn set_bounds(&mut self, now: Micros, bounds: &TimingBounds) {
        self.overshoot = bounds.warmup_overshoot;
        self.tolerance = bounds.warmup_tolerance;
        self.retry
            .set_settings(retry_settings(bounds), self.divisor, to_duration(now));
        self.update_warmup_bounds();
    }

    /// Sets the current services and the gates that share the limits. Gates that are no longer
    /// known still count, because they may still send.
    pub(crate) fn update(&mut self, gates: GateSet, services: &[ServiceSpec]) {
        self.divisor = gates.divisor().max(self.divisor);
        self.retry.set_even_share(self.divisor);
        self.gates = gates;
        self.services = services.to_vec();
        self.update_warmup_bounds();
    }

    /// Sets the warm-up limits of the current services. Requests already sent to their servers
    /// still count.
    fn update_warmup_bounds(&mut self) {
        let mut limits = std::mem::take(&mut self.warmup);
        for service in &self.services {
            let bound = slow_start_bound(service.warmup_per_s, self.overshoot, self.tolerance);
            if bound == 0 {
                continue;
            }
            let create = || SlowStartLimiter::with_even_share(bound, self.divisor, self.started);
            let limiter = limits
                .remove(&service.name)
                .map_or_else(create, |limit| limit.limiter);
            self.warmup
                .insert(service.name.clone(), WarmupLimit { bound, limiter });
        }
    }

    /// Whether a service limits the requests to its servers that are warming up.
    pub(crate) fn is_limited(&self, service: &str) -> bool {
        self.warmup.contains_key(service)
    }

    /// Records the remaining warm-up time of a server, in ms, as its heartbeat reported it.
    pub(crate) fn record_heartbeat(&mut self, now: Micros, instance: &Arc<str>, remaining_ms: f64) {
        let made_at = to_duration(now).saturating_sub(MAX_HEARTBEAT_DELAY);
        self.record_report(now, instance, made_at, remaining_ms);
    }

    /// Records the remaining warm-up time of a server, in ms, as the response to a health check
    /// reported it that was sent at `sent_at`.
    pub(crate) fn record_health_check(
        &mut self,
        now: Micros,
        sent_at: Micros,
        instance: &Arc<str>,
        remaining_ms: f64,
    ) {
        self.record_report(now, instance, to_duration(sent_at), remaining_ms);
        self.report_age.record_check(instance, sent_at);
        if remaining_ms <= 0.0 {
            for limit in self.warmup.values_mut() {
                limit.limiter.record_warm(to_duration(sent_at), instance);
            }
        }
        self.invalidated.remove(instance);
    }

    fn record_report(
        &mut self,
        now: Micros,
        instance: &Arc<str>,
        made_at: Duration,
        remaining_ms: f64,
    ) {
        let remaining =
            Duration::try_from_secs_f64(remaining_ms.max(0.0) / 1_000.0).unwrap_or_default();
        self.tracker.report(
            to_duration(now),
            instance,
            WarmupReport { made_at, remaining },
        );
    }

    /// Invalidates all warm-up reports up to now, because the server may have to warm up again.
    pub(crate) fn invalidate_warmup(&mut self, now: Micros, instance: &Arc<str>) {
        self.tracker.reset(to_duration(now), instance);
        self.invalidated.insert(instance.clone());
    }

    /// Begins a gap in the feed: the link to the agent has been established anew. Until the next
    /// [`confirm_feed`](Self::confirm_feed) and one heartbeat, no report can be dated.
    pub(crate) fn begin_feed_gap(&mut self) {
        self.report_age.begin_gap();
    }

    /// Records that the agent passes on all changes; `heartbeat_interval` is that of the servers.
    /// Returns true if a gap ends.
    pub(crate) fn confirm_feed(&mut self, now: Micros, heartbeat_interval: Micros) -> bool {
        self.report_age.confirm(now, heartbeat_interval)
    }

    /// Completes when an incarnation has been added to those whose warm-up must be queried.
    pub(crate) fn query_requested(&self) -> Rc<Notify> {
        Rc::clone(&self.query_requested)
    }

    /// Returns the incarnations whose warm-up must be queried, and clears the list.
    pub(crate) fn take_invalidated(&mut self) -> Vec<Arc<str>> {
        self.invalidated.drain().collect()
    }

    /// Whether a server is limited because it is warming up; a server without a valid and dated
    /// report counts as warming up.
    pub(crate) fn is_warming_up(&self, now: Micros, server: &ServerSpec) -> bool {
        self.is_limited(&server.service)
            && (self
                .tracker
                .is_warming_up(to_duration(now), &server.instance)
                || !self.report_age.is_dated(now, &server.instance))
    }

    /// Requests a health check of a server whose report is undated.
    pub(crate) fn query_if_undated(&mut self, now: Micros, server: &ServerSpec) {
        if self.is_limited(&server.service) && self.report_age.request_check(now, &server.instance)
        {
            self.invalidated.insert(server.instance.clone());
            self.query_requested.notify_one();
        }
    }

    /// Drops expired counts, and the state of servers for which `is_known` is false.
    pub(crate) fn sweep(&mut self, now: Micros, is_known: impl Fn(&str) -> bool) {
        let now = to_duration(now);
        for limit in self.warmup.values_mut() {
            limit.limiter.sweep(now);
        }
        self.retry.sweep(now);
        self.tracker.retain(|instance| is_known(instance));
        self.report_age.retain(&is_known);
        self.invalidated.retain(|instance| is_known(instance));
    }

    /// Whether a request that got its permit at `permitted_at` may still be written. A request that
    /// waited for its connection may count towards another second by now and needs a new permit.
    pub(crate) fn may_write(
        &mut self,
        now: Micros,
        permitted_at: Micros,
        server: &ServerSpec,
    ) -> bool {
        let is_expired = now > permitted_at.saturating_add(PERMIT_LIFETIME);
        !is_expired || self.try_acquire(now, server).is_ok()
    }
}

impl Permits for Limits {
    fn try_acquire(&mut self, now: Micros, server: &ServerSpec) -> Result<(), RetryAfter> {
        self.query_if_undated(now, server);
        let is_warming_up = self.is_warming_up(now, server);
        let Some(WarmupLimit { bound, limiter }) = self.warmup.get_mut(&server.service) else {
            return Ok(());
        };
        let is_undated = !self.report_age.is_dated(now, &server.instance);
        let now = to_duration(now);
        if !is_warming_up {
            // A later report may say that the server is warming up: requests sent until then count.
            limiter.record(now, &server.instance);
            return Ok(());
        }
        let permits = self.gates.quota(*bound, &server.region, &server.instance);
        limiter
            .try_acquire_within(now, &server.instance, permits)
            .map_err(|exceeded| {
                let delay = exceeded
                    .retry_delay(now)
                    .map_or(DEFAULT_RETRY_DELAY, to_micros);
                RetryAfter(if is_undated {
                    delay.min(UNDATED_RETRY_DELAY)
                } else {
                    delay
                })
            })
    }
}

impl RetryBudget for Limits {
    fn deposit(&mut self, now: Micros, service: &ServiceSpec) {
        self.retry.deposit(to_duration(now), &service.name);
    }

    fn withdraw(&mut self, now: Micros, service: &ServiceSpec) -> bool {
        self.retry.withdraw(to_duration(now), &service.name).is_ok()
    }
}

fn retry_settings(bounds: &TimingBounds) -> RetryBudgetSettings {
    RetryBudgetSettings {
        ratio: bounds.retry_budget_ratio,
        burst: bounds.retry_burst as u32,
        window: Duration::from_secs_f64(bounds.retry_window_s),
    }
}

fn to_duration(at: Micros) -> Duration {
    Duration::from_micros(at)
}

fn to_micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

#[cfg(test)]
mod tests;
