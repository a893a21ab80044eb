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
use crate::server::{JobEvent, OccupancyDistribution, Server, ServerStatistics};
use event::SimulationEvent;
use proxies::Proxy;
use request::{Operation, PendingRequest};
use servers::{Machine, Position};

/// The clock's reading at the start of a run.
pub const ORIGIN: Micros = 1_000_000_000;

/// Builds a policy from settings and a seed.
pub type PolicyBuilder<'a> = Box<dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a>;

/// One run of a scenario.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: String,
    seed: u64,
    build_policy: PolicyBuilder<'a>,
    gives_work_hints: bool,
    now: Micros,
    end: Micros,
    hard_stop: Micros,
    queue: EventQueue<SimulationEvent>,
    steps: Vec<Step>,
    operations: SlotMap<DefaultKey, Operation>,
    requests: SlotMap<DefaultKey, PendingRequest>,
    started_operations: u64,
    open_operations: u64,
    machines: Vec<Machine>,
    positions: Vec<Position>,
    proxies: Vec<Proxy>,
    network: Network,
    discovery: Discovery,
    datagram_draws: Stream,
    speed_draws: Stream,
    judge: Judge,
    retry_storm: Option<u32>,
    cumulative_class_shares: Vec<f64>,
    max_rate_factor: f64,
    rule_limits: RuleLimits,
    events: u64,
    attempts: u64,
    probes: u64,
    peer_bytes: u64,
    cross_zone: u64,
    late_repeats: u64,
    occupancy_distribution: OccupancyDistribution,
    actions: Vec<Action>,
    pending: VecDeque<Event>,
    job_events: Vec<JobEvent>,
}

/// Figures of the rules, in microseconds.
struct RuleLimits {
    answer_slack: Micros,
    discovery_interval: Micros,
    max_attempts: usize,
    allow_hedging: bool,
}

impl<'a> Simulation<'a> {
    /// A run of a checked scenario under one of the named policies.
    #[must_use]
    pub fn new(scenario: &'a Scenario, policy: PolicyName, seed: u64) -> Self {
        let build = move |settings, seed| policy.build(settings, seed);
        let mut simulation = Self::with_policy(scenario, policy.name(), seed, Box::new(build));
        simulation.gives_work_hints = policy == PolicyName::Oracle;
        simulation
    }

    /// A run under a policy of the caller's own.
    #[must_use]
    pub fn with_policy(
        scenario: &'a Scenario,
        name: &str,
        seed: u64,
        build_policy: PolicyBuilder<'a>,
    ) -> Self {
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
        let mut simulation = Simulation {
            scenario,
            policy: name.to_string(),
            seed,
            build_policy,
            gives_work_hints: false,
            now: ORIGIN,
            end,
            hard_stop: end + longest + millis(scenario.rules.answer_slack_ms) + 1_000_000,
            queue: EventQueue::default(),
            steps: Vec::new(),
            operations: SlotMap::new(),
            requests: SlotMap::new(),
            started_operations: 0,
            open_operations: 0,
            machines: Vec::new(),
            positions: Vec::new(),
            proxies: Vec::new(),
            network: Network::new(&scenario.network, zones, seed),
            discovery: Discovery::new(&scenario.discovery),
            datagram_draws: Stream::new(seed, Purpose::Datagrams, 0),
            speed_draws: Stream::new(seed, Purpose::Servers, 0),
            judge: Judge::new(scenario, ORIGIN),
            retry_storm: None,
            cumulative_class_shares: scenario
                .classes
                .iter()
                .map(|c| {
                    sum += c.share / shares;
                    sum
                })
                .collect(),
            max_rate_factor: 0.0,
            rule_limits: RuleLimits {
                answer_slack: millis(scenario.rules.answer_slack_ms),
                discovery_interval: seconds(scenario.rules.max_query_interval_s),
                max_attempts: scenario.proxies.max_attempts as usize,
                allow_hedging: scenario.proxies.allow_hedging,
            },
            events: 0,
            attempts: 0,
            probes: 0,
            peer_bytes: 0,
            cross_zone: 0,
            late_repeats: 0,
            occupancy_distribution: OccupancyDistribution::Skip,
            actions: Vec::new(),
            pending: VecDeque::new(),
            job_events: Vec::new(),
        };
        simulation.max_rate_factor = simulation.max_rate_factor_of_scenario();
        simulation.set_up();
        simulation
    }

    /// Keeps, of each server, for how long so many requests were held.
    pub fn record_occupancy(&mut self) {
        self.occupancy_distribution = OccupancyDistribution::Record;
        for position in 0..self.positions.len() {
            let machine = &mut self.machines[self.positions[position].machine as usize];
            let pool = &self.scenario.pools[machine.pool];
            machine.server = Server::new(
                pool,
                machine.server.full_capacity() / f64::from(pool.cores),
                ORIGIN,
                OccupancyDistribution::Record,
            );
        }
    }

