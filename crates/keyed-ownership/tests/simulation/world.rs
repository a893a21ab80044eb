//! The state of one run: gates, acceptors and views, driven by the queue of events.

use std::collections::BTreeMap;
use std::sync::Arc;

use ironmast_keyed_ownership::{Acceptor, GateId, View};
use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::Micros;
use super::acceptors::ACCEPTORS;
use super::faults;
use super::gate::{GateProcess, SimulatedGate, address};
use super::network::{Queue, WorldEvent, region};
use super::scenario::{FaultPlan, Scenario};
use super::views::{Coordinator, FIRST_EPOCH, PROPOSERS, RECONFIGURE_INTERVAL};

/// What a run records for the checks.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    /// (key, moment) of each client's request.
    pub requests: Vec<(usize, Micros)>,
    /// (key, arrival at the server) of each request or retry that is limited.
    pub arrivals: Vec<(usize, Micros)>,
    /// (arrival at the gate, time it waited for its permit) of each of them.
    pub waits: Vec<(Micros, Micros)>,
    /// Requests that waited too long, or whose gate was killed.
    pub abandoned: u64,
    /// Messages that gates sent to owners and owners to gates.
    pub messages: u64,
    /// Messages that each gate sent and received as owner.
    pub owner_messages: Vec<u64>,
    /// Views that a majority of the acceptors accepted.
    pub installed: u64,
    /// Proposals that no majority could accept.
    pub rejected: u64,
    /// Queries for the newest epoch, each to one acceptor.
    pub epoch_queries: u64,
}

/// All state of one run.
pub(crate) struct World {
    pub(super) scenario: Scenario,
    pub(super) now: Micros,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) queue: Queue,
    pub(super) gates: Vec<SimulatedGate>,
    pub(super) acceptors: [Acceptor; ACCEPTORS],
    pub(super) coordinators: Vec<Coordinator>,
    /// Views by the epochs that were used.
    pub(super) views_by_epoch: BTreeMap<u64, Arc<View>>,
    /// Until when the last acceptor is on the side of the partitioned gates.
    pub(super) acceptor_partitioned_until: Micros,
    /// The view that was installed last.
    pub(super) view: Arc<View>,
    pub trace: Trace,
}

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
    fn new(scenario: &Scenario) -> Self {
        let simulated_gate = |gate| SimulatedGate {
            process: Some(GateProcess::new(scenario, gate, 1, 0)),
            incarnation: 1,
            paused_until: 0,
            outbound_partition_until: 0,
            inbound_partition_until: 0,
            partitioned_until: 0,
            changed_at: 0,
        };
        let members = (0..scenario.gates).map(|gate| GateId {
            address: address(gate),
            incarnation: 1,
            region: region(gate),
        });
        let view = Arc::new(View {
            epoch: FIRST_EPOCH,
            follows: None,
            gates: members.collect(),
        });
        Self {
            scenario: *scenario,
            now: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(scenario.seed),
            queue: Queue::default(),
            gates: (0..scenario.gates).map(simulated_gate).collect(),
            acceptors: std::array::from_fn(|_| Acceptor::restore(Some(view.clone()))),
            coordinators: (0..PROPOSERS)
                .map(|number| Coordinator::new(number, view.clone()))
                .collect(),
            views_by_epoch: BTreeMap::new(),
            acceptor_partitioned_until: 0,
            view,
            trace: Trace {
                owner_messages: vec![0; scenario.gates],
                ..Trace::default()
            },
        }
    }

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

    pub(super) fn handle(&mut self, event: WorldEvent) {
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
            } => self.propose(proposer, acceptor, &view),
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

    /// The process of a gate, if it still has this incarnation.
    pub(super) fn process(&mut self, gate: usize, incarnation: u64) -> Option<&mut GateProcess> {
        self.gates[gate]
            .process
            .as_mut()
            .filter(|process| process.id.incarnation == incarnation)
    }
}

/// The gate whose process handles an event.
fn gate_of(event: &WorldEvent) -> Option<usize> {
    match event {
        WorldEvent::Deliver { to, .. } | WorldEvent::LearnView { to, .. } => Some(*to),
        WorldEvent::EpochReply { query, .. } => Some(query.from),
        WorldEvent::Timer { gate, .. } | WorldEvent::Retry { gate, .. } => Some(*gate),
        _ => None,
    }
}
