//! The acceptors: they answer the queries by which owners confirm their epoch, and catch up on
//! installed views.

use std::sync::Arc;
use std::time::Duration;

use ironmast_keyed_ownership::owner::Event as OwnerEvent;
use ironmast_keyed_ownership::{EpochConfirmation, View};

use super::coordinator::ACCEPTORS;
use super::network::{EpochQuery, WorldEvent, network_delay};
use super::world::World;

impl World {
    pub(super) fn is_acceptor_partitioned(&self, acceptor: usize) -> bool {
        acceptor + 1 == ACCEPTORS && self.acceptor_partitioned_until > self.now
    }

    /// Whether a gate and an acceptor are on the same side of a partition.
    fn reaches_acceptor(&self, gate: usize, acceptor: usize) -> bool {
        self.is_partitioned(gate) == self.is_acceptor_partitioned(acceptor)
    }

    /// Queries all acceptors for the owner at a gate.
    pub(super) fn confirm(&mut self, gate: usize, epoch: u64, requested_at: Duration) {
        let acceptors_counted = self.scenario.acceptors_counted;
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        let confirmation = EpochConfirmation::new(epoch, requested_at, acceptors_counted);
        let confirmation_id = process.confirmations.add(confirmation);
        let incarnation = process.id.incarnation;
        let is_cut_off = self.gates[gate].outbound_partition_until > self.now;
        for acceptor in 0..ACCEPTORS {
            self.trace.epoch_queries += 1;
            let arrival = self.now + network_delay(&mut self.random, gate, acceptor);
            if !is_cut_off && self.reaches_acceptor(gate, acceptor) {
                let query = EpochQuery {
                    from: gate,
                    incarnation,
                    confirmation_id,
                    acceptor,
                };
                self.queue.push(arrival, WorldEvent::EpochQuery(query));
            }
        }
    }

    pub(super) fn on_epoch_query(&mut self, query: EpochQuery) {
        if !self.reaches_acceptor(query.from, query.acceptor) {
            return;
        }
        let newest = self.acceptors[query.acceptor].epoch();
        let arrival = self.now + network_delay(&mut self.random, query.acceptor, query.from);
        self.queue
            .push(arrival, WorldEvent::EpochReply { query, newest });
    }

    pub(super) fn on_epoch_reply(&mut self, query: EpochQuery, newest: u64) {
        let gate = query.from;
        if self.gates[gate].inbound_partition_until > self.now {
            return;
        }
        let Some(process) = self.process(gate, query.incarnation) else {
            return;
        };
        let confirmed = process
            .confirmations
            .answer(query.confirmation_id, query.acceptor, newest);
        if let Some(confirmed) = confirmed {
            self.handle_owner_event(gate, OwnerEvent::EpochConfirmed(confirmed));
        }
    }

    /// Lets an acceptor catch up on an installed view, delayed to the end of a partition.
    pub(super) fn catch_up(&mut self, acceptor: usize, view: Arc<View>) {
        if self.is_acceptor_partitioned(acceptor) {
            self.queue.push(
                self.acceptor_partitioned_until,
                WorldEvent::CatchUp { acceptor, view },
            );
            return;
        }
        self.acceptors[acceptor].catch_up(view);
    }
}
