//! The proposer: a queue of operations and one round at a time; all operations in the queue are
//! decided by one acceptance (Rystsov 2018, section 2).

use std::collections::VecDeque;
use std::time::Duration;

use crate::ballot::Identity;
use crate::message::{Reply, ReplyBody, RoundId};
use crate::operation::{Pending, RegisterValue};
use crate::proposer::batch::Batch;
use crate::proposer::pacing::Deference;
use crate::proposer::rounds::{Start, send_requests};
use crate::random::Random;
use crate::replicas::Replica;
use crate::round::Round;
use crate::settings::Settings;

mod batch;
mod effect;
mod pacing;
mod queries;
mod queue;
mod rounds;

pub use effect::ProposerMetrics;
pub(crate) use effect::{Context, Effect};

/// The active round.
struct ActiveRound<V: RegisterValue> {
    round: Round<V>,
    /// Operations of this arrival number and later weren't submitted yet when the round began.
    first_excluded_arrival: u64,
    started_at: Duration,
    retransmit_at: Duration,
    /// When a quorum was found to disagree.
    disagreed_at: Option<Duration>,
    batch: Batch<V>,
}

/// The proposer of a node. Times are those of the node's clock.
pub(crate) struct Proposer<V: RegisterValue> {
    identity: Identity,
    settings: Settings,
    random: Random,
    queue: VecDeque<Pending<V>>,
    active: Option<ActiveRound<V>>,
    /// Number of operations submitted.
    arrivals: u64,
    last_round_id: RoundId,
    /// Highest ballot counter used or seen in a conflict.
    last_counter: u64,
    /// Conflicts since a round last had a result.
    conflicts: u32,
    /// Queries that ended in disagreement since a round last had a result.
    disagreements: u32,
    deference: Option<Deference>,
    /// No round begins before this.
    next_round_at: Duration,
    /// Whether the next round waits for a reserved counter or a first state.
    is_blocked: bool,
    /// Average round trip time of a quorum.
    round_trip: Duration,
    metrics: ProposerMetrics,
}

impl<V: RegisterValue> Proposer<V> {
    /// A proposer whose earlier incarnations may have used counters up to `used_counter`.
    pub(crate) fn new(
        identity: Identity,
        used_counter: u64,
        seed: u64,
        settings: Settings,
    ) -> Self {
        let mut random = Random::new(seed);
        Self {
            identity,
            last_round_id: RoundId(random.next()),
            random,
            round_trip: settings.initial_backoff,
            settings,
            queue: VecDeque::new(),
            active: None,
            arrivals: 0,
            last_counter: used_counter,
            conflicts: 0,
            disagreements: 0,
            deference: None,
            next_round_at: Duration::ZERO,
            is_blocked: false,
            metrics: ProposerMetrics::default(),
        }
    }

    /// Continues under another identity; only while no ballot has been used.
    pub(crate) fn set_identity(&mut self, identity: Identity) {
        self.identity = identity;
    }

    /// Counts of the rounds.
    pub(crate) fn metrics(&self) -> ProposerMetrics {
        self.metrics
    }

    /// Whether any operation is queued or in a round.
    pub(crate) fn is_busy(&self) -> bool {
        !self.queue.is_empty() || self.active.is_some()
    }

    /// Counts a reply to the active round. A reply may show a newer membership; its replicas then
    /// receive the request too.
    pub(crate) fn reply(
        &mut self,
        now: Duration,
        from: Identity,
        reply: Reply<V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        if let ReplyBody::Conflict { promised } = &reply.body {
            self.last_counter = self.last_counter.max(promised.counter);
        }
        let Some(active) = self
            .active
            .as_mut()
            .filter(|active| active.round.id == reply.round)
        else {
            return;
        };
        let requested = active.round.awaiting_reply();
        active.round.record_reply(from, reply.body);
        let is_requested = |replica: &Replica| {
            requested
                .iter()
                .any(|known| known.identity == replica.identity)
        };
        let added = active
            .round
            .awaiting_reply()
            .into_iter()
            .filter(|replica| !is_requested(replica));
        send_requests(&active.round, added.collect(), effects);
        self.advance(now, effects);
    }

    /// Does what the time and the queue require.
    pub(crate) fn poll(
        &mut self,
        now: Duration,
        context: &Context<'_, V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        self.expire(now, effects);
        self.check_round(now, effects);
        self.end_deference(now, context);
        let is_due = self.active.is_none() && now >= self.next_round_at && !self.queue.is_empty();
        self.is_blocked = is_due && self.start(now, context, effects) == Start::Blocked;
    }

    /// When `poll` is due next.
    pub(crate) fn next_wakeup(&self) -> Option<Duration> {
        let queued = self.queue.iter().map(|pending| pending.deadline);
        let batched = self
            .active
            .iter()
            .flat_map(|active| active.batch.deadlines());
        let round = self.active.iter().map(|active| self.round_wakeup(active));
        let is_waiting = self.active.is_none() && !self.queue.is_empty() && !self.is_blocked;
        let wait = is_waiting.then_some(self.next_round_at);
        queued.chain(batched).chain(round).chain(wait).min()
    }

    fn round_wakeup(&self, active: &ActiveRound<V>) -> Duration {
        let timeout = active.started_at + self.settings.round_timeout;
        let disagreement = active
            .disagreed_at
            .map(|since| since + self.settings.disagreement_timeout);
        active
            .retransmit_at
            .min(timeout)
            .min(disagreement.unwrap_or(timeout))
    }
}
