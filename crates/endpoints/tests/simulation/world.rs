//! Coordinators, agents and servers in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ironmast_endpoints::{EndpointTable, ExpiryTimeouts, MergeOutcome, Micros};
use ironmast_schema::control::{Entry, InstanceRecord, Key, Liveness, Value};
use ironmast_schema::registration::{Heartbeat, InstanceState};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

const MS: Micros = 1_000;
const STEP: Micros = 50 * MS;
const AGENTS: usize = 20;
const SERVERS: usize = 8;
const INTERVAL: Micros = 1_200 * MS;
const PATIENCE: ExpiryTimeouts = ExpiryTimeouts {
    instance: 4 * INTERVAL,
    gate: 2_500 * MS,
};
/// Trouble ends here.
const CALM_AT: Micros = 30_000 * MS;
const END: Micros = 45_000 * MS;
/// A draining server's word is everywhere within this.
const DRAIN_WITHIN: Micros = 3_000 * MS;

/// What a test can remove.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A coordinator that knows better tells it again.
    TellAgain,
    /// Nodes refuse older versions.
    Versions,
    /// Nodes compare what they hold now and then.
    Repair,
}

/// What went wrong.
#[derive(Debug)]
#[expect(dead_code, reason = "shown when a seed fails")]
pub(crate) enum Violation {
    /// An agent saw a server return from draining or its end.
    WayBack {
        agent: usize,
        server: usize,
        at: Micros,
    },
    /// An agent had not heard in time that a server drains.
    DrainLate {
        agent: usize,
        server: usize,
        at: Micros,
    },
    /// At the end a node holds something else than what is so.
    Wrong {
        node: usize,
        server: usize,
        held: Option<Liveness>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Ready,
    Draining,
    Ended,
    Crashed,
}

struct Server {
    life: Life,
    sequence: u64,
    next: Micros,
    /// The coordinator that it calls.
    calls: usize,
    /// When it drains, ends or crashes next.
    turn: Micros,
}

enum Parcel {
    Entry(Entry),
    Alive(Vec<(Key, u64)>),
}

/// Coordinators first, then agents.
pub(crate) struct World {
    now: Micros,
    random: Xoshiro256PlusPlus,
    removed: Option<Guard>,
    catalogs: Vec<EndpointTable>,
    stores: Vec<BTreeMap<Key, Entry>>,
    servers: Vec<Server>,
    parcels: BTreeMap<u64, (usize, Parcel)>,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    serial: u64,
    /// One coordinator hears nothing of the others, or they nothing of it, or both.
    cut: Option<(usize, bool, bool)>,
    trouble_at: Micros,
    last_trouble: Micros,
    drains: Vec<(usize, Micros)>,
    pub violations: Vec<Violation>,
}

impl World {
    pub(crate) fn new(coordinators: usize, seed: u64, removed: Option<Guard>) -> Self {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let servers = (0..SERVERS).map(|_| Server {
            life: Life::Ready,
            sequence: 0,
            next: random.random_range(0..INTERVAL),
            calls: random.random_range(0..coordinators),
            turn: random.random_range(5_000 * MS..80_000 * MS),
        });
        World {
            now: 0,
            servers: servers.collect(),
            random,
            removed,
            catalogs: (0..coordinators)
                .map(|_| EndpointTable::new(0, PATIENCE))
                .collect(),
            stores: vec![BTreeMap::new(); coordinators + AGENTS],
            parcels: BTreeMap::new(),
            due: BinaryHeap::new(),
            serial: 0,
            cut: None,
            trouble_at: 4_000 * MS,
            last_trouble: 0,
            drains: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub(crate) fn play(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.deliver();
            self.trouble();
            (0..SERVERS).for_each(|server| self.turn(server));
            if self.now.is_multiple_of(250 * MS) {
                self.tick();
            }
            if self.now.is_multiple_of(500 * MS) && self.removed != Some(Guard::Repair) {
                self.repair();
            }
            self.check_drains();
        }
        self.check_end();
    }

    fn coordinators(&self) -> usize {
        self.catalogs.len()
    }

    /// Coordinators are cut off from one another for a while, or one starts anew with nothing.
    fn trouble(&mut self) {
        if self.now < self.trouble_at {
            return;
        }
        self.trouble_at = self.now + self.random.random_range(1_000 * MS..8_000 * MS);
        self.last_trouble = self.now;
        if self.cut.take().is_some() || self.now >= CALM_AT {
            return;
        }
        let coordinator = self.random.random_range(0..self.coordinators());
        if self.random.random_bool(0.3) {
            self.catalogs[coordinator] = EndpointTable::new(self.now, PATIENCE);
            self.stores[coordinator].clear();
            return;
        }
        let ways = [(true, true), (true, false), (false, true)][self.random.random_range(0..3)];
        self.cut = Some((coordinator, ways.0, ways.1));
    }

    /// Coordinators are cut off from each other only; agents reach all.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let both = from < self.coordinators() && to < self.coordinators();
        both && self
            .cut
            .is_some_and(|(node, out, into)| out && from == node || into && to == node)
    }

