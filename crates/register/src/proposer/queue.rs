//! The queue of operations: submission, deadlines, outcomes, and the return of operations that a
//! round left undecided.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::batch::{Batch, Completion};
use super::{Effect, Proposer};
use crate::operation::{Operation, OperationId, Outcome, Pending, RegisterValue};
use crate::state::State;

impl<V: RegisterValue> Proposer<V> {
    /// Queues an operation; `deadline` is a time of the node's clock. The outcome of an operation
    /// without `id` isn't reported.
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

    /// Completes the operations whose deadline has passed.
    pub(super) fn expire(&mut self, now: Duration, effects: &mut Vec<Effect<V>>) {
        let (expired, live): (VecDeque<_>, VecDeque<_>) = self
            .queue
            .drain(..)
            .partition(|pending| pending.deadline <= now);
        self.queue = live;
        let expired_in_round = match &mut self.active {
            Some(active) => active.batch.expire(now),
            None => Vec::new(),
        };
        for pending in expired.into_iter().chain(expired_in_round) {
            complete(pending.id, pending.outcome_at_deadline(), effects);
        }
    }

    /// Completes the queued reads that arrived before `first_excluded` with a chosen state. Later
    /// reads arrived after the round began: the state might lack a change that was acknowledged
    /// before such a read arrived.
    pub(super) fn complete_reads(
        &mut self,
        first_excluded: u64,
        state: &Arc<State<V>>,
        effects: &mut Vec<Effect<V>>,
    ) {
        let is_served = |pending: &Pending<V>| {
            pending.arrival < first_excluded && matches!(pending.operation, Operation::Read)
        };
        let (served, rest): (VecDeque<_>, VecDeque<_>) = self.queue.drain(..).partition(is_served);
        self.queue = rest;
        for pending in served {
            complete(pending.id, Outcome::Read(Arc::clone(state)), effects);
        }
    }

    /// Completes the operations of a batch with a chosen state; those that arrived from
    /// `first_excluded` on return to the queue.
    pub(super) fn complete_batch(
        &mut self,
        batch: Batch<V>,
        first_excluded: u64,
        state: &Arc<State<V>>,
        effects: &mut Vec<Effect<V>>,
    ) {
        let Completion {
            completed,
            undecided,
        } = batch.complete(first_excluded, state);
        for operation in completed {
            complete(operation.id, operation.outcome, effects);
        }
        self.requeue(undecided);
    }

    /// Returns undecided operations to the queue in the order of their arrival.
    pub(super) fn requeue(&mut self, undecided: Vec<Pending<V>>) {
        self.queue.extend(undecided);
        self.queue
            .make_contiguous()
            .sort_by_key(|pending| pending.arrival);
    }
}

/// Reports the outcome of an operation, unless the operation has no id.
fn complete<V: RegisterValue>(
    id: Option<OperationId>,
    outcome: Outcome<V>,
    effects: &mut Vec<Effect<V>>,
) {
    if let Some(id) = id {
        effects.push(Effect::Completed { id, outcome });
    }
}
