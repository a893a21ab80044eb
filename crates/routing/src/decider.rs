//! The decider: takes requests, ends of attempts, reports and tables, and says what to do with each
//! request.

mod health;
mod pick;
mod prompts;
mod reach;
mod search;
mod watch;

use std::sync::Arc;

use ironmast_balancer::{Micros, Rng};
use rustc_hash::FxHashMap;

use crate::attempts::{self, Next};
use crate::decision::{
    Decision, Dispatch, EjectionChange, Outcome, ProgressCheck, RejectionStatus, ServerHandle,
};
use crate::draw::Deck;
use crate::fleet::Fleet;
use crate::guards::Guard;
use crate::limits::{Permits, RetryBudget};
use crate::paths::Paths;
use crate::reading::{self, Pace};
use crate::refusal::{self, Reason, Turns};
use crate::request::{Attempt, Call, Request};
use crate::room::LoadReport;
use crate::settings::{Settings, SettingsError};
use crate::table::Table;
use crate::traffic_split::TrafficSplits;
use crate::usual::Usuals;
use pick::DeckKey;
pub use prompts::{PeerReport, PendingPrefill};
use search::{Found, Search};

/// The rank of a request that goes at the end, the highest that the `Priority` header knows.
const PRIORITY_LAST: u32 = 9;
/// A cut stream that finds no server tries again after this long.
const RESUME_AGAIN: Micros = 50_000;
/// So long it may try in all: half of the shortest silence that clients bear.
const RESUME_WITHIN: Micros = 1_000_000;
/// A request for which no server is known yet looks again after this long.
const LEARN_AGAIN: Micros = 30_000;

