//! Proposers of views, the acceptors, and the confirmations that owners request.

use std::sync::Arc;

use ironmast_keyed_ownership::client::Event as ClientEvent;
use ironmast_keyed_ownership::owner::Event as OwnerEvent;
use ironmast_keyed_ownership::{
    ConfirmedEpoch, EpochConfirmation, GateId, ProposalOutcome, Proposer, View,
};
use rand::RngExt as _;

use super::gate::gate_index;
use super::network::{WorldEvent, network_delay};
use super::world::World;
use super::{MS, Micros};

/// The number of acceptors.
pub(crate) const ACCEPTORS: usize = 3;

/// The number of coordinators that propose views. The second is beside the last acceptor; it
/// proposes while that is partitioned, and at random otherwise.
pub(crate) const PROPOSERS: usize = 2;

/// How often a proposer determines the members of the next view.
pub(crate) const RECONFIGURE_INTERVAL: Micros = 400 * MS;

/// The epoch of the view that all gates know at the start.
pub(crate) const FIRST_EPOCH: u64 = 1 << 8;

/// How long a gate must be down, or back, before a view reflects it.
const FAILURE_DETECTION_DELAY: Micros = 700 * MS;

/// How long a proposer waits for the acceptors.
const PROPOSAL_TIMEOUT: Micros = 900 * MS;

/// The probability that the second proposer proposes without need.
const COMPETING_PROPOSAL_RATE: f64 = 0.5;

/// The probability that a partitioned proposer announces a view that was not installed.
const PREMATURE_ANNOUNCEMENT_RATE: f64 = 0.3;

/// The gates to which a view is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    All,
    /// Only those that are partitioned.
    Partitioned,
}

/// A coordinator that proposes views.
#[derive(Clone, Debug)]
pub(crate) struct Coordinator {
    proposer: Proposer,
    busy_until: Micros,
}

impl Coordinator {
    pub(crate) fn new(number: usize, installed: Arc<View>) -> Self {
        let mut proposer = Proposer::new(number as u8, ACCEPTORS, installed.epoch);
        proposer.learn(installed);
        Self {
            proposer,
            busy_until: 0,
        }
    }
}

/// The acceptor beside a proposer.
fn acceptor_beside(proposer: usize) -> usize {
    proposer * (ACCEPTORS - 1)
}

impl World {
    /// A gate learns a view. During a partition that is delayed to its end, since gates relay views
    /// repeatedly.
    pub(super) fn on_view(&mut self, to: usize, view: Arc<View>) {
        let gate_state = &self.gates[to];
        let reachable_at = gate_state
            .inbound_partition_until
            .max(gate_state.partitioned_until);
        let is_premature = view.epoch & 0xff != 0;
        if reachable_at > self.now && view.epoch != FIRST_EPOCH && !is_premature {
            self.queue
                .push(reachable_at + 100 * MS, WorldEvent::LearnView { to, view });
            return;
        }
        self.handle_owner_event(to, OwnerEvent::View(view.clone()));
        self.handle_client_event(to, ClientEvent::View(view));
    }

    pub(super) fn confirm(&mut self, gate: usize, epoch: u64, requested_at: std::time::Duration) {
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        let confirmation_id = process.next_confirmation_id;
        process.next_confirmation_id += 1;
        process.confirmations.push_back((
            confirmation_id,
            EpochConfirmation::new(epoch, requested_at, self.scenario.acceptors_counted),
        ));
        process.confirmations.truncate(64);
        let incarnation = process.id.incarnation;
        let is_cut_off = self.gates[gate].outbound_partition_until > self.now;
        for acceptor in 0..ACCEPTORS {
            self.trace.epoch_queries += 1;
            let arrival = self.now + network_delay(&mut self.random, gate, acceptor);
            if !is_cut_off && self.is_partitioned(gate) == self.is_acceptor_partitioned(acceptor) {
                let event = WorldEvent::EpochQuery {
                    from: gate,
                    incarnation,
                    confirmation_id,
                    acceptor,
                };
                self.queue.push(arrival, event);
            }
        }
    }

    pub(super) fn on_epoch_query(
        &mut self,
        from: usize,
        incarnation: u64,
        confirmation_id: u64,
        acceptor: usize,
    ) {
        if self.is_partitioned(from) != self.is_acceptor_partitioned(acceptor) {
            return;
        }
        let newest = self.acceptors[acceptor].epoch();
        let arrival = self.now + network_delay(&mut self.random, acceptor, from);
        self.queue.push(
            arrival,
            WorldEvent::EpochReply {
                to: from,
                incarnation,
                confirmation_id,
                acceptor,
                newest,
            },
        );
    }

    pub(super) fn on_epoch_reply(
        &mut self,
        to: usize,
        incarnation: u64,
        confirmation_id: u64,
        acceptor: usize,
        newest: u64,
    ) {
        if self.gates[to].inbound_partition_until > self.now {
            return;
        }
        let Some(process) = self.process(to, incarnation) else {
            return;
        };
        let Some((_, confirmation)) = process
            .confirmations
            .iter_mut()
            .find(|(id, _)| *id == confirmation_id)
        else {
            return;
        };
        if let Some(confirmed) = confirmation.answer(acceptor as u32, newest) {
            process
                .confirmations
                .retain(|(id, _)| *id > confirmation_id);
            self.on_confirmed(to, incarnation, confirmed);
        }
    }