    /// Forgets what servers have counted so far: for figures without the first stretch.
    pub fn reset_statistics(&mut self) {
        for machine in &mut self.machines {
            machine.server.statistics = ServerStatistics::default();
            machine.last_sample = (0.0, 0.0);
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
            if at >= self.hard_stop || self.open_operations == 0 && at > self.end {
                self.now = self.now.max(at.min(self.hard_stop));
                return true;
            }
            self.now = at;
            self.events += 1;
            self.process(what);
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

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn process(&mut self, what: SimulationEvent) {
        match what {
            SimulationEvent::ClientArrival(proxy) => self.client_arrives(proxy),
            SimulationEvent::ClientRetry(op) => {
                self.release(op);
                if !self.operations[op].ended {
                    self.send_request(op);
                }
            }
            SimulationEvent::RequestDeadline(request) => self.request_deadline(request),
            SimulationEvent::ClientDisconnect(request) => self.disconnect_client(request),
            SimulationEvent::PolicyTimer {
                proxy,
                incarnation,
                token,
            } => {
                if self.is_current(proxy, incarnation) {
                    self.deliver(proxy, Event::Timer { token });
                }
            }
            SimulationEvent::RequestAtServer { request, n } => self.request_at_server(request, n),
            SimulationEvent::ResponseAtProxy {
                request,
                n,
                outcome,
            } => self.response_at_proxy(request, n, outcome),
            SimulationEvent::AttemptTimeout { request, n } => {
                if self.attempt(request, n).is_some_and(|a| a.open) {
                    self.abandon_attempt(request, n);
                    self.finish_attempt(request, n, Outcome::Timeout);
                }
            }
            SimulationEvent::CancellationAtServer {
                server,
                incarnation,
                job,
            } => {
                if self.machines[server as usize].incarnation == incarnation {
                    self.advance(server);
                    let mut job_events = std::mem::take(&mut self.job_events);
                    let job = self.machines[server as usize]
                        .server
                        .cancel(job, &mut job_events);
                    self.job_events = job_events;
                    if let Some(job) = job {
                        self.release(job.op);
                    }
                    self.handle_job_events(server);
                }
            }
            SimulationEvent::ServerDeadline { server, at } => {
                if self.machines[server as usize].next_wakeup == at {
                    self.machines[server as usize].next_wakeup = Micros::MAX;
                    self.advance(server);
                    self.handle_job_events(server);
                }
            }
            SimulationEvent::ListUpdate(server) => self.update_list(server),
            SimulationEvent::WatchNotification { proxy, incarnation } => {
                let p = &mut self.proxies[proxy as usize];
                p.notification_pending = false;
                if p.subscribed && p.policy.is_some() && p.incarnation == incarnation {
                    self.send_listing(proxy, Scope::Changes);
                }
            }
            SimulationEvent::DiscoveryResponse {
                proxy,
                incarnation,
                ok,
            } => self.discovery_response(proxy, incarnation, ok),
            SimulationEvent::HealthCheckAtServer {
                proxy,
                incarnation,
                server,
                sent,
            } => self.health_check_at_server(proxy, incarnation, server, sent),
            SimulationEvent::HealthCheckResult {
                proxy,
                incarnation,
                server,
                sent,
                held,
            } => self.health_check_result(proxy, incarnation, server, sent, held),
            SimulationEvent::PeerDatagram { from, to, data } => {
                if self.proxies[to as usize].policy.is_some() {
                    self.peer_bytes += data.len() as u64;
                    self.deliver(
                        to,
                        Event::PeerMessage {
                            from,
                            data: data.into_vec(),
                        },
                    );
                }
            }
            SimulationEvent::IdleConnections { proxy, server } => {
                let machine = &mut self.machines[server as usize];
                let idle = &mut self.proxies[proxy as usize].connection_pool;
                match idle.check_idle(
                    server,
                    machine.incarnation,
                    self.now,
                    self.network.idle_timeout,
                ) {
                    IdleCheck::Closed(closed) => {
                        machine.connections = machine.connections.saturating_sub(closed);
                    }
                    IdleCheck::CheckAgainAt(at) => {
                        self.queue
                            .push(at, SimulationEvent::IdleConnections { proxy, server });
                    }
                }
            }
            SimulationEvent::FaultStep(number) => {
                let step = self.steps[number as usize].clone();
                self.apply_step(step);
            }
            SimulationEvent::Sample => self.sample_servers(),
        }
    }
}
