//! A simulation of one region's gates over model servers that prefill prompts one after the other
//! and keep shared prefixes cached for a while. It measures how much is prefilled again, the time
//! to the first byte, and the load of the most loaded server.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use ironmast_balancer::Rng;
use ironmast_routing::{
    Call, Decider, Decision, HealthCheckOutcome, LoadReport, Micros, Outcome, PromptPart, Request,
    Settings, Table, Unlimited,
};

mod table;

const SECOND: Micros = 1_000_000;
const GATES: usize = 4;
const SERVERS: usize = 6;
const SLOTS: u32 = 64;
/// Prompt tokens prefilled in a millisecond.
const PREFILL_PER_MS: f64 = 56.6;
const STEP: f64 = 3790.0;
/// Fraction by which a decode step takes longer for each further running request.
const SLOWER: f64 = 0.01;
/// Time for which a prompt part stays in the prefix cache after its last use, in microseconds.
const PREFIX_CACHE_TTL: Micros = 10 * SECOND;

/// Silence after which clients give up a stream, in microseconds.
const SILENCE: Micros = 2_400_000;

/// The kinds of requests: rate per second, shared and own prompt tokens, output tokens.
const KINDS: [(f64, u64, u64, u64); 3] = [
    (5.2, 5382, 1228, 385),
    (8.6, 198, 430, 294),
    (7.7, 568, 1232, 21),
];

#[derive(Default)]
struct Server {
    running: u32,
    free_at: Micros,
    parts: HashMap<u64, Micros>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    FirstByte(usize),
    End(usize),
    /// The client may disconnect after a silence.
    Disconnect(usize),
    /// A gate runs the health checks that are due.
    HealthChecks(usize),
    /// A health check of a server by a gate ends.
    HealthChecked(usize, usize),
}

/// The fault of the first server during the second third of the simulated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// None.
    None,
    /// It accepts requests and goes silent.
    Silent,
    /// It crashes: its requests break, and connects fail.
    Crashed,
    /// It fails a third of its requests.
    Partial,
    /// It is twenty times as slow.
    Slow,
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Excess and floor of the load bounds of the affinity; round robin if `None`.
    pub affinity: Option<(f64, f64)>,
    /// Number of shared prefixes of each kind; the first ones are more frequent.
    pub subjects: usize,
    /// Multiple of the normal request rates.
    pub load_factor: f64,
    /// Simulated time.
    pub seconds: u64,
    /// The fault of the first server.
    pub fault: Fault,
}

struct Flight {
    gate: usize,
    call: Call,
    server: usize,
    sent: Micros,
    kind: usize,
    began: bool,
}

#[derive(Default)]
pub(crate) struct Results {
    /// Times to the first byte, ascending.
    pub first_bytes: Vec<Micros>,
    shared: u64,
    again: u64,
    /// Maximum number of requests running at one server.
    pub most: u32,
    /// Number of rejected requests.
    pub rejected: usize,
    /// Number of ejections.
    pub ejected: u64,
    /// Requests of each kind, and those of them that were accepted.
    pub asked: [usize; 3],
    pub taken: [usize; 3],
    /// Requests that ended without an answer, and those that elapsed over a second to the first
    /// byte.
    pub lost: usize,
    pub late: usize,
    /// Health checks.
    pub health_checks: usize,
    /// Number of rejections while less than half of all slots were in use.
    pub early: usize,
}

impl Results {
    /// Fraction of the shared tokens that were prefilled again although another server had them
    /// cached.
    pub(crate) fn prefilled_again(&self) -> f64 {
        self.again as f64 / self.shared as f64
    }

    /// A quantile of the time to the first byte, in milliseconds.
    pub(crate) fn first_ms(&self, part: f64) -> u64 {
        self.first_bytes[(part * self.first_bytes.len() as f64) as usize] / 1000
    }
}

/// Simulates a region whose servers are all healthy.
pub(crate) fn simulate(
    affinity: Option<(f64, f64)>,
    subjects: usize,
    load_factor: f64,
    seconds: u64,
) -> Results {
    simulate_plan(&Plan {
        affinity,
        subjects,
        load_factor,
        seconds,
        fault: Fault::None,
    })
}

/// Simulates a plan.
pub(crate) fn simulate_plan(plan: &Plan) -> Results {
    let mut simulation = Simulation::new(*plan);
    while let Some(Reverse((now, step))) = simulation.steps.pop() {
        simulation.now = now;
        simulation.step(&step);
    }
    simulation.end()
}

