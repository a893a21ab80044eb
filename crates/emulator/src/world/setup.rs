//! The fleet at the start of a run.

use ironmast_balancer::{Micros, Phase};
use rustc_hash::FxHashMap;

use super::event::What;
use super::proxies::Proxy;
use super::servers::{Machine, Place, server_id};
use super::{ORIGIN, World};
use crate::discovery::ListEntry;
use crate::fault_schedule::{FaultTargets, schedule};
use crate::network::ConnectionPool;
use crate::random::{Purpose, Stream};
use crate::server::Server;

/// The zone of each proxy: dealt out by the weights, the zone furthest behind next.
fn deal(weights: &[f64], zones: usize, count: u32) -> Vec<usize> {
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

impl World<'_> {
    /// Servers, proxies, the first lists and all steps of the troubles.
    pub(super) fn found(&mut self) {
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
                let place = self.places.len() as u32;
                let (slow, degradations) = Default::default();
                self.places.push(Place {
                    machine: 0,
                    slow,
                    degradations,
                    stopped: 0,
                    lost: 0,
                });
                let machine = self.machine(number, zone, place);
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
        let dealt = deal(&spec.zone_weights, zones, spec.count);
        let busiest = self.scenario.clients.first_proxy_weight;
        let total = f64::from(spec.count) - 1.0 + busiest;
        for (i, zone) in dealt.iter().copied().enumerate() {
            let weight = if i == 0 { busiest } else { 1.0 } / total;
            let n = i as u64;
            self.proxies.push(Proxy {
                zone,
                weight,
                policy: None,
                life: 0,
                clients_there: true,
                subscribed: !self.scenario.discovery.watch,
                heard: ORIGIN,
                failed: false,
                version: self.discovery.version(),
                news_due: false,
                closing: FxHashMap::default(),
                idle: ConnectionPool::default(),
                arrivals: Stream::new(self.seed, Purpose::Arrivals, n),
                work: Stream::new(self.seed, Purpose::Work, n),
                burst: (false, 0.0),
                asked_at: 0.0,
            });
        }
        for i in 0..self.proxies.len() as u32 {
            self.begin_proxy(i);
            self.next_arrival(i);
        }
        let targets = FaultTargets {
            position_zones: &self
                .places
                .iter()
                .map(|p| self.machines[p.machine as usize].zone)
                .collect::<Vec<_>>(),
            proxy_zones: &dealt,
        };
        for (number, (at, step)) in schedule(self.scenario, &targets, self.seed, ORIGIN)
            .into_iter()
            .enumerate()
        {
            self.queue.push(at, What::Step(number as u32));
            self.steps.push(step);
        }
        self.queue.push(ORIGIN + self.column(), What::Sample);
    }

    /// A machine that is not up yet.
    pub(super) fn machine(&mut self, pool: usize, zone: usize, place: u32) -> u32 {
        let number = self.machines.len() as u32;
        let spec = &self.scenario.pools[pool];
        let speed = self.speeds.uniform(spec.speed);
        let mut server = Server::new(spec, speed, self.now, self.held_distribution);
        server.up = false;
        self.machines.push(Machine {
            server,
            id: server_id(number),
            zone,
            place,
            pool,
            life: 0,
            connections: 0,
            phase: Phase::Ready,
            vanished: false,
            fallen: false,
            told_at: 0,
            armed: Micros::MAX,
            busy: Vec::new(),
            before: (0.0, 0.0),
        });
        self.places[place as usize].machine = number;
        number
    }
}
