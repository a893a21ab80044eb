//! Evenness of load balancing, and invariants of the decisions under random events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use ironmast_balancer::Rng;

use crate::guards::{Guard, without};
use crate::test_support::*;
use crate::*;

/// Number of requests that each server gets of 10,000 without an affinity key, while `in_flight`
/// requests are in flight.
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
            .entry(dispatch_of(&decision).expect_instance.clone())
            .or_default() += 1;
        open.push_back(call);
        if open.len() > in_flight {
            let mut call = open.pop_front().expect("a call");
            gate.finish_attempt(&mut call, Outcome::Success);
        }
    }
    counts.into_values().collect()
}

#[test]
fn round_robin_shares_are_even() {
    assert_guarded(Guard::ShuffledRoundRobin, || {
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
        *counts.entry(gate.serve(gate.prompt("a", key))).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (900..1100).contains(count)),
        "{counts:?}"
    );
}

/// A request in progress, with the state that the invariants depend on.
struct OpenRequest {
    call: Call,
    allowed: Vec<Box<str>>,
    kind: RouteKind,
    max_attempts: usize,
    /// Number of attempts that may have arrived.
    arrived: usize,
    tried: BTreeSet<ServerHandle>,
    may_have_run: bool,
    /// The client has received the head of a response.
    head_forwarded: bool,
    /// The latest attempt was never sent, so its withdrawal from the retry budget is used for the
    /// next attempt.
    has_unused_withdrawal: bool,
    decision: Decision,
}

impl PartialOrd for ServerHandle {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ServerHandle {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

/// A gate with random events, and the state that its decisions are checked against.
struct RandomRun {
    gate: Gate,
    rng: Rng,
    table: TableSpec,
    open: Vec<OpenRequest>,
    displaced: BTreeSet<Arc<str>>,
    withdrawals: u32,
}

fn random_index(rng: &mut Rng, count: usize) -> usize {
    (rng.unit() * count as f64) as usize
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let kinds = [
            RouteKind::Idempotent,
            RouteKind::NonIdempotent,
            RouteKind::Stream { resumable: false },
            RouteKind::Stream { resumable: true },
        ];
        let mut routes = Vec::new();
        for (number, kind) in kinds.into_iter().enumerate() {
            let mut restricted = route(&format!("home{number}"), kind);
            restricted.allowed_regions = vec!["south".into()];
            restricted.max_attempts = 2;
            let mut unrestricted = route(&format!("any{number}"), kind);
            unrestricted.max_attempts = 3;
            routes.extend([restricted, unrestricted]);
        }
        let listed = [
            servers(0, 5, "north"),
            servers(5, 4, "south"),
            servers(9, 2, "east"),
        ]
        .concat();
        let table = spec(routes, listed);
        let gate = Gate::with_settings(table.clone(), Settings::new("north", "north-0"), seed);
        let (open, displaced) = (Vec::new(), BTreeSet::new());
        RandomRun {
            gate,
            rng: Rng(seed),
            table,
            open,
            displaced,
            withdrawals: 0,
        }
    }

    /// Changes the state of servers at random, and replaces some instances by others.
    fn change_servers(&mut self) {
        for number in 0..self.table.servers.len() {
            let draw = self.rng.unit();
            let server = &mut self.table.servers[number];
            server.state = if draw < 0.2 {
                ServerState::Draining
            } else {
                ServerState::Ready
            };
            server.evacuated = (0.2..0.4).contains(&draw);
            server.warming_up = (0.4..0.5).contains(&draw);
            server.heartbeats_missing_since = (0.5..0.6).contains(&draw).then_some(self.gate.now);
            if draw > 0.95 {
                server.instance = format!("{}'", server.instance).into();
            }
            if self.rng.unit() < 0.2 {
                server.sequence += 1;
                self.displaced.remove(&server.instance);
            }
        }
        self.gate.update_table(self.table.clone());
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
        all[random_index(&mut self.rng, all.len())].clone()
    }

