//! The steps of faults, carried out.

use ironmast_balancer::{Event, Listing, Phase, Scope};

use super::Simulation;
use super::event::SimulationEvent;
use crate::fault_schedule::Step;
use crate::scenario::seconds;

impl Simulation<'_> {
    pub(super) fn apply_step(&mut self, step: Step) {
        match step {
            Step::Slow {
                positions,
                fault: number,
                factor,
            } => {
                for position in positions {
                    let slow = &mut self.positions[position as usize].slowdowns;
                    match factor {
                        Some(value) => slow.insert(number, value),
                        None => slow.remove(&number),
                    };
                    self.apply_faults(self.positions[position as usize].machine);
                }
            }
            Step::Degrade {
                positions,
                fault: number,
                degradation: what,
            } => {
                for position in positions {
                    let degradations = &mut self.positions[position as usize].degradations;
                    match what {
                        Some(value) => degradations.insert(number, value),
                        None => degradations.remove(&number),
                    };
                }
            }
            Step::Pause { positions } => {
                for position in positions {
                    self.positions[position as usize].pauses += 1;
                    self.apply_faults(self.positions[position as usize].machine);
                }
            }
            Step::Resume { positions } => {
                for position in positions {
                    let paused = &mut self.positions[position as usize];
                    paused.pauses = paused.pauses.saturating_sub(1);
                    self.apply_faults(self.positions[position as usize].machine);
                }
            }
            Step::Stop { positions, silent } => {
                for position in positions {
                    self.positions[position as usize].outages += 1;
                    self.stop_server(self.positions[position as usize].machine, silent);
                }
            }
            Step::Start { positions } => {
                for position in positions {
                    let p = &mut self.positions[position as usize];
                    p.outages = p.outages.saturating_sub(1);
                    if p.outages == 0 {
                        self.start_server(self.positions[position as usize].machine);
                    }
                }
            }
            Step::Drain { positions } => {
                let late = seconds(self.scenario.discovery.drain_delay_s);
                for position in positions {
                    let server = self.positions[position as usize].machine;
                    let machine = &mut self.machines[server as usize];
                    if machine.server.up && machine.phase == Phase::Ready {
                        machine.phase = Phase::Draining;
                        self.queue
                            .push(self.now + late, SimulationEvent::ListUpdate(server));
                    }
                }
            }
            Step::Replace { positions } => {
                for position in positions {
                    self.replace_server(position);
                }
            }
            Step::Partition { zone, until } => self.network.partition(zone, until),
            Step::StopProxies {
                proxies,
                with_clients,
            } => self.stop_proxies(&proxies, with_clients),
            Step::StartProxies { proxies } => {
                for proxy in proxies {
                    if self.proxies[proxy as usize].policy.is_none() {
                        self.start_proxy(proxy);
                    }
                }
            }
            Step::RetryStorm { retries } => self.retry_storm = retries,
            Step::DiscoveryOutage => self.begin_discovery_outage(),
            Step::DiscoveryBack => self.discovery.is_out = false,
        }
    }

    /// Ends the server at a position and starts a new one there, unless the position is down.
    pub(super) fn replace_server(&mut self, position: u32) {
        let old = self.positions[position as usize].machine;
        self.stop_server(old, false);
        let machine = &mut self.machines[old as usize];
        machine.phase = Phase::Gone;
        let (pool, zone) = (machine.pool, machine.zone);
        let gone = seconds(self.scenario.discovery.removal_delay_s);
        self.queue
            .push(self.now + gone, SimulationEvent::ListUpdate(old));
        let new = self.add_machine(pool, zone, position);
        if self.positions[position as usize].outages == 0 {
            self.start_server(new);
        }
    }

    /// Discovery answers no query from now on, and its watches break.
    pub(super) fn begin_discovery_outage(&mut self) {
        self.discovery.is_out = true;
        for proxy in 0..self.proxies.len() as u32 {
            let p = &mut self.proxies[proxy as usize];
            if self.scenario.discovery.watch
                && p.policy.is_some()
                && std::mem::take(&mut p.subscribed)
            {
                p.last_contact = self.now;
                let listing = Listing {
                    scope: Scope::Failed,
                    servers: Vec::new(),
                };
                self.deliver(proxy, Event::Members(listing));
            }
        }
    }
}
