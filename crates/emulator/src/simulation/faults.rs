//! The application of fault steps to servers, proxies, network and discovery.

use std::collections::BTreeMap;

use ironmast_balancer::{Event, Listing, Phase, Scope};

use super::Simulation;
use super::event::SimulationEvent;
use crate::fault_schedule::{Degradation, Step};
use crate::scenario::seconds;

/// Sets the effect of a fault, or removes it.
fn set_or_remove<T>(faults: &mut BTreeMap<usize, T>, fault_index: usize, value: Option<T>) {
    match value {
        Some(value) => faults.insert(fault_index, value),
        None => faults.remove(&fault_index),
    };
}

impl Simulation<'_> {
    /// Applies a step of a fault.
    pub(super) fn apply_step(&mut self, step: Step) {
        match step {
            Step::Slow {
                positions,
                fault_index,
                factor,
            } => self.for_each_position(&positions, |simulation, position| {
                simulation.slow_server(position, fault_index, factor);
            }),
            Step::Degrade {
                positions,
                fault_index,
                degradation,
            } => self.for_each_position(&positions, |simulation, position| {
                simulation.degrade_class(position, fault_index, degradation);
            }),
            Step::Pause { positions } => self.for_each_position(&positions, Self::pause_server),
            Step::Resume { positions } => self.for_each_position(&positions, Self::resume_server),
            Step::Stop { positions, silent } => {
                self.for_each_position(&positions, |simulation, position| {
                    simulation.begin_server_outage(position, silent);
                });
            }
            Step::Start { positions } => {
                self.for_each_position(&positions, Self::end_server_outage);
            }
            Step::Drain { positions } => self.for_each_position(&positions, Self::drain_server),
            Step::Replace { positions } => self.for_each_position(&positions, Self::replace_server),
            Step::Partition { zone, until } => self.network.partition(zone, until),
            Step::StopProxies {
                proxies,
                with_clients,
            } => self.stop_proxies(&proxies, with_clients),
            Step::StartProxies { proxies } => self.start_stopped_proxies(&proxies),
            Step::RetryStorm { retries } => self.retry_storm = retries,
            Step::DiscoveryOutage => self.begin_discovery_outage(),
            Step::DiscoveryRecovered => self.discovery.in_outage = false,
        }
    }

    fn for_each_position(&mut self, positions: &[u32], mut apply: impl FnMut(&mut Self, u32)) {
        for position in positions {
            apply(self, *position);
        }
    }

    fn slow_server(&mut self, position: u32, fault_index: usize, factor: Option<f64>) {
        let position = &mut self.positions[position as usize];
        set_or_remove(&mut position.slowdowns, fault_index, factor);
        let machine = position.machine;
        self.apply_faults(machine);
    }

    fn degrade_class(
        &mut self,
        position: u32,
        fault_index: usize,
        degradation: Option<Degradation>,
    ) {
        let position = &mut self.positions[position as usize];
        set_or_remove(&mut position.degradations, fault_index, degradation);
    }

    fn pause_server(&mut self, position: u32) {
        let position = &mut self.positions[position as usize];
        position.pauses += 1;
        let machine = position.machine;
        self.apply_faults(machine);
    }

    fn resume_server(&mut self, position: u32) {
        let position = &mut self.positions[position as usize];
        position.pauses = position.pauses.saturating_sub(1);
        let machine = position.machine;
        self.apply_faults(machine);
    }

    fn begin_server_outage(&mut self, position: u32, silent: bool) {
        let position = &mut self.positions[position as usize];
        position.outages += 1;
        let machine = position.machine;
        self.stop_server(machine, silent);
    }

    fn end_server_outage(&mut self, position: u32) {
        let position = &mut self.positions[position as usize];
        position.outages = position.outages.saturating_sub(1);
        if position.outages == 0 {
            let machine = position.machine;
            self.start_server(machine);
        }
    }

    fn drain_server(&mut self, position: u32) {
        let server = self.positions[position as usize].machine;
        let machine = &mut self.machines[server as usize];
        if machine.server.up && machine.phase == Phase::Ready {
            machine.phase = Phase::Draining;
            let delay = seconds(self.scenario.discovery.drain_delay_s);
            self.queue
                .push(self.now + delay, SimulationEvent::ListUpdate { server });
        }
    }

    /// Stops the server at a position for good and adds a new machine there, whose server starts
    /// unless an outage is in force.
    fn replace_server(&mut self, position: u32) {
        let server = self.positions[position as usize].machine;
        self.stop_server(server, false);
        let machine = &mut self.machines[server as usize];
        machine.phase = Phase::Gone;
        let (pool, zone) = (machine.pool, machine.zone);
        let delay = seconds(self.scenario.discovery.removal_delay_s);
        self.queue
            .push(self.now + delay, SimulationEvent::ListUpdate { server });
        let new = self.add_machine(pool, zone, position);
        if self.positions[position as usize].outages == 0 {
            self.start_server(new);
        }
    }

    fn start_stopped_proxies(&mut self, numbers: &[u32]) {
        for &number in numbers {
            if self.proxies[number as usize].policy.is_none() {
                self.start_proxy(number);
            }
        }
    }

    /// Begins an outage of discovery: queries are not answered, and the proxies lose their watches.
    fn begin_discovery_outage(&mut self) {
        self.discovery.in_outage = true;
        for number in 0..self.proxies.len() as u32 {
            let proxy = &mut self.proxies[number as usize];
            let loses_watch = self.scenario.discovery.watch
                && proxy.policy.is_some()
                && std::mem::take(&mut proxy.subscribed);
            if loses_watch {
                proxy.last_contact = self.now;
                self.notify_discovery_failed(number);
            }
        }
    }

    /// Notifies a policy that discovery failed.
    pub(super) fn notify_discovery_failed(&mut self, proxy: u32) {
        let listing = Listing {
            scope: Scope::Failed,
            servers: Vec::new(),
        };
        self.deliver(proxy, Event::Members(listing));
    }
}
