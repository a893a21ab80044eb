//! The decider: takes requests, ends of attempts, reports and tables, and says what to do with each
//! request.

mod health;
mod liveness;
mod peer_reports;
mod pick;
mod reachability;
mod search;

use std::sync::Arc;

use ironmast_balancer::{Micros, Rng};
use rustc_hash::FxHashMap;

use crate::decision::{
    Decision, Dispatch, EjectionChange, Outcome, ProgressCheck, RejectionStatus, ServerHandle,
};
use crate::endpoints::Endpoints;
use crate::guards::Guard;
use crate::latency::LatencyBaselines;
use crate::limits::{Permits, RetryBudget};
use crate::load::LoadReport;
use crate::prefill::{self, PrefillRate};
use crate::reachability::RegionReachability;
use crate::rejection::{self, RejectionReason, RetrySchedule};
use crate::request::{Attempt, Call, Request};
use crate::retry::{self, NextStep};
use crate::round_robin::ShuffledRoundRobin;
use crate::settings::{Settings, SettingsError};
use crate::table::Table;
use crate::traffic_split::TrafficSplits;
pub use peer_reports::{PeerReport, PendingPrefill};
use pick::RoundRobinKey;
use search::{SelectedServer, Selection};

/// The rank of a request that goes at the end, the highest that the `Priority` header knows.
const LOWEST_PRIORITY: u32 = 9;
/// A cut stream that finds no server tries again after this long.
const RESUME_RETRY_DELAY: Micros = 50_000;
/// So long it may try in all: half of the shortest silence that clients bear.
const MAX_RESUME_TIME: Micros = 1_000_000;
/// A request for which no server is known yet looks again after this long.
const DISCOVERY_RETRY_DELAY: Micros = 30_000;

/// The decisions of one gate.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    rng: Rng,
    table: Arc<Table>,
    endpoints: Endpoints,
    baselines: LatencyBaselines,
    /// How fast prompts are read, by service.
    prefill_rates: FxHashMap<Arc<str>, PrefillRate>,
    round_robins: FxHashMap<RoundRobinKey, ShuffledRoundRobin>,
    retry_schedule: RetrySchedule,
    traffic_splits: TrafficSplits,
    reachability: RegionReachability,
    /// Until then servers may be there that the table does not list yet.
    discovery_until: Micros,
    ejections: u64,
    changes: Vec<EjectionChange>,
}

