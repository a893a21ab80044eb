//! One region's gates over model servers that read prompts one after the other and keep the shared
//! parts for a while: how much is read again, how long the first byte takes, and how crowded the
//! fullest server is.

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
/// Prompt tokens read in a millisecond, and the shortest step, in microseconds.
const READ_PER_MS: f64 = 56.6;
const STEP: f64 = 3790.0;
/// A step takes this part longer for each further running request.
const SLOWER: f64 = 0.01;
/// A part that was used this long ago at the latest need not be read again.
const KEPT: Micros = 10 * SECOND;

/// Clients give a stream up after this silence.
const SILENCE: Micros = 2_400_000;

/// A kind of request: its rate a second, shared and own tokens in, tokens out.
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
    First(usize),
    End(usize),
    /// The client may leave after a silence.
    Leave(usize),
    /// A gate looks for probes that are due.
    Look(usize),
    /// A probe of a gate at a server ends.
    Probed(usize, usize),
}

/// What befalls the first server from a third of the time on, until two thirds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It is well.
    Well,
    /// It takes requests and gives no sign.
    Dark,
    /// Its requests break, and nobody listens any more.
    Down,
    /// It fails every third request after a while.
    Grey,
    /// It takes twenty times as long.
    Slow,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Excess and floor of the affinity; an even draw without.
    pub affinity: Option<(f64, f64)>,
    /// Shared parts of each kind; the first ones are asked for more often.
    pub subjects: usize,
    /// Multiple of the usual rates.
    pub press: f64,
    /// How long.
    pub seconds: u64,
    /// What befalls the first server.
    pub fate: Fate,
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
pub(crate) struct Played {
    /// Times to the first byte, ascending.
    pub firsts: Vec<Micros>,
    shared: u64,
    again: u64,
    /// Requests running at the fullest server.
    pub most: u32,
    /// Requests refused.
    pub refused: usize,
    /// How often a gate's health set a server aside.
    pub ejected: u64,
    /// Requests of each kind, and those of them that were taken.
    pub asked: [usize; 3],
    pub taken: [usize; 3],
    /// Requests that ended without an answer, and those that took over a second to the first byte.
    pub lost: usize,
    pub late: usize,
    /// Health checks.
    pub probes: usize,
    /// Refusals while under half of all slots were taken and nothing waited.
    pub early: usize,
}

impl Played {
    /// Part of the shared tokens that were read again though another server kept them.
    pub(crate) fn again(&self) -> f64 {
        self.again as f64 / self.shared as f64
    }

    /// A quantile of the time to the first byte, in milliseconds.
    pub(crate) fn first_ms(&self, part: f64) -> u64 {
        self.firsts[(part * self.firsts.len() as f64) as usize] / 1000
    }
}

/// Plays a region whose servers are all well.
pub(crate) fn play(
    affinity: Option<(f64, f64)>,
    subjects: usize,
    press: f64,
    seconds: u64,
) -> Played {
    play_plan(&Plan {
        affinity,
        subjects,
        press,
        seconds,
        fate: Fate::Well,
    })
}

/// Plays a plan.
pub(crate) fn play_plan(plan: &Plan) -> Played {
    let mut region = Region::new(*plan);
    while let Some(Reverse((now, step))) = region.steps.pop() {
        region.now = now;
        region.step(step);
    }
    region.end()
}

/// A region while it is played.
struct Region {
    plan: Plan,
    now: Micros,
    table: Arc<Table>,
    gates: Vec<Decider>,
    rng: Rng,
    servers: Vec<Server>,
    /// When each part was used last, at whatever server.
    read: HashMap<u64, Micros>,
    flights: HashMap<usize, Flight>,
    steps: BinaryHeap<Reverse<(Micros, Step)>>,
    number: usize,
    played: Played,
}

