//! A discrete-event simulation of one region's gates over model servers, which prefill prompts one
//! after the other and keep shared prefixes cached for a while. It measures the share of tokens
//! that are prefilled again, the time to the first byte, and the load of the most loaded server.

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
/// Number of prompt tokens that a server prefills in a millisecond.
const PREFILL_PER_MS: f64 = 56.6;
/// Time of a decode step (one token of every running request) at an idle server, in microseconds.
const DECODE_STEP: f64 = 3790.0;
/// Fraction by which a decode step takes longer for each further running request.
const SLOWDOWN_PER_REQUEST: f64 = 0.01;
/// Time for which a prompt part stays in the prefix cache after its last use, in microseconds.
const PREFIX_CACHE_TTL: Micros = 10 * SECOND;

/// Time without an event after which clients give up a stream, in microseconds.
const CLIENT_TIMEOUT: Micros = 2_400_000;

/// Kinds of requests: rate per second, shared and own prompt tokens, output tokens. The number of a
/// kind is its index.
const KINDS: [(f64, u64, u64, u64); 3] = [
    (5.2, 5382, 1228, 385),
    (8.6, 198, 430, 294),
    (7.7, 568, 1232, 21),
];

#[derive(Default)]
struct Server {
    running: u32,
    /// Time at which all prompts that the server has received are prefilled.
    prefill_ends_at: Micros,
    /// Time at which each shared prefix was last used at the server.
    prefix_last_used: HashMap<u64, Micros>,
}

/// An event of the simulation, with the number of the kind, request, gate or server.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of a kind arrives.
    Arrive(usize),
    /// The first byte of a response is due.
    FirstByte(usize),
    /// The end of a response is due.
    End(usize),
    /// The client of a request disconnects, because no event has arrived for [`CLIENT_TIMEOUT`].
    Disconnect(usize),
    /// A gate runs the health checks that are due.
    HealthChecks(usize),
    /// A health check of a server by a gate ends.
    HealthChecked(usize, usize),
}

/// The fault of the first server during the second third of the simulated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The server accepts requests and sends nothing.
    Silent,
    /// The server crashes: its connections break, and connection attempts fail.
    Crashed,
    /// The server fails a third of its requests.
    Partial,
    /// The server is slower by a factor of twenty.
    Slow,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Load bounds of the affinity: the excess and the floor; round robin if `None`.
    pub affinity: Option<(f64, f64)>,
    /// Number of shared prefixes of each kind; the first ones are more frequent.
    pub prefixes: usize,
    /// Multiple of the normal request rates.
    pub load_factor: f64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// The fault of the first server.
    pub fault: Fault,
}

/// An attempt in flight.
struct InFlight {
    gate: usize,
    call: Call,
    server: usize,
    sent_at: Micros,
    kind: usize,
    /// The first byte of the response was received.
    has_first_byte: bool,
}

/// Measurements of a simulation.
#[derive(Default)]
pub(crate) struct Results {
    /// Times to the first byte in ascending order, in microseconds.
    pub first_bytes: Vec<Micros>,
    /// Number of tokens in shared prefixes that were sent.
    shared_tokens: u64,
    /// Number of these tokens that were prefilled although another server had them cached.
    tokens_prefilled_again: u64,
    /// Maximum number of requests running at one server.
    pub max_running: u32,
    /// Number of rejected requests.
    pub rejected: usize,
    /// Number of ejections.
    pub ejected: u64,
    /// Number of requests of each kind.
    pub requests: [usize; 3],
    /// Number of accepted requests of each kind.
    pub accepted: [usize; 3],
    /// Number of requests that ended without a complete response and were not rejected.
    pub lost: usize,
    /// Number of requests whose first byte took longer than a second.
    pub late: usize,
    /// Number of health checks.
    pub health_checks: usize,
    /// Number of rejections while less than half of all slots were in use.
    pub early_rejections: usize,
}

impl Results {
    /// Fraction of the shared tokens that were prefilled again although another server had them
    /// cached.
    pub(crate) fn prefilled_again(&self) -> f64 {
        self.tokens_prefilled_again as f64 / self.shared_tokens as f64
    }

    /// A quantile of the time to the first byte, in milliseconds.
    pub(crate) fn first_byte_ms(&self, fraction: f64) -> u64 {
        self.first_bytes[(fraction * self.first_bytes.len() as f64) as usize] / 1000
    }
}

/// Simulates a region whose servers are all healthy.
pub(crate) fn simulate(
    affinity: Option<(f64, f64)>,
    prefixes: usize,
    load_factor: f64,
    seconds: u64,
) -> Results {
    simulate_plan(&Plan {
        affinity,
        prefixes,
        load_factor,
        seconds,
        fault: Fault::None,
    })
}

/// Simulates a plan.
pub(crate) fn simulate_plan(plan: &Plan) -> Results {
    let mut simulation = Simulation::new(*plan);
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(&event);
    }
    simulation.into_results()
}

