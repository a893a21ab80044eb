//! Query rounds: complete reads without an accept phase while the members of a quorum report the
//! same ballot. Such a read costs one round trip and no disk write.

use std::time::Duration;

use super::batch::Batch;
use super::{Context, Effect, Proposer};
use crate::operation::{Operation, RegisterValue};
use crate::round::{QuorumRead, Round};
use crate::state::Proposal;

/// Number of queries that may end in disagreement before reads go through prepare and accept.
const MAX_DISAGREEMENTS: u32 = 2;

impl<V: RegisterValue> Proposer<V> {
    /// Whether a query can complete the whole queue: it consists of reads only, and queries haven't
    /// ended in disagreement too often.
    pub(super) fn may_query(&self) -> bool {
        let are_all_reads = self
            .queue
            .iter()
            .all(|pending| matches!(pending.operation, Operation::Read));
        are_all_reads && self.disagreements < MAX_DISAGREEMENTS
    }

    /// Creates a query round for the members of `view`, the newest proposal known here.
    pub(super) fn query(&mut self, context: &Context<'_, V>, view: &Proposal<V>) -> Round<V> {
        Round::query(
            self.next_round_id(),
            context.chosen.cloned(),
            view.clone(),
            self.settings.guards,
        )
    }

    /// Starts a query round.
    pub(super) fn start_query(
        &mut self,
        now: Duration,
        context: &Context<'_, V>,
        view: &Proposal<V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        self.metrics.queries += 1;
        let round = self.query(context, view);
        self.begin(now, round, Batch::default(), effects);
    }

    /// Completes the reads if the state that was read is known as chosen. Otherwise the round is
    /// abandoned once all replicas have replied or the disagreement timeout has passed, and the
    /// reads go to another query or to a prepare phase.
    pub(super) fn advance_query(
        &mut self,
        now: Duration,
        read: &QuorumRead<V>,
        effects: &mut Vec<Effect<V>>,
    ) {
        let Some(active) = &mut self.active else {
            return;
        };
        if read.is_chosen {
            let sample = now - active.started_at;
            let first_excluded = active.first_excluded_arrival;
            self.record_round_trip(sample);
            self.finish_round();
            effects.push(Effect::ReadChosen(read.proposal.clone()));
            self.complete_reads(first_excluded, &read.proposal.state, effects);
            return;
        }
        let since = *active.disagreed_at.get_or_insert(now);
        let timeout = self.settings.disagreement_timeout;
        if active.round.have_all_replied() || now >= since + timeout {
            self.disagreements += 1;
            let wait = self.random.below(timeout);
            self.abandon_round(now, wait);
        }
    }
}