impl Region {
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
        let looks = (0..GATES).map(|gate| Reverse((0, Step::Look(gate))));
        Region {
            plan,
            now: 0,
            gates: (0..GATES).map(gate).collect(),
            table: table.clone(),
            rng: Rng(7),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            read: HashMap::new(),
            flights: HashMap::new(),
            steps: arrivals.chain(looks).collect(),
            number: 0,
            played: Played::default(),
        }
    }

    fn after(&mut self, time: Micros, step: Step) {
        self.steps.push(Reverse((self.now + time, step)));
    }

    fn fated(&self, server: usize, fate: Fate) -> bool {
        let third = self.plan.seconds * SECOND / 3;
        server == 0 && self.plan.fate == fate && (third..2 * third).contains(&self.now)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(kind) => self.arrive(kind),
            Step::First(number) => self.first(number),
            Step::End(number) => self.whole(number),
            Step::Leave(number) => self.leave(number),
            Step::Look(gate) => self.look(gate),
            Step::Probed(gate, server) => self.health_check_finished(gate, server),
        }
    }

    fn arrive(&mut self, kind: usize) {
        let pause =
            -self.rng.unit().max(1e-9).ln() / (KINDS[kind].0 * self.plan.press) * SECOND as f64;
        if self.now + (pause as Micros) < self.plan.seconds * SECOND {
            self.after(pause as Micros, Step::Arrive(kind));
        }
        self.events();
        let subject = self.subject(kind);
        let request = self.request(kind, subject);
        let gate = (self.rng.unit() * GATES as f64) as usize;
        let (mut call, mut decision) = self.gates[gate].begin(self.now, request, &mut Unlimited);
        self.played.asked[kind] += 1;
        loop {
            let Decision::Send(dispatch) = decision else {
                return self.turned_away(matches!(decision, Decision::Reject(_)));
            };
            let server = dispatch.address.port() as usize - 8000;
            let Some(failure) = self.failure(server) else {
                self.played.taken[kind] += 1;
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

    /// How a request to a server ends at once, if it does.
    fn failure(&mut self, server: usize) -> Option<Outcome> {
        if self.fated(server, Fate::Down) {
            return Some(Outcome::ConnectFailed);
        }
        let grey = self.fated(server, Fate::Grey) && self.rng.unit() < 1.0 / 3.0;
        grey.then_some(Outcome::ServerError)
    }

    fn turned_away(&mut self, refused: bool) {
        if !refused {
            self.played.lost += 1;
            return;
        }
        self.played.refused += 1;
        let running: u32 = self.servers.iter().map(|server| server.running).sum();
        self.played.early += usize::from(2 * running < SLOTS * SERVERS as u32);
    }

    /// Events of every stream that has begun come all the time.
    fn events(&mut self) {
        let dark = self.fated(0, Fate::Dark);
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

    /// Time that a server takes for a step, or anything else, against a sound and idle one.
    fn pace(&self, server: usize) -> f64 {
        let slow = if self.fated(server, Fate::Slow) {
            20.0
        } else {
            1.0
        };
        slow * (1.0 + SLOWER * f64::from(self.servers[server].running))
    }

    fn send(&mut self, flight: Flight, subject: u64) {
        let (_, shared, own, _) = KINDS[flight.kind];
        let (now, number, at) = (self.now, self.number, flight.server);
        let kept = |at: Option<&Micros>| at.is_some_and(|used| used + KEPT > now);
        let server = &mut self.servers[at];
        server.running += 1;
        self.played.most = self.played.most.max(server.running);
        let here = kept(server.parts.get(&subject));
        self.played.shared += shared;
        if !here && kept(self.read.get(&subject)) {
            self.played.again += shared;
        }
        server.parts.insert(subject, now);
        self.read.insert(subject, now);
        self.flights.insert(number, flight);
        let slow = if self.fated(at, Fate::Slow) {
            20.0
        } else {
            1.0
        };
        let tokens = own + if here { 0 } else { shared };
        let reading = slow * tokens as f64 / READ_PER_MS * 1000.0;
        let server = &mut self.servers[at];
        server.free_at = server.free_at.max(now) + reading as Micros;
        let first = server.free_at - now + (STEP * self.pace(at)) as Micros;
        self.after(first, Step::First(number));
    }

    /// What comes from a server that is down or dark is lost. True where it is.
    fn breaks(&mut self, number: usize) -> bool {
        let Some(server) = self.flights.get(&number).map(|flight| flight.server) else {
            return true;
        };
        if self.fated(server, Fate::Dark) {
            self.after(SILENCE, Step::Leave(number));
            return true;
        }
        if self.fated(server, Fate::Down) {
            self.played.lost += 1;
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

    fn first(&mut self, number: usize) {
        if self.breaks(number) {
            return;
        }
        let flight = self.flights.get_mut(&number).expect("in flight");
        flight.began = true;
        let (at, kind, took) = (flight.server, flight.kind, self.now - flight.sent);
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
        self.played.firsts.push(took);
        self.played.late += usize::from(took > SECOND);
        let decode = KINDS[kind].3 as f64 * STEP * self.pace(at);
        self.after(decode as Micros, Step::End(number));
    }

    fn whole(&mut self, number: usize) {
        if !self.breaks(number) {
            self.finish(number, Outcome::Success);
        }
    }

    fn leave(&mut self, number: usize) {
        if let Some(mut flight) = self.flights.remove(&number) {
            self.played.lost += 1;
            self.servers[flight.server].running -= 1;
            self.gates[flight.gate].cancel(self.now, &mut flight.call);
        }
    }

    fn look(&mut self, gate: usize) {
        let mut probes = Vec::new();
        self.gates[gate].due_health_checks(self.now, &mut probes);
        for probe in probes {
            let server = probe.address.port() as usize - 8000;
            self.played.probes += 1;
            self.after(
                if self.fated(server, Fate::Dark) {
                    SECOND
                } else {
                    5000
                },
                Step::Probed(gate, server),
            );
        }
        if self.now < self.plan.seconds * SECOND {
            self.after(SECOND / 5, Step::Look(gate));
        }
    }

    fn health_check_finished(&mut self, gate: usize, server: usize) {
        let ill = self.fated(server, Fate::Dark) || self.fated(server, Fate::Down);
        let handle = self.gates[gate]
            .server(&format!("i-{server}"))
            .expect("listed");
        let outcome = if ill {
            HealthCheckOutcome::Unhealthy
        } else {
            HealthCheckOutcome::Healthy
        };
        self.gates[gate].health_check_finished(self.now, handle, outcome);
    }

    fn end(mut self) -> Played {
        self.played.firsts.sort_unstable();
        self.played.ejected = self.gates.iter().map(Decider::ejections).sum();
        self.played
    }
}