impl Decider {
    /// A decider that knows no route and no server yet.
    ///
    /// # Errors
    /// A setting makes no sense.
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
            changes: Vec::new(),
        })
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Puts another table in force. What is known of servers that stay is kept.
    pub fn update_table(&mut self, now: Micros, table: Arc<Table>) {
        self.endpoints.apply_table(now, &table);
        if !self.table.shares_routes(&table) {
            let names: rustc_hash::FxHashSet<&str> = table
                .router()
                .routes()
                .map(|route| route.spec.name.as_ref())
                .collect();
            self.baselines.keep(
                |name| names.contains(name),
                |name| table.service(name).is_some(),
            );
            self.traffic_splits.keep(|name| names.contains(name));
            self.retry_schedule
                .keep(|name| table.service(name).is_some());
            self.round_robins.clear();
            self.prefill_rates
                .retain(|name, _| table.service(name).is_some());
        }
        self.table = table;
    }

    /// After a start servers become known one after the other: until that clock reading, a request
    /// for which none is in_table waits for one.
    pub fn allow_discovery_until(&mut self, until: Micros) {
        self.discovery_until = until;
    }

    /// Takes a request. The call is to be handed back at each of its events until a decision is
    /// final.
    pub fn begin<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        request: Request,
        limits: &mut L,
    ) -> (Call, Decision) {
        let mut call = Call::new(now, request, self.rng.unit());
        let decision = self.place(now, &mut call, limits);
        (call, decision)
    }

    /// Looks again at a request that is held.
    pub fn resume<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Decision {
        match call.done || call.attempt_in_flight().is_some() {
            true => Decision::Finished,
            false => self.place(now, call, limits),
        }
    }

    /// The attempt that is out ended.
    pub fn attempt_finished<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        outcome: Outcome,
        limits: &mut L,
    ) -> Decision {
        if call.done || !self.finish_attempt(now, call, &outcome) {
            return Decision::Finished;
        }
        match retry::next(call, &outcome, now) {
            NextStep::Retry => self.place(now, call, limits),
            NextStep::Finish(decision) => self.close(now, call, decision),
        }
    }

    /// The client left: frees what the request holds. Of no effect once a decision was final.
    pub fn cancel(&mut self, now: Micros, call: &mut Call) {
        if !call.done {
            self.finish_attempt(now, call, &Outcome::Cancelled);
            call.done = true;
        }
    }

    /// The head of a successful answer, or a whole event of a stream, was passed on to the client.
    /// A failure's head is not: it is told by [`Decider::attempt_finished`] before a byte of it is
    /// passed on, which says whether it is to be.
    pub fn response_forwarded(&mut self, now: Micros, call: &mut Call, event: Option<u64>) {
        call.head_forwarded = true;
        call.last_event = event.or(call.last_event);
        call.last_byte_at = now;
        call.truncated_at = None;
        if let Some(server) = call.attempt_in_flight().map(|attempt| attempt.server) {
            self.record_liveness(now, server);
        }
    }

    /// A server told its load.
    pub fn apply_load_report(&mut self, now: Micros, server: ServerHandle, load: LoadReport) {
        self.record_liveness(now, server);
        if let Some(node) = self.endpoints.get_mut(server) {
            node.occupancy.record_load_report(now, load);
        }
    }

    /// Anything was heard of a server.
    pub fn record_liveness(&mut self, now: Micros, server: ServerHandle) {
        if let Some(node) = self.endpoints.get_mut(server) {
            node.last_heard = now;
            self.reachability.record_liveness(now, &node.spec.region);
        }
    }

    /// The handle of a in_table instance.
    pub fn server(&self, instance: &str) -> Option<ServerHandle> {
        self.endpoints.handle(instance)
    }

    /// Attempts of this gate in flight at a server.
    pub fn in_flight(&self, server: ServerHandle) -> u32 {
        self.endpoints
            .get(server)
            .map_or(0, |node| node.occupancy.in_flight)
    }

    /// Finds a server for the request, or says what happens instead.
    fn place<L: Permits + RetryBudget>(
        &mut self,
        now: Micros,
        call: &mut Call,
        limits: &mut L,
    ) -> Decision {
        match self.search(now, call, limits) {
            Selection::Server(found) if self.pay(now, call, found, limits) => {
                Decision::Send(self.dispatch(now, call, found))
            }
            Selection::Server(_) => self.give_up(
                now,
                call,
                RejectionReason::AttemptsExhausted {
                    told: call.longest_retry_after,
                },
            ),
            Selection::PermitIn(wait) => self.hold(now, call, wait),
            Selection::Unavailable(RejectionReason::NoServer { until: None })
                if self.may_await_discovery(now, call) =>
            {
                Decision::Delay {
                    until: now + DISCOVERY_RETRY_DELAY,
                }
            }
            Selection::Unavailable(reason) => self.give_up(now, call, reason),
        }
    }

    /// Whether a request may wait for a server to become known: no longer than for half of its
    /// time.
    fn may_await_discovery(&self, now: Micros, call: &Call) -> bool {
        let half = call.started_at + call.deadline().saturating_sub(call.started_at) / 2;
        now < self.discovery_until && now < half && call.attempts() == 0 && Guard::Discovery.on()
    }

    /// Takes a repeat out of the budget of the server's service. An attempt that no earlier one may
    /// have arrived before is none, and one that never arrives leaves its payment to the next.
    fn pay<L: RetryBudget>(
        &self,
        now: Micros,
        call: &mut Call,
        found: SelectedServer,
        limits: &mut L,
    ) -> bool {
        let repeat = call.arrived_attempts() > 0 && Guard::RetryBudget.on();
        let node = self.endpoints.get(found.server);
        let service = node.and_then(|node| self.table.service(&node.spec.service));
        let take = |service: u32| limits.withdraw(now, &self.table.services()[service as usize]);
        call.paid = !repeat || call.paid || service.is_some_and(take);
        call.paid
    }

    fn dispatch(&mut self, now: Micros, call: &mut Call, found: SelectedServer) -> Dispatch {
        let need = call.token_demand();
        let spec = &call.request.route.spec;
        let shortest = self.shortest_objective(found.server);
        let rank = prefill::rank(spec.priority, call.latency_objective() as f64, shortest);
        let node = self
            .endpoints
            .get_mut(found.server)
            .expect("a server just found is there");
        let here = node.occupancy.added_tokens(need) < need.all();
        if node.occupancy.in_flight == 0 {
            node.in_flight_since = now;
        }
        node.occupancy.take(need);
        self.reachability.record_attempt(now, &node.spec.region);
        let unread = prefill::waits(
            call.request.prompt_tokens,
            if here { call.shared_tokens } else { 0 },
        );
        node.unread.take(unread);
        let backlog = node.unread.all(now);
        node.health.trial |= found.trial;
        let timeout = call.deadline().saturating_sub(now);
        let dispatch = Dispatch {
            attempt: call.attempts.len() as u32 + 1,
            server: found.server,
            address: node.spec.address,
            expect_instance: node.spec.instance.clone(),
            service: node.spec.service.clone(),
            warming_up: node.spec.warming_up,
            crosses_region: *node.spec.region != *self.settings.region,
            priority: rank.min(LOWEST_PRIORITY) as u8,
            timeout,
            deadline_ms: (timeout / 1000).max(1),
            resume_after: call.last_event,
            check_at: None,
        };
        call.service = Some(dispatch.service.clone());
        let (server, trial, repeat) = (found.server, found.trial, call.arrived_attempts() > 0);
        (call.paid, call.last_byte_at) = (false, now);
        call.attempts.push(Attempt {
            server,
            sent: now,
            first_byte: None,
            outcome: None,
            trial,
            repeat,
            unread,
            backlog,
        });
        let check_at = match self.check_progress(now, call) {
            ProgressCheck::Wait { until } => Some(until),
            ProgressCheck::FailOver | ProgressCheck::Ignore => None,
        };
        Dispatch {
            check_at,
            ..dispatch
        }
    }

    /// Nothing but cold servers without a permit is left: waits for one if that is soon.
    fn hold(&mut self, now: Micros, call: &mut Call, wait: Micros) -> Decision {
        let until = now.saturating_add(wait.max(1));
        let longest = (call.latency_objective() as f64 * self.settings.max_delay_share) as Micros;
        let short = until <= call.started_at.saturating_add(longest) || !Guard::ShortDelay.on();
        match short && until < call.deadline() {
            true => Decision::Delay { until },
            false => self.give_up(now, call, RejectionReason::NoServer { until: Some(wait) }),
        }
    }

    /// No server takes it now.
    fn give_up(&mut self, now: Micros, call: &mut Call, reason: RejectionReason) -> Decision {
        // A cut stream is worth a few more looks.
        let cut = call
            .truncated_at
            .filter(|cut| now < cut.saturating_add(MAX_RESUME_TIME));
        let again = now + RESUME_RETRY_DELAY;
        if cut.is_some() && again < call.deadline() {
            return Decision::Delay { until: again };
        }
        if !call.head_forwarded && (!call.may_have_run() || !Guard::RejectOnlyUnexecuted.on()) {
            return self.refuse(now, call, reason);
        }
        let outcome = call
            .attempts
            .last()
            .and_then(|attempt| attempt.outcome.clone());
        let last = retry::final_decision(call, &outcome.unwrap_or(Outcome::Timeout));
        self.close(now, call, last)
    }

    /// The last decision on a request. Where nothing can have run it is a promise.
    fn close(&mut self, now: Micros, call: &mut Call, decision: Decision) -> Decision {
        let fails = matches!(decision, Decision::Fail { .. } | Decision::ForwardResponse);
        if fails && !call.head_forwarded && !call.may_have_run() {
            return self.refuse(
                now,
                call,
                RejectionReason::AttemptsExhausted {
                    told: call.longest_retry_after,
                },
            );
        }
        call.done = true;
        decision
    }

    fn refuse(&mut self, now: Micros, call: &mut Call, reason: RejectionReason) -> Decision {
        call.done = true;
        let left = call
            .request
            .deadline
            .unwrap_or(call.deadline())
            .saturating_sub(now);
        let most = self.settings.retry_after.1;
        let mut turn = |gap| match &call.service {
            Some(service) => self.retry_schedule.next(now, service, gap, most),
            None => gap,
        };
        let (status, wait) = match reason {
            // Servers were there, but none is left: what they said of the wait is the best that is
            // known.
            RejectionReason::NoServer { until: None } if call.longest_retry_after > 0 => {
                (RejectionStatus::Unavailable, call.longest_retry_after)
            }
            RejectionReason::NoServer { until } => {
                (RejectionStatus::Unavailable, until.unwrap_or(most / 2))
            }
            RejectionReason::AttemptsExhausted { told } => (RejectionStatus::Unavailable, told),
            RejectionReason::Full { rest, gap } => {
                (RejectionStatus::Unavailable, turn(gap).max(rest))
            }
            RejectionReason::ReservedForPriority { rest, gap } => {
                (RejectionStatus::TooManyRequests, turn(gap).max(rest))
            }
        };
        Decision::Reject(rejection::refuse(
            &self.settings,
            &mut self.rng,
            status,
            wait,
            left,
        ))
    }

    /// Takes the attempt that is out off its server and judges the server by its end. False where
    /// none is out.
    fn finish_attempt(&mut self, now: Micros, call: &mut Call, outcome: &Outcome) -> bool {
        let Some(attempt) = call.finish_attempt(now, outcome) else {
            return false;
        };
        if let (Outcome::Success, Some(service)) = (outcome, &call.service) {
            self.baselines.served(
                service,
                &call.request.route,
                now.saturating_sub(attempt.sent),
            );
        }
        let told = self.attributed_outcome(now, attempt.server, outcome);
        self.judge(now, &attempt, &told);
        if let Some(node) = self.endpoints.get_mut(attempt.server) {
            node.occupancy.release(call.token_demand());
            node.unread.release(attempt.unread);
        }
        self.endpoints.release(attempt.server);
        true
    }
}

#[cfg(test)]
mod tests;
