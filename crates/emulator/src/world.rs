//! The run itself: one queue of events over servers, network, discovery, clients and proxies.
//!
//! A proxy hosts one policy, fed as the real driver feeds the module: events in, actions out.
//! Everything that a policy may be wrong about is kept here, and told to the judge as it truly
//! happens.

mod arrivals;
mod attempts;
mod clients;
mod event;
mod faults;
mod health_checks;
mod list_updates;
mod proxies;
mod request;
mod rule_checks;
mod servers;
mod setup;
mod summary;
mod true_state;

use std::collections::VecDeque;

use ironmast_balancer::{Action, Event, Micros, Outcome, Scope, Settings};
use slotmap::{DefaultKey, SlotMap};

use crate::discovery::Discovery;
use crate::event_queue::EventQueue;
use crate::fault_schedule::Step;
use crate::judge::Judge;
use crate::network::{IdleCheck, Network};
use crate::policy::{Policy, PolicyName};
use crate::random::{Purpose, Stream};
use crate::report::Report;
use crate::scenario::{Scenario, millis, seconds};
use crate::server::{HeldDistribution, JobEvent, Server, ServerStatistics};
use event::What;
use proxies::Proxy;
use request::{Op, Try};
use servers::{Machine, Place};

/// The clock's reading at the start of a run.
pub const ORIGIN: Micros = 1_000_000_000;

/// Builds a policy from settings and a seed.
pub type Builder<'a> = Box<dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a>;

/// One run of a scenario.
pub struct World<'a> {
    scenario: &'a Scenario,
    policy: String,
    seed: u64,
    build: Builder<'a>,
    hints: bool,
    now: Micros,
    end: Micros,
    stop: Micros,
    queue: EventQueue<What>,
    steps: Vec<Step>,
    ops: SlotMap<DefaultKey, Op>,
    tries: SlotMap<DefaultKey, Try>,
    asked: u64,
    open_ops: u64,
    machines: Vec<Machine>,
    places: Vec<Place>,
    proxies: Vec<Proxy>,
    network: Network,
    discovery: Discovery,
    datagrams: Stream,
    speeds: Stream,
    judge: Judge,
    storm: Option<u32>,
    class_shares: Vec<f64>,
    arrivals_most: f64,
    rules: Rulings,
    events: u64,
    attempts: u64,
    probes: u64,
    peer_bytes: u64,
    cross_zone: u64,
    late_repeats: u64,
    held_distribution: HeldDistribution,
    actions: Vec<Action>,
    pending: VecDeque<Event>,
    happened: Vec<JobEvent>,
}

/// Figures of the rules, in microseconds.
struct Rulings {
    slack: Micros,
    ask_within: Micros,
    max_attempts: usize,
    allow_hedging: bool,
}

impl<'a> World<'a> {
    /// A run of a checked scenario under one of the named policies.
    #[must_use]
    pub fn new(scenario: &'a Scenario, policy: PolicyName, seed: u64) -> Self {
        let build = move |settings, seed| policy.build(settings, seed);
        let mut world = Self::with(scenario, policy.name(), seed, Box::new(build));
        world.hints = policy == PolicyName::Oracle;
        world
    }

    /// A run under a policy of the caller's own.
    #[must_use]
    pub fn with(scenario: &'a Scenario, name: &str, seed: u64, build: Builder<'a>) -> Self {
        let zones = scenario.zones.len();
        let end = ORIGIN + seconds(scenario.length_s);
        let longest = scenario
            .classes
            .iter()
            .map(|c| millis(c.deadline_ms))
            .max()
            .unwrap_or(0);
        let shares: f64 = scenario.classes.iter().map(|c| c.share).sum();
        let mut sum = 0.0;
        let mut world = World {
            scenario,
            policy: name.to_string(),
            seed,
            build,
            hints: false,
            now: ORIGIN,
            end,
            stop: end + longest + millis(scenario.rules.answer_slack_ms) + 1_000_000,
            queue: EventQueue::default(),
            steps: Vec::new(),
            ops: SlotMap::new(),
            tries: SlotMap::new(),
            asked: 0,
            open_ops: 0,
            machines: Vec::new(),
            places: Vec::new(),
            proxies: Vec::new(),
            network: Network::new(&scenario.network, zones, seed),
            discovery: Discovery::new(&scenario.discovery),
            datagrams: Stream::new(seed, Purpose::Datagrams, 0),
            speeds: Stream::new(seed, Purpose::Servers, 0),
            judge: Judge::new(scenario, ORIGIN),
            storm: None,
            class_shares: scenario
                .classes
                .iter()
                .map(|c| {
                    sum += c.share / shares;
                    sum
                })
                .collect(),
            arrivals_most: 0.0,
            rules: Rulings {
                slack: millis(scenario.rules.answer_slack_ms),
                ask_within: seconds(scenario.rules.max_query_interval_s),
                max_attempts: scenario.proxies.max_attempts as usize,
                allow_hedging: scenario.proxies.allow_hedging,
            },
            events: 0,
            attempts: 0,
            probes: 0,
            peer_bytes: 0,
            cross_zone: 0,
            late_repeats: 0,
            held_distribution: HeldDistribution::Skip,
            actions: Vec::new(),
            pending: VecDeque::new(),
            happened: Vec::new(),
        };
        world.arrivals_most = world.rate_most();
        world.found();
        world
    }

