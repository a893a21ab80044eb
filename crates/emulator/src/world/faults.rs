//! The steps of faults, carried out.

use ironmast_balancer::{Event, Listing, Phase, Scope};

use super::World;
use super::event::What;
use crate::fault_schedule::Step;
use crate::scenario::seconds;

impl World<'_> {
    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Slow {
                positions: places,
                fault: number,
                factor,
            } => {
                for place in places {
                    let slow = &mut self.places[place as usize].slow;
                    match factor {
                        Some(value) => slow.insert(number, value),
                        None => slow.remove(&number),
                    };
                    self.hamper(self.places[place as usize].machine);
                }
            }
            Step::Degrade {
                positions: places,
                fault: number,
                degradation: what,
            } => {
                for place in places {
                    let degradations = &mut self.places[place as usize].degradations;
                    match what {
                        Some(value) => degradations.insert(number, value),
                        None => degradations.remove(&number),
                    };
                }
            }
            Step::Pause { positions } => {
                for position in positions {
                    self.places[position as usize].stopped += 1;
                    self.hamper(self.places[position as usize].machine);
                }
            }
            Step::Resume { positions } => {
                for position in positions {
                    let place = &mut self.places[position as usize];
                    place.stopped = place.stopped.saturating_sub(1);
                    self.hamper(self.places[position as usize].machine);
                }
            }
            Step::Stop {
                positions: places,
                silent,
            } => {
                for place in places {
                    self.places[place as usize].lost += 1;
                    self.end_server(self.places[place as usize].machine, silent);
                }
            }
            Step::Start { positions: places } => {
                for place in places {
                    let p = &mut self.places[place as usize];
                    p.lost = p.lost.saturating_sub(1);
                    if p.lost == 0 {
                        self.start_server(self.places[place as usize].machine);
                    }
                }
            }
            Step::Drain { positions: places } => {
                let late = seconds(self.scenario.discovery.drain_delay_s);
                for place in places {
                    let server = self.places[place as usize].machine;
                    let machine = &mut self.machines[server as usize];
                    if machine.server.up && machine.phase == Phase::Ready {
                        machine.phase = Phase::Draining;
                        self.queue.push(self.now + late, What::Visible(server));
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
            } => self.end_proxies(&proxies, with_clients),
            Step::StartProxies { proxies } => {
                for proxy in proxies {
                    if self.proxies[proxy as usize].policy.is_none() {
                        self.begin_proxy(proxy);
                    }
                }
            }
            Step::RetryStorm { retries } => self.storm = retries,
            Step::DiscoveryOutage => self.begin_discovery_outage(),
            Step::DiscoveryBack => self.discovery.is_out = false,
        }
    }

    /// Ends the server at a position and starts a new one there, unless the position is down.
    pub(super) fn replace_server(&mut self, position: u32) {
        let old = self.places[position as usize].machine;
        self.end_server(old, false);
        let machine = &mut self.machines[old as usize];
        machine.phase = Phase::Gone;
        let (pool, zone) = (machine.pool, machine.zone);
        let gone = seconds(self.scenario.discovery.removal_delay_s);
        self.queue.push(self.now + gone, What::Visible(old));
        let new = self.machine(pool, zone, position);
        if self.places[position as usize].lost == 0 {
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
                p.heard = self.now;
                let listing = Listing {
                    scope: Scope::Failed,
                    servers: Vec::new(),
                };
                self.tell(proxy, Event::Members(listing));
            }
        }
    }
}
