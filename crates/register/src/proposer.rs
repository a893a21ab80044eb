//! The proposer: a queue of operations, one round at a time, all that wait decided by one acceptance.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::ballot::{Ballot, Identity};
use crate::guard::Guard;
use crate::message::{Answer, Reply, Request, RoundId};
use crate::operation::{Operation, OperationId, Outcome, Pending};
use crate::proposer::batch::Batch;
use crate::random::Random;
use crate::replicas::Replica;
use crate::round::{Found, Round, Stage};
use crate::settings::Settings;
use crate::state::{Proposal, State};

mod batch;
mod effect;

pub use effect::Counters;
pub(crate) use effect::{Context, Effect};

/// Queries that may end in disagreement before a read is completed by an acceptance.
const DISAGREEMENTS: u32 = 2;

struct Active<V> {
    round: Round<V>,
    /// Arrivals below this one were there when the round began.
    horizon: u64,
    started: Duration,
    resend: Duration,
    /// When a quorum was found to disagree.
    disagreed: Option<Duration>,
    batch: Batch<V>,
}

pub(crate) struct Proposer<V> {
    identity: Identity,
    settings: Settings,
    random: Random,
    queue: VecDeque<Pending<V>>,
    active: Option<Active<V>>,
    arrivals: u64,
    last_round: RoundId,
    last_counter: u64,
    conflicts: u32,
    disagreements: u32,
    /// Another proposer's ballot that is given way to, and until when any is.
    deference: Option<(Ballot, Duration)>,
    wait_until: Duration,
    /// The next round waits for a reserved counter or for any state at all.
    blocked: bool,
    round_trip: Duration,
    counters: Counters,
}

impl<V: Clone> Proposer<V> {
    /// A proposer whose earlier lives used counters up to `used`.
    pub(crate) fn new(identity: Identity, used: u64, seed: u64, settings: Settings) -> Self {
        let mut random = Random::new(seed);
        Self {
            identity,
            last_round: random.next(),
            random,
            round_trip: settings.backoff,
            settings,
            queue: VecDeque::new(),
            active: None,
            arrivals: 0,
            last_counter: used,
            conflicts: 0,
            disagreements: 0,
            deference: None,
            wait_until: Duration::ZERO,
            blocked: false,
            counters: Counters::default(),
        }
    }

    /// Goes on under another identity; only while no ballot has been used.
    pub(crate) fn take_identity(&mut self, identity: Identity) {
        self.identity = identity;
    }

    pub(crate) fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether any operation is on its way.
    pub(crate) fn is_busy(&self) -> bool {
        !self.queue.is_empty() || self.active.is_some()
    }

    pub(crate) fn submit(&mut self, id: Option<OperationId>, operation: Operation<V>, deadline: Duration) {
        let arrival = self.arrivals;
        self.arrivals += 1;
        self.queue.push_back(Pending { id, operation, deadline, arrival, attempts: Vec::new() });
    }

    /// Counts a reply to the round under way.
    pub(crate) fn reply(
        &mut self,
        now: Duration,
        from: Identity,
        reply: Reply<V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        if let Answer::Conflict { promised } = &reply.answer {
            self.last_counter = self.last_counter.max(promised.counter);
        }
        let Some(active) = self.active.as_mut().filter(|active| active.round.id == reply.round) else {
            return;
        };
        let asked = active.round.unanswered();
        active.round.answer(from, reply.answer);
        let reached = |replica: &Replica| asked.iter().any(|known| known.identity == replica.identity);
        let found_more = active.round.unanswered().into_iter().filter(|replica| !reached(replica));
        send(&active.round, found_more.collect(), effects);
        self.advance(now, effects);
    }

    /// Does what time and the queue call for.
    pub(crate) fn poll(&mut self, now: Duration, context: &Context<'_, V>, effects: &mut Vec<Effect<V>>) {
        self.expire(now, effects);
        self.check_round(now, effects);
        let is_over = |(ballot, _)| context.chosen.is_some_and(|chosen| chosen.ballot >= ballot);
        if self.deference.take_if(|deference| is_over(*deference)).is_some() {
            self.wait_until = now;
        }
        let is_due = self.active.is_none() && now >= self.wait_until && !self.queue.is_empty();
        self.blocked = is_due && !self.start(now, context, effects);
    }

    /// When `poll` is due next.
    pub(crate) fn wake(&self) -> Option<Duration> {
        let deadlines = self.queue.iter().map(|pending| pending.deadline);
        let batch = self.active.iter().flat_map(|active| active.batch.deadlines());
        let round = self.active.iter().map(|active| self.round_wake(active));
        let is_idle = self.active.is_none() && !self.queue.is_empty() && !self.blocked;
        let wait = is_idle.then_some(self.wait_until);
        deadlines.chain(batch).chain(round).chain(wait).min()
    }