    /// Keeps, of each server, for how long so many requests were held.
    pub fn keep_distribution(&mut self) {
        self.held_distribution = HeldDistribution::Record;
        for place in 0..self.places.len() {
            let machine = &mut self.machines[self.places[place].machine as usize];
            let pool = &self.scenario.pools[machine.pool];
            machine.server = Server::new(
                pool,
                machine.server.full_capacity() / f64::from(pool.cores),
                ORIGIN,
                HeldDistribution::Record,
            );
        }
    }

    /// Forgets what servers have counted so far: for figures without the first stretch.
    pub fn forget_tallies(&mut self) {
        for machine in &mut self.machines {
            machine.server.statistics = ServerStatistics::default();
            machine.before = (0.0, 0.0);
        }
    }

    /// Events played so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Runs up to a second of the scenario; true once everything has ended.
    pub fn run_to(&mut self, second: f64) -> bool {
        let until = ORIGIN + seconds(second);
        while let Some((at, what)) = self.queue.pop() {
            if at >= self.stop || self.open_ops == 0 && at > self.end {
                self.now = self.now.max(at.min(self.stop));
                return true;
            }
            self.now = at;
            self.events += 1;
            self.happen(what);
            if at >= until {
                return false;
            }
        }
        true
    }

    /// Runs to the end and reports.
    #[must_use]
    pub fn run(mut self) -> Report {
        while !self.run_to(f64::from(u32::MAX)) {}
        self.report()
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrive(proxy) => self.arrive(proxy),
            What::Again(op) => {
                self.release(op);
                if !self.ops[op].ended {
                    self.begin_try(op);
                }
            }
            What::Expire(request) => self.expire(request),
            What::Leave(request) => self.leave(request),
            What::Timer { proxy, life, token } => {
                if self.lives(proxy, life) {
                    self.tell(proxy, Event::Timer { token });
                }
            }
            What::Reach { request, n } => self.reach(request, n),
            What::Back {
                request,
                n,
                outcome,
            } => self.back(request, n, outcome),
            What::TimedOut { request, n } => {
                if self.attempt(request, n).is_some_and(|a| a.out) {
                    self.call_off(request, n);
                    self.settle(request, n, Outcome::Timeout);
                }
            }
            What::CallOff { server, life, job } => {
                if self.machines[server as usize].life == life {
                    self.advance(server);
                    let mut happened = std::mem::take(&mut self.happened);
                    let job = self.machines[server as usize]
                        .server
                        .cancel(job, &mut happened);
                    self.happened = happened;
                    if let Some(job) = job {
                        self.release(job.op);
                    }
                    self.touched(server);
                }
            }
            What::Look { server, at } => {
                if self.machines[server as usize].armed == at {
                    self.machines[server as usize].armed = Micros::MAX;
                    self.advance(server);
                    self.touched(server);
                }
            }
            What::Visible(server) => self.visible(server),
            What::News { proxy, life } => {
                let p = &mut self.proxies[proxy as usize];
                p.news_due = false;
                if p.subscribed && p.policy.is_some() && p.life == life {
                    self.news(proxy, Scope::Changes);
                }
            }
            What::Called { proxy, life, ok } => self.called(proxy, life, ok),
            What::Probe {
                proxy,
                life,
                server,
                sent,
            } => self.probe(proxy, life, server, sent),
            What::Probed {
                proxy,
                life,
                server,
                sent,
                held,
            } => self.probed(proxy, life, server, sent, held),
            What::Peer { from, to, data } => {
                if self.proxies[to as usize].policy.is_some() {
                    self.peer_bytes += data.len() as u64;
                    self.tell(
                        to,
                        Event::PeerMessage {
                            from,
                            data: data.into_vec(),
                        },
                    );
                }
            }
            What::Idle { proxy, server } => {
                let machine = &mut self.machines[server as usize];
                let idle = &mut self.proxies[proxy as usize].idle;
                match idle.check_idle(server, machine.life, self.now, self.network.idle_timeout) {
                    IdleCheck::Closed(closed) => {
                        machine.connections = machine.connections.saturating_sub(closed);
                    }
                    IdleCheck::CheckAgainAt(at) => {
                        self.queue.push(at, What::Idle { proxy, server });
                    }
                }
            }
            What::Step(number) => {
                let step = self.steps[number as usize].clone();
                self.step(step);
            }
            What::Sample => self.sample(),
        }
    }
}