    fn turn(&mut self, server: usize) {
        let due = self.now >= self.servers[server].turn && self.now < CALM_AT;
        match self.servers[server].life {
            Life::Ended | Life::Crashed => return,
            Life::Ready if due && self.random.random_bool(0.3) => {
                self.servers[server].life = Life::Crashed;
                return;
            }
            Life::Ready if due => {
                self.servers[server].life = Life::Draining;
                self.servers[server].turn = self.now + 4_000 * MS;
                self.servers[server].next = self.now;
                if self.cut.is_none() && self.now > self.last_trouble + 5_000 * MS {
                    self.drains.push((server, self.now));
                }
            }
            Life::Draining if self.now >= self.servers[server].turn => return self.end(server),
            Life::Ready | Life::Draining => {}
        }
        if self.now >= self.servers[server].next {
            self.beat(server);
        }
    }

    fn beat(&mut self, server: usize) {
        self.servers[server].sequence += 1;
        self.servers[server].next = self.now + INTERVAL;
        // Servers stay with a coordinator while it answers.
        if self.random.random_bool(0.02) {
            self.servers[server].calls = self.random.random_range(0..self.coordinators());
        }
        let to = self.servers[server].calls;
        let heartbeat = heartbeat(&self.servers[server]);
        let news = self.catalogs[to].record_heartbeat(self.now, &name(server), heartbeat);
        news.into_iter().for_each(|entry| self.publish(to, entry));
    }

    fn end(&mut self, server: usize) {
        let to = self.random.random_range(0..self.coordinators());
        // One that doesn't know the server has nothing to say of it: it is called again.
        if let Some(entry) = self.catalogs[to].deregister(self.now, &name(server)) {
            self.servers[server].life = Life::Ended;
            self.publish(to, entry);
        }
    }

    fn tick(&mut self) {
        for coordinator in 0..self.coordinators() {
            for entry in self.catalogs[coordinator].expire(self.now) {
                self.publish(coordinator, entry);
            }
            let fresh = self.catalogs[coordinator].take_observed();
            for to in 0..self.coordinators() {
                if to != coordinator {
                    self.send(coordinator, to, Parcel::Alive(fresh.clone()));
                }
            }
        }
    }

    /// Each node sends what it holds to another.
    fn repair(&mut self) {
        for from in 0..self.stores.len() {
            let to = self.random.random_range(0..self.stores.len());
            for entry in self.stores[from].values().cloned().collect::<Vec<_>>() {
                self.send(from, to, Parcel::Entry(entry));
            }
        }
    }

