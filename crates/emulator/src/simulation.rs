//! A run of a scenario: one queue of events over servers, network, discovery, clients and proxies.
//!
//! Clients begin operations and send a request to a proxy for each, and more when they retry. A
//! proxy hosts a policy, fed as the real driver feeds the decision module: events in, actions out.
//! The policy's attempts travel to machines, which run servers, and their outcomes back. What
//! happened is reported to the judge from here, where everything is known that a policy may be
//! wrong about.

mod arrivals;
mod attempts;
mod clients;
mod event;
mod faults;
mod health_checks;
mod ids;
mod list_updates;
mod operation;
mod proxies;
mod request;
mod rule_checks;
mod servers;
mod setup;
mod summary;
mod true_state;

use std::collections::VecDeque;

use ironmast_balancer::{Action, Event, Micros, Settings};
use slotmap::SlotMap;

use crate::discovery::Discovery;
use crate::event_queue::EventQueue;
use crate::fault_schedule::Step;
use crate::judge::Judge;
use crate::network::Network;
use crate::policy::{Policy, PolicyName};
use crate::random::{Purpose, Stream};
use crate::report::{Report, Traffic};
use crate::scenario::{Scenario, millis, seconds};
use crate::server::{JobEvent, OccupancyDistribution, Server, ServerStatistics};
use arrivals::{ClassMix, RateCurve};
use event::SimulationEvent;
use operation::{Operation, OperationKey};
use proxies::Proxy;
use request::RequestTable;
use rule_checks::RuleLimits;
use servers::{CoreTime, Machine, Position};

/// The clock's reading at the start of a run.
pub const ORIGIN: Micros = 1_000_000_000;

/// The time after the last deadline at which a run stops, whatever is still open.
const STOP_DELAY: Micros = 1_000_000;

/// Builds a policy from settings and a seed.
pub type PolicyBuilder<'a> = Box<dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a>;

/// The facts of a run that enter its digest from here. The judge adds the ends of operations (1).
#[derive(Clone, Copy)]
enum Fact {
    /// Operation, time, server.
    AttemptSent = 2,
    /// Operation, time, server.
    Executed = 3,
    /// Operation, time, server.
    DuplicateDropped = 4,
    /// Events, events scheduled, attempts.
    Totals = 9,
}