    fn round_wake(&self, active: &Active<V>) -> Duration {
        let patience = active.disagreed.map(|since| since + self.settings.patience);
        let limit = active.started + self.settings.round_limit;
        active.resend.min(limit).min(patience.unwrap_or(limit))
    }

    fn expire(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let (expired, live): (VecDeque<_>, VecDeque<_>) =
            self.queue.drain(..).partition(|pending| pending.deadline <= now);
        self.queue = live;
        for pending in expired {
            let outcome = if pending.attempts.is_empty() { Outcome::Expired } else { Outcome::Unknown };
            done(pending.id, outcome, effects);
        }
        if let Some(active) = &mut self.active {
            for (id, outcome) in active.batch.expire(now) {
                done(id, outcome, effects);
            }
        }
    }

    fn check_round(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        if now >= active.started + self.settings.round_limit {
            self.counters.timeouts += 1;
            self.give_up(now, Duration::ZERO);
            return;
        }
        if now >= active.resend {
            active.resend = now + self.settings.resend;
            send(&active.round, active.round.unanswered(), effects);
        }
        self.advance(now, effects);
    }

    /// Begins the next round; false if a counter or a first state is missing.
    fn start(&mut self, now: Duration, context: &Context<'_, V>, effects: &mut Vec<Effect<V>>) -> bool {
        let view = [context.chosen, context.accepted].into_iter().flatten().max_by_key(|held| held.ballot);
        let Some(view) = view else {
            return false;
        };
        let reads_only = self.queue.iter().all(|pending| matches!(pending.operation, Operation::Read));
        if reads_only && self.disagreements < DISAGREEMENTS {
            self.counters.queries += 1;
            let round =
                Round::query(self.next_round(), context.chosen.cloned(), view.clone(), self.settings.guards);
            self.begin(now, round, Batch::default(), effects);
            return true;
        }
        if self.gives_way(now, context) {
            return true;
        }
        let Some(ballot) = self.next_ballot(view.ballot.counter, context.reserved, effects) else {
            return false;
        };
        self.counters.prepares += 1;
        let query =
            Round::query(self.next_round(), context.chosen.cloned(), view.clone(), self.settings.guards);
        self.begin(now, query.with_promises(ballot), Batch::default(), effects);
        true
    }

    /// Whether to wait because the own acceptor has lately promised a ballot of another proposer, of which
    /// nothing is chosen yet: a round begun now would only end that one.
    fn gives_way(&mut self, now: Duration, context: &Context<'_, V>) -> bool {
        let chosen = context.chosen.map_or(Ballot::ZERO, |proposal| proposal.ballot);
        let promised = context.promised;
        if promised.identity == self.identity || promised <= chosen {
            self.deference = None;
            return false;
        }
        let pause = (self.round_trip * 2).max(self.settings.backoff);
        let (ballot, limit) = match self.deference {
            Some((ballot, limit)) => (ballot, limit),
            None => (Ballot::ZERO, now + self.settings.deference),
        };
        if ballot == promised || now >= limit {
            return false;
        }
        self.deference = Some((promised, limit));
        self.wait_until = (now + pause).min(limit);
        true
    }

    fn begin(&mut self, now: Duration, round: Round<V>, batch: Batch<V>, effects: &mut Vec<Effect<V>>) {
        send(&round, round.unanswered(), effects);
        self.deference = None;
        self.active = Some(Active {
            round,
            horizon: self.arrivals,
            started: now,
            resend: now + self.settings.resend,
            disagreed: None,
            batch,
        });
    }

    fn next_round(&mut self) -> RoundId {
        self.last_round = self.last_round.wrapping_add(1);
        self.last_round
    }

