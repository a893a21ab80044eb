//! Rounds: started one at a time, retransmitted where replies are missing, and ended by a result, a
//! conflict or a timeout.

use std::time::Duration;

use super::batch::{Assembled, Batch};
use super::{ActiveRound, Context, Effect, Proposer};
use crate::ballot::Ballot;
use crate::guard::Guard;
use crate::message::{Request, RoundId};
use crate::operation::RegisterValue;
use crate::replicas::Replica;
use crate::round::{Phase, QuorumRead, Round};
use crate::state::{Proposal, newest};

/// Result of an attempt to start the next round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// The round has started, or waits for another proposer's round.
    StartedOrWaiting,
    /// No round can start: a reserved ballot counter or a first known state is missing.
    Blocked,
}

impl<V: RegisterValue> Proposer<V> {
    /// Starts the next round if possible: a query for reads alone, else a prepare phase.
    pub(super) fn start(
        &mut self,
        now: Duration,
        context: &Context<'_, V>,
        effects: &mut Vec<Effect<V>>,
    ) -> Start {
        let Some(view) = newest(context.chosen, context.accepted) else {
            return Start::Blocked;
        };
        if self.may_query() {
            self.start_query(now, context, view, effects);
            return Start::StartedOrWaiting;
        }
        if self.should_defer(now, context) {
            return Start::StartedOrWaiting;
        }
        let reserved = context.reserved_counter;
        let Some(ballot) = self.next_ballot(view.ballot.counter, reserved, effects) else {
            return Start::Blocked;
        };
        self.metrics.prepares += 1;
        let query = self.query(context, view);
        self.begin(now, query.into_prepare(ballot), Batch::default(), effects);
        Start::StartedOrWaiting
    }

    /// Sends the requests of a round and makes it the active round.
    pub(super) fn begin(
        &mut self,
        now: Duration,
        round: Round<V>,
        batch: Batch<V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        send_requests(&round, round.awaiting_reply(), effects);
        self.deference = None;
        self.active = Some(ActiveRound {
            round,
            first_excluded_arrival: self.arrivals,
            started_at: now,
            retransmit_at: now + self.settings.retransmit_interval,
            disagreed_at: None,
            batch,
        });
    }

    /// Returns the id of the next round.
    pub(super) fn next_round_id(&mut self) -> RoundId {
        self.last_round_id = self.last_round_id.next();
        self.last_round_id
    }

    /// Returns a ballot above all ballots seen. If its counter isn't reserved, requests the
    /// reservation and returns `None`.
    fn next_ballot(
        &mut self,
        highest_seen: u64,
        reserved: u64,
        effects: &mut Vec<Effect<V>>,
    ) -> Option<Ballot> {
        let counter = self.last_counter.max(highest_seen) + 1;
        if counter > reserved {
            effects.push(Effect::Reserve { counter });
            return None;
        }
        self.last_counter = counter;
        Some(Ballot {
            counter,
            identity: self.identity,
        })
    }

    /// Abandons the active round after its timeout, or retransmits the requests without a reply.
    pub(super) fn check_round(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        if now >= active.started_at + self.settings.round_timeout {
            self.metrics.timeouts += 1;
            self.abandon_round(now, Duration::ZERO);
            return;
        }
        if now >= active.retransmit_at {
            active.retransmit_at = now + self.settings.retransmit_interval;
            send_requests(&active.round, active.round.awaiting_reply(), effects);
        }
        self.advance(now, effects);
    }

    /// Advances the active round as far as its replies allow; abandons it if it can't succeed.
    pub(super) fn advance(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        match active.round.phase {
            Phase::Accept => self.advance_accept(now, effects),
            Phase::Query | Phase::Prepare => match active.round.quorum_read() {
                Some(read) if active.round.phase == Phase::Query => {
                    self.advance_query(now, &read, effects);
                }
                Some(read) => self.decide(now, &read, effects),
                None => active.disagreed_at = None,
            },
        }
        let is_lost = self
            .active
            .as_ref()
            .is_some_and(|active| active.round.is_lost());
        if is_lost {
            let wait = self.wait_after_conflict();
            self.abandon_round(now, wait);
        }
    }

    /// Applies the queued operations to the state that was read. Starts the accept phase with the
    /// result, or completes the operations at once if nothing has to be accepted.
    fn decide(&mut self, now: Duration, read: &QuorumRead<V>, effects: &mut Vec<Effect<V>>) {
        let Some(mut active) = self.active.take() else {
            return;
        };
        self.record_round_trip(now - active.started_at);
        let ballot = active.round.ballot;
        let guards = self.settings.guards;
        let Assembled { batch, state } =
            Batch::assemble(self.queue.drain(..), read, ballot, guards);
        let is_unchanged = state.sequence == read.proposal.state.sequence;
        // An unchanged answer may need an accept phase first; see `Guard::FenceBeforeAnswer`.
        let must_accept_again =
            guards.enforces(Guard::FenceBeforeAnswer) && batch.answers_unchanged();
        if is_unchanged && read.is_chosen && !must_accept_again {
            effects.push(Effect::ReadChosen(read.proposal.clone()));
            let first_excluded = active.first_excluded_arrival;
            self.complete_batch(batch, first_excluded, &read.proposal.state, effects);
            self.finish_round();
            return;
        }
        self.metrics.accepts += 1;
        active.round.start_accept(Proposal { ballot, state });
        self.begin(now, active.round, batch, effects);
    }

    /// Completes the batch once a quorum has accepted the proposal.
    fn advance_accept(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let Some(active) = &mut self.active else {
            return;
        };
        let Some(proposal) = active.round.chosen().cloned() else {
            return;
        };
        let sample = now - active.started_at;
        let batch = std::mem::take(&mut active.batch);
        self.record_round_trip(sample);
        self.finish_round();
        effects.push(Effect::Decided(proposal.clone()));
        self.complete_batch(batch, u64::MAX, &proposal.state, effects);
    }

    /// Ends the active round with a result; the counts of conflicts and disagreements restart.
    pub(super) fn finish_round(&mut self) {
        self.active = None;
        self.conflicts = 0;
        self.disagreements = 0;
    }

    /// Ends the active round without a result: its operations return to the queue, and the next
    /// round starts after `wait` at the earliest.
    pub(super) fn abandon_round(&mut self, now: Duration, wait: Duration) {
        if let Some(active) = self.active.take() {
            self.requeue(active.batch.into_pending());
        }
        self.next_round_at = now + wait;
    }
}

/// Sends the request of the round's current phase to the given replicas.
pub(super) fn send_requests<V: RegisterValue>(
    round: &Round<V>,
    replicas: Vec<Replica>,
    effects: &mut Vec<Effect<V>>,
) {
    for to in replicas {
        let request = Request {
            round: round.id,
            to: to.identity,
            body: round.request_body(),
        };
        effects.push(Effect::Send { to, request });
    }
}
