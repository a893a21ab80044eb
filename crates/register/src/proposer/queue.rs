//! The queue of operations: arrival, deadlines, outcomes, and the return of what a round left
//! undecided.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::batch::Batch;
use super::{Effect, Proposer};
use crate::operation::{Operation, OperationId, Outcome, Pending};
use crate::state::State;

impl<V: Clone> Proposer<V> {
    /// Queues an operation; `deadline` is a time of the node's clock.
    pub(crate) fn submit(
        &mut self,
        id: Option<OperationId>,
        operation: Operation<V>,
        deadline: Duration,
    ) {
        let arrival = self.arrivals;
        self.arrivals += 1;
        self.queue.push_back(Pending {
            id,
            operation,
            deadline,
            arrival,
            attempts: Vec::new(),
        });
    }

    /// Reports the operations whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let (expired, live): (VecDeque<_>, VecDeque<_>) = self
            .queue
            .drain(..)
            .partition(|pending| pending.deadline <= now);
        self.queue = live;
        for pending in expired {
            let outcome = if pending.attempts.is_empty() {
                Outcome::Expired
            } else {
                Outcome::Unknown
            };
            done(pending.id, outcome, effects);
        }
        if let Some(active) = &mut self.active {
            for (id, outcome) in active.batch.expire(now) {
                done(id, outcome, effects);
            }
        }
    }

    /// Answers the reads that arrived before `horizon` by a confirmed state.
    pub(super) fn complete_reads(
        &mut self,
        horizon: u64,
        state: &Arc<State<V>>,
        effects: &mut Vec<Effect<V>>,
    ) {
        let is_served = |pending: &Pending<V>| {
            pending.arrival < horizon && matches!(pending.operation, Operation::Read)
        };
        let (served, rest): (VecDeque<_>, VecDeque<_>) = self.queue.drain(..).partition(is_served);
        self.queue = rest;
        for pending in served {
            done(pending.id, Outcome::Read(Arc::clone(state)), effects);
        }
    }

    /// Reports the outcomes of a batch by a chosen state; what arrived after the horizon waits on.
    pub(super) fn settle(
        &mut self,
        batch: Batch<V>,
        horizon: u64,
        state: &Arc<State<V>>,
        effects: &mut Vec<Effect<V>>,
    ) {
        let (outcomes, waiting) = batch.settle(horizon, state);
        for (id, outcome) in outcomes {
            done(id, outcome, effects);
        }
        self.requeue(waiting);
    }

    /// Puts undecided operations back in the order of their arrival.
    pub(super) fn requeue(&mut self, waiting: Vec<Pending<V>>) {
        self.queue.extend(waiting);
        self.queue
            .make_contiguous()
            .sort_by_key(|pending| pending.arrival);
    }
}

/// Reports the outcome of an operation that somebody waits for.
fn done<V>(id: Option<OperationId>, outcome: Outcome<V>, effects: &mut Vec<Effect<V>>) {
    if let Some(id) = id {
        effects.push(Effect::Done { id, outcome });
    }
}
