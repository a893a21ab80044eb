//! The decider: for each event (a request, the end of an attempt, a report or a table) it updates
//! its state and decides what happens to the request. This file holds the state and the event
//! interface; the submodules hold the decisions.

mod candidate_load;
mod dispatch;
mod finish;
mod health;
mod liveness;
mod peer_reports;
mod pick;
mod pool;
mod reachability;
mod search;
mod selection;
mod services;

use std::sync::Arc;

use ironmast_balancer::{Micros, Rng};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::decision::{Decision, EjectionChange, ServerHandle};
use crate::endpoints::Endpoints;
use crate::latency::LatencyBaselines;
use crate::limits::{Permits, RetryBudget};
use crate::load::LoadReport;
use crate::outcome::Outcome;
use crate::prefill_rate::PrefillRate;
use crate::reachability::RegionReachability;
use crate::rejection::RetrySchedule;
use crate::request::{Call, Request};
use crate::retry::{self, NextStep};
use crate::round_robin::ShuffledRoundRobin;
use crate::settings::{Settings, SettingsError};
use crate::table::Table;
use crate::traffic_split::TrafficSplits;
use pick::RoundRobinKey;

/// Routing decisions of one gate: which server a request is sent to, whether it is retried, delayed
/// or rejected, and which servers are ejected.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    rng: Rng,
    table: Arc<Table>,
    endpoints: Endpoints,
    baselines: LatencyBaselines,
    /// Prefill rates by service.
    prefill_rates: FxHashMap<Arc<str>, PrefillRate>,
    round_robins: FxHashMap<RoundRobinKey, ShuffledRoundRobin>,
    retry_schedule: RetrySchedule,
    traffic_splits: TrafficSplits,
    reachability: RegionReachability,
    /// Clock reading until which the table may lack servers that are still being discovered.
    discovery_until: Micros,
    /// Number of ejections since the start.
    ejections: u64,
    ejection_changes: Vec<EjectionChange>,
}

impl Decider {
    /// Creates a decider with an empty table. `seed` initializes its random numbers: the same seed
    /// and events give the same decisions.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Decider {
            settings,
            rng: Rng(seed),
            table: Arc::default(),
            endpoints: Endpoints::default(),
            baselines: LatencyBaselines::default(),
            prefill_rates: FxHashMap::default(),
            round_robins: FxHashMap::default(),
            retry_schedule: RetrySchedule::default(),
            traffic_splits: TrafficSplits::default(),
            reachability: RegionReachability::default(),
            discovery_until: 0,
            ejections: 0,
            ejection_changes: Vec::new(),
        })
    }

    /// Changes the region and zone of the gate. Drops the reachability of other regions and the
    /// round robins, which depend on the location.
    pub fn set_location(&mut self, region: &str, zone: &str) {
        if *self.settings.region == *region && *self.settings.zone == *zone {
            return;
        }
        self.settings.region = region.into();
        self.settings.zone = zone.into();
        self.reachability = RegionReachability::default();
        self.round_robins.clear();
    }

    /// The current table of routes, services and servers.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Replaces the current table. Servers that are still listed keep their load, health and
    /// liveness.
    pub fn update_table(&mut self, now: Micros, table: Arc<Table>) {
        self.endpoints.apply_table(now, &table);
        if !self.table.shares_routes(&table) {
            self.drop_obsolete_state(&table);
        }
        self.table = table;
    }

    /// Drops the state of routes and services that are not in the new table.
    fn drop_obsolete_state(&mut self, table: &Table) {
        let routes = table.router().routes();
        let route_names: FxHashSet<&str> = routes.map(|route| route.spec.name.as_ref()).collect();
        let route_exists = |name: &str| route_names.contains(name);
        let service_exists = |name: &str| table.service(name).is_some();
        self.baselines.retain(route_exists, service_exists);
        self.traffic_splits.retain(route_exists);
        self.retry_schedule.retain(service_exists);
        self.round_robins.clear();
        self.prefill_rates.retain(|name, _| service_exists(name));
    }

    /// Lets requests for which no server is listed wait for one until that time, instead of being
    /// rejected, because servers are discovered one after the other after a start.
    pub fn allow_discovery_until(&mut self, until: Micros) {
        self.discovery_until = until;
    }

    /// Starts a request and makes the first decision on it. The returned call must be passed back
    /// at each event of the request until a decision is final.
    pub fn begin<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        request: Request,
        limits: &mut L,
    ) -> (Call, Decision) {
        let mut call = Call::new(now, request, self.rng.unit());
        let decision = self.assign(now, &mut call, limits);
        (call, decision)
    }

    /// Decides on a request again after [`Decision::Delay`]. Returns [`Decision::Finished`] if the
    /// request has ended or has an attempt in flight.
    pub fn resume<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Decision {
        if call.is_finished || call.attempt_in_flight().is_some() {
            return Decision::Finished;
        }
        self.assign(now, call, limits)
    }

    /// Records how the attempt in flight ended, and decides whether the request is retried or ends.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the outcome is an event that the decider consumes"
    )]
    pub fn attempt_finished<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        outcome: Outcome,
        limits: &mut L,
    ) -> Decision {
        if call.is_finished || !self.finish_attempt(now, call, &outcome) {
            return Decision::Finished;
        }
        match retry::next_step(call, &outcome, now) {
            NextStep::Retry => self.assign(now, call, limits),
            NextStep::Finish(decision) => self.finish(now, call, decision),
        }
    }

    /// Ends a request whose client has disconnected, and releases the capacity that the request
    /// occupies. Has no effect after a final decision.
    pub fn cancel(&mut self, now: Micros, call: &mut Call) {
        if !call.is_finished {
            self.finish_attempt(now, call, &Outcome::Cancelled);
            call.is_finished = true;
        }
    }

    /// Records that the head of a successful response, or a complete event of a stream, was
    /// forwarded to the client. `event` is the ID of that event, after which a stream can resume.
    /// An error response must be reported to [`Decider::attempt_finished`] before any of it is
    /// forwarded; the decision tells whether to forward it.
    pub fn response_forwarded(&mut self, now: Micros, call: &mut Call, event: Option<u64>) {
        call.head_forwarded = true;
        call.last_event = event.or(call.last_event);
        call.last_byte_at = now;
        call.truncated_at = None;
        if let Some(server) = call.attempt_in_flight().map(|attempt| attempt.server) {
            self.record_liveness(now, server);
        }
    }

    /// Applies a server's report of its load.
    pub fn apply_load_report(&mut self, now: Micros, server: ServerHandle, load: LoadReport) {
        self.record_liveness(now, server);
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.occupancy.record_load_report(now, load);
        }
    }

    /// Records that something was received from a server: the server and its region count as alive.
    pub fn record_liveness(&mut self, now: Micros, server: ServerHandle) {
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.last_heard = now;
            self.reachability
                .record_liveness(now, &endpoint.spec.region);
        }
    }

    /// The handle of the server with this instance ID; `None` if no such server is known.
    #[must_use]
    pub fn server(&self, instance: &str) -> Option<ServerHandle> {
        self.endpoints.handle(instance)
    }

    /// Number of attempts of this gate in flight at a server; 0 if the server is unknown.
    #[must_use]
    pub fn in_flight(&self, server: ServerHandle) -> u32 {
        let endpoint = self.endpoints.get(server);
        endpoint.map_or(0, |endpoint| endpoint.occupancy.in_flight)
    }
}

#[cfg(test)]
mod tests;