/// The state of a simulation.
struct Simulation {
    plan: Plan,
    now: Micros,
    table: Arc<Table>,
    gates: Vec<Decider>,
    rng: Rng,
    servers: Vec<Server>,
    /// When each shared prefix was last used, at any server.
    read: HashMap<u64, Micros>,
    flights: HashMap<usize, Flight>,
    steps: BinaryHeap<Reverse<(Micros, Step)>>,
    number: usize,
    results: Results,
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let table = Arc::new(table::table(plan.affinity.is_some()));
        let mut settings = Settings::new("r", "z");
        if let Some(bounds) = plan.affinity {
            (settings.affinity_load_excess, settings.affinity_load_floor) = bounds;
        }
        let gate = |seed| {
            let mut gate = Decider::new(settings.clone(), seed as u64).expect("settings");
            gate.update_table(0, table.clone());
            gate
        };
        let arrivals = (0..KINDS.len()).map(|kind| Reverse((0, Step::Arrive(kind))));
        let checks = (0..GATES).map(|gate| Reverse((0, Step::HealthChecks(gate))));
        Simulation {
            plan,
            now: 0,
            gates: (0..GATES).map(gate).collect(),
            table: table.clone(),
            rng: Rng(7),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            read: HashMap::new(),
            flights: HashMap::new(),
            steps: arrivals.chain(checks).collect(),
            number: 0,
            results: Results::default(),
        }
    }

    fn schedule(&mut self, time: Micros, step: Step) {
        self.steps.push(Reverse((self.now + time, step)));
    }

    fn has_fault(&self, server: usize, fault: Fault) -> bool {
        let third = self.plan.seconds * SECOND / 3;
        server == 0 && self.plan.fault == fault && (third..2 * third).contains(&self.now)
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Arrive(kind) => self.arrive(kind),
            Step::FirstByte(number) => self.first_byte(number),
            Step::End(number) => self.complete(number),
            Step::Disconnect(number) => self.disconnect(number),
            Step::HealthChecks(gate) => self.run_health_checks(gate),
            Step::HealthChecked(gate, server) => self.health_check_finished(gate, server),
        }
    }

    fn arrive(&mut self, kind: usize) {
        let pause = -self.rng.unit().max(1e-9).ln() / (KINDS[kind].0 * self.plan.load_factor)
            * SECOND as f64;
        if self.now + (pause as Micros) < self.plan.seconds * SECOND {
            self.schedule(pause as Micros, Step::Arrive(kind));
        }
        self.events();
        let subject = self.subject(kind);
        let request = self.request(kind, subject);
        let gate = (self.rng.unit() * GATES as f64) as usize;
        let (mut call, mut decision) = self.gates[gate].begin(self.now, request, &mut Unlimited);
        self.results.asked[kind] += 1;
        loop {
            let Decision::Send(dispatch) = decision else {
                return self.rejected_or_lost(matches!(decision, Decision::Reject(_)));
            };
            let server = dispatch.address.port() as usize - 8000;
            let Some(failure) = self.failure(server) else {
                self.results.taken[kind] += 1;
                return self.send(
                    Flight {
                        gate,
                        call,
                        server,
                        sent: self.now,
                        kind,
                        began: false,
                    },
                    subject,
                );
            };
            decision =
                self.gates[gate].attempt_finished(self.now, &mut call, failure, &mut Unlimited);
        }
    }

    /// How a request to a server fails at once, if it does.
    fn failure(&mut self, server: usize) -> Option<Outcome> {
        if self.has_fault(server, Fault::Crashed) {
            return Some(Outcome::ConnectFailed);
        }
        let grey = self.has_fault(server, Fault::Partial) && self.rng.unit() < 1.0 / 3.0;
        grey.then_some(Outcome::ServerError)
    }

    fn rejected_or_lost(&mut self, rejected: bool) {
        if !rejected {
            self.results.lost += 1;
            return;
        }
        self.results.rejected += 1;
        let running: u32 = self.servers.iter().map(|server| server.running).sum();
        self.results.early += usize::from(2 * running < SLOTS * SERVERS as u32);
    }

    /// Forwards an event of every stream that has begun.
    fn events(&mut self) {
        let dark = self.has_fault(0, Fault::Silent);
        let heard = |flight: &&mut Flight| flight.began && !(dark && flight.server == 0);
        for flight in self.flights.values_mut().filter(heard) {
            self.gates[flight.gate].response_forwarded(self.now, &mut flight.call, Some(1));
        }
    }

    fn subject(&mut self, kind: usize) -> u64 {
        let skewed = self.rng.unit() * self.rng.unit() * self.plan.subjects as f64;
        skewed as u64 + 1000 * (kind as u64 + 1)
    }

    fn request(&mut self, kind: usize, subject: u64) -> Request {
        let (_, shared, own, out) = KINDS[kind];
        self.number += 1;
        let route = self
            .table
            .router()
            .route("a", &format!("/{kind}/"))
            .expect("a route")
            .clone();
        let part = |id, tokens| PromptPart { id, tokens };
        let mut request = Request::new(route);
        request.parts.extend([
            part(subject, shared),
            part(self.number as u64 + 1_000_000, own),
        ]);
        (request.prompt_tokens, request.max_output_tokens) = (shared + own, out);
        request
    }

    /// Time of a decode step at a server, as a multiple of that at a healthy idle one.
    fn slowdown(&self, server: usize) -> f64 {
        let slow = if self.has_fault(server, Fault::Slow) {
            20.0
        } else {
            1.0
        };
        slow * (1.0 + SLOWER * f64::from(self.servers[server].running))
    }

    fn send(&mut self, flight: Flight, subject: u64) {
        let (_, shared, own, _) = KINDS[flight.kind];
        let (now, number, at) = (self.now, self.number, flight.server);
        let kept = |at: Option<&Micros>| at.is_some_and(|used| used + PREFIX_CACHE_TTL > now);
        let server = &mut self.servers[at];
        server.running += 1;
        self.results.most = self.results.most.max(server.running);
        let here = kept(server.parts.get(&subject));
        self.results.shared += shared;
        if !here && kept(self.read.get(&subject)) {
            self.results.again += shared;
        }
        server.parts.insert(subject, now);
        self.read.insert(subject, now);
        self.flights.insert(number, flight);
        let slow = if self.has_fault(at, Fault::Slow) {
            20.0
        } else {
            1.0
        };
        let tokens = own + if here { 0 } else { shared };
        let prefill = slow * tokens as f64 / PREFILL_PER_MS * 1000.0;
        let server = &mut self.servers[at];
        server.free_at = server.free_at.max(now) + prefill as Micros;
        let first = server.free_at - now + (STEP * self.slowdown(at)) as Micros;
        self.schedule(first, Step::FirstByte(number));
    }

    /// Returns true if the event is lost because its server has crashed or is silent.
    fn loses_event(&mut self, number: usize) -> bool {
        let Some(server) = self.flights.get(&number).map(|flight| flight.server) else {
            return true;
        };
        if self.has_fault(server, Fault::Silent) {
            self.schedule(SILENCE, Step::Disconnect(number));
            return true;
        }
        if self.has_fault(server, Fault::Crashed) {
            self.results.lost += 1;
            self.finish(number, Outcome::Reset);
            return true;
        }
        false
    }

    fn finish(&mut self, number: usize, outcome: Outcome) {
        if let Some(mut flight) = self.flights.remove(&number) {
            self.servers[flight.server].running -= 1;
            self.gates[flight.gate].attempt_finished(
                self.now,
                &mut flight.call,
                outcome,
                &mut Unlimited,
            );
        }
    }

    fn first_byte(&mut self, number: usize) {
        if self.loses_event(number) {
            return;
        }
        let flight = self.flights.get_mut(&number).expect("in flight");
        flight.began = true;
        let (at, kind, elapsed) = (flight.server, flight.kind, self.now - flight.sent);
        let gate = &mut self.gates[flight.gate];
        gate.first_byte_received(self.now, &mut flight.call);
        gate.response_forwarded(self.now, &mut flight.call, Some(1));
        let handle = gate.server(&format!("i-{at}")).expect("listed");
        let running = self.servers[at].running;
        gate.apply_load_report(
            self.now,
            handle,
            LoadReport {
                running,
                waiting: 0,
                slots: Some(SLOTS),
                kv_cache: None,
            },
        );
        self.results.first_bytes.push(elapsed);
        self.results.late += usize::from(elapsed > SECOND);
        let decode = KINDS[kind].3 as f64 * STEP * self.slowdown(at);
        self.schedule(decode as Micros, Step::End(number));
    }

    fn complete(&mut self, number: usize) {
        if !self.loses_event(number) {
            self.finish(number, Outcome::Success);
        }
    }

    fn disconnect(&mut self, number: usize) {
        if let Some(mut flight) = self.flights.remove(&number) {
            self.results.lost += 1;
            self.servers[flight.server].running -= 1;
            self.gates[flight.gate].cancel(self.now, &mut flight.call);
        }
    }

    fn run_health_checks(&mut self, gate: usize) {
        let mut checks = Vec::new();
        self.gates[gate].due_health_checks(self.now, &mut checks);
        for check in checks {
            let server = check.address.port() as usize - 8000;
            self.results.health_checks += 1;
            self.schedule(
                if self.has_fault(server, Fault::Silent) {
                    SECOND
                } else {
                    5000
                },
                Step::HealthChecked(gate, server),
            );
        }
        if self.now < self.plan.seconds * SECOND {
            self.schedule(SECOND / 5, Step::HealthChecks(gate));
        }
    }

    fn health_check_finished(&mut self, gate: usize, server: usize) {
        let is_faulty =
            self.has_fault(server, Fault::Silent) || self.has_fault(server, Fault::Crashed);
        let handle = self.gates[gate]
            .server(&format!("i-{server}"))
            .expect("listed");
        let outcome = if is_faulty {
            HealthCheckOutcome::Unhealthy
        } else {
            HealthCheckOutcome::Healthy
        };
        self.gates[gate].health_check_finished(self.now, handle, outcome);
    }

    fn end(mut self) -> Results {
        self.results.first_bytes.sort_unstable();
        self.results.ejected = self.gates.iter().map(Decider::ejections).sum();
        self.results
    }
}
