//! Proposals and installations of views, and how gates learn the views.

use std::sync::Arc;

use ironmast_keyed_ownership::client::Event as ClientEvent;
use ironmast_keyed_ownership::owner::Event as OwnerEvent;
use ironmast_keyed_ownership::{GateId, ProposalOutcome, View};
use rand::RngExt as _;

use super::coordinator::{
    ACCEPTORS, FIRST_EPOCH, PROPOSERS, RECONFIGURE_INTERVAL, colocated_acceptor,
};
use super::gate::gate_index;
use super::network::WorldEvent;
use super::world::World;
use super::{MS, Micros};

/// The bits of an epoch that hold the number of its proposer.
const PROPOSER_NUMBER_MASK: u64 = 0xff;

/// How long a gate must be down, or up again, before a proposer takes notice.
const FAILURE_DETECTION_DELAY: Micros = 700 * MS;

/// How long a proposer waits for the answers of the acceptors.
const PROPOSAL_TIMEOUT: Micros = 900 * MS;

/// The probability that the second proposer competes with the first although it is not partitioned.
const COMPETING_PROPOSAL_RATE: f64 = 0.5;

/// The probability that a partitioned proposer announces a view that was not installed.
const PREMATURE_ANNOUNCEMENT_RATE: f64 = 0.3;

/// The gates to which a view is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    All,
    /// Only the partitioned gates.
    Partitioned,
}

impl World {
    /// Lets a gate learn a view. While the gate is partitioned, this is delayed to the end of the
    /// partition, because gates relay views repeatedly. Views of the second proposer are not
    /// delayed, because it may be on the gate's side of the partition.
    pub(super) fn on_view(&mut self, to: usize, view: Arc<View>) {
        let gate_state = &self.gates[to];
        let reachable_at = gate_state
            .inbound_partition_until
            .max(gate_state.partitioned_until);
        let is_by_second_proposer = view.epoch & PROPOSER_NUMBER_MASK != 0;
        if reachable_at > self.now && view.epoch != FIRST_EPOCH && !is_by_second_proposer {
            self.queue
                .push(reachable_at + 100 * MS, WorldEvent::LearnView { to, view });
            return;
        }
        self.handle_owner_event(to, OwnerEvent::View(view.clone()));
        self.handle_client_event(to, ClientEvent::View(view));
    }

    /// Proposes a new view if the members have changed.
    pub(super) fn reconfigure(&mut self, proposer: usize) {
        self.queue.push(
            self.now + RECONFIGURE_INTERVAL,
            WorldEvent::Reconfigure { proposer },
        );
        if !self.is_proposal_due(proposer) {
            return;
        }
        let Some(gates) = self.changed_members(proposer) else {
            return;
        };
        let view = self.open_proposal(proposer, gates);
        let local_acceptor = colocated_acceptor(proposer);
        self.deliver_proposal(proposer, local_acceptor, &view);
        if self.acceptors[local_acceptor].epoch() != view.epoch {
            return;
        }
        self.propose_to_others(proposer, &view);
        if self.is_in_minority(proposer) && self.random.random_bool(PREMATURE_ANNOUNCEMENT_RATE) {
            self.announce(&view, Audience::Partitioned);
        }
    }

    /// Whether a proposer without an open proposal may make one: the first may always, the second
    /// while it is partitioned, and at random otherwise.
    fn is_proposal_due(&mut self, proposer: usize) -> bool {
        let is_idle = proposer != 0
            && !self.is_in_minority(proposer)
            && !self.random.random_bool(COMPETING_PROPOSAL_RATE);
        !is_idle && self.coordinators[proposer].busy_until <= self.now
    }

    /// The members of the next view as a proposer sees them; `None` if there are none or if they
    /// are those of the newest installed view that it knows.
    fn changed_members(&self, proposer: usize) -> Option<Vec<GateId>> {
        let known = self.coordinators[proposer].proposer.installed()?;
        let in_minority = self.is_in_minority(proposer);
        let gates: Vec<GateId> = (0..self.gates.len())
            .filter_map(|gate| self.member(known, gate, in_minority))
            .collect();
        (gates != known.gates && !gates.is_empty()).then_some(gates)
    }

    fn open_proposal(&mut self, proposer: usize, gates: Vec<GateId>) -> Arc<View> {
        let coordinator = &mut self.coordinators[proposer];
        coordinator.busy_until = self.now + PROPOSAL_TIMEOUT;
        let view = coordinator.proposer.propose(gates);
        let other = self.views_by_epoch.insert(view.epoch, view.clone());
        assert!(other.is_none(), "epoch {} names two views", view.epoch);
        view
    }

