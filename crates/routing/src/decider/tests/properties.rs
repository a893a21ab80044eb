//! Properties over many fleets and fates: a gate at random, and a judge that knows what must hold.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use ironmast_balancer::Rng;

use crate::guards::{Guard, without};
use crate::test_support::*;
use crate::*;

/// 10,000 requests without a key, each served before the next or with some in flight.
fn shares(servers_count: usize, in_flight: usize) -> Vec<usize> {
    let mut route = route("a", RouteKind::Idempotent);
    route.affinity = false;
    let mut gate = Gate::new(spec(vec![route], servers(0, servers_count, "north")));
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut open = VecDeque::new();
    for _ in 0..10_000 {
        gate.now += MS;
        let (call, decision) = gate.begin(gate.request("a"));
        *counts
            .entry(sent(&decision).expect_instance.clone())
            .or_default() += 1;
        open.push_back(call);
        if open.len() > in_flight {
            let mut call = open.pop_front().expect("a call");
            gate.settle(&mut call, Outcome::Success);
        }
    }
    counts.into_values().collect()
}

#[test]
fn round_robin_shares_are_even() {
    guarded(Guard::ShuffledRoundRobin, || {
        [(3, 0), (6, 10), (13, 20), (40, 100)]
            .into_iter()
            .all(|(servers, in_flight)| {
                let even = 10_000.0 / servers as f64;
                let counts = shares(servers, in_flight);
                counts.len() == servers
                    && counts
                        .iter()
                        .all(|count| (*count as f64 / even - 1.0).abs() < 0.1)
            })
    });
}

#[test]
fn affinity_shares_of_many_keys_are_even() {
    let mut table = spec(
        vec![route("a", RouteKind::Idempotent)],
        servers(0, 10, "north"),
    );
    table.routes[0].affinity = true;
    let mut gate = Gate::new(table);
    let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for key in 0..10_000 {
        *counts
            .entry(gate.served(gate.prompt("a", key)))
            .or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (900..1100).contains(count)),
        "{counts:?}"
    );
}

/// A request that is open, with what the judge knows of it.
struct Open {
    call: Call,
    allowed: Vec<Box<str>>,
    kind: RouteKind,
    most: usize,
    /// Attempts that may have arrived, and servers that had one.
    arrived: usize,
    had: BTreeSet<ServerHandle>,
    may_have_run: bool,
    /// The client has the head of an answer.
    head: bool,
    /// The latest attempt never arrived: what it paid is left to the next.
    unspent: bool,
    decision: Decision,
}

impl PartialOrd for ServerHandle {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ServerHandle {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.slot, self.incarnation).cmp(&(other.slot, other.incarnation))
    }
}

/// A gate driven at random.
struct Play {
    gate: Gate,
    rng: Rng,
    table: TableSpec,
    open: Vec<Open>,
    displaced: BTreeSet<Arc<str>>,
    paid: u32,
}

fn pick(rng: &mut Rng, count: usize) -> usize {
    (rng.unit() * count as f64) as usize
}

impl Play {
    fn new(seed: u64) -> Self {
        let kinds = [
            RouteKind::Idempotent,
            RouteKind::NonIdempotent,
            RouteKind::Stream { resumable: false },
            RouteKind::Stream { resumable: true },
        ];
        let mut routes = Vec::new();
        for (number, kind) in kinds.into_iter().enumerate() {
            let mut home = route(&format!("home{number}"), kind);
            home.allowed_regions = vec!["south".into()];
            home.max_attempts = 2;
            let mut any = route(&format!("any{number}"), kind);
            any.max_attempts = 3;
            routes.extend([home, any]);
        }
        let fleet = [
            servers(0, 5, "north"),
            servers(5, 4, "south"),
            servers(9, 2, "east"),
        ]
        .concat();
        let table = spec(routes, fleet);
        let gate = Gate::with(table.clone(), Settings::new("north", "north-0"), seed);
        let (open, displaced) = (Vec::new(), BTreeSet::new());
        Play {
            gate,
            rng: Rng(seed),
            table,
            open,
            displaced,
            paid: 0,
        }
    }

