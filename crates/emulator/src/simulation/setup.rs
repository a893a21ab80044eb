//! The fleet at the start of a run.

use ironmast_balancer::{Micros, Phase};
use rustc_hash::FxHashMap;

use super::event::SimulationEvent;
use super::proxies::Proxy;
use super::servers::{Machine, Position, server_id};
use super::{ORIGIN, Simulation};
use crate::discovery::ListEntry;
use crate::fault_schedule::{FaultTargets, schedule};
use crate::network::ConnectionPool;
use crate::random::{Purpose, Stream};
use crate::server::Server;

/// The zone of each proxy: dealt out by the weights, the zone furthest behind next.
fn assign_zones(weights: &[f64], zones: usize, count: u32) -> Vec<usize> {
    let weight = |z: usize| {
        weights
            .get(z)
            .copied()
            .unwrap_or(if weights.is_empty() { 1.0 } else { 0.0 })
    };
    let total: f64 = (0..zones).map(weight).sum();
    let mut have = vec![0.0; zones];
    let next = |n: u32| {
        let behind = |z: &usize| weight(*z) / total * f64::from(n + 1) - have[*z];
        let zone = (0..zones)
            .max_by(|a, b| behind(a).total_cmp(&behind(b)).then(b.cmp(a)))
            .unwrap_or(0);
        have[zone] += 1.0;
        zone
    };
    (0..count).map(next).collect()
}

impl Simulation<'_> {
    /// Servers, proxies, the first lists and all steps of the troubles.
    pub(super) fn set_up(&mut self) {
        let zones = self.scenario.zones.len();
        let mut dealt = 0;
        for (number, pool) in self.scenario.pools.iter().enumerate() {
            for _ in 0..pool.servers {
                let zone = self
                    .scenario
                    .zones
                    .iter()
                    .position(|z| *z == pool.zone)
                    .unwrap_or_else(|| {
                        dealt += 1;
                        (dealt - 1) % zones
                    });
                let position = self.positions.len() as u32;
                let (slowdowns, degradations) = Default::default();
                self.positions.push(Position {
                    machine: 0,
                    slowdowns,
                    degradations,
                    pauses: 0,
                    outages: 0,
                });
                let machine = self.add_machine(number, zone, position);
                self.machines[machine as usize].server.up = true;
                self.discovery.publish(ListEntry {
                    server: machine,
                    phase: Phase::Ready,
                    started: 0,
                    since: 0,
                });
            }
        }
        let spec = &self.scenario.proxies;
        let dealt = assign_zones(&spec.zone_weights, zones, spec.count);
        let busiest = self.scenario.clients.first_proxy_weight;
        let total = f64::from(spec.count) - 1.0 + busiest;
        for (i, zone) in dealt.iter().copied().enumerate() {
            let weight = if i == 0 { busiest } else { 1.0 } / total;
            let n = i as u64;
            self.proxies.push(Proxy {
                zone,
                weight,
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
                arrivals: Stream::new(self.seed, Purpose::Arrivals, n),
                work: Stream::new(self.seed, Purpose::Work, n),
                burst: (false, 0.0),
                last_arrival_s: 0.0,
            });
        }
        for i in 0..self.proxies.len() as u32 {
            self.start_proxy(i);
            self.schedule_arrival(i);
        }
        let targets = FaultTargets {
            position_zones: &self
                .positions
                .iter()
                .map(|p| self.machines[p.machine as usize].zone)
                .collect::<Vec<_>>(),
            proxy_zones: &dealt,
        };
        for (number, (at, step)) in schedule(self.scenario, &targets, self.seed, ORIGIN)
            .into_iter()
            .enumerate()
        {
            self.queue
                .push(at, SimulationEvent::FaultStep(number as u32));
            self.steps.push(step);
        }
        self.queue
            .push(ORIGIN + self.sample_interval(), SimulationEvent::Sample);
    }

    /// A machine that is not up yet.
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
            next_wakeup: Micros::MAX,
            utilization: Vec::new(),
            last_sample: (0.0, 0.0),
        });
        self.positions[position as usize].machine = number;
        number
    }
}