/// The decisions of one gate.
#[derive(Debug)]
pub struct Decider {
    settings: Settings,
    rng: Rng,
    table: Arc<Table>,
    fleet: Fleet,
    usuals: Usuals,
    /// How fast prompts are read, by service.
    paces: FxHashMap<Arc<str>, Pace>,
    decks: FxHashMap<DeckKey, Deck>,
    turns: Turns,
    traffic_splits: TrafficSplits,
    paths: Paths,
    /// Until then servers may be there that the table does not list yet.
    learns_until: Micros,
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
            fleet: Fleet::default(),
            usuals: Usuals::default(),
            paces: FxHashMap::default(),
            decks: FxHashMap::default(),
            turns: Turns::default(),
            traffic_splits: TrafficSplits::default(),
            paths: Paths::default(),
            learns_until: 0,
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
        self.fleet.apply_table(now, &table);
        if !self.table.shares_routes(&table) {
            let names: rustc_hash::FxHashSet<&str> = table
                .router()
                .routes()
                .map(|route| route.spec.name.as_ref())
                .collect();
            self.usuals.keep(
                |name| names.contains(name),
                |name| table.service(name).is_some(),
            );
            self.traffic_splits.keep(|name| names.contains(name));
            self.turns.keep(|name| table.service(name).is_some());
            self.decks.clear();
            self.paces.retain(|name, _| table.service(name).is_some());
        }
        self.table = table;
    }

    /// After a start servers become known one after the other: until that clock reading, a request
    /// for which none is listed waits for one.
    pub fn allow_discovery_until(&mut self, until: Micros) {
        self.learns_until = until;
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
        match call.done || call.open().is_some() {
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
        if call.done || !self.end_attempt(now, call, &outcome) {
            return Decision::Finished;
        }
        match attempts::next(call, &outcome, now) {
            Next::Again => self.place(now, call, limits),
            Next::End(decision) => self.close(now, call, decision),
        }
    }

    /// The client left: frees what the request holds. Of no effect once a decision was final.
    pub fn cancel(&mut self, now: Micros, call: &mut Call) {
        if !call.done {
            self.end_attempt(now, call, &Outcome::Cancelled);
            call.done = true;
        }
    }

    /// The head of a successful answer, or a whole event of a stream, was passed on to the client.
    /// A failure's head is not: it is told by [`Decider::attempt_finished`] before a byte of it is
    /// passed on, which says whether it is to be.
    pub fn response_forwarded(&mut self, now: Micros, call: &mut Call, event: Option<u64>) {
        call.head_passed = true;
        call.last_event = event.or(call.last_event);
        call.last_byte = now;
        call.cut_at = None;
        if let Some(server) = call.open().map(|attempt| attempt.server) {
            self.record_liveness(now, server);
        }
    }

    /// A server told its load.
    pub fn apply_load_report(&mut self, now: Micros, server: ServerHandle, load: LoadReport) {
        self.record_liveness(now, server);
        if let Some(node) = self.fleet.get_mut(server) {
            node.occupancy.record_load_report(now, load);
        }
    }

    /// Anything was heard of a server.
    pub fn record_liveness(&mut self, now: Micros, server: ServerHandle) {
        if let Some(node) = self.fleet.get_mut(server) {
            node.last_sign = now;
            self.paths.record_liveness(now, &node.spec.region);
        }
    }

    /// The handle of a listed instance.
    pub fn server(&self, instance: &str) -> Option<ServerHandle> {
        self.fleet.handle(instance)
    }

    /// Attempts of this gate in flight at a server.
    pub fn in_flight(&self, server: ServerHandle) -> u32 {
        self.fleet
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
            Search::Found(found) if self.pay(now, call, found, limits) => {
                Decision::Send(self.dispatch(now, call, found))
            }
            Search::Found(_) => self.give_up(
                now,
                call,
                Reason::Spent {
                    told: call.told_wait,
                },
            ),
            Search::Cold(wait) => self.hold(now, call, wait),
            Search::None(Reason::Nobody { until: None }) if self.may_learn(now, call) => {
                Decision::Delay {
                    until: now + LEARN_AGAIN,
                }
            }
            Search::None(reason) => self.give_up(now, call, reason),
        }
    }

    /// Whether a request may wait for a server to become known: no longer than for half of its
    /// time.
    fn may_learn(&self, now: Micros, call: &Call) -> bool {
        let half = call.begun + call.ends().saturating_sub(call.begun) / 2;
        now < self.learns_until && now < half && call.attempts() == 0 && Guard::Learn.on()
    }

    /// Takes a repeat out of the budget of the server's service. An attempt that no earlier one may
    /// have arrived before is none, and one that never arrives leaves its payment to the next.
    fn pay<L: RetryBudget>(
        &self,
        now: Micros,
        call: &mut Call,
        found: Found,
        limits: &mut L,
    ) -> bool {
        let repeat = call.arrivals() > 0 && Guard::Budget.on();
        let node = self.fleet.get(found.server);
        let service = node.and_then(|node| self.table.service(&node.spec.service));
        let take = |service: u32| limits.withdraw(now, &self.table.services()[service as usize]);
        call.paid = !repeat || call.paid || service.is_some_and(take);
        call.paid
    }

    fn dispatch(&mut self, now: Micros, call: &mut Call, found: Found) -> Dispatch {
        let need = call.need();
        let spec = &call.request.route.spec;
        let shortest = self.shortest_objective(found.server);
        let rank = reading::rank(spec.priority, call.target() as f64, shortest);
        let node = self
            .fleet
            .get_mut(found.server)
            .expect("a server just found is there");
        let here = node.occupancy.added(need) < need.all();
        if node.occupancy.in_flight == 0 {
            node.owes_since = now;
        }
        node.occupancy.take(need);
        self.paths.tried(now, &node.spec.region);
        let unread = reading::waits(
            call.request.prompt_tokens,
            if here { call.shared_tokens } else { 0 },
        );
        node.unread.take(unread);
        let backlog = node.unread.all(now);
        node.health.trial |= found.trial;
        let timeout = call.ends().saturating_sub(now);
        let dispatch = Dispatch {
            attempt: call.attempts.len() as u32 + 1,
            server: found.server,
            address: node.spec.address,
            expect_instance: node.spec.instance.clone(),
            service: node.spec.service.clone(),
            warming_up: node.spec.warming_up,
            crosses_region: *node.spec.region != *self.settings.region,
            priority: rank.min(PRIORITY_LAST) as u8,
            timeout,
            deadline_ms: (timeout / 1000).max(1),
            resume_after: call.last_event,
            check_at: None,
        };
        call.service = Some(dispatch.service.clone());
        let (server, trial, repeat) = (found.server, found.trial, call.arrivals() > 0);
        (call.paid, call.last_byte) = (false, now);
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
        let longest = (call.target() as f64 * self.settings.hold_share) as Micros;
        let short = until <= call.begun.saturating_add(longest) || !Guard::HoldShort.on();
        match short && until < call.ends() {
            true => Decision::Delay { until },
            false => self.give_up(now, call, Reason::Nobody { until: Some(wait) }),
        }
    }

    /// No server takes it now.
    fn give_up(&mut self, now: Micros, call: &mut Call, reason: Reason) -> Decision {
        // A cut stream is worth a few more looks.
        let cut = call
            .cut_at
            .filter(|cut| now < cut.saturating_add(RESUME_WITHIN));
        let again = now + RESUME_AGAIN;
        if cut.is_some() && again < call.ends() {
            return Decision::Delay { until: again };
        }
        if !call.head_passed && (!call.may_have_run() || !Guard::Promise.on()) {
            return self.refuse(now, call, reason);
        }
        let outcome = call
            .attempts
            .last()
            .and_then(|attempt| attempt.outcome.clone());
        let last = attempts::last_word(call, &outcome.unwrap_or(Outcome::Timeout));
        self.close(now, call, last)
    }

    /// The last decision on a request. Where nothing can have run it is a promise.
    fn close(&mut self, now: Micros, call: &mut Call, decision: Decision) -> Decision {
        let fails = matches!(decision, Decision::Fail { .. } | Decision::ForwardResponse);
        if fails && !call.head_passed && !call.may_have_run() {
            return self.refuse(
                now,
                call,
                Reason::Spent {
                    told: call.told_wait,
                },
            );
        }
        call.done = true;
        decision
    }

    fn refuse(&mut self, now: Micros, call: &mut Call, reason: Reason) -> Decision {
        call.done = true;
        let left = call
            .request
            .deadline
            .unwrap_or(call.ends())
            .saturating_sub(now);
        let most = self.settings.retry_after.1;
        let mut turn = |gap| match &call.service {
            Some(service) => self.turns.next(now, service, gap, most),
            None => gap,
        };
        let (status, wait) = match reason {
            // Servers were there, but none is left: what they said of the wait is the best that is
            // known.
            Reason::Nobody { until: None } if call.told_wait > 0 => {
                (RejectionStatus::Unavailable, call.told_wait)
            }
            Reason::Nobody { until } => (RejectionStatus::Unavailable, until.unwrap_or(most / 2)),
            Reason::Spent { told } => (RejectionStatus::Unavailable, told),
            Reason::Full { rest, gap } => (RejectionStatus::Unavailable, turn(gap).max(rest)),
            Reason::Crowded { rest, gap } => {
                (RejectionStatus::TooManyRequests, turn(gap).max(rest))
            }
        };
        Decision::Reject(refusal::refuse(
            &self.settings,
            &mut self.rng,
            status,
            wait,
            left,
        ))
    }

    /// Takes the attempt that is out off its server and judges the server by its end. False where
    /// none is out.
    fn end_attempt(&mut self, now: Micros, call: &mut Call, outcome: &Outcome) -> bool {
        let Some(attempt) = call.end(now, outcome) else {
            return false;
        };
        if let (Outcome::Success, Some(service)) = (outcome, &call.service) {
            self.usuals.served(
                service,
                &call.request.route,
                now.saturating_sub(attempt.sent),
            );
        }
        let told = self.told_of(now, attempt.server, outcome);
        self.judge(now, &attempt, &told);
        if let Some(node) = self.fleet.get_mut(attempt.server) {
            node.occupancy.release(call.need());
            node.unread.release(attempt.unread);
        }
        self.fleet.release(attempt.server);
        true
    }
}

#[cfg(test)]
mod tests;