    pub(super) fn on_confirmed(&mut self, to: usize, incarnation: u64, confirmed: ConfirmedEpoch) {
        if self.process(to, incarnation).is_some() {
            self.handle_owner_event(to, OwnerEvent::EpochConfirmed(confirmed));
        }
    }

    /// Proposes a new view if gates have been in another state for long enough.
    pub(super) fn reconfigure(&mut self, proposer: usize) {
        self.queue.push(
            self.now + RECONFIGURE_INTERVAL,
            WorldEvent::Reconfigure { proposer },
        );
        let in_minority = self.is_in_minority(proposer);
        let idle =
            proposer != 0 && !in_minority && !self.random.random_bool(COMPETING_PROPOSAL_RATE);
        let coordinator = &self.coordinators[proposer];
        if idle || coordinator.busy_until > self.now {
            return;
        }
        let Some(known) = coordinator.proposer.installed().cloned() else {
            return;
        };
        let member = |gate| self.member(&known, gate, in_minority);
        let gates: Vec<GateId> = (0..self.gates.len()).filter_map(member).collect();
        if gates == known.gates || gates.is_empty() {
            return;
        }
        let coordinator = &mut self.coordinators[proposer];
        coordinator.busy_until = self.now + PROPOSAL_TIMEOUT;
        let view = coordinator.proposer.propose(gates);
        let other = self.views_by_epoch.insert(view.epoch, view.clone());
        assert!(other.is_none(), "epoch {} names two views", view.epoch);
        self.propose(proposer, acceptor_beside(proposer), &view);
        if self.acceptors[acceptor_beside(proposer)].epoch() != view.epoch {
            return;
        }
        for acceptor in (0..ACCEPTORS).filter(|acceptor| *acceptor != acceptor_beside(proposer)) {
            let arrival = self.now + self.random.random_range(0..300 * MS);
            let view = view.clone();
            self.queue.push(
                arrival,
                WorldEvent::Propose {
                    proposer,
                    acceptor,
                    view,
                },
            );
        }
        if in_minority && self.random.random_bool(PREMATURE_ANNOUNCEMENT_RATE) {
            self.announce(&view, Audience::Partitioned);
        }
    }

    /// Whether a proposer is on the smaller side of a partition, as the last acceptor is.
    pub(super) fn is_in_minority(&self, proposer: usize) -> bool {
        proposer != 0 && self.is_acceptor_partitioned(ACCEPTORS - 1)
    }

    pub(super) fn propose(&mut self, proposer: usize, acceptor: usize, view: &Arc<View>) {
        if self.is_in_minority(proposer) != self.is_acceptor_partitioned(acceptor) {
            return;
        }
        let reply = self.acceptors[acceptor].propose(view.clone());
        let coordinator = &mut self.coordinators[proposer];
        match coordinator
            .proposer
            .answer(view.epoch, acceptor as u32, reply)
        {
            Some(ProposalOutcome::Installed(view)) => self.install(proposer, &view),
            Some(ProposalOutcome::Rejected) => {
                coordinator.busy_until = self.now;
                self.trace.rejected += 1;
            }
            None => {}
        }
    }

    /// A majority accepted the view: it is sent to all gates, proposers and other acceptors.
    pub(super) fn install(&mut self, proposer: usize, view: &Arc<View>) {
        if view.epoch > self.view.epoch {
            self.view = view.clone();
        }
        self.trace.installed += 1;
        self.coordinators[proposer].busy_until = self.now;
        for other in 0..PROPOSERS {
            let is_reachable = self.is_in_minority(other) == self.is_in_minority(proposer);
            if is_reachable {
                self.coordinators[other].proposer.learn(view.clone());
            }
        }
        for acceptor in 0..ACCEPTORS {
            let arrival = self.now + self.random.random_range(100 * MS..600 * MS);
            self.queue.push(
                arrival,
                WorldEvent::CatchUp {
                    acceptor,
                    view: view.clone(),
                },
            );
        }
        self.announce(view, Audience::All);
    }

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

    /// Sends a view to gates, which learn it over seconds, each at its own moment.
    pub(super) fn announce(&mut self, view: &Arc<View>, audience: Audience) {
        let spread = self.random.random_range(50 * MS..3_000 * MS);
        for to in 0..self.gates.len() {
            let learned = self.now + self.random.random_range(MS..spread);
            if audience == Audience::All || self.is_partitioned(to) {
                self.queue.push(
                    learned,
                    WorldEvent::LearnView {
                        to,
                        view: view.clone(),
                    },
                );
            }
        }
    }

    /// The incarnation of a gate that belongs in the next view, if any, as a proposer sees it.
    pub(super) fn member(&self, known: &View, gate: usize, in_minority: bool) -> Option<GateId> {
        let gate_state = &self.gates[gate];
        // Views list the gates in the order of their indexes.
        let position = known.gates.binary_search_by_key(&gate, gate_index);
        let known_member = position.ok().map(|position| known.gates[position]);
        let is_detected = gate_state.changed_at + FAILURE_DETECTION_DELAY <= self.now;
        let is_unreachable = gate_state
            .paused_until
            .max(gate_state.outbound_partition_until)
            > self.now
            || self.is_partitioned(gate) != in_minority;
        match &gate_state.process {
            _ if !is_detected => known_member,
            Some(process) if !is_unreachable => Some(process.id),
            _ => None,
        }
    }
}
