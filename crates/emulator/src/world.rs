//! The run itself: one queue of events over servers, network, discovery, clients and proxies.
//!
//! A proxy hosts one policy, fed as the real driver feeds the module: events in, actions out.
//! Everything that a policy may be wrong about is kept here, and told to the judge as it truly
//! happens.

use std::collections::{BTreeMap, VecDeque};

use ironmast_balancer::{
    Action, AttemptEnded, ClassSettings, Discovery as Watching, Effect, Event, Group, Limits,
    Listing, LoadReport, Micros, Outcome, Penalties, Phase, Request, Safety, Scope,
    Server as ListedServer, ServerId, Settings, SizeMeaning,
};
use rustc_hash::FxHashMap;
use slotmap::{DefaultKey, Key as _, KeyData, SlotMap};
use smallvec::SmallVec;

use crate::discovery::{Discovery, ListEntry, QueryResult};
use crate::event_queue::EventQueue;
use crate::fault_schedule::{
    Degradation, FaultTargets, Step, max_surge_factor, schedule, surge_factor,
};
use crate::judge::{COLUMNS, Ended, Fate, Judge, Rule};
use crate::network::{ConnectionPool, IdleCheck, Network};
use crate::policy::{Policy, PolicyName, Truth};
use crate::random::{Purpose, Stream, hash_parts, unit_interval};
use crate::report::{Report, ServerReport, Traffic};
use crate::scenario::{
    Arrivals, Class, EffectSpec, GroupSpec, RetryWait, Scenario, millis, seconds,
};
use crate::server::{HeldDistribution, Job, JobEvent, JobKey, Server, ServerStatistics};

/// The clock's reading at the start of a run.
pub const ORIGIN: Micros = 1_000_000_000;
/// Looking up a repeat costs a server this much work.
const LOOK_UP: f64 = 200.0;

/// A client's wish, with all its tries.
struct Op {
    number: u64,
    proxy: u32,
    class: u8,
    work: f64,
    start: Micros,
    /// Tries so far; the fate once it has ended.
    tries: u32,
    ended: bool,
    /// Tries open, retries due and jobs at servers.
    holds: u32,
    /// Where and when it ran.
    runs: SmallVec<[(usize, Micros); 1]>,
}

/// One try of an operation, as a proxy holds it.
struct Try {
    op: DefaultKey,
    proxy: u32,
    expires: Micros,
    over: bool,
    /// Its client has left.
    left: bool,
    attempts: SmallVec<[Attempt; 1]>,
}

struct Attempt {
    server: u32,
    life: u32,
    sent: Micros,
    out: bool,
    fresh: bool,
    /// It holds a connection that the server counts.
    connected: bool,
    job: Option<JobKey>,
    /// How it ended, as the proxy was told.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

impl Try {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

/// How one try ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    Refused(Option<Micros>),
    Failed,
    /// The proxy was not there, or went down with it.
    Unreachable,
    /// No answer came in time.
    Unanswered,
    /// The client left.
    Walked,
}

/// What waits in the queue.
enum What {
    Arrive(u32),
    Again(DefaultKey),
    Expire(u64),
    Leave(u64),
    Timer {
        proxy: u32,
        life: u32,
        token: u64,
    },
    Reach {
        request: u64,
        n: u8,
    },
    Back {
        request: u64,
        n: u8,
        outcome: Outcome,
    },
    TimedOut {
        request: u64,
        n: u8,
    },
    CallOff {
        server: u32,
        life: u32,
        job: JobKey,
    },
    Look {
        server: u32,
        at: Micros,
    },
    Visible(u32),
    News {
        proxy: u32,
        life: u32,
    },
    Called {
        proxy: u32,
        life: u32,
        ok: bool,
    },
    Probe {
        proxy: u32,
        life: u32,
        server: u32,
        sent: Micros,
    },
    Probed {
        proxy: u32,
        life: u32,
        server: u32,
        sent: Micros,
        held: Option<u32>,
    },
    Peer {
        from: u32,
        to: u32,
        data: Box<[u8]>,
    },
    Idle {
        proxy: u32,
        server: u32,
    },
    Step(u32),
    Sample,
}

/// A server with its surroundings. Its number is its position; a replacement has a new one.
struct Machine {
    server: Server,
    id: ServerId,
    zone: usize,
    place: u32,
    pool: usize,
    life: u32,
    connections: u32,
    phase: Phase,
    /// Its machine gives no sign.
    vanished: bool,
    /// Pushed over while cold: it stays down.
    fallen: bool,
    /// The change of the list that told of its latest start.
    told_at: usize,
    armed: Micros,
    /// Busy share at each sample, and what was counted at the last one.
    busy: Vec<f32>,
    before: (f64, f64),
}

/// A place that a server stands at: its address.
struct Place {
    machine: u32,
    slow: BTreeMap<usize, f64>,
    degradations: BTreeMap<usize, Degradation>,
    stopped: u32,
    lost: u32,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent conditions of one proxy"
)]
struct Proxy {
    zone: usize,
    weight: f64,
    policy: Option<Box<dyn Policy>>,
    life: u32,
    clients_there: bool,
    subscribed: bool,
    /// When it last heard of or asked discovery, and whether its last call failed.
    heard: Micros,
    failed: bool,
    version: usize,
    news_due: bool,
    closing: FxHashMap<u32, Micros>,
    idle: ConnectionPool,
    arrivals: Stream,
    work: Stream,
    burst: (bool, f64),
    /// The second of the last arrival, exactly: whole microseconds would add up at high rates.
    asked_at: f64,
}

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
    most_tries: usize,
    may_duplicate: bool,
}

fn key(request: u64) -> DefaultKey {
    KeyData::from_ffi(request).into()
}

fn server_id(number: u32) -> ServerId {
    // The order of the ids tells nothing; the low half leads back to the server.
    ServerId(hash_parts([u64::from(number), 0x5e, 0, 0]) << 32 | u64::from(number))
}

fn number_of(id: ServerId) -> u32 {
    id.0 as u32
}

struct Seen<'a> {
    machines: &'a [Machine],
    places: &'a [Place],
    network: &'a Network,
    now: Micros,
}

impl Truth for Seen<'_> {
    fn would_take(&self, server: ServerId, zone: usize, class: usize, work: f64) -> (f64, f64) {
        const NEVER: (f64, f64) = (f64::INFINITY, f64::INFINITY);
        let Some(machine) = self.machines.get(number_of(server) as usize) else {
            return NEVER;
        };
        let degradations = || {
            self.places[machine.place as usize]
                .degradations
                .values()
                .filter(|degradation| usize::from(degradation.class) == class)
        };
        if degradations().any(|degradation| degradation.unanswered)
            || machine.server.near_overdrive()
        {
            return NEVER;
        }
        let work = work
            * degradations()
                .map(|degradation| degradation.factor)
                .product::<f64>();
        let gone = machine.vanished || machine.phase != Phase::Ready;
        if gone
            || self
                .network
                .partition_end(zone, machine.zone, self.now)
                .is_some()
        {
            return NEVER;
        }
        let way = 2.0 * self.network.base_delay(zone, machine.zone) as f64;
        let estimate = machine.server.estimate(self.now, work);
        (estimate.wait, way + estimate.total)
    }
}

