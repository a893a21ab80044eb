//! The setup of a run: servers, proxies, the endpoint list and the fault steps.

use ironmast_balancer::Phase;
use rustc_hash::FxHashMap;

use super::arrivals::ArrivalProcess;
use super::event::SimulationEvent;
use super::proxies::Proxy;
use super::servers::{CoreTime, Machine, Position, server_id};
use super::{ORIGIN, Simulation};
use crate::discovery::ListEntry;
use crate::fault_schedule::{FaultTargets, schedule};
use crate::network::ConnectionPool;
use crate::random::{Purpose, Stream};
use crate::server::Server;

/// Assigns a zone to each proxy, in turn to the zone that is furthest below its share by weight.
fn assign_zones(weights: &[f64], zones: usize, count: u32) -> Vec<usize> {
    let default_weight = if weights.is_empty() { 1.0 } else { 0.0 };
    let weight = |zone: usize| weights.get(zone).copied().unwrap_or(default_weight);
    let total: f64 = (0..zones).map(weight).sum();
    let mut assigned = vec![0.0; zones];
    let next = |index: u32| {
        let deficit = |zone: &usize| weight(*zone) / total * f64::from(index + 1) - assigned[*zone];
        let zone = (0..zones)
            .max_by(|a, b| deficit(a).total_cmp(&deficit(b)).then(b.cmp(a)))
            .unwrap_or(0);
        assigned[zone] += 1.0;
        zone
    };
    (0..count).map(next).collect()
}

impl Simulation<'_> {
    /// Adds the servers and proxies, starts the proxies, and schedules the first arrivals, the
    /// faults and the first sample.
    pub(super) fn set_up(&mut self) {
        self.add_servers();
        let spec = &self.scenario.proxies;
        let zones = assign_zones(&spec.zone_weights, self.scenario.zones.len(), spec.count);
        self.add_proxies(&zones);
        for proxy in 0..self.proxies.len() as u32 {
            self.start_proxy(proxy);
            self.schedule_arrival(proxy);
        }
        self.schedule_faults(&zones);
        self.queue
            .push(ORIGIN + self.sample_interval(), SimulationEvent::Sample);
    }

    /// Adds the servers of all pools, warm and listed. The servers of a pool without a zone are
    /// assigned to the zones in turn.
    fn add_servers(&mut self) {
        let zones = &self.scenario.zones;
        let mut spread = (0..zones.len()).cycle();
        for (pool, spec) in self.scenario.pools.iter().enumerate() {
            for _ in 0..spec.servers {
                let own_zone = zones.iter().position(|zone| *zone == spec.zone);
                let zone = own_zone.or_else(|| spread.next()).unwrap_or(0);
                let position = self.positions.len() as u32;
                self.positions.push(Position::default());
                let server = self.add_machine(pool, zone, position);
                self.machines[server as usize].server.up = true;
                self.discovery.publish(ListEntry {
                    server,
                    phase: Phase::Ready,
                    started: 0,
                    since: 0,
                });
            }
        }
    }

    /// Adds the proxies, not yet started. The first proxy has its own weight in the distribution of
    /// clients.
    fn add_proxies(&mut self, zones: &[usize]) {
        let clients = &self.scenario.clients;
        let first_weight = clients.first_proxy_weight;
        let total_weight = f64::from(self.scenario.proxies.count) - 1.0 + first_weight;
        for (index, zone) in zones.iter().copied().enumerate() {
            let weight = if index == 0 { first_weight } else { 1.0 };
            let rate = clients.rate * (weight / total_weight);
            self.proxies.push(Proxy {
                zone,
                policy: None,
                incarnation: 0,
                has_clients: true,
                subscribed: !self.scenario.discovery.watch,
                last_contact: ORIGIN,
                last_query_failed: false,
                list_version: self.discovery.version(),
                notification_pending: false,
                closing_since: FxHashMap::default(),
                connection_pool: ConnectionPool::default(),
                arrivals: ArrivalProcess::new(self.seed, index as u32, rate),
                work: Stream::new(self.seed, Purpose::Work, index as u64),
            });
        }
    }

    fn schedule_faults(&mut self, proxy_zones: &[usize]) {
        let zone_of = |position: &Position| self.machines[position.machine as usize].zone;
        let position_zones: Vec<usize> = self.positions.iter().map(zone_of).collect();
        let targets = FaultTargets {
            position_zones: &position_zones,
            proxy_zones,
        };
        let steps = schedule(self.scenario, &targets, self.seed, ORIGIN);
        for (index, (at, step)) in steps.into_iter().enumerate() {
            self.queue
                .push(at, SimulationEvent::FaultStep(index as u32));
            self.steps.push(step);
        }
    }

    /// Adds a machine of a pool at a position, with a server that is not up yet. Returns the number
    /// of the machine.
    pub(super) fn add_machine(&mut self, pool: usize, zone: usize, position: u32) -> u32 {
        let number = self.machines.len() as u32;
        let spec = &self.scenario.pools[pool];
        let speed = self.speed_draws.uniform(spec.speed);
        let mut server = Server::new(spec, speed, self.now, self.occupancy_distribution);
        server.up = false;
        self.machines.push(Machine {
            server,
            id: server_id(number),
            zone,
            position,
            pool,
            incarnation: 0,
            connections: 0,
            phase: Phase::Ready,
            unresponsive: false,
            crashed_by_overload: false,
            start_version: 0,
            next_deadline: u64::MAX,
            utilization: Vec::new(),
            last_sample: CoreTime::default(),
        });
        self.positions[position as usize].machine = number;
        number
    }
}