/// One run of a scenario.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    /// The policy's name.
    policy: String,
    seed: u64,
    build_policy: PolicyBuilder<'a>,
    /// Whether policies are given the work of each request.
    gives_work_hints: bool,
    now: Micros,
    /// When clients begin no more operations.
    end: Micros,
    /// When the run stops, whatever is still open.
    hard_stop: Micros,
    queue: EventQueue<SimulationEvent>,
    /// The steps of faults, by index.
    steps: Vec<Step>,
    operations: SlotMap<OperationKey, Operation>,
    requests: RequestTable,
    started_operations: u64,
    open_operations: u64,
    /// By the server's number.
    machines: Vec<Machine>,
    positions: Vec<Position>,
    proxies: Vec<Proxy>,
    network: Network,
    discovery: Discovery,
    datagram_draws: Stream,
    speed_draws: Stream,
    judge: Judge,
    /// How often clients retry at once during a retry storm.
    retry_storm: Option<u32>,
    class_mix: ClassMix,
    rate_curve: RateCurve<'a>,
    rule_limits: RuleLimits,
    events: u64,
    traffic: Traffic,
    occupancy_distribution: OccupancyDistribution,
    /// Buffers that are reused.
    actions: Vec<Action>,
    pending: VecDeque<Event>,
    job_events: Vec<JobEvent>,
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
        let end = ORIGIN + seconds(scenario.length_s);
        let deadlines = scenario.classes.iter().map(|class| class.deadline_ms);
        let last_deadline = end + deadlines.map(millis).max().unwrap_or(0);
        let rule_limits = RuleLimits::new(scenario);
        let mut simulation = Simulation {
            scenario,
            policy: name.to_string(),
            seed,
            build_policy,
            gives_work_hints: false,
            now: ORIGIN,
            end,
            hard_stop: last_deadline + rule_limits.answer_slack + STOP_DELAY,
            queue: EventQueue::default(),
            steps: Vec::new(),
            operations: SlotMap::new(),
            requests: RequestTable::default(),
            started_operations: 0,
            open_operations: 0,
            machines: Vec::new(),
            positions: Vec::new(),
            proxies: Vec::new(),
            network: Network::new(&scenario.network, scenario.zones.len(), seed),
            discovery: Discovery::new(&scenario.discovery),
            datagram_draws: Stream::new(seed, Purpose::Datagrams, 0),
            speed_draws: Stream::new(seed, Purpose::Servers, 0),
            judge: Judge::new(scenario, ORIGIN),
            retry_storm: None,
            class_mix: ClassMix::new(&scenario.classes),
            rate_curve: RateCurve::new(scenario),
            rule_limits,
            events: 0,
            traffic: Traffic::default(),
            occupancy_distribution: OccupancyDistribution::Skip,
            actions: Vec::new(),
            pending: VecDeque::new(),
            job_events: Vec::new(),
        };
        simulation.set_up();
        simulation
    }

    /// Records for how long at least 1, 2, ... requests were at each server. Must be called before
    /// the run: it resets the servers.
    pub fn record_occupancy(&mut self) {
        self.occupancy_distribution = OccupancyDistribution::Record;
        for position in &self.positions {
            let machine = &mut self.machines[position.machine as usize];
            let pool = &self.scenario.pools[machine.pool];
            let speed = machine.server.full_capacity() / f64::from(pool.cores);
            machine.server = Server::new(pool, speed, ORIGIN, self.occupancy_distribution);
        }
    }

    /// Resets the statistics of the servers, for figures without the beginning of the run.
    pub fn reset_statistics(&mut self) {
        for machine in &mut self.machines {
            machine.server.statistics = ServerStatistics::default();
            machine.last_sample = CoreTime::default();
        }
    }

    /// The number of events processed so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Runs up to a second of the scenario. Returns true once everything has ended.
    pub fn run_to(&mut self, second: f64) -> bool {
        let until = ORIGIN + seconds(second);
        while let Some((at, event)) = self.queue.pop() {
            if at >= self.hard_stop || self.open_operations == 0 && at > self.end {
                self.now = self.now.max(at.min(self.hard_stop));
                return true;
            }
            self.now = at;
            self.events += 1;
            self.process(event);
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

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientArrival { proxy } => self.client_arrives(proxy),
            SimulationEvent::ClientRetry(operation) => self.client_retries(operation),
            SimulationEvent::RequestDeadline(id) => self.request_deadline(id),
            SimulationEvent::ClientDisconnect(id) => self.disconnect_client(id),
            SimulationEvent::PolicyTimer { proxy, token } => self.policy_timer(proxy, token),
            SimulationEvent::RequestAtServer(attempt) => self.request_at_server(attempt),
            SimulationEvent::ResponseAtProxy { attempt, outcome } => {
                self.response_at_proxy(attempt, outcome);
            }
            SimulationEvent::AttemptTimeout(attempt) => self.attempt_timeout(attempt),
            SimulationEvent::CancellationAtServer { server, job } => {
                self.cancellation_at_server(server, job);
            }
            SimulationEvent::ServerDeadline { server, at } => self.server_deadline(server, at),
            SimulationEvent::ListUpdate { server } => self.update_list(server),
            SimulationEvent::WatchNotification(proxy) => self.watch_notification(proxy),
            SimulationEvent::DiscoveryResponse { proxy, answered } => {
                self.discovery_response(proxy, answered);
            }
            SimulationEvent::HealthCheckAtServer(check) => self.health_check_at_server(check),
            SimulationEvent::HealthCheckResult { check, in_system } => {
                self.health_check_result(check, in_system);
            }
            SimulationEvent::PeerDatagram { from, to, data } => {
                self.datagram_at_proxy(from, to, data);
            }
            SimulationEvent::IdleConnections { proxy, server } => {
                self.check_idle_connections(proxy, server);
            }
            SimulationEvent::FaultStep(index) => {
                let step = self.steps[index as usize].clone();
                self.apply_step(step);
            }
            SimulationEvent::Sample => self.sample_servers(),
        }
    }

    fn record_fact(&mut self, fact: Fact, parts: [u64; 3]) {
        self.judge.record_fact(fact as u8, parts);
    }
}