    fn publish(&mut self, from: usize, entry: Entry) {
        self.store(from, entry.clone());
        for to in 0..self.stores.len() {
            // Now and then a node is left out until the next repair.
            if to != from && self.random.random_bool(0.95) {
                self.send(from, to, Parcel::Entry(entry.clone()));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, parcel: Parcel) {
        if self.is_cut(from, to) {
            return;
        }
        self.serial += 1;
        let at = self.now + self.random.random_range(MS..400 * MS);
        self.parcels.insert(self.serial, (to, parcel));
        self.due.push(Reverse((at, self.serial)));
    }

    fn deliver(&mut self) {
        while self
            .due
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= self.now)
        {
            let Some(Reverse((_, serial))) = self.due.pop() else {
                return;
            };
            match self.parcels.remove(&serial) {
                Some((to, Parcel::Entry(entry))) => self.store(to, entry),
                Some((to, Parcel::Alive(heard))) => {
                    self.catalogs[to].merge_observed(self.now, &heard)
                }
                None => {}
            }
        }
    }

    fn store(&mut self, node: usize, entry: Entry) {
        let held = self.stores[node].get(&entry.key);
        let old = held.is_some_and(|held| held.version >= entry.version);
        if old && self.removed != Some(Guard::Versions) {
            return;
        }
        if node >= self.coordinators() && held.is_some_and(is_over) && is_usable(&entry) {
            let server = number(&entry.key);
            self.violations.push(Violation::WayBack {
                agent: node,
                server,
                at: self.now,
            });
        }
        self.stores[node].insert(entry.key.clone(), entry.clone());
        if node < self.coordinators() {
            let merged = self.catalogs[node].merge(self.now, &entry);
            if let (MergeOutcome::Stale(newer), true) =
                (merged, self.removed != Some(Guard::TellAgain))
            {
                self.publish(node, *newer);
            }
        }
    }

    fn check_drains(&mut self) {
        let (now, last_trouble) = (self.now, self.last_trouble);
        let ended: Vec<(usize, Micros)> = self
            .drains
            .extract_if(.., |(_, at)| now >= *at + DRAIN_WITHIN)
            .collect();
        for (server, _) in ended.into_iter().filter(|(_, at)| last_trouble < *at) {
            for agent in self.coordinators()..self.stores.len() {
                let told = self.stores[agent]
                    .get(&Key::Instance(name(server)))
                    .is_some_and(is_over);
                if !told {
                    self.violations.push(Violation::DrainLate {
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
            let wanted = match self.servers[server].life {
                Life::Ready | Life::Draining => Liveness::Alive,
                Life::Crashed => Liveness::Unreachable,
                Life::Ended => Liveness::Deregistered,
            };
            let key = Key::Instance(name(server));
            for node in 0..self.stores.len() {
                let held = self.stores[node].get(&key).map(liveness);
                // One that crashed before anyone stored its word stays unknown.
                if held != Some(wanted) && !(held.is_none() && wanted == Liveness::Unreachable) {
                    self.violations
                        .push(Violation::Wrong { node, server, held });
                }
            }
        }
    }
}

fn heartbeat(server: &Server) -> Heartbeat {
    Heartbeat {
        backend: "app".to_string(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "north-a".to_string(),
        generation: "v1".to_string(),
        capacity: 8,
        state: if server.life == Life::Draining {
            InstanceState::Draining
        } else {
            InstanceState::Ready
        },
        warmup_left_ms: 0.0,
        sequence: server.sequence,
        remaining_ms: None,
    }
}

fn name(server: usize) -> String {
    format!("i-{server}")
}

fn number(key: &Key) -> usize {
    match key {
        Key::Instance(name) => name[2..].parse().expect("a number"),
        other => panic!("{other:?}"),
    }
}

fn record(entry: &Entry) -> &InstanceRecord {
    match &entry.value {
        Value::Instance(record) => record,
        other => panic!("{other:?}"),
    }
}

fn liveness(entry: &Entry) -> Liveness {
    record(entry).liveness
}

/// Whether an incarnation has said that it drains or ends.
fn is_over(entry: &Entry) -> bool {
    let record = record(entry);
    record.liveness == Liveness::Deregistered || record.heartbeat.state == InstanceState::Draining
}

fn is_usable(entry: &Entry) -> bool {
    liveness(entry) == Liveness::Alive && !is_over(entry)
}