    /// Applies one random event. An error names the invariant that does not hold.
    fn step(&mut self) -> Result<(), &'static str> {
        self.gate.now += random_index(&mut self.rng, 80) as u64 * MS;
        self.gate.limits.permits = u32::from(self.rng.unit() < 0.3);
        self.gate.limits.retries = u32::from(self.rng.unit() < 0.7);
        match random_index(&mut self.rng, 20) {
            0 => self.change_servers(),
            9 => self.run_health_checks(),
            1..9 => return self.begin(),
            _ if !self.open.is_empty() => return self.advance(),
            _ => {}
        }
        Ok(())
    }

    fn begin(&mut self) -> Result<(), &'static str> {
        let spec = &self.table.routes[random_index(&mut self.rng, self.table.routes.len())];
        let (name, kind, max_attempts) = (spec.name.clone(), spec.kind, spec.max_attempts as usize);
        let allowed = spec.allowed_regions.clone();
        let request = self
            .gate
            .prompt(&name, random_index(&mut self.rng, 6) as u64);
        let permits = self.gate.limits.permits;
        let (call, decision) = self.gate.begin(request);
        let (tried, may_have_run, has_unused_withdrawal, head_forwarded) =
            (BTreeSet::new(), false, false, false);
        let open = OpenRequest {
            call,
            allowed,
            kind,
            max_attempts,
            arrived: 0,
            tried,
            may_have_run,
            head_forwarded,
            has_unused_withdrawal,
            decision,
        };
        self.verify(open, permits)
    }

    fn advance(&mut self) -> Result<(), &'static str> {
        let mut open = self
            .open
            .swap_remove(random_index(&mut self.rng, self.open.len()));
        let permits = self.gate.limits.permits;
        if matches!(open.decision, Decision::Delay { .. }) {
            open.decision =
                self.gate
                    .decider
                    .resume(self.gate.now, &mut open.call, &mut self.gate.limits);
            return self.verify(open, permits);
        }
        self.progress(&mut open);
        let outcome = self.outcome();
        if outcome == Outcome::WrongInstance {
            self.displaced
                .insert(dispatch_of(&open.decision).expect_instance.clone());
        }
        open.arrived += usize::from(!outcome.never_sent());
        open.may_have_run |= !outcome.never_executed();
        open.has_unused_withdrawal = outcome.never_sent();
        open.head_forwarded |= matches!(outcome, Outcome::Truncated { .. });
        if outcome == Outcome::NotSent {
            open.tried.remove(&dispatch_of(&open.decision).server);
        }
        open.decision = self.gate.finish_attempt(&mut open.call, outcome);
        self.verify(open, permits)
    }

    /// Applies random events that may come before an attempt ends.
    fn progress(&mut self, open: &mut OpenRequest) {
        let now = self.gate.now;
        if self.rng.unit() < 0.5 {
            self.gate.decider.first_byte_received(now, &mut open.call);
        }
        if self.rng.unit() < 0.3 {
            self.gate
                .decider
                .response_forwarded(now, &mut open.call, Some(1));
            open.head_forwarded = true;
        }
        if self.rng.unit() < 0.3 {
            let running = random_index(&mut self.rng, 10) as u32;
            let waiting = random_index(&mut self.rng, 3) as u32;
            let load = LoadReport {
                running,
                waiting,
                slots: Some(8),
                kv_cache: None,
            };
            self.gate
                .decider
                .apply_load_report(now, dispatch_of(&open.decision).server, load);
        }
    }

    /// Runs the health checks that are due, of which half fail.
    fn run_health_checks(&mut self) {
        let mut checks = Vec::new();
        self.gate
            .decider
            .due_health_checks(self.gate.now, &mut checks);
        for check in checks {
            let is_healthy = self.rng.unit() < 0.5;
            let outcome = if is_healthy {
                HealthCheckOutcome::Healthy
            } else {
                HealthCheckOutcome::Unhealthy
            };
            self.gate
                .decider
                .health_check_finished(self.gate.now, check.server, outcome);
        }
    }

    /// Checks the invariants of a decision.
    fn verify(&mut self, mut open: OpenRequest, permits: u32) -> Result<(), &'static str> {
        let check = |holds: bool, rule| if holds { Ok(()) } else { Err(rule) };
        match &open.decision {
            Decision::Send(dispatch) => {
                let find = |server: &&ServerSpec| server.instance == dispatch.expect_instance;
                let server = self
                    .table
                    .servers
                    .iter()
                    .find(find)
                    .ok_or("a server that is not listed")?;
                check(server.state == ServerState::Ready, "draining")?;
                check(!server.evacuated, "evacuated")?;
                check(!self.displaced.contains(&server.instance), "displaced")?;
                let is_region_allowed =
                    open.allowed.is_empty() || open.allowed.iter().any(|r| **r == *server.region);
                check(is_region_allowed, "outside of the allowed regions")?;
                check(
                    !server.warming_up || permits > self.gate.limits.permits,
                    "warming up without a permit",
                )?;
                check(open.arrived < open.max_attempts, "too many attempts")?;
                check(open.tried.insert(dispatch.server), "the same server twice")?;
                check(
                    open.kind.is_idempotent() || !open.may_have_run,
                    "retried although it may have run",
                )?;
                let was_withdrawn = self.gate.limits.withdrawals > self.withdrawals;
                check(
                    open.arrived == 0 || was_withdrawn || open.has_unused_withdrawal,
                    "a retry without a withdrawal from the budget",
                )?;
            }
            Decision::Reject(_) => check(!open.may_have_run, "rejected although it may have run")?,
            Decision::ForwardResponse | Decision::Fail { .. } => {
                check(!open.head_forwarded, "a response after the head of another")?;
            }
            Decision::AbortResponse => check(open.head_forwarded, "aborted without a head")?,
            _ => {}
        }
        self.withdrawals = self.gate.limits.withdrawals;
        if open.decision.is_final() {
            check(
                open.call.is_done(),
                "a final decision on an unfinished call",
            )?;
        } else {
            self.open.push(open);
        }
        Ok(())
    }

    /// Cancels every request in progress. An error if an attempt is still in flight after that.
    fn cancel_all(mut self) -> Result<(), &'static str> {
        for open in &mut self.open {
            self.gate.decider.cancel(self.gate.now, &mut open.call);
        }
        let instances = self
            .table
            .servers
            .iter()
            .map(|server| server.instance.clone());
        let handles = instances.filter_map(|instance| self.gate.decider.server(&instance));
        let in_flight: u32 = handles
            .map(|server| self.gate.decider.in_flight(server))
            .sum();
        if in_flight == 0 {
            Ok(())
        } else {
            Err("an attempt in flight without a request")
        }
    }
}