fn effect(class: &Class) -> Effect {
    match class.effect {
        EffectSpec::Free => Effect::Idempotent,
        EffectSpec::Once => Effect::NonIdempotent,
        EffectSpec::Keyed => Effect::Deduplicated {
            group: match class.group {
                GroupSpec::All => Group::All,
                GroupSpec::Zone => Group::Zone,
            },
            window: seconds(class.dedup_s),
        },
    }
}

/// What a proxy of a scenario is told at its start.
pub fn settings(scenario: &Scenario, me: u32, zone: usize) -> Settings {
    let p = &scenario.proxies;
    let cold = |f: fn(f64, f64) -> f64, start: f64, value: fn(&crate::scenario::Pool) -> f64| {
        scenario.pool.iter().map(value).fold(start, f)
    };
    let classes = scenario.class.iter().map(|c| ClassSettings {
        latency_target: millis(c.aim_ms),
        deadline: millis(c.deadline_ms),
        effect: effect(c),
        value: c.worth,
        late_value_share: 0.0,
        streaming: false,
    });
    Settings {
        balancers: p.count,
        balancer_index: me,
        classes: classes.collect(),
        tenants: Vec::new(),
        over_share_value: 1.0,
        zones: scenario.zones.len(),
        zone,
        discovery: if scenario.discovery.watch {
            Watching::Subscribed
        } else {
            Watching::Pushed
        },
        sizes: if p.sizes {
            SizeMeaning::Capacity
        } else {
            SizeMeaning::Unknown
        },
        key_affinity: false,
        tick: 5_000,
        limits: Limits {
            max_attempts: p.most_tries,
            allow_hedging: p.may_duplicate,
            cancel: p.cancel,
            probes: p.probes,
            peers: p.peers,
            retry_after: true,
            max_retry_after: seconds(p.max_retry_after_s),
        },
        safety: Safety {
            answer_slack: millis(scenario.rules.answer_slack_ms),
            discovery_interval: seconds(scenario.rules.ask_within_s),
            initial_capacity: cold(f64::min, 1.0, |p| p.cold_share),
            warm_up: seconds(cold(f64::max, 0.0, |p| p.cold_s)),
            drain_grace: millis(scenario.rules.drain_grace_ms),
            overload_window: seconds(scenario.rules.cold_window_s),
            overload_multiple: scenario.rules.cold_multiple,
        },
        penalties: Penalties {
            cross_zone: p.cross_zone,
            waste: 0.0,
            late_fail: 0.0,
        },
    }
}

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

impl<'a> World<'a> {
    /// A run of a checked scenario under one of the named policies.
    #[must_use]
    pub fn new(scenario: &'a Scenario, policy: PolicyName, seed: u64) -> Self {
        let build = move |settings, seed| policy.build(settings, seed);
        let mut world = Self::with(scenario, policy.name(), seed, Box::new(build));
        world.hints = policy == PolicyName::Ceiling;
        world
    }

