//! Messages between gates, and the actions of owners and clients.

use ironmast_keyed_ownership::client::{Action as ClientAction, Event as ClientEvent};
use ironmast_keyed_ownership::owner::{Action as OwnerAction, Event as OwnerEvent};
use ironmast_keyed_ownership::{GateId, Instance, Message};

use super::gate::{gate_index, key_index};
use super::network::{WorldEvent, network_delay};
use super::world::World;
use super::{MS, at, to_micros};

impl World {
    pub(super) fn deliver(&mut self, to: usize, message: Message<Instance>) {
        if self.gates[to].inbound_partition_until > self.now && !is_loopback(to, &message) {
            return;
        }
        match message {
            Message::Request(request) => self.handle_owner_event(to, OwnerEvent::Request(request)),
            Message::Release(release) => self.handle_owner_event(to, OwnerEvent::Release(release)),
            Message::Grant(grant) => self.handle_client_event(to, ClientEvent::Grant(grant)),
        }
    }

    pub(super) fn is_partitioned(&self, gate: usize) -> bool {
        self.gates[gate].partitioned_until > self.now
    }

    pub(super) fn handle_owner_event(&mut self, gate: usize, event: OwnerEvent<Instance>) {
        if !matches!(
            event,
            OwnerEvent::Tick | OwnerEvent::View(_) | OwnerEvent::EpochConfirmed(_)
        ) {
            self.trace.owner_messages[gate] += 1;
        }
        let now = self.now;
        let mut actions = Vec::new();
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        process.owner.handle(at(now), event, &mut actions);
        for action in actions {
            match action {
                OwnerAction::Send(to, message) => {
                    self.trace.owner_messages[gate] += 1;
                    self.send(gate, &to, message);
                }
                OwnerAction::Confirm {
                    epoch,
                    requested_at,
                } => self.confirm(gate, epoch, requested_at),
            }
        }
        self.set_timer(gate);
    }

    pub(super) fn handle_client_event(&mut self, gate: usize, event: ClientEvent<Instance>) {
        let now = self.now;
        let mut actions = Vec::new();
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        process.permits.handle(at(now), event, &mut actions);
        self.apply_client_actions(gate, actions);
        self.set_timer(gate);
    }

    pub(super) fn apply_client_actions(
        &mut self,
        gate: usize,
        actions: Vec<ClientAction<Instance>>,
    ) {
        for action in actions {
            match action {
                ClientAction::Send(to, message) => self.send(gate, &to, message),
                ClientAction::Ready(instance) => {
                    self.send_permitted(gate, key_index(&instance));
                }
            }
        }
    }

    pub(super) fn send(&mut self, from: usize, to: &GateId, message: Message<Instance>) {
        let to = gate_index(to);
        self.trace.messages += u64::from(from != to);
        if self.gates[from].outbound_partition_until > self.now && from != to
            || self.is_partitioned(from) != self.is_partitioned(to)
        {
            return;
        }
        let arrival = self.now + network_delay(&mut self.random, from, to);
        self.queue
            .push(arrival, WorldEvent::Deliver { to, message });
    }

    pub(super) fn set_timer(&mut self, gate: usize) {
        let now = self.now;
        let Some(process) = &mut self.gates[gate].process else {
            return;
        };
        let due = [
            process.owner.next_deadline(),
            process.permits.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min();
        let Some(due) = due else { return };
        let due = to_micros(due).max(now + MS);
        if process.timer_at.is_some_and(|set| set <= due && set > now) {
            return;
        }
        process.timer_at = Some(due);
        let incarnation = process.id.incarnation;
        self.queue
            .push(due, WorldEvent::Timer { gate, incarnation });
    }

    pub(super) fn on_timer(&mut self, gate: usize, incarnation: u64) {
        if self.process(gate, incarnation).is_none() {
            return;
        }
        self.handle_owner_event(gate, OwnerEvent::Tick);
        self.handle_client_event(gate, ClientEvent::Tick);
    }
}

/// Whether a gate sent the message to itself.
fn is_loopback(to: usize, message: &Message<Instance>) -> bool {
    let from = match message {
        Message::Request(request) => request.gate,
        Message::Release(release) => release.gate,
        Message::Grant(grant) => grant.token.owner,
    };
    gate_index(&from) == to
}