    /// Another state of some servers; at times one leaves and another takes its place.
    fn change(&mut self) {
        for number in 0..self.table.servers.len() {
            let fate = self.rng.unit();
            let server = &mut self.table.servers[number];
            server.state = if fate < 0.2 {
                ServerState::Draining
            } else {
                ServerState::Ready
            };
            server.evacuated = (0.2..0.4).contains(&fate);
            server.warming_up = (0.4..0.5).contains(&fate);
            server.heartbeats_missing_since = (0.5..0.6).contains(&fate).then_some(self.gate.now);
            if fate > 0.95 {
                server.instance = format!("{}'", server.instance).into();
            }
            if self.rng.unit() < 0.2 {
                server.sequence += 1;
                self.displaced.remove(&server.instance);
            }
        }
        self.gate.swap(self.table.clone());
    }

    fn outcome(&mut self) -> Outcome {
        use Outcome::*;
        let all = [
            Success,
            Success,
            Success,
            ServerError,
            NotExecuted { retry_after: None },
            WrongInstance,
            ConnectFailed,
            NotSent,
            Reset,
            Timeout,
            MalformedResponse,
            ClientError,
            Cancelled,
            Truncated {
                last_event: Some(3),
            },
        ];
        all[pick(&mut self.rng, all.len())].clone()
    }