    /// A run under a policy of the caller's own.
    #[must_use]
    pub fn with(scenario: &'a Scenario, name: &str, seed: u64, build: Builder<'a>) -> Self {
        let zones = scenario.zones.len();
        let end = ORIGIN + seconds(scenario.length_s);
        let longest = scenario
            .class
            .iter()
            .map(|c| millis(c.deadline_ms))
            .max()
            .unwrap_or(0);
        let shares: f64 = scenario.class.iter().map(|c| c.share).sum();
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
                .class
                .iter()
                .map(|c| {
                    sum += c.share / shares;
                    sum
                })
                .collect(),
            arrivals_most: 0.0,
            rules: Rulings {
                slack: millis(scenario.rules.answer_slack_ms),
                ask_within: seconds(scenario.rules.ask_within_s),
                most_tries: scenario.proxies.most_tries as usize,
                may_duplicate: scenario.proxies.may_duplicate,
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
            let pool = &self.scenario.pool[machine.pool];
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

    /// Servers, proxies, the first lists and all steps of the troubles.
    fn found(&mut self) {
        let zones = self.scenario.zones.len();
        let mut dealt = 0;
        for (number, pool) in self.scenario.pool.iter().enumerate() {
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
        let busiest = self.scenario.clients.busiest;
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

    fn column(&self) -> Micros {
        ((self.end - ORIGIN) / COLUMNS as u64).max(1)
    }

    /// A machine that is not up yet.
    fn machine(&mut self, pool: usize, zone: usize, place: u32) -> u32 {
        let number = self.machines.len() as u32;
        let spec = &self.scenario.pool[pool];
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

    // ---- The loop
    // ---------------------------------------------------------------------------------------

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

    fn lives(&self, proxy: u32, life: u32) -> bool {
        let p = &self.proxies[proxy as usize];
        p.policy.is_some() && p.life == life
    }

    fn sample(&mut self) {
        for number in 0..self.machines.len() as u32 {
            self.advance(number);
            let machine = &mut self.machines[number as usize];
            let statistics = &machine.server.statistics;
            let (busy, there) = (statistics.busy_core_time, statistics.available_core_time);
            let (b, t) = (busy - machine.before.0, there - machine.before.1);
            machine.before = (busy, there);
            machine
                .busy
                .push(if t > 0.0 { (b / t) as f32 } else { f32::NAN });
            self.touched(number);
        }
        if self.now + self.column() <= self.end {
            self.queue.push(self.now + self.column(), What::Sample);
        }
    }

    // ---- Clients
    // ----------------------------------------------------------------------------------------

    /// The highest rate at which one proxy of weight 1 is ever asked, over the mean.
    fn rate_most(&self) -> f64 {
        let c = &self.scenario.clients;
        let burst = if c.arrivals == Arrivals::Bursty {
            c.burst_factor
        } else {
            1.0
        };
        self.scenario.curve_most() * max_surge_factor(self.scenario) * burst
    }

    /// Draws when a proxy is asked next. Candidates come at the highest rate and are kept in
    /// proportion to the rate at their time, so that the draws of one proxy never depend on what
    /// else happens.
    fn next_arrival(&mut self, proxy: u32) {
        let (scenario, c) = (self.scenario, &self.scenario.clients);
        let p = &mut self.proxies[proxy as usize];
        let base = c.rate * p.weight;
        let mut at = p.asked_at;
        let bursty = c.arrivals == Arrivals::Bursty;
        let mean = (c.burst_s * c.burst_factor + c.rest_s) / (c.burst_s + c.rest_s);
        loop {
            let factor = |at: f64| scenario.curve(at) * surge_factor(scenario, at);
            if c.arrivals == Arrivals::Even {
                at += 1.0 / (base * factor(at)).max(1e-9);
            } else {
                let most = base * self.arrivals_most / if bursty { mean } else { 1.0 };
                at += p.arrivals.exponential(1.0 / most.max(1e-12));
                while bursty && p.burst.1 <= at {
                    p.burst.0 = !p.burst.0;
                    p.burst.1 +=
                        p.arrivals
                            .exponential(if p.burst.0 { c.burst_s } else { c.rest_s });
                }
                let burst = if bursty && p.burst.0 {
                    c.burst_factor
                } else {
                    1.0
                };
                if p.arrivals.unit() * self.arrivals_most > factor(at) * burst {
                    if at > scenario.length_s {
                        return;
                    }
                    continue;
                }
            }
            break;
        }
        p.asked_at = at;
        if at < scenario.length_s {
            self.queue.push(ORIGIN + seconds(at), What::Arrive(proxy));
        }
    }

    fn arrive(&mut self, proxy: u32) {
        let p = &mut self.proxies[proxy as usize];
        // Drawn whether or not anybody is there: troubles leave the other draws as they are.
        let x = p.work.unit();
        let class = self
            .class_shares
            .iter()
            .position(|s| x < *s)
            .unwrap_or(self.class_shares.len() - 1);
        let spec = &self.scenario.class[class];
        let work = p.work.sample(spec.law, spec.work_ms * 1e3, spec.cv);
        if p.clients_there {
            self.asked += 1;
            self.open_ops += 1;
            let op = self.ops.insert(Op {
                number: self.asked,
                proxy,
                class: class as u8,
                work,
                start: self.now,
                tries: 0,
                ended: false,
                holds: 0,
                runs: SmallVec::new(),
            });
            self.begin_try(op);
        }
        self.next_arrival(proxy);
    }

    fn begin_try(&mut self, key: DefaultKey) {
        let op = &mut self.ops[key];
        op.tries += 1;
        let (proxy, class, number) = (op.proxy, op.class as usize, op.number);
        let spec = &self.scenario.class[class];
        let clients = &self.scenario.clients;
        let draw =
            |what: u64| unit_interval(hash_parts([self.seed, number, u64::from(op.tries), what]));
        let (from, to) = clients.patience;
        let patience = millis(spec.deadline_ms * (from + (to - from) * draw(1)));
        let expires = (self.now + patience).min(op.start + millis(spec.deadline_ms));
        let walks = (clients.walk_away > 0.0 && draw(2) < clients.walk_away).then(|| draw(3));
        let hint = self.hints.then_some(op.work as Micros);
        let subject = (spec.effect == EffectSpec::Keyed).then_some(number);
        let again = op.tries > 1;
        op.holds += 1;
        let request = self
            .tries
            .insert(Try {
                op: key,
                proxy,
                expires,
                over: false,
                left: false,
                attempts: SmallVec::new(),
            })
            .data()
            .as_ffi();
        if self.proxies[proxy as usize].policy.is_none() {
            return self.end_try(request, End::Unreachable);
        }
        self.queue.push(expires, What::Expire(request));
        if let Some(part) = walks {
            let at = self.now + ((expires - self.now) as f64 * part) as Micros;
            self.queue.push(at, What::Leave(request));
        }
        let request = Request {
            id: request,
            class,
            tenant: None,
            key: subject,
            work_hint: hint,
            client_retry: again,
            expires,
        };
        self.tell(proxy, Event::Request(request));
    }

    /// A try is over for its client: the operation ends with it, or the client tries again.
    fn end_try(&mut self, request: u64, end: End) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            return;
        };
        held.over = true;
        let op = held.op;
        if !self.ops[op].ended {
            self.after_try(op, end);
        }
        self.drop_try(request);
    }

    fn after_try(&mut self, key: DefaultKey, end: End) {
        let op = &self.ops[key];
        let (spec, clients) = (
            &self.scenario.class[op.class as usize],
            &self.scenario.clients,
        );
        let (retries, at_once) = match self.storm {
            Some(retries) => (retries, true),
            None => (clients.retries, clients.retry_wait == RetryWait::AtOnce),
        };
        let draw = unit_interval(hash_parts([self.seed, op.number, u64::from(op.tries), 4]));
        let first = clients.retry_ms * 1e3;
        let wait = match clients.retry_wait {
            _ if at_once => 0.0,
            RetryWait::AtOnce => 0.0,
            RetryWait::Fixed => first * (0.8 + 0.4 * draw),
            RetryWait::Exponential => first * f64::from(1u32 << (op.tries - 1).min(20)) * draw,
            RetryWait::RetryAfter => match end {
                End::Refused(Some(after)) => after as f64 + first * draw,
                _ => first * (0.8 + 0.4 * draw),
            },
        };
        let at = self.now + wait as Micros;
        let deadline = op.start + millis(spec.deadline_ms);
        let harmless = matches!(end, End::Refused(_) | End::Unreachable);
        let permitted = match spec.effect {
            EffectSpec::Free => true,
            EffectSpec::Once => harmless,
            EffectSpec::Keyed => {
                harmless || spec.group == GroupSpec::All && at < op.start + seconds(spec.dedup_s)
            }
        };
        let gone = matches!(end, End::Served | End::Walked);
        if !gone && permitted && op.tries <= retries && at < deadline {
            self.ops[key].holds += 1;
            return self.queue.push(at, What::Again(key));
        }
        let fate = match end {
            End::Served => Fate::Served(self.now - op.start),
            End::Refused(_) => Fate::Refused,
            _ => Fate::Failed,
        };
        let (zone, op) = (self.proxies[op.proxy as usize].zone, &mut self.ops[key]);
        op.ended = true;
        self.open_ops -= 1;
        let (number, proxy, class, start) = (op.number, op.proxy, op.class as usize, op.start);
        self.judge.ended(&Ended {
            number,
            proxy,
            zone,
            class,
            start,
            fate,
        });
    }

    fn release(&mut self, key: DefaultKey) {
        let Some(op) = self.ops.get_mut(key) else {
            return;
        };
        op.holds -= 1;
        if op.holds == 0 && op.ended {
            self.ops.remove(key);
        }
    }

    /// The client's time is up: what is still out times out, and a little later the client is gone.
    fn expire(&mut self, request: u64) {
        let Some(held) = self.tries.get(key(request)) else {
            return;
        };
        for n in 0..held.attempts.len() as u8 {
            if self.attempt(request, n).is_some_and(|a| a.out) {
                self.call_off(request, n);
                self.settle(request, n, Outcome::Timeout);
            }
        }
        if self.tries.get(key(request)).is_some_and(|t| !t.over) {
            self.queue
                .push(self.now + self.rules.slack, What::Leave(request));
        }
    }

    fn leave(&mut self, request: u64) {
        let Some(held) = self.tries.get(key(request)).filter(|t| !t.over) else {
            return;
        };
        let (proxy, late) = (held.proxy, self.now >= held.expires + self.rules.slack);
        if late {
            let (server, number) = (
                held.attempts.last().map(|a| a.server),
                self.ops[held.op].number,
            );
            let what = "no final answer by the client's deadline";
            self.judge
                .break_of(Rule::OneAnswer, self.now, proxy, server, Some(number), what);
        }
        let held = &mut self.tries[key(request)];
        (held.over, held.left) = (true, true);
        let op = held.op;
        if !self.ops[op].ended {
            self.after_try(op, if late { End::Unanswered } else { End::Walked });
        }
        self.tell(proxy, Event::ClientDisconnected { id: request });
        self.drop_try(request);
    }

    /// Forgets a try that is over and has nothing out.
    fn drop_try(&mut self, request: u64) {
        if self
            .tries
            .get(key(request))
            .is_some_and(|t| t.over && !t.out())
            && let Some(held) = self.tries.remove(key(request))
        {
            self.release(held.op);
        }
    }

    // ---- Proxies
    // ----------------------------------------------------------------------------------------

    fn begin_proxy(&mut self, number: u32) {
        let p = &mut self.proxies[number as usize];
        let (life, zone) = (p.life, p.zone);
        (p.heard, p.clients_there) = (self.now, true);
        p.closing.clear();
        p.subscribed = !self.scenario.discovery.watch;
        let version = p.version;
        let seed = hash_parts([
            self.seed,
            Purpose::Policy as u64,
            u64::from(number),
            u64::from(life),
        ]);
        p.policy = Some((self.build)(settings(self.scenario, number, zone), seed));
        let servers = self.discovery.list_at(version);
        let servers = servers.iter().map(|l| self.entry(l)).collect();
        self.tell(
            number,
            Event::Members(Listing {
                scope: Scope::Cached,
                servers,
            }),
        );
        if !self.scenario.discovery.watch {
            self.news(number, Scope::Complete);
        }
    }

    fn end_proxies(&mut self, list: &[u32], clients_too: bool) {
        for &number in list {
            let p = &mut self.proxies[number as usize];
            if p.policy.take().is_some() {
                p.life += 1;
            }
            p.clients_there = !clients_too;
            for (server, idle) in p.idle.drain() {
                let machine = &mut self.machines[server as usize];
                if machine.life == idle.incarnation {
                    machine.connections = machine.connections.saturating_sub(idle.count);
                }
            }
        }
        let ends: std::collections::BTreeSet<u32> = list.iter().copied().collect();
        let held: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, t)| ends.contains(&t.proxy))
            .map(|(key, _)| key.data().as_ffi())
            .collect();
        for request in held {
            for n in 0..self.tries[key(request)].attempts.len() as u8 {
                if self.attempt(request, n).is_some_and(|a| a.out) {
                    self.call_off(request, n);
                }
            }
            if self.tries[key(request)].over {
                self.drop_try(request);
            } else {
                // What a killed instance held is lost with it, and no fault of its.
                self.end_try(request, End::Unanswered);
            }
        }
    }

    fn tell(&mut self, number: u32, event: Event) {
        let mut pending = std::mem::take(&mut self.pending);
        let mut actions = std::mem::take(&mut self.actions);
        pending.push_back(event);
        while let Some(event) = pending.pop_front() {
            let Some(mut policy) = self.proxies[number as usize].policy.take() else {
                break;
            };
            let seen = Seen {
                machines: &self.machines,
                places: &self.places,
                network: &self.network,
                now: self.now,
            };
            policy.handle(self.now, event, &seen, &mut actions);
            self.proxies[number as usize].policy = Some(policy);
            for action in actions.drain(..) {
                self.act(number, action, &mut pending);
            }
        }
        pending.clear();
        (self.pending, self.actions) = (pending, actions);
    }

    fn act(&mut self, proxy: u32, action: Action, pending: &mut VecDeque<Event>) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => self.send(proxy, id, server, timeout, pending),
            Action::Reject { id, retry_after } => self.answer(proxy, id, End::Refused(retry_after)),
            Action::Fail { id } => self.answer(proxy, id, End::Failed),
            Action::Cancel { id, attempt } => {
                let n = attempt as u8;
                if self.attempt(id, n).is_some_and(|a| a.out) {
                    self.call_off(id, n);
                    pending.push_back(Event::AttemptEnded(self.settled(id, n, Outcome::Cancelled)));
                    self.drop_try(id);
                }
            }
            Action::Timer { delay, token } => {
                let life = self.proxies[proxy as usize].life;
                self.queue.push(
                    self.now.saturating_add(delay.max(1)),
                    What::Timer { proxy, life, token },
                );
            }
            Action::Subscribe | Action::FetchAll => {
                let QueryResult { at, answered: ok } = self.discovery.query(self.now);
                let p = &mut self.proxies[proxy as usize];
                p.heard = self.now;
                let life = p.life;
                let way = 2 * self.network.base_delay(0, 0);
                self.queue.push(at + way, What::Called { proxy, life, ok });
            }
            Action::Unsubscribe => self.proxies[proxy as usize].subscribed = false,
            Action::Probe { server } => {
                self.probes += 1;
                let (server, sent) = (number_of(server), self.now);
                let p = &self.proxies[proxy as usize];
                let to = self.machines[server as usize].zone;
                let at = sent + self.network.delay(p.zone, to, [u64::from(proxy), sent]);
                self.queue.push(
                    at,
                    What::Probe {
                        proxy,
                        life: p.life,
                        server,
                        sent,
                    },
                );
            }
            Action::SendToPeers { to, data } => self.spread(proxy, to, &data),
            Action::CloseIdle { server } => {
                let machine = &mut self.machines[number_of(server) as usize];
                let closed = self.proxies[proxy as usize]
                    .idle
                    .close(number_of(server), machine.life);
                machine.connections = machine.connections.saturating_sub(closed);
            }
            Action::Log(_) => {}
        }
    }

    fn spread(&mut self, from: u32, to: Option<u32>, data: &[u8]) {
        let all = 0..self.proxies.len() as u32;
        let to: Vec<u32> = to.map_or_else(|| all.filter(|n| *n != from).collect(), |to| vec![to]);
        for to in to
            .into_iter()
            .filter(|n| (*n as usize) < self.proxies.len())
        {
            let zones = (
                self.proxies[from as usize].zone,
                self.proxies[to as usize].zone,
            );
            let lost = self.datagrams.unit() < self.scenario.network.datagram_loss;
            if lost
                || self
                    .network
                    .partition_end(zones.0, zones.1, self.now)
                    .is_some()
            {
                continue;
            }
            let way = self.network.delay(
                zones.0,
                zones.1,
                [u64::from(from) << 32 | u64::from(to), self.now],
            );
            self.queue.push(
                self.now + way,
                What::Peer {
                    from,
                    to,
                    data: data.into(),
                },
            );
        }
    }

    fn answer(&mut self, proxy: u32, request: u64, end: End) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            let what = "answered a request that is over or unknown";
            return self
                .judge
                .break_of(Rule::OneAnswer, self.now, proxy, None, None, what);
        };
        if held.over {
            if !held.left {
                let number = self.ops[held.op].number;
                let what = "a second final answer";
                self.judge
                    .break_of(Rule::OneAnswer, self.now, proxy, None, Some(number), what);
            }
            return;
        }
        if matches!(end, End::Refused(_)) {
            self.check_refusal(proxy, request);
        }
        self.end_try(request, end);
    }

    // ---- Attempts
    // ---------------------------------------------------------------------------------------

    fn attempt(&self, request: u64, n: u8) -> Option<&Attempt> {
        self.tries
            .get(key(request))
            .and_then(|t| t.attempts.get(n as usize))
    }

    fn send(
        &mut self,
        proxy: u32,
        request: u64,
        server: ServerId,
        timeout: Option<Micros>,
        pending: &mut VecDeque<Event>,
    ) {
        let (now, server) = (self.now, number_of(server));
        let Some(held) = self.tries.get(key(request)) else {
            let what = "sent a request that is over or unknown";
            return self
                .judge
                .break_of(Rule::OneAnswer, now, proxy, Some(server), None, what);
        };
        let number = self.ops[held.op].number;
        let wrong = match () {
            () if held.over => Some((Rule::OneAnswer, "sent a request that has its answer")),
            () if held.attempts.len() >= self.rules.most_tries => {
                Some((Rule::NoEffectTwice, "more attempts than are allowed"))
            }
            () if held.out() && !self.rules.may_duplicate => Some((
                Rule::NoEffectTwice,
                "two attempts of one request out together",
            )),
            () if server as usize >= self.machines.len() => {
                Some((Rule::DrainsKept, "sent to an unknown server"))
            }
            () => None,
        };
        let moot = wrong.is_some() || held.expires <= now;
        if let Some((rule, what)) = wrong {
            self.judge
                .break_of(rule, now, proxy, Some(server), Some(number), what);
        }
        let n = held.attempts.len() as u8;
        if moot {
            let gone = Attempt {
                server: 0,
                life: 0,
                sent: now,
                out: false,
                fresh: false,
                connected: false,
                job: None,
                outcome: None,
            };
            self.tries[key(request)].attempts.push(gone);
            return pending.push_back(Event::AttemptEnded(self.settled(
                request,
                n,
                Outcome::NotSent,
            )));
        }
        self.check_drain(proxy, server, number);
        self.check_repeat(proxy, server, request, n);
        let machine = &mut self.machines[server as usize];
        let p = &mut self.proxies[proxy as usize];
        let fresh = !p.idle.take(server, machine.life);
        let way = |what: u64| {
            self.network
                .delay(p.zone, machine.zone, [number, u64::from(n) << 8 | what])
        };
        let at = now + way(0) + if fresh { way(1) + way(2) } else { 0 };
        self.cross_zone += u64::from(p.zone != machine.zone);
        self.attempts += 1;
        let held = &mut self.tries[key(request)];
        let attempt = Attempt {
            server,
            life: machine.life,
            sent: now,
            out: true,
            fresh,
            connected: !fresh,
            job: None,
            outcome: None,
        };
        held.attempts.push(attempt);
        if let Some(timeout) = timeout {
            self.queue
                .push(now + timeout, What::TimedOut { request, n });
        }
        self.queue.push(at, What::Reach { request, n });
        self.judge.fact(2, [number, now, u64::from(server)]);
    }

    /// Rule 3: a proxy that was told, or counts as told because it does not ask.
    fn check_drain(&mut self, proxy: u32, server: u32, number: u64) {
        let p = &self.proxies[proxy as usize];
        let mut told = p.closing.get(&server).copied();
        // A call that failed excuses for longer; while discovery is out nobody could know.
        let within = self.rules.ask_within * if p.failed { 4 } else { 1 };
        if told.is_none() && !p.subscribed && !self.discovery.is_out && self.now > p.heard + within
        {
            let asked = self
                .discovery
                .changes_since(p.version)
                .iter()
                .rev()
                .find(|l| l.server == server);
            let closed = asked.filter(|l| l.phase != Phase::Ready);
            told = closed.map(|l| l.since.max(p.heard) + within);
        }
        if let Some(told) = told {
            self.judge
                .sent_to_closing(self.now, told, proxy, server, number);
        }
    }

    /// Rule 2 where servers drop repeats: only those of the group, and only for a while, know of
    /// the first.
    fn check_repeat(&mut self, proxy: u32, server: u32, request: u64, n: u8) {
        let held = &self.tries[key(request)];
        let op = &self.ops[held.op];
        let spec = &self.scenario.class[op.class as usize];
        if spec.effect != EffectSpec::Keyed {
            return; // free may run again; for `once`, running twice shows it
        }
        let (now, window, zone) = (
            self.now,
            seconds(spec.dedup_s),
            self.machines[server as usize].zone,
        );
        let harmful = held.attempts[..n as usize]
            .iter()
            .filter(|a| a.may_have_run())
            .any(|a| {
                let stranger =
                    spec.group == GroupSpec::Zone && self.machines[a.server as usize].zone != zone;
                now >= a.sent + window || stranger
            });
        if harmful {
            let what = format!(
                "`{}` sent again to where nobody knows of the first",
                spec.name
            );
            self.judge.break_of(
                Rule::NoEffectTwice,
                now,
                proxy,
                Some(server),
                Some(op.number),
                what,
            );
        }
    }

    /// Rule 2 for refusals: "try again" only where that is harmless.
    fn check_refusal(&mut self, proxy: u32, request: u64) {
        let held = &self.tries[key(request)];
        let op = &self.ops[held.op];
        let spec = &self.scenario.class[op.class as usize];
        let harmless = match spec.effect {
            EffectSpec::Free => true,
            EffectSpec::Once => false,
            EffectSpec::Keyed => spec.group == GroupSpec::All,
        };
        if !harmless && held.attempts.iter().any(Attempt::may_have_run) {
            let what = format!("`{}` refused though it may have run", spec.name);
            self.judge.break_of(
                Rule::NoEffectTwice,
                self.now,
                proxy,
                None,
                Some(op.number),
                what,
            );
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet")]
    fn reach(&mut self, request: u64, n: u8) {
        let Some(held) = self.tries.get(key(request)) else {
            return;
        };
        let (proxy, op_key, expires) = (held.proxy, held.op, held.expires);
        let Some(attempt) = held.attempts.get(n as usize).filter(|a| a.out) else {
            return;
        };
        let &Attempt {
            server,
            life,
            sent,
            fresh,
            ..
        } = attempt;
        let zone = self.proxies[proxy as usize].zone;
        let machine = &self.machines[server as usize];
        let number = self.ops[op_key].number;
        let way = self
            .network
            .delay(zone, machine.zone, [number, u64::from(n) << 8 | 3]);
        let lost = sent + self.network.connect_timeout;
        if let Some(until) = self.network.partition_end(zone, machine.zone, self.now) {
            return if fresh {
                self.unreached(request, n, lost.max(self.now));
            } else {
                self.queue.push(until + way, What::Reach { request, n });
            };
        }
        if machine.vanished {
            // Nothing ever comes; a connection that was open is reset when the machine is back.
            return if fresh {
                self.unreached(request, n, lost.max(self.now));
            };
        }
        if !machine.server.up || machine.life != life {
            return if fresh {
                self.unreached(request, n, self.now + way);
            } else {
                self.queue.push(
                    self.now + way,
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            };
        }
        let (pool, class) = (&self.scenario.pool[machine.pool], self.ops[op_key].class);
        if fresh {
            if pool.connections > 0 && machine.connections >= pool.connections {
                return self.unreached(request, n, self.now + way);
            }
            let machine = &mut self.machines[server as usize];
            machine.connections += 1;
            machine.server.add_overhead(pool.handshake_work_ms * 1e3);
            self.tries[key(request)].attempts[n as usize].connected = true;
        }
        self.advance(server);
        let work = self.ops[op_key].work;
        let machine = &self.machines[server as usize];
        if machine.server.is_warming_up(self.now) {
            // Cold is what the rule is about: what else goes wrong there nobody can know
            // beforehand.
            let capacity = machine.server.full_capacity() * machine.server.warmth(self.now);
            let informed = self.proxies[proxy as usize].version >= machine.told_at;
            if self
                .judge
                .pressed(self.now, server, proxy, work, capacity, informed)
            {
                self.machines[server as usize].fallen = true;
                self.end_server(server, false);
                return self.queue.push(
                    self.now + way,
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        } else {
            self.judge.relieved(server);
        }
        let place = &self.places[machine.place as usize];
        let degradation: f64 = place
            .degradations
            .values()
            .filter(|degradation| degradation.class == class && !degradation.unanswered)
            .map(|degradation| degradation.factor)
            .product();
        let job = Job {
            request,
            attempt: n,
            op: op_key,
            class,
            work: work * degradation,
            expires,
            arrived: self.now,
            cancelled: false,
            started: false,
        };
        let machine = &mut self.machines[server as usize];
        let taken = match machine.phase {
            Phase::Ready => machine.server.arrive(job, &mut self.happened),
            _ => None,
        };
        match taken {
            Some(job) => {
                self.ops[op_key].holds += 1;
                self.tries[key(request)].attempts[n as usize].job = Some(job);
            }
            None => self.queue.push(
                self.now + way,
                What::Back {
                    request,
                    n,
                    outcome: Outcome::Overloaded,
                },
            ),
        }
        self.touched(server);
    }

    fn unreached(&mut self, request: u64, n: u8, at: Micros) {
        self.queue.push(
            at,
            What::Back {
                request,
                n,
                outcome: Outcome::ConnectFailed,
            },
        );
    }

    /// An outcome reaches the proxy.
    fn back(&mut self, request: u64, n: u8, outcome: Outcome) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            return;
        };
        let proxy = held.proxy;
        let Some(attempt) = held.attempts.get_mut(n as usize).filter(|a| a.out) else {
            return;
        };
        attempt.out = false;
        let (server, life, connected) = (attempt.server, attempt.life, attempt.connected);
        if connected && self.machines[server as usize].life == life {
            let idle = &mut self.proxies[proxy as usize].idle;
            if outcome == Outcome::Reset {
                let machine = &mut self.machines[server as usize];
                machine.connections = machine.connections.saturating_sub(1);
            } else if idle.put_back(server, life, self.now) {
                self.queue.push(
                    self.now + self.network.idle_timeout,
                    What::Idle { proxy, server },
                );
            }
        }
        if outcome == Outcome::Ok && !held.over {
            held.over = true;
            let op = held.op;
            if !self.ops[op].ended {
                self.after_try(op, End::Served);
            }
            let settled = self.settled(request, n, outcome);
            self.tell(proxy, Event::AttemptEnded(settled));
            return self.drop_try(request);
        }
        self.settle(request, n, outcome);
    }

    fn settled(&mut self, request: u64, n: u8, outcome: Outcome) -> AttemptEnded {
        let held = &mut self.tries[key(request)];
        let attempt = &mut held.attempts[n as usize];
        attempt.outcome = Some(outcome);
        let (id, server) = (request, self.machines[attempt.server as usize].id);
        let (latency, finished) = (self.now - attempt.sent, held.over);
        AttemptEnded {
            id,
            server,
            attempt: u32::from(n),
            outcome,
            latency,
            finished,
            load: None,
        }
    }

    fn settle(&mut self, request: u64, n: u8, outcome: Outcome) {
        let (settled, proxy) = (
            self.settled(request, n, outcome),
            self.tries[key(request)].proxy,
        );
        self.tell(proxy, Event::AttemptEnded(settled));
        self.drop_try(request);
    }

    /// The proxy gives an attempt up: its connection closes, and the server hears of it a little
    /// later.
    fn call_off(&mut self, request: u64, n: u8) {
        let held = &mut self.tries[key(request)];
        let zone = self.proxies[held.proxy as usize].zone;
        let number = self.ops[held.op].number;
        let attempt = &mut held.attempts[n as usize];
        attempt.out = false;
        let (server, life) = (attempt.server, attempt.life);
        let machine = &mut self.machines[server as usize];
        if attempt.connected && machine.life == life {
            machine.connections = machine.connections.saturating_sub(1);
        }
        let Some(job) = attempt
            .job
            .filter(|_| machine.life == life && !machine.vanished)
        else {
            return;
        };
        let way = self
            .network
            .delay(zone, machine.zone, [number, u64::from(n) << 8 | 4]);
        let from = self
            .network
            .partition_end(zone, machine.zone, self.now)
            .unwrap_or(self.now);
        self.queue
            .push(from + way, What::CallOff { server, life, job });
    }

    // ---- Servers
    // ----------------------------------------------------------------------------------------

    fn advance(&mut self, server: u32) {
        let mut happened = std::mem::take(&mut self.happened);
        self.machines[server as usize]
            .server
            .advance(self.now, &mut happened);
        self.happened = happened;
    }

    /// Carries out what happened at a server, and looks at it again when it wants to be.
    fn touched(&mut self, server: u32) {
        let mut happened = std::mem::take(&mut self.happened);
        for what in happened.drain(..) {
            match what {
                JobEvent::Started(job) => self.began(server, job),
                JobEvent::Finished(job) => self.left_server(server, &job, Outcome::Ok),
                JobEvent::Dropped(job) => self.left_server(server, &job, Outcome::Overloaded),
            }
        }
        self.happened = happened;
        let machine = &mut self.machines[server as usize];
        if let Some(at) = machine
            .server
            .next_deadline()
            .map(|due| due.max(self.now + 1))
            && at < machine.armed
        {
            machine.armed = at;
            self.queue.push(at, What::Look { server, at });
        }
    }

    /// A request begins to run: this is where an effect happens.
    fn began(&mut self, server: u32, job_key: JobKey) {
        let machine = &self.machines[server as usize];
        let Some(job) = machine.server.job(job_key) else {
            return;
        };
        let (zone, op_key) = (machine.zone, job.op);
        let op = &mut self.ops[op_key];
        let spec = &self.scenario.class[op.class as usize];
        let (now, number, proxy) = (self.now, op.number, op.proxy);
        match spec.effect {
            EffectSpec::Free => {}
            EffectSpec::Once if op.runs.is_empty() => {}
            EffectSpec::Once => {
                let what = format!("`{}` ran again, which it must never", spec.name);
                self.judge.break_of(
                    Rule::NoEffectTwice,
                    now,
                    proxy,
                    Some(server),
                    Some(number),
                    what,
                );
            }
            EffectSpec::Keyed => {
                let window = seconds(spec.dedup_s);
                let same = |run: &&(usize, Micros)| spec.group == GroupSpec::All || run.0 == zone;
                if op.runs.iter().filter(same).any(|run| now < run.1 + window) {
                    // The server knows it: a repeat is looked up and answered, and has no effect.
                    self.machines[server as usize]
                        .server
                        .shorten(job_key, LOOK_UP);
                    return self.judge.fact(4, [number, now, u64::from(server)]);
                }
                // An attempt that was given up and yet ran, long after: no policy could know, and
                // no rule is broken, but the effect is there and is counted.
                self.late_repeats += u64::from(!op.runs.is_empty());
            }
        }
        op.runs.push((zone, now));
        self.judge.fact(3, [number, now, u64::from(server)]);
    }

    /// What a server in `zone` says of a job goes on its way, unless its proxy no longer waits.
    /// `leg` names the message, so that its latency is its own.
    fn reply(&mut self, zone: usize, job: &Job, outcome: Outcome, leg: u64) {
        let Some(held) = self.tries.get(key(job.request)).filter(|_| !job.cancelled) else {
            return;
        };
        let to = self.proxies[held.proxy as usize].zone;
        let (number, n) = (self.ops[held.op].number, job.attempt);
        let way = self
            .network
            .delay(zone, to, [number, u64::from(n) << 8 | leg]);
        let from = self
            .network
            .partition_end(zone, to, self.now)
            .unwrap_or(self.now);
        self.queue.push(
            from + way,
            What::Back {
                request: job.request,
                n,
                outcome,
            },
        );
    }

    fn left_server(&mut self, server: u32, job: &Job, outcome: Outcome) {
        let machine = &self.machines[server as usize];
        let place = &self.places[machine.place as usize];
        let silent = place
            .degradations
            .values()
            .any(|degradation| degradation.class == job.class && degradation.unanswered);
        let zone = machine.zone;
        if !silent {
            self.reply(zone, job, outcome, 5);
        }
        self.release(job.op);
    }

    /// A server's process ends, or its machine vanishes.
    fn end_server(&mut self, server: u32, silent: bool) {
        self.advance(server);
        self.touched(server);
        let machine = &mut self.machines[server as usize];
        if !machine.server.up {
            return;
        }
        let zone = machine.zone;
        let jobs = machine.server.stop();
        machine.life += 1;
        machine.vanished = silent;
        (machine.connections, machine.armed) = (0, Micros::MAX);
        self.judge.relieved(server);
        for job in jobs {
            if !silent {
                self.reply(zone, &job, Outcome::Reset, 6);
            }
            self.release(job.op);
        }
        let gone = seconds(self.scenario.discovery.gone_s);
        self.queue.push(self.now + gone, What::Visible(server));
    }

    /// A server's process starts, cold; connections that led to its last life are reset.
    fn start_server(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        if machine.server.up || machine.fallen || machine.phase == Phase::Gone {
            return;
        }
        let was_silent = std::mem::replace(&mut machine.vanished, false);
        machine.server.start(self.now);
        machine.told_at = usize::MAX;
        let life = machine.life;
        let zone = machine.zone;
        self.hamper(server);
        let start = seconds(self.scenario.discovery.start_s);
        self.queue.push(self.now + start, What::Visible(server));
        if was_silent {
            let stuck = |a: &Attempt| a.out && a.server == server && a.life < life && a.connected;
            let found: Vec<(u64, u8, u32)> = self
                .tries
                .iter()
                .flat_map(|(key, t)| {
                    let stuck = t.attempts.iter().enumerate().filter(|(_, a)| stuck(a));
                    stuck.map(move |(n, _)| (key.data().as_ffi(), n as u8, t.proxy))
                })
                .collect();
            for (request, n, proxy) in found {
                let way = self
                    .network
                    .base_delay(zone, self.proxies[proxy as usize].zone);
                self.queue.push(
                    self.now + way,
                    What::Back {
                        request,
                        n,
                        outcome: Outcome::Reset,
                    },
                );
            }
        }
    }

    /// What goes on round a server makes it slower, or stop.
    fn hamper(&mut self, server: u32) {
        self.advance(server);
        let machine = &mut self.machines[server as usize];
        let place = &self.places[machine.place as usize];
        machine
            .server
            .set_fault(place.slow.values().product(), place.stopped > 0);
        machine.armed = Micros::MAX;
        self.touched(server);
    }

    fn step(&mut self, step: Step) {
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
                let late = seconds(self.scenario.discovery.drain_s);
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
    fn replace_server(&mut self, position: u32) {
        let old = self.places[position as usize].machine;
        self.end_server(old, false);
        let machine = &mut self.machines[old as usize];
        machine.phase = Phase::Gone;
        let (pool, zone) = (machine.pool, machine.zone);
        let gone = seconds(self.scenario.discovery.gone_s);
        self.queue.push(self.now + gone, What::Visible(old));
        let new = self.machine(pool, zone, position);
        if self.places[position as usize].lost == 0 {
            self.start_server(new);
        }
    }

    /// Discovery answers no query from now on, and its watches break.
    fn begin_discovery_outage(&mut self) {
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

    // ---- Discovery
    // --------------------------------------------------------------------------------------

    /// The list catches up with what is true of a server by now.
    fn visible(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        let phase = if machine.server.up {
            machine.phase
        } else {
            Phase::Gone
        };
        let started = machine.server.started;
        if phase == Phase::Ready {
            machine.told_at = self.discovery.version() + 1;
        }
        self.discovery.publish(ListEntry {
            server,
            phase,
            started,
            since: self.now,
        });
        let spread = seconds(self.scenario.discovery.spread_s);
        if self.discovery.is_out {
            return;
        }
        for proxy in 0..self.proxies.len() as u32 {
            let p = &mut self.proxies[proxy as usize];
            if p.subscribed && p.policy.is_some() && !p.news_due {
                p.news_due = true;
                let draw = unit_interval(hash_parts([self.seed, u64::from(proxy), self.now, 0x11]));
                let at = self.now + (spread as f64 * draw) as Micros;
                self.queue.push(
                    at,
                    What::News {
                        proxy,
                        life: p.life,
                    },
                );
            }
        }
    }

    fn entry(&self, listed: &ListEntry) -> ListedServer {
        let machine = &self.machines[listed.server as usize];
        ListedServer {
            id: machine.id,
            zone: machine.zone,
            cell: machine.zone as u64,
            phase: listed.phase,
            size: if self.scenario.proxies.sizes {
                machine.server.full_capacity()
            } else {
                1.0
            },
            started: (listed.started > 0).then_some(listed.started),
        }
    }

    /// A proxy hears the changes since it last heard, or the whole list.
    fn news(&mut self, proxy: u32, scope: Scope) {
        let p = &mut self.proxies[proxy as usize];
        let changes = self.discovery.changes_since(p.version);
        if scope == Scope::Changes && changes.is_empty() {
            return;
        }
        for listed in changes {
            match listed.phase {
                Phase::Ready => drop(p.closing.remove(&listed.server)),
                _ => drop(p.closing.entry(listed.server).or_insert(self.now)),
            }
        }
        (p.version, p.heard) = (self.discovery.version(), self.now);
        let version = p.version;
        let servers = match scope {
            Scope::Changes => changes.iter().map(|l| self.entry(l)).collect(),
            _ => self
                .discovery
                .list_at(version)
                .iter()
                .map(|l| self.entry(l))
                .collect(),
        };
        self.tell(proxy, Event::Members(Listing { scope, servers }));
    }

    fn called(&mut self, proxy: u32, life: u32, ok: bool) {
        if !self.lives(proxy, life) {
            return;
        }
        let fails = !ok || self.discovery.is_out;
        self.proxies[proxy as usize].failed = fails;
        if fails {
            let listing = Listing {
                scope: Scope::Failed,
                servers: Vec::new(),
            };
            return self.tell(proxy, Event::Members(listing));
        }
        self.proxies[proxy as usize].subscribed = true;
        self.news(proxy, Scope::Complete);
    }

    fn probe(&mut self, proxy: u32, life: u32, server: u32, sent: Micros) {
        let zone = self.proxies[proxy as usize].zone;
        let machine = &mut self.machines[server as usize];
        let way = self
            .network
            .delay(machine.zone, zone, [u64::from(proxy), sent ^ 1]);
        let silent = machine.vanished
            || self
                .network
                .partition_end(zone, machine.zone, self.now)
                .is_some();
        let up = machine.server.up && !silent;
        let at = if silent {
            (sent + self.network.connect_timeout).max(self.now)
        } else {
            self.now + way
        };
        let held = up.then(|| machine.server.held() as u32);
        if up {
            machine
                .server
                .add_overhead(self.scenario.pool[machine.pool].probe_work_ms * 1e3);
        }
        self.queue.push(
            at,
            What::Probed {
                proxy,
                life,
                server,
                sent,
                held,
            },
        );
    }

    fn probed(&mut self, proxy: u32, life: u32, server: u32, sent: Micros, held: Option<u32>) {
        if !self.lives(proxy, life) {
            return;
        }
        let reports = self.scenario.proxies.load_reports;
        let load = held.filter(|_| reports);
        let load = load.map(|held| LoadReport {
            cpu: None,
            active: Some(f64::from(held)),
        });
        let outcome = if held.is_some() {
            Outcome::Ok
        } else {
            Outcome::ConnectFailed
        };
        let (server, latency) = (self.machines[server as usize].id, self.now - sent);
        self.tell(
            proxy,
            Event::ProbeEnded {
                server,
                outcome,
                latency,
                load,
            },
        );
    }

    // ---- The end
    // ----------------------------------------------------------------------------------------

    /// Seconds of the scenario that have passed.
    #[must_use]
    pub fn second(&self) -> f64 {
        (self.now - ORIGIN) as f64 / 1e6
    }

    /// Closes the books.
    #[must_use]
    pub fn report(mut self) -> Report {
        for server in 0..self.machines.len() as u32 {
            self.advance(server);
            self.touched(server);
        }
        let stuck: Vec<DefaultKey> = self
            .ops
            .iter()
            .filter(|(_, op)| !op.ended)
            .map(|(key, _)| key)
            .collect();
        for key in stuck {
            let (proxy, number, start) = (
                self.ops[key].proxy,
                self.ops[key].number,
                self.ops[key].start,
            );
            let class = self.ops[key].class as usize;
            if self.now >= self.stop {
                let what = "still open after the end";
                self.judge
                    .break_of(Rule::OneAnswer, self.now, proxy, None, Some(number), what);
            }
            let zone = self.proxies[proxy as usize].zone;
            self.judge.ended(&Ended {
                number,
                proxy,
                zone,
                class,
                start,
                fate: Fate::Failed,
            });
        }
        self.judge
            .fact(9, [self.events, self.queue.total_pushed(), self.attempts]);
        let servers = self
            .machines
            .iter()
            .map(|m| ServerReport {
                kind: self.scenario.pool[m.pool].kind.clone(),
                zone: self.scenario.zones[m.zone].clone(),
                statistics: m.server.statistics.clone(),
                busy: m.busy.clone(),
                place: m.place,
            })
            .collect();
        let (events, attempts) = (self.events, self.attempts);
        let (probes, peer_bytes, cross_zone) = (self.probes, self.peer_bytes, self.cross_zone);
        let late_repeats = self.late_repeats;
        let counts = Traffic {
            attempts,
            probes,
            peer_bytes,
            cross_zone,
            late_repeats,
        };
        Report::new(
            self.scenario,
            self.policy,
            self.seed,
            events,
            counts,
            &self.judge,
            servers,
        )
    }
}
