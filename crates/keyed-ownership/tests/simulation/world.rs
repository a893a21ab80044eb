//! The state of one run: gates, acceptors, coordinators, views and the event queue.

use std::collections::BTreeMap;
use std::sync::Arc;

use ironmast_keyed_ownership::{Acceptor, GateId, View};
use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::Micros;
use super::coordinator::{ACCEPTORS, Coordinator, FIRST_EPOCH, PROPOSERS};
use super::gate::{GateProcess, SimulatedGate, address};
use super::network::{Queue, region};
use super::scenario::Scenario;
use super::trace::Trace;

/// All state of one run.
pub(crate) struct World {
    pub(super) scenario: Scenario,
    pub(super) now: Micros,
    pub(super) random: Xoshiro256PlusPlus,
    pub(super) queue: Queue,
    pub(super) gates: Vec<SimulatedGate>,
    pub(super) acceptors: [Acceptor; ACCEPTORS],
    pub(super) coordinators: Vec<Coordinator>,
    /// All proposed views by epoch, to check that no epoch is used twice.
    pub(super) views_by_epoch: BTreeMap<u64, Arc<View>>,
    /// Until when the last acceptor is partitioned together with the partitioned gates.
    pub(super) acceptor_partitioned_until: Micros,
    /// The installed view with the highest epoch.
    pub(super) view: Arc<View>,
    pub trace: Trace,
}

impl World {
    /// The state at the start of a run: all gates are up and in one view, and no event is queued.
    pub(super) fn new(scenario: &Scenario) -> Self {
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

    /// The process of a gate; `None` if it is down or has another incarnation.
    pub(super) fn process(&mut self, gate: usize, incarnation: u64) -> Option<&mut GateProcess> {
        self.gates[gate]
            .process
            .as_mut()
            .filter(|process| process.id.incarnation == incarnation)
    }
}