    /// A ballot above all seen, if its counter is reserved.
    fn next_ballot(&mut self, seen: u64, reserved: u64, effects: &mut Vec<Effect<V>>) -> Option<Ballot> {
        let counter = self.last_counter.max(seen) + 1;
        if counter > reserved {
            effects.push(Effect::Reserve { counter });
            return None;
        }
        self.last_counter = counter;
        Some(Ballot { counter, identity: self.identity })
    }

    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        match active.round.stage {
            Stage::Accept => self.advance_accept(now, effects),
            Stage::Query | Stage::Prepare => match active.round.found() {
                Some(found) if active.round.stage == Stage::Query => self.advance_query(now, &found, effects),
                Some(found) => self.decide(now, &found, effects),
                None => active.disagreed = None,
            },
        }
        if self.active.as_ref().is_some_and(|active| active.round.is_lost()) {
            self.counters.conflicts += 1;
            self.conflicts += 1;
            let bound = self.backoff();
            let wait = self.random.below(bound);
            self.give_up(now, wait);
        }
    }

    /// Completes reads by what is confirmed; where a quorum disagrees, asks again or goes over to promises.
    fn advance_query(&mut self, now: Duration, found: &Found<V>, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        if found.confirmed {
            self.round_trip = smoothed(self.round_trip, now - active.started, self.settings.resend);
            let horizon = active.horizon;
            self.finish_round();
            effects.push(Effect::Chosen { proposal: found.proposal.clone(), announce: false });
            self.complete_reads(horizon, &found.proposal.state, effects);
            return;
        }
        let since = *active.disagreed.get_or_insert(now);
        if active.round.is_complete() || now >= since + self.settings.patience {
            self.disagreements += 1;
            let wait = self.random.below(self.settings.patience);
            self.give_up(now, wait);
        }
    }

    fn complete_reads(&mut self, horizon: u64, state: &Arc<State<V>>, effects: &mut Vec<Effect<V>>) {
        let is_served =
            |pending: &Pending<V>| pending.arrival < horizon && matches!(pending.operation, Operation::Read);
        let (served, rest): (VecDeque<_>, VecDeque<_>) = self.queue.drain(..).partition(is_served);
        self.queue = rest;
        for pending in served {
            done(pending.id, Outcome::Read(Arc::clone(state)), effects);
        }
    }

    /// Applies what waits to the state found, and proposes what follows unless nothing does.
    fn decide(&mut self, now: Duration, found: &Found<V>, effects: &mut Vec<Effect<V>>) {
        let Some(mut active) = self.active.take() else {
            return;
        };
        self.round_trip = smoothed(self.round_trip, now - active.started, self.settings.resend);
        let ballot = active.round.ballot;
        let (batch, state) = Batch::assemble(self.queue.drain(..), found, ballot, self.settings.guards);
        let unchanged = state.sequence == found.proposal.state.sequence;
        let is_fenced = self.settings.guards.keeps(Guard::FenceBeforeAnswer) && batch.answers_unchanged();
        if unchanged && found.confirmed && !is_fenced {
            effects.push(Effect::Chosen { proposal: found.proposal.clone(), announce: false });
            self.settle(batch, active.horizon, &found.proposal.state, effects);
            self.finish_round();
            return;
        }
        self.counters.accepts += 1;
        active.round.propose(Proposal { ballot, state });
        self.begin(now, active.round, batch, effects);
    }

    fn advance_accept(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        let Some(proposal) = active.round.chosen().cloned() else {
            return;
        };
        self.round_trip = smoothed(self.round_trip, now - active.started, self.settings.resend);
        let batch = std::mem::take(&mut active.batch);
        self.finish_round();
        effects.push(Effect::Chosen { proposal: proposal.clone(), announce: true });
        self.settle(batch, u64::MAX, &proposal.state, effects);
    }

    /// Reports the outcomes of a batch by a chosen state; what arrived after the horizon waits on.
    fn settle(&mut self, batch: Batch<V>, horizon: u64, state: &Arc<State<V>>, effects: &mut Vec<Effect<V>>) {
        let (outcomes, waiting) = batch.settle(horizon, state);
        for (id, outcome) in outcomes {
            done(id, outcome, effects);
        }
        self.requeue(waiting);
    }

    fn finish_round(&mut self) {
        self.active = None;
        self.conflicts = 0;
        self.disagreements = 0;
    }

    /// Ends the round without a result; its operations wait for the next one.
    fn give_up(&mut self, now: Duration, wait: Duration) {
        if let Some(active) = self.active.take() {
            self.requeue(active.batch.into_pending());
        }
        self.wait_until = now + wait;
    }

    fn requeue(&mut self, waiting: Vec<Pending<V>>) {
        self.queue.extend(waiting);
        self.queue.make_contiguous().sort_by_key(|pending| pending.arrival);
    }

    /// Bound of the wait after the conflicts so far: a write takes two round trips.
    fn backoff(&self) -> Duration {
        let first = self.settings.backoff.max(self.round_trip * 2);
        let doubled = first * (1 << self.conflicts.saturating_sub(1).min(8));
        doubled.min(self.settings.backoff_limit)
    }
}

fn send<V: Clone>(round: &Round<V>, replicas: Vec<Replica>, effects: &mut Vec<Effect<V>>) {
    for to in replicas {
        let request = Request { round: round.id, to: to.identity, ask: round.ask() };
        effects.push(Effect::Send { to, request });
    }
}

fn done<V>(id: Option<OperationId>, outcome: Outcome<V>, effects: &mut Vec<Effect<V>>) {
    if let Some(id) = id {
        effects.push(Effect::Done { id, outcome });
    }
}

/// Average of the time that a quorum takes. Rounds in which something may have been sent again tell nothing.
fn smoothed(average: Duration, sample: Duration, resend: Duration) -> Duration {
    match sample < resend {
        true => (average * 3 + sample) / 4,
        false => average,
    }
}