    /// One step; an error names what did not hold.
    fn step(&mut self) -> Result<(), &'static str> {
        self.gate.now += pick(&mut self.rng, 80) as u64 * MS;
        self.gate.limits.permits = u32::from(self.rng.unit() < 0.3);
        self.gate.limits.repeats = u32::from(self.rng.unit() < 0.7);
        match pick(&mut self.rng, 20) {
            0 => self.change(),
            9 => self.probe(),
            1..9 => return self.begin(),
            _ if !self.open.is_empty() => return self.go_on(),
            _ => {}
        }
        Ok(())
    }

    fn begin(&mut self) -> Result<(), &'static str> {
        let spec = &self.table.routes[pick(&mut self.rng, self.table.routes.len())];
        let (name, kind, most) = (spec.name.clone(), spec.kind, spec.max_attempts as usize);
        let allowed = spec.allowed_regions.clone();
        let request = self.gate.prompt(&name, pick(&mut self.rng, 6) as u64);
        let permits = self.gate.limits.permits;
        let (call, decision) = self.gate.begin(request);
        let (had, may_have_run, unspent, head) = (BTreeSet::new(), false, false, false);
        let open = Open {
            call,
            allowed,
            kind,
            most,
            arrived: 0,
            had,
            may_have_run,
            head,
            unspent,
            decision,
        };
        self.judge(open, permits)
    }

    fn go_on(&mut self) -> Result<(), &'static str> {
        let mut open = self.open.swap_remove(pick(&mut self.rng, self.open.len()));
        let permits = self.gate.limits.permits;
        if matches!(open.decision, Decision::Delay { .. }) {
            open.decision =
                self.gate
                    .decider
                    .resume(self.gate.now, &mut open.call, &mut self.gate.limits);
            return self.judge(open, permits);
        }
        self.progress(&mut open);
        let outcome = self.outcome();
        if outcome == Outcome::WrongInstance {
            self.displaced
                .insert(sent(&open.decision).expect_instance.clone());
        }
        open.arrived += usize::from(!outcome.never_sent());
        open.may_have_run |= !outcome.never_executed();
        open.unspent = outcome.never_sent();
        open.head |= matches!(outcome, Outcome::Truncated { .. });
        if outcome == Outcome::NotSent {
            open.had.remove(&sent(&open.decision).server);
        }
        open.decision = self.gate.settle(&mut open.call, outcome);
        self.judge(open, permits)
    }

    /// What may come before an attempt ends.
    fn progress(&mut self, open: &mut Open) {
        let now = self.gate.now;
        if self.rng.unit() < 0.5 {
            self.gate.decider.first_byte_received(now, &mut open.call);
        }
        if self.rng.unit() < 0.3 {
            self.gate
                .decider
                .response_forwarded(now, &mut open.call, Some(1));
            open.head = true;
        }
        if self.rng.unit() < 0.3 {
            let running = pick(&mut self.rng, 10) as u32;
            let waiting = pick(&mut self.rng, 3) as u32;
            let load = LoadReport {
                running,
                waiting,
                slots: Some(8),
                kv_cache: None,
            };
            self.gate
                .decider
                .apply_load_report(now, sent(&open.decision).server, load);
        }
    }

    /// Health checks that are due, some of which find nobody.
    fn probe(&mut self) {
        let mut probes = Vec::new();
        self.gate
            .decider
            .due_health_checks(self.gate.now, &mut probes);
        for probe in probes {
            let well = self.rng.unit() < 0.5;
            let outcome = if well {
                HealthCheckOutcome::Healthy
            } else {
                HealthCheckOutcome::Unhealthy
            };
            self.gate
                .decider
                .health_check_finished(self.gate.now, probe.server, outcome);
        }
    }

    /// What must hold of a decision.
    fn judge(&mut self, mut open: Open, permits: u32) -> Result<(), &'static str> {
        let check = |holds: bool, rule| if holds { Ok(()) } else { Err(rule) };
        match &open.decision {
            Decision::Send(dispatch) => {
                let find = |server: &&ServerSpec| server.instance == dispatch.expect_instance;
                let server = self
                    .table
                    .servers
                    .iter()
                    .find(find)
                    .ok_or("a server that left")?;
                check(server.state == ServerState::Ready, "draining")?;
                check(!server.evacuated, "evacuated")?;
                check(!self.displaced.contains(&server.instance), "displaced")?;
                let home =
                    open.allowed.is_empty() || open.allowed.iter().any(|r| **r == *server.region);
                check(home, "outside of its regions")?;
                check(
                    !server.warming_up || permits > self.gate.limits.permits,
                    "cold without a permit",
                )?;
                check(open.arrived < open.most, "too many attempts")?;
                check(open.had.insert(dispatch.server), "a server twice")?;
                check(
                    open.kind.is_idempotent() || !open.may_have_run,
                    "repeated after it may have run",
                )?;
                let paid = self.gate.limits.taken > self.paid;
                check(open.arrived == 0 || paid || open.unspent, "a repeat unpaid")?;
            }
            Decision::Reject(_) => check(!open.may_have_run, "refused though it may have run")?,
            Decision::ForwardResponse | Decision::Fail { .. } => {
                check(!open.head, "an answer behind another's head")?
            }
            Decision::AbortResponse => check(open.head, "broken off without a head")?,
            _ => {}
        }
        self.paid = self.gate.limits.taken;
        if open.decision.is_final() {
            check(open.call.is_done(), "a final decision on an open call")?;
        } else {
            self.open.push(open);
        }
        Ok(())
    }

    /// Ends what is open; nothing may be left in flight.
    fn end(mut self) -> Result<(), &'static str> {
        for open in &mut self.open {
            self.gate.decider.cancel(self.gate.now, &mut open.call);
        }
        let instances = self
            .table
            .servers
            .iter()
            .map(|server| server.instance.clone());
        let handles = instances.filter_map(|instance| self.gate.decider.server(&instance));
        let left: u32 = handles
            .map(|server| self.gate.decider.in_flight(server))
            .sum();
        if left == 0 {
            Ok(())
        } else {
            Err("in flight without a call")
        }
    }
}

/// Plays so many seeds; the first rule that did not hold.
fn played(seeds: u64) -> Result<(), &'static str> {
    for seed in 0..seeds {
        let mut play = Play::new(seed);
        for _ in 0..400 {
            play.step()?;
        }
        play.end()?;
    }
    Ok(())
}

#[test]
fn every_invariant_holds_for_random_events() {
    assert_eq!(played(60), Ok(()));
}

#[test]
fn the_invariants_notice_each_missing_protection() {
    let caught = [
        (Guard::AllowedRegions, "outside of its regions"),
        (Guard::Draining, "draining"),
        (Guard::Evacuated, "evacuated"),
        (Guard::Displaced, "displaced"),
        (Guard::Permit, "cold without a permit"),
        (Guard::AtMostOnce, "repeated after it may have run"),
        (Guard::MaxAttempts, "too many attempts"),
        (Guard::RetryBudget, "a repeat unpaid"),
        (
            Guard::RejectOnlyUnexecuted,
            "refused though it may have run",
        ),
    ];
    for (guard, rule) in caught {
        assert_eq!(
            without(guard, || played(60)),
            Err(rule),
            "without {guard:?}"
        );
    }
}
