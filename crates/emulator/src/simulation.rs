//! A run of a scenario: one event queue for servers, network, discovery, clients and proxies.
//!
//! Clients begin operations, send a request to a proxy for each, and send more when they retry. A
//! proxy hosts a policy and drives it as the real driver does the decision module: events in,
//! actions out. The policy's attempts travel to machines, which run servers, and their outcomes
//! travel back. The simulation reports to the judge, since it knows the true state, about which a
//! policy may be wrong.

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

/// The clock reading at the start of a run, in microseconds.
pub const ORIGIN: Micros = 1_000_000_000;

/// The time after the last deadline at which a run stops even if operations are still open.
const STOP_DELAY: Micros = 1_000_000;

/// Builds a policy from settings and a seed.
pub type PolicyBuilder<'a> = Box<dyn Fn(Settings, u64) -> Box<dyn Policy> + 'a>;

/// The facts that the simulation adds to the digest of a run. The values are part of the digest;
/// 1 is the end of an operation, which the judge adds.
#[derive(Clone, Copy)]
enum Fact {
    /// Operation, time, server.
    AttemptSent = 2,
    /// Operation, time, server.
    Executed = 3,
    /// Operation, time, server.
    DuplicateDropped = 4,
    /// Events processed, events scheduled, attempts sent.
    Totals = 9,
}

/// One run of a scenario under one policy and seed.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    /// The policy's name.
    policy: String,
    seed: u64,
    build_policy: PolicyBuilder<'a>,
    /// Whether requests tell policies their true work, which only the oracle may know.
    gives_work_hints: bool,
    now: Micros,
    /// The time from which on clients begin no operations.
    end: Micros,
    /// The time at which the run stops even if operations are still open.
    hard_stop: Micros,
    queue: EventQueue<SimulationEvent>,
    /// The steps of faults, by index.
    steps: Vec<Step>,
    operations: SlotMap<OperationKey, Operation>,
    requests: RequestTable,
    started_operations: u64,
    open_operations: u64,
    /// Machines, indexed by server number.
    machines: Vec<Machine>,
    positions: Vec<Position>,
    proxies: Vec<Proxy>,
    network: Network,
    discovery: Discovery,
    datagram_draws: Stream,
    speed_draws: Stream,
    judge: Judge,
    /// The number of immediate retries per operation during a retry storm; `None` otherwise.
    retry_storm: Option<u32>,
    class_mix: ClassMix,
    rate_curve: RateCurve<'a>,
    rule_limits: RuleLimits,
    events: u64,
    traffic: Traffic,
    occupancy_distribution: OccupancyDistribution,
    /// Buffers for actions, events and job events, kept to avoid allocations per event.
    actions: Vec<Action>,
    pending: VecDeque<Event>,
    job_events: Vec<JobEvent>,
}

impl<'a> Simulation<'a> {
    /// Creates a run of a validated scenario under one of the named policies.
    #[must_use]
    pub fn new(scenario: &'a Scenario, policy: PolicyName, seed: u64) -> Self {
        let build = move |settings, seed| policy.build(settings, seed);
        let mut simulation = Self::with_policy(scenario, policy.name(), seed, Box::new(build));
        simulation.gives_work_hints = policy == PolicyName::Oracle;
        simulation
    }

    /// Creates a run under a policy that the caller builds; `name` appears in the report.
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

    /// Makes each server record for how long at least 1, 2, ... requests were in its system. Must
    /// be called before the run, since the servers are created anew.
    pub fn record_occupancy(&mut self) {
        self.occupancy_distribution = OccupancyDistribution::Record;
        for position in &self.positions {
            let machine = &mut self.machines[position.machine as usize];
            let pool = &self.scenario.pools[machine.pool];
            let speed = machine.server.full_capacity() / f64::from(pool.cores);
            machine.server = Server::new(pool, speed, ORIGIN, self.occupancy_distribution);
        }
    }

    /// Resets the statistics of all servers, to exclude the start of the run from them.
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

    /// Processes events up to the first one at or after `second` of the scenario. Returns true if
    /// the run is over.
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

    /// Processes all events and returns the report.
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