    /// Sends a proposal to all acceptors except the proposer's own.
    fn propose_to_others(&mut self, proposer: usize, view: &Arc<View>) {
        for acceptor in (0..ACCEPTORS).filter(|acceptor| *acceptor != colocated_acceptor(proposer))
        {
            let arrival = self.now + self.random.random_range(0..300 * MS);
            let proposal = WorldEvent::Propose {
                proposer,
                acceptor,
                view: view.clone(),
            };
            self.queue.push(arrival, proposal);
        }
    }

    /// Whether a proposer is on the minority side of a partition, with the last acceptor.
    fn is_in_minority(&self, proposer: usize) -> bool {
        proposer != 0 && self.is_acceptor_partitioned(ACCEPTORS - 1)
    }

    /// Delivers a proposed view to an acceptor, and the answer to the proposer without delay.
    pub(super) fn deliver_proposal(&mut self, proposer: usize, acceptor: usize, view: &Arc<View>) {
        if self.is_in_minority(proposer) != self.is_acceptor_partitioned(acceptor) {
            return;
        }
        let reply = self.acceptors[acceptor].handle_proposal(view.clone());
        let coordinator = &mut self.coordinators[proposer];
        let outcome = coordinator
            .proposer
            .answer(view.epoch, acceptor as u32, reply);
        match outcome {
            Some(ProposalOutcome::Installed(view)) => self.install(proposer, &view),
            Some(ProposalOutcome::Rejected) => {
                coordinator.busy_until = self.now;
                self.trace.rejected += 1;
            }
            None => {}
        }
    }

    /// Sends a view that a majority has accepted to all gates, proposers and acceptors.
    fn install(&mut self, proposer: usize, view: &Arc<View>) {
        if view.epoch > self.view.epoch {
            self.view = view.clone();
        }
        self.trace.installed += 1;
        self.coordinators[proposer].busy_until = self.now;
        self.send_to_proposers(proposer, view);
        self.send_to_acceptors(view);
        self.announce(view, Audience::All);
    }

    /// Lets the proposers on the same side of a partition learn an installed view without delay.
    fn send_to_proposers(&mut self, from: usize, view: &Arc<View>) {
        for other in 0..PROPOSERS {
            if self.is_in_minority(other) == self.is_in_minority(from) {
                self.coordinators[other].proposer.learn(view.clone());
            }
        }
    }

    fn send_to_acceptors(&mut self, view: &Arc<View>) {
        for acceptor in 0..ACCEPTORS {
            let arrival = self.now + self.random.random_range(100 * MS..600 * MS);
            let view = view.clone();
            self.queue
                .push(arrival, WorldEvent::CatchUp { acceptor, view });
        }
    }

    /// Sends a view to gates; each learns it after a random delay of up to 3 s.
    fn announce(&mut self, view: &Arc<View>, audience: Audience) {
        let spread = self.random.random_range(50 * MS..3_000 * MS);
        for to in 0..self.gates.len() {
            let learned = self.now + self.random.random_range(MS..spread);
            if audience == Audience::All || self.is_partitioned(to) {
                let view = view.clone();
                self.queue.push(learned, WorldEvent::LearnView { to, view });
            }
        }
    }

    /// The incarnation of a gate that a proposer puts into the next view, if any. A change of the
    /// gate's state counts only after [`FAILURE_DETECTION_DELAY`].
    fn member(&self, known: &View, gate: usize, in_minority: bool) -> Option<GateId> {
        let gate_state = &self.gates[gate];
        if gate_state.changed_at + FAILURE_DETECTION_DELAY > self.now {
            return known_member(known, gate);
        }
        let silent_until = gate_state
            .paused_until
            .max(gate_state.outbound_partition_until);
        let is_reachable = silent_until <= self.now && self.is_partitioned(gate) == in_minority;
        let process = gate_state.process.as_ref().filter(|_| is_reachable)?;
        Some(process.id)
    }
}

/// The incarnation of a gate in a view, which lists the gates in the order of their indexes.
fn known_member(view: &View, gate: usize) -> Option<GateId> {
    let position = view.gates.binary_search_by_key(&gate, gate_index).ok()?;
    Some(view.gates[position])
}
