//! The proposer: queues operations and runs one round at a time. One accept phase decides all
//! operations that are queued when it begins (Rystsov 2018, section 2).

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

/// The round in progress.
struct ActiveRound<V: RegisterValue> {
    round: Round<V>,
    /// Arrival number of the first operation that was submitted after the round began.
    first_excluded_arrival: u64,
    started_at: Duration,
    retransmit_at: Duration,
    /// Time at which the members of a quorum first reported different ballots.
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
    /// Number of operations submitted so far.
    arrivals: u64,
    last_round_id: RoundId,
    /// Highest ballot counter used or seen in a conflict.
    last_counter: u64,
    /// Conflicts since the last round with a result.
    conflicts: u32,
    /// Queries that ended in disagreement since the last round with a result.
    disagreements: u32,
    deference: Option<Deference>,
    /// Earliest start of the next round.
    next_round_at: Duration,
    /// Whether the next round waits for a reserved counter or for a first known state.
    is_blocked: bool,
    /// Moving average of the round trip time to a quorum.
    round_trip: Duration,
    metrics: ProposerMetrics,
}

impl<V: RegisterValue> Proposer<V> {
    /// Creates a proposer whose earlier incarnations may have used ballot counters up to
    /// `used_counter`.
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

    /// Changes the identity in the proposer's ballots; allowed only before the first ballot.
    pub(crate) fn set_identity(&mut self, identity: Identity) {
        self.identity = identity;
    }

    /// Round counts since the node started.
    pub(crate) fn metrics(&self) -> ProposerMetrics {
        self.metrics
    }

    /// Whether an operation is queued or a round is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        !self.queue.is_empty() || self.active.is_some()
    }

    /// Counts a reply to the active round. If the reply shows a newer membership, the replicas of
    /// that membership receive the request too.
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

    /// Expires operations, retransmits or abandons the active round, and starts the next one.
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

    /// Time at which `poll` is due next.
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