/// Runs 400 random events for each seed below `seeds`. An error names the first invariant that does
/// not hold.
fn run_seeds(seeds: u64) -> Result<(), &'static str> {
    for seed in 0..seeds {
        let mut run = RandomRun::new(seed);
        for _ in 0..400 {
            run.step()?;
        }
        run.cancel_all()?;
    }
    Ok(())
}

#[test]
fn every_invariant_holds_for_random_events() {
    assert_eq!(run_seeds(60), Ok(()));
}

#[test]
fn the_invariants_detect_each_disabled_protection() {
    let violations = [
        (Guard::AllowedRegions, "outside of the allowed regions"),
        (Guard::Draining, "draining"),
        (Guard::Evacuated, "evacuated"),
        (Guard::Displaced, "displaced"),
        (Guard::Permit, "warming up without a permit"),
        (Guard::AtMostOnce, "retried although it may have run"),
        (Guard::MaxAttempts, "too many attempts"),
        (
            Guard::RetryBudget,
            "a retry without a withdrawal from the budget",
        ),
        (
            Guard::RejectOnlyUnexecuted,
            "rejected although it may have run",
        ),
    ];
    for (guard, rule) in violations {
        assert_eq!(
            without(guard, || run_seeds(60)),
            Err(rule),
            "without {guard:?}"
        );
    }
}
