//! Runs a scenario: queues the first events and dispatches each event to its handler.

use super::coordinator::{PROPOSERS, RECONFIGURE_INTERVAL};
use super::faults;
use super::network::WorldEvent;
use super::scenario::{FaultPlan, Scenario};
use super::trace::Trace;
use super::world::World;

/// Simulates a run to its end.
pub(crate) fn run(scenario: &Scenario) -> Trace {
    let mut world = World::new(scenario);
    world.start();
    while let Some((moment, event)) = world.queue.pop() {
        if moment > scenario.length {
            break;
        }
        world.now = moment;
        world.handle(event);
    }
    world.trace
}

impl World {
    fn start(&mut self) {
        for to in 0..self.scenario.gates {
            let view = self.view.clone();
            self.queue.push(0, WorldEvent::LearnView { to, view });
        }
        for key in 0..self.scenario.keys {
            self.queue.push(0, WorldEvent::Request { key });
        }
        if self.scenario.fault_plan != FaultPlan::None {
            for proposer in 0..PROPOSERS {
                self.queue
                    .push(RECONFIGURE_INTERVAL, WorldEvent::Reconfigure { proposer });
            }
        }
        faults::schedule(&self.scenario, &mut self.queue);
    }

    /// Dispatches an event. An event for a paused gate is delayed until the gate resumes.
    fn handle(&mut self, event: WorldEvent) {
        if let Some(gate) = gate_of(&event) {
            let resumes = self.gates[gate].paused_until;
            if resumes > self.now {
                self.queue.push(resumes, event);
                return;
            }
        }
        match event {
            WorldEvent::Deliver { to, message } => self.deliver(to, message),
            WorldEvent::LearnView { to, view } => self.on_view(to, view),
            WorldEvent::Propose {
                proposer,
                acceptor,
                view,
            } => self.deliver_proposal(proposer, acceptor, &view),
            WorldEvent::CatchUp { acceptor, view } => self.catch_up(acceptor, view),
            WorldEvent::EpochQuery(query) => self.on_epoch_query(query),
            WorldEvent::EpochReply { query, newest } => self.on_epoch_reply(query, newest),
            WorldEvent::Timer { gate, incarnation } => self.on_timer(gate, incarnation),
            WorldEvent::Retry {
                gate,
                incarnation,
                key,
            } => self.retry(gate, incarnation, key),
            WorldEvent::Request { key } => self.on_client_request(key),
            WorldEvent::Fault(fault) => self.inject(fault),
            WorldEvent::Reconfigure { proposer } => self.reconfigure(proposer),
        }
    }
}

/// The gate whose process handles an event, if it is an event of a gate.
fn gate_of(event: &WorldEvent) -> Option<usize> {
    match event {
        WorldEvent::Deliver { to, .. } | WorldEvent::LearnView { to, .. } => Some(*to),
        WorldEvent::EpochReply { query, .. } => Some(query.from),
        WorldEvent::Timer { gate, .. } | WorldEvent::Retry { gate, .. } => Some(*gate),
        _ => None,
    }
}
