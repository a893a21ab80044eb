//! Coordinators, agents and servers in simulated time, with a network that delays, drops and
//! partitions.

use std::collections::BTreeMap;
use std::time::Duration;

use ironmast_endpoints::{EndpointTable, ExpiryTimeouts, MergeOutcome};
use ironmast_schema::control::{Entry, Key, Liveness};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::checks::{Mechanism, Violation};
use super::entries::{is_draining_or_deregistered, is_usable, liveness};
use super::network::{Delivery, Message, Network, Partition};
use super::server::{Phase, Server, heartbeat, instance_id, server_index};

/// A duration in milliseconds.
const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

const STEP: Duration = ms(50);
const AGENTS: usize = 20;
const SERVERS: usize = 8;
const HEARTBEAT_INTERVAL: Duration = ms(1_200);
const TIMEOUTS: ExpiryTimeouts = ExpiryTimeouts {
    instance: HEARTBEAT_INTERVAL.saturating_mul(4),
    gate: ms(2_500),
};
/// Time after which no fault begins.
const LAST_FAULT_AT: Duration = ms(30_000);
const END: Duration = ms(45_000);
/// Time within which the state of a draining server must reach every agent.
const DRAIN_DEADLINE: Duration = ms(3_000);

/// A drain that began while no fault was in effect.
struct Drain {
    server: usize,
    at: Duration,
}

/// The simulated system. Nodes are identified by index, coordinators first, then agents.
pub(crate) struct World {
    now: Duration,
    random: Xoshiro256PlusPlus,
    disabled: Option<Mechanism>,
    tables: Vec<EndpointTable>,
    stores: Vec<BTreeMap<Key, Entry>>,
    servers: Vec<Server>,
    network: Network,
    next_fault_at: Duration,
    last_fault: Duration,
    drains: Vec<Drain>,
    pub violations: Vec<Violation>,
}