/// The state of a simulation.
struct Simulation {
    plan: Plan,
    now: Micros,
    table: Arc<Table>,
    gates: Vec<Decider>,
    rng: Rng,
    servers: Vec<Server>,
    /// Time at which each shared prefix was last used at any server.
    prefix_last_used: HashMap<u64, Micros>,
    in_flight: HashMap<usize, InFlight>,
    /// Pending events, the earliest one first.
    events: BinaryHeap<Reverse<(Micros, Event)>>,
    /// Id of the latest request.
    request_id: usize,
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
        let arrivals = (0..KINDS.len()).map(|kind| Reverse((0, Event::Arrive(kind))));
        let health_checks = (0..GATES).map(|gate| Reverse((0, Event::HealthChecks(gate))));
        Simulation {
            plan,
            now: 0,
            gates: (0..GATES).map(gate).collect(),
            table: table.clone(),
            rng: Rng(7),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            prefix_last_used: HashMap::new(),
            in_flight: HashMap::new(),
            events: arrivals.chain(health_checks).collect(),
            request_id: 0,
            results: Results::default(),
        }
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.events.push(Reverse((self.now + time, event)));
    }

    fn has_fault(&self, server: usize, fault: Fault) -> bool {
        let third = self.plan.seconds * SECOND / 3;
        server == 0 && self.plan.fault == fault && (third..2 * third).contains(&self.now)
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::FirstByte(request_id) => self.first_byte(request_id),
            Event::End(request_id) => self.complete(request_id),
            Event::Disconnect(request_id) => self.disconnect(request_id),
            Event::HealthChecks(gate) => self.run_health_checks(gate),
            Event::HealthChecked(gate, server) => self.health_check_finished(gate, server),
        }
    }

    fn arrive(&mut self, kind: usize) {
        let interval = -self.rng.unit().max(1e-9).ln() / (KINDS[kind].0 * self.plan.load_factor)
            * SECOND as f64;
        if self.now + (interval as Micros) < self.plan.seconds * SECOND {
            self.schedule(interval as Micros, Event::Arrive(kind));
        }
        self.forward_events();
        let prefix = self.draw_prefix(kind);
        let request = self.new_request(kind, prefix);
        let gate = (self.rng.unit() * GATES as f64) as usize;
        let (mut call, mut decision) = self.gates[gate].begin(self.now, request, &mut Unlimited);
        self.results.requests[kind] += 1;
        loop {
            let Decision::Send(dispatch) = decision else {
                return self.record_unsent(matches!(decision, Decision::Reject(_)));
            };
            let server = dispatch.address.port() as usize - 8000;
            let Some(failure) = self.immediate_failure(server) else {
                self.results.accepted[kind] += 1;
                return self.send(
                    InFlight {
                        gate,
                        call,
                        server,
                        sent_at: self.now,
                        kind,
                        has_first_byte: false,
                    },
                    prefix,
                );
            };
            decision =
                self.gates[gate].attempt_finished(self.now, &mut call, failure, &mut Unlimited);
        }
    }

    /// Outcome of a request that a server fails at once; `None` if it accepts the request.
    fn immediate_failure(&mut self, server: usize) -> Option<Outcome> {
        if self.has_fault(server, Fault::Crashed) {
            return Some(Outcome::ConnectFailed);
        }
        let fails = self.has_fault(server, Fault::Partial) && self.rng.unit() < 1.0 / 3.0;
        fails.then_some(Outcome::ServerError)
    }

    fn record_unsent(&mut self, rejected: bool) {
        if !rejected {
            self.results.lost += 1;
            return;
        }
        self.results.rejected += 1;
        let running: u32 = self.servers.iter().map(|server| server.running).sum();
        self.results.early_rejections += usize::from(2 * running < SLOTS * SERVERS as u32);
    }

    /// Forwards an event of every stream whose first byte was received.
    fn forward_events(&mut self) {
        let is_silent = self.has_fault(0, Fault::Silent);
        let receives_events =
            |attempt: &&mut InFlight| attempt.has_first_byte && !(is_silent && attempt.server == 0);
        for attempt in self.in_flight.values_mut().filter(receives_events) {
            self.gates[attempt.gate].response_forwarded(self.now, &mut attempt.call, Some(1));
        }
    }

    fn draw_prefix(&mut self, kind: usize) -> u64 {
        let skewed = self.rng.unit() * self.rng.unit() * self.plan.prefixes as f64;
        skewed as u64 + 1000 * (kind as u64 + 1)
    }

    fn new_request(&mut self, kind: usize, prefix: u64) -> Request {
        let (_, shared, own, output) = KINDS[kind];
        self.request_id += 1;
        let route = self
            .table
            .router()
            .route("a", &format!("/{kind}/"))
            .expect("a route")
            .clone();
        let part = |id, tokens| PromptPart { id, tokens };
        let mut request = Request::new(route);
        request.parts.extend([
            part(prefix, shared),
            part(self.request_id as u64 + 1_000_000, own),
        ]);
        (request.prompt_tokens, request.max_output_tokens) = (shared + own, output);
        request
    }

    /// Time of a decode step at a server, as a multiple of that at a healthy idle server.
    fn slowdown(&self, server: usize) -> f64 {
        let slow = if self.has_fault(server, Fault::Slow) {
            20.0
        } else {
            1.0
        };
        slow * (1.0 + SLOWDOWN_PER_REQUEST * f64::from(self.servers[server].running))
    }

    fn send(&mut self, attempt: InFlight, prefix: u64) {
        let (_, shared, own, _) = KINDS[attempt.kind];
        let (now, request_id, server_index) = (self.now, self.request_id, attempt.server);
        let is_cached = |last_used: Option<&Micros>| {
            last_used.is_some_and(|used| used + PREFIX_CACHE_TTL > now)
        };
        let server = &mut self.servers[server_index];
        server.running += 1;
        self.results.max_running = self.results.max_running.max(server.running);
        let is_cached_here = is_cached(server.prefix_last_used.get(&prefix));
        self.results.shared_tokens += shared;
        if !is_cached_here && is_cached(self.prefix_last_used.get(&prefix)) {
            self.results.tokens_prefilled_again += shared;
        }
        server.prefix_last_used.insert(prefix, now);
        self.prefix_last_used.insert(prefix, now);
        self.in_flight.insert(request_id, attempt);
        let slow = if self.has_fault(server_index, Fault::Slow) {
            20.0
        } else {
            1.0
        };
        let tokens = own + if is_cached_here { 0 } else { shared };
        let prefill = slow * tokens as f64 / PREFILL_PER_MS * 1000.0;
        let server = &mut self.servers[server_index];
        server.prefill_ends_at = server.prefill_ends_at.max(now) + prefill as Micros;
        let first_byte_in =
            server.prefill_ends_at - now + (DECODE_STEP * self.slowdown(server_index)) as Micros;
        self.schedule(first_byte_in, Event::FirstByte(request_id));
    }

    /// Returns true if the current event of a request has no effect, because the request is no
    /// longer in flight or its server has crashed or is silent. Ends the request at once after a
    /// crash; at a silent server, schedules the client's disconnect after its time-out.
    fn loses_event(&mut self, request_id: usize) -> bool {
        let Some(server) = self
            .in_flight
            .get(&request_id)
            .map(|attempt| attempt.server)
        else {
            return true;
        };
        if self.has_fault(server, Fault::Silent) {
            self.schedule(CLIENT_TIMEOUT, Event::Disconnect(request_id));
            return true;
        }
        if self.has_fault(server, Fault::Crashed) {
            self.results.lost += 1;
            self.finish(request_id, Outcome::Reset);
            return true;
        }
        false
    }

    fn finish(&mut self, request_id: usize, outcome: Outcome) {
        if let Some(mut attempt) = self.in_flight.remove(&request_id) {
            self.servers[attempt.server].running -= 1;
            self.gates[attempt.gate].attempt_finished(
                self.now,
                &mut attempt.call,
                outcome,
                &mut Unlimited,
            );
        }
    }

    fn first_byte(&mut self, request_id: usize) {
        if self.loses_event(request_id) {
            return;
        }
        let attempt = self.in_flight.get_mut(&request_id).expect("in flight");
        attempt.has_first_byte = true;
        let (server_index, kind, elapsed) =
            (attempt.server, attempt.kind, self.now - attempt.sent_at);
        let gate = &mut self.gates[attempt.gate];
        gate.first_byte_received(self.now, &mut attempt.call);
        gate.response_forwarded(self.now, &mut attempt.call, Some(1));
        let handle = gate.server(&format!("i-{server_index}")).expect("listed");
        let running = self.servers[server_index].running;
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
        let decode = KINDS[kind].3 as f64 * DECODE_STEP * self.slowdown(server_index);
        self.schedule(decode as Micros, Event::End(request_id));
    }

    fn complete(&mut self, request_id: usize) {
        if !self.loses_event(request_id) {
            self.finish(request_id, Outcome::Success);
        }
    }

    fn disconnect(&mut self, request_id: usize) {
        if let Some(mut attempt) = self.in_flight.remove(&request_id) {
            self.results.lost += 1;
            self.servers[attempt.server].running -= 1;
            self.gates[attempt.gate].cancel(self.now, &mut attempt.call);
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
                Event::HealthChecked(gate, server),
            );
        }
        if self.now < self.plan.seconds * SECOND {
            self.schedule(SECOND / 5, Event::HealthChecks(gate));
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

    fn into_results(mut self) -> Results {
        self.results.first_bytes.sort_unstable();
        self.results.ejected = self.gates.iter().map(Decider::ejections).sum();
        self.results
    }
}
