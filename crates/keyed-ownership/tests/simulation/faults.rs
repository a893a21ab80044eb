//! Schedules and injects the faults of a run.

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::fault::{Fault, FaultTarget};
use super::gate::{GateProcess, gate_index, instance};
use super::network::{Queue, WorldEvent};
use super::scenario::{FaultPlan, Scenario};
use super::world::World;
use super::{MS, Micros};

/// Queues the faults of a run.
pub(crate) fn schedule(scenario: &Scenario, queue: &mut Queue) {
    if scenario.fault_plan == FaultPlan::None {
        return;
    }
    let mut random = Xoshiro256PlusPlus::seed_from_u64(scenario.seed ^ 0xfa17);
    for _ in 0..random.random_range(2..6) {
        let at = random.random_range(1_000 * MS..scenario.length * 3 / 4);
        queue.push(at, WorldEvent::Fault(random_fault(scenario, &mut random)));
    }
    if scenario.fault_plan == FaultPlan::MixedAndMassRestart {
        let at = random.random_range(3_000 * MS..scenario.length / 2);
        let fault = Fault::Kill {
            target: FaultTarget::All,
            duration: random.random_range(5 * MS..900 * MS),
        };
        queue.push(at, WorldEvent::Fault(fault));
    }
}

fn random_fault(scenario: &Scenario, random: &mut Xoshiro256PlusPlus) -> Fault {
    let target = if random.random_bool(0.7) {
        FaultTarget::Owner {
            key: random.random_range(0..scenario.keys),
        }
    } else {
        FaultTarget::Gate(random.random_range(0..scenario.gates))
    };
    let duration = random.random_range(100 * MS..4_000 * MS);
    let longer = random.random_range(4_000 * MS..8_000 * MS);
    match random.random_range(0..6) {
        0 => Fault::Kill {
            target,
            duration: random.random_range(5 * MS..2_500 * MS),
        },
        1 => Fault::Pause { target, duration },
        2 => Fault::OutboundPartition { target, duration },
        3 => Fault::InboundPartition { target, duration },
        _ => Fault::Partition {
            target,
            duration: longer,
            percent: random.random_range(10..70),
        },
    }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        let (target, duration) = fault.scope();
        let until = self.now + duration;
        if matches!(fault, Fault::Partition { .. }) && self.acceptor_partitioned_until > self.now {
            return;
        }
        for gate in self.targets(target) {
            let gate_state = &mut self.gates[gate];
            match fault {
                Fault::Pause { .. } => gate_state.paused_until = until,
                Fault::OutboundPartition { .. } => gate_state.outbound_partition_until = until,
                Fault::InboundPartition { .. } => gate_state.inbound_partition_until = until,
                Fault::Kill { .. } => self.kill(gate, until),
                Fault::Partition { percent, .. } => self.partition(gate, until, percent),
            }
            self.gates[gate].changed_at = self.now;
        }
    }

    /// Kills a gate, which restarts at `up` with a new incarnation. Timers and messages of the old
    /// incarnation name it and are ignored.
    pub(super) fn kill(&mut self, gate: usize, up: Micros) {
        let now = self.now;
        let gate_state = &mut self.gates[gate];
        let abandoned = gate_state.process.take().map_or(0, |process| {
            process.waiting.iter().map(|queue| queue.len() as u64).sum()
        });
        self.trace.abandoned += abandoned;
        gate_state.incarnation += 1;
        gate_state.paused_until = 0;
        let mut process = GateProcess::new(&self.scenario, gate, gate_state.incarnation, up);
        process.timer_at = None;
        gate_state.process = Some(process);
        gate_state.paused_until = up.max(now);
        let view = self.view.clone();
        self.queue
            .push(up, WorldEvent::LearnView { to: gate, view });
    }

    pub(super) fn partition(&mut self, gate: usize, until: Micros, percent: u32) {
        self.acceptor_partitioned_until = until;
        let probability = f64::from(percent) / 100.0;
        for other in 0..self.gates.len() {
            if other == gate || self.random.random_bool(probability) {
                self.gates[other].partitioned_until = until;
                self.gates[other].changed_at = self.now;
            }
        }
    }

    /// The indexes of the gates that a fault affects.
    pub(super) fn targets(&self, target: FaultTarget) -> Vec<usize> {
        match target {
            FaultTarget::Gate(gate) => vec![gate],
            FaultTarget::All => (0..self.gates.len()).collect(),
            FaultTarget::Owner { key } => self
                .view
                .owner(&instance(key))
                .iter()
                .map(gate_index)
                .collect(),
        }
    }
}