impl World {
    pub(crate) fn new(coordinators: usize, seed: u64, disabled: Option<Mechanism>) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let servers = (0..SERVERS).map(|_| Server {
            phase: Phase::Ready,
            sequence: 0,
            next_heartbeat_at: random.random_range(Duration::ZERO..HEARTBEAT_INTERVAL),
            coordinator: random.random_range(0..coordinators),
            transition_at: random.random_range(ms(5_000)..ms(80_000)),
        });
        World {
            now: Duration::ZERO,
            servers: servers.collect(),
            random,
            disabled,
            tables: (0..coordinators)
                .map(|_| EndpointTable::new(Duration::ZERO, TIMEOUTS))
                .collect(),
            stores: vec![BTreeMap::new(); coordinators + AGENTS],
            network: Network::new(coordinators),
            next_fault_at: ms(4_000),
            last_fault: Duration::ZERO,
            drains: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub(crate) fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.deliver();
            self.inject_faults();
            (0..SERVERS).for_each(|server| self.advance(server));
            if self.time_is_multiple_of(ms(250)) {
                self.tick();
            }
            if self.time_is_multiple_of(ms(500)) && self.disabled != Some(Mechanism::AntiEntropy) {
                self.run_anti_entropy();
            }
            self.check_drains();
        }
        self.check_end();
    }

    /// Whether the current time is a multiple of an interval.
    fn time_is_multiple_of(&self, interval: Duration) -> bool {
        self.now.as_nanos().is_multiple_of(interval.as_nanos())
    }

    fn coordinators(&self) -> usize {
        self.tables.len()
    }

    /// Partitions a coordinator from the others for a while, or restarts one with an empty table.
    fn inject_faults(&mut self) {
        if self.now < self.next_fault_at {
            return;
        }
        self.next_fault_at = self.now + self.random.random_range(ms(1_000)..ms(8_000));
        self.last_fault = self.now;
        if self.network.partition.take().is_some() || self.now >= LAST_FAULT_AT {
            return;
        }
        let coordinator = self.random.random_range(0..self.coordinators());
        if self.random.random_bool(0.3) {
            self.tables[coordinator] = EndpointTable::new(self.now, TIMEOUTS);
            self.stores[coordinator].clear();
            return;
        }
        let (outgoing, incoming) =
            [(true, true), (true, false), (false, true)][self.random.random_range(0..3)];
        self.network.partition = Some(Partition {
            coordinator,
            outgoing,
            incoming,
        });
    }

    fn advance(&mut self, server: usize) {
        let due = self.now >= self.servers[server].transition_at && self.now < LAST_FAULT_AT;
        match self.servers[server].phase {
            Phase::Deregistered | Phase::Crashed => return,
            Phase::Ready if due && self.random.random_bool(0.3) => {
                self.servers[server].phase = Phase::Crashed;
                return;
            }
            Phase::Ready if due => {
                self.servers[server].phase = Phase::Draining;
                self.servers[server].transition_at = self.now + ms(4_000);
                self.servers[server].next_heartbeat_at = self.now;
                if self.network.partition.is_none() && self.now > self.last_fault + ms(5_000) {
                    self.drains.push(Drain {
                        server,
                        at: self.now,
                    });
                }
            }
            Phase::Draining if self.now >= self.servers[server].transition_at => {
                return self.deregister(server);
            }
            Phase::Ready | Phase::Draining => {}
        }
        if self.now >= self.servers[server].next_heartbeat_at {
            self.send_heartbeat(server);
        }
    }

    fn send_heartbeat(&mut self, server: usize) {
        self.servers[server].sequence += 1;
        self.servers[server].next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        // A server mostly uses the same coordinator, and changes it occasionally.
        if self.random.random_bool(0.02) {
            self.servers[server].coordinator = self.random.random_range(0..self.coordinators());
        }
        let to = self.servers[server].coordinator;
        let heartbeat = heartbeat(&self.servers[server]);
        let changed = self.tables[to].record_heartbeat(self.now, &instance_id(server), heartbeat);
        if let Some(entry) = changed {
            self.publish(to, &entry);
        }
    }

    fn deregister(&mut self, server: usize) {
        let to = self.random.random_range(0..self.coordinators());
        // A coordinator without an entry of the server cannot deregister it: the server tries
        // again.
        if let Some(entry) = self.tables[to].deregister(self.now, &instance_id(server)) {
            self.servers[server].phase = Phase::Deregistered;
            self.publish(to, &entry);
        }
    }

    fn tick(&mut self) {
        for coordinator in 0..self.coordinators() {
            for entry in self.tables[coordinator].expire(self.now) {
                self.publish(coordinator, &entry);
            }
            let observed = self.tables[coordinator].take_observed();
            for to in 0..self.coordinators() {
                if to != coordinator {
                    self.send(coordinator, to, Message::Observed(observed.clone()));
                }
            }
        }
    }

    /// Makes each node send all its entries to a random one.
    fn run_anti_entropy(&mut self) {
        for from in 0..self.stores.len() {
            let to = self.random.random_range(0..self.stores.len());
            for entry in self.stores[from].values().cloned().collect::<Vec<_>>() {
                self.send(from, to, Message::Entry(entry));
            }
        }
    }

    fn publish(&mut self, from: usize, entry: &Entry) {
        self.store(from, entry);
        for to in 0..self.stores.len() {
            // Some messages are lost; anti-entropy delivers their entries later.
            if to != from && self.random.random_bool(0.95) {
                self.send(from, to, Message::Entry(entry.clone()));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let delivery = Delivery { to, message };
        self.network
            .send(self.now, &mut self.random, from, delivery);
    }

    fn deliver(&mut self) {
        while let Some(Delivery { to, message }) = self.network.take_due(self.now) {
            match message {
                Message::Entry(entry) => self.store(to, &entry),
                Message::Observed(observed) => {
                    self.tables[to].merge_observed(self.now, &observed);
                }
            }
        }
    }

    fn store(&mut self, node: usize, entry: &Entry) {
        let stored = self.stores[node].get(&entry.key);
        let is_old = stored.is_some_and(|stored| stored.version >= entry.version);
        if is_old && self.disabled != Some(Mechanism::Versions) {
            return;
        }
        if node >= self.coordinators()
            && stored.is_some_and(is_draining_or_deregistered)
            && is_usable(entry)
        {
            let server = server_index(&entry.key);
            self.violations.push(Violation::Revived {
                agent: node,
                server,
                at: self.now,
            });
        }
        self.stores[node].insert(entry.key.clone(), entry.clone());
        if node < self.coordinators() {
            let merged = self.tables[node].merge(self.now, entry);
            if let (MergeOutcome::Stale(newer), true) =
                (merged, self.disabled != Some(Mechanism::ResendNewer))
            {
                self.publish(node, &newer);
            }
        }
    }

    fn check_drains(&mut self) {
        let (now, last_fault) = (self.now, self.last_fault);
        let due: Vec<Drain> = self
            .drains
            .extract_if(.., |drain| now >= drain.at + DRAIN_DEADLINE)
            .collect();
        for Drain { server, .. } in due.into_iter().filter(|drain| last_fault < drain.at) {
            for agent in self.coordinators()..self.stores.len() {
                let learned = self.stores[agent]
                    .get(&Key::Instance(instance_id(server)))
                    .is_some_and(is_draining_or_deregistered);
                if !learned {
                    self.violations.push(Violation::LateDrain {
                        agent,
                        server,
                        at: now,
                    });
                }
            }
        }
    }

    fn check_end(&mut self) {
        for server in 0..SERVERS {
            let expected = match self.servers[server].phase {
                Phase::Ready | Phase::Draining => Liveness::Alive,
                Phase::Crashed => Liveness::Unreachable,
                Phase::Deregistered => Liveness::Deregistered,
            };
            let key = Key::Instance(instance_id(server));
            for node in 0..self.stores.len() {
                let stored = self.stores[node].get(&key).map(liveness);
                // A server that crashed before a node stored its heartbeat remains unknown there.
                if stored != Some(expected)
                    && !(stored.is_none() && expected == Liveness::Unreachable)
                {
                    self.violations.push(Violation::Diverged {
                        node,
                        server,
                        stored,
                    });
                }
            }
        }
    }
}
