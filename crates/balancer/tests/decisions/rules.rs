//! The safety rules as properties over generated event sequences (fixed seed, no files written):
//!
//! 1. Each request gets exactly one final answer before its client gives up, and no attempt follows.
//! 2. A request that may have run is repeated only where its class permits, and is never rejected.
//! 3. No request is sent to a draining or removed server.

use std::collections::BTreeSet;

use ironmast_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::*;

/// Time in which servers drop duplicates.
const WINDOW: Micros = 100 * MS;

/// One step of a generated event sequence.
#[derive(Clone, Debug)]
enum Step {
    Request(ClassId),
    /// One of the attempts in flight, chosen by the number, ends.
    EndAttempt(usize, Outcome),
    Pass(Micros),
    /// The client of one of the requests, chosen by the number, disconnects.
    Disconnect(usize),
    List(u64, ServerChange),
}

#[derive(Clone, Copy, Debug)]
enum ServerChange {
    Ready,
    Draining,
    Removed,
    Restarted,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Ok),
        1 => Just(Outcome::ServerError),
        1 => Just(Outcome::Overloaded),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
    ];
    let change = prop_oneof![
        Just(ServerChange::Ready),
        Just(ServerChange::Draining),
        Just(ServerChange::Removed),
        Just(ServerChange::Restarted),
    ];
    let step = prop_oneof![
        6 => (0..4usize).prop_map(Step::Request),
        6 => (any::<usize>(), outcome)
            .prop_map(|(choice, outcome)| Step::EndAttempt(choice, outcome)),
        4 => (0..150 * MS).prop_map(Step::Pass),
        1 => any::<usize>().prop_map(Step::Disconnect),
        1 => (1..7u64, change).prop_map(|(number, change)| Step::List(number, change)),
    ];
    prop::collection::vec(step, 1..150)
}

fn deduplicated(group: Group) -> Effect {
    let window = WINDOW;
    Effect::Deduplicated { group, window }
}

fn effects() -> [Effect; 4] {
    [
        Effect::Idempotent,
        Effect::NonIdempotent,
        deduplicated(Group::Zone),
        deduplicated(Group::Cell),
    ]
}

/// The listed server of a number from 1 to 6, three in each of two zones.
fn listed(number: u64) -> Server {
    server(number, usize::from(number > 3))
}

/// An attempt, and its outcome once it has ended.
struct Attempt {
    sent: Sent,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }

    /// Whether `next` may be sent for a request of this effect although this attempt may have run.
    fn permits(&self, effect: Effect, next: &Sent) -> bool {
        let Effect::Deduplicated { group, .. } = effect else {
            return effect == Effect::Idempotent;
        };
        let [from, to] = [self.sent.server, next.server].map(|id| {
            let mut servers = (1..7).map(listed);
            servers.find(|server| server.id == id).expect("listed")
        });
        let is_in_group = match group {
            Group::All => true,
            Group::Zone => from.zone == to.zone,
            Group::Cell => from.cell == to.cell,
        };
        is_in_group && next.at < self.sent.at + WINDOW
    }
}

struct Arrived {
    effect: Effect,
    at: Micros,
}

/// Feeds steps to a balancer and checks the rules after each.
struct Checker {
    driver: Driver,
    allow_hedging: bool,
    /// Requests, indexed by id.
    arrived: Vec<Arrived>,
    attempts: Vec<Attempt>,
    /// Draining and removed servers.
    unusable: BTreeSet<ServerId>,
}

impl Checker {
    fn new(allow_hedging: bool) -> Self {
        let mut settings = settings(effects().map(class).to_vec());
        settings.limits.allow_hedging = allow_hedging;
        settings.balancers = 1;
        Checker {
            driver: Driver::with_servers(settings, (1..7).map(listed).collect()),
            allow_hedging,
            arrived: Vec::new(),
            attempts: Vec::new(),
            unusable: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Request(class) => self.request(class),
            Step::EndAttempt(choice, outcome) => self.end_attempt(choice, outcome),
            Step::Pass(time) => self.driver.pass(time),
            Step::Disconnect(choice) => self.disconnect(choice),
            Step::List(number, change) => self.list(number, change),
        }
        self.check_sends()?;
        self.check_rejections()
    }

    fn request(&mut self, class: ClassId) {
        let id = self.arrived.len() as RequestId;
        let effect = effects()[class];
        let at = self.driver.now;
        self.arrived.push(Arrived { effect, at });
        self.driver.request(id, class);
    }

    fn end_attempt(&mut self, choice: usize, outcome: Outcome) {
        let attempts = self.attempts.iter_mut();
        let mut in_flight: Vec<&mut Attempt> = attempts
            .filter(|attempt| attempt.outcome.is_none())
            .collect();
        let Some(index) = choice.checked_rem(in_flight.len()) else {
            return;
        };
        let attempt = in_flight.swap_remove(index);
        attempt.outcome = Some(outcome);
        let sent = attempt.sent;
        self.driver.end_attempt(sent.request, sent.attempt, outcome);
    }

    fn disconnect(&mut self, choice: usize) {
        let Some(index) = choice.checked_rem(self.arrived.len()) else {
            return;
        };
        let id = index as RequestId;
        if !self.driver.is_answered(id) {
            self.driver.disconnect(id);
        }
    }

    fn list(&mut self, number: u64, change: ServerChange) {
        let mut server = listed(number);
        match change {
            ServerChange::Ready => {}
            ServerChange::Draining => server.phase = Phase::Draining,
            ServerChange::Removed => server.phase = Phase::Gone,
            ServerChange::Restarted => server.started = Some(self.driver.now),
        }
        if server.phase == Phase::Ready {
            self.unusable.remove(&server.id);
        } else {
            self.unusable.insert(server.id);
        }
        self.driver.list(Scope::Changes, vec![server]);
    }

    /// Checks the sends of the last step.
    fn check_sends(&mut self) -> Result<(), TestCaseError> {
        for index in self.attempts.len()..self.driver.sends.len() {
            let sent = self.driver.sends[index];
            self.check_send(&sent)?;
            let outcome = None;
            self.attempts.push(Attempt { sent, outcome });
        }
        Ok(())
    }

    fn check_send(&self, sent: &Sent) -> Result<(), TestCaseError> {
        let id = sent.request;
        prop_assert!(
            !self.driver.disconnected.contains(&id),
            "rule 1: sent after the client disconnected"
        );
        let mut final_answers = self.final_answers(id);
        prop_assert!(
            final_answers.all(|at| at >= sent.at),
            "rule 1: sent after its final answer"
        );
        prop_assert!(
            !self.unusable.contains(&sent.server),
            "rule 3: sent to a draining or removed server"
        );
        let mut earlier = self.attempts_at(id);
        prop_assert!(
            self.allow_hedging || earlier.all(|attempt| attempt.outcome.is_some()),
            "rule 2: two attempts in flight at once without hedging"
        );
        let effect = self.arrived[id as usize].effect;
        let mut may_have_run = self
            .attempts_at(id)
            .filter(|attempt| attempt.may_have_run());
        prop_assert!(
            may_have_run.all(|attempt| attempt.permits(effect, sent)),
            "rule 2: {effect:?} request sent where it may run twice"
        );
        Ok(())
    }

    fn check_rejections(&self) -> Result<(), TestCaseError> {
        for &id in self.driver.rejected.keys() {
            let is_idempotent = self.arrived[id as usize].effect == Effect::Idempotent;
            let may_have_run = self.attempts_at(id).any(Attempt::may_have_run);
            prop_assert!(
                is_idempotent || !may_have_run,
                "rule 2: rejected though it may have run"
            );
        }
        Ok(())
    }

    /// Checks that each request ended exactly once and in time.
    fn check_ends(&self) -> Result<(), TestCaseError> {
        for (index, arrived) in self.arrived.iter().enumerate() {
            let id = index as RequestId;
            let was_served = self.driver.served.contains(&id);
            let was_disconnected = self.driver.disconnected.contains(&id);
            let ends = self.final_answers(id).count()
                + usize::from(was_served)
                + usize::from(was_disconnected);
            prop_assert_eq!(ends, 1, "rule 1: exactly one end of request {}", id);
            let end = arrived.at + SECOND;
            prop_assert!(
                self.final_answers(id).all(|at| at <= end),
                "rule 1: answered after the client gave up"
            );
        }
        Ok(())
    }

    fn attempts_at(&self, id: RequestId) -> impl Iterator<Item = &Attempt> {
        let attempts = self.attempts.iter();
        attempts.filter(move |attempt| attempt.sent.request == id)
    }

    /// The times at which the balancer rejected or failed the request.
    fn final_answers(&self, id: RequestId) -> impl Iterator<Item = Micros> {
        let rejected = self.driver.rejected.get(&id);
        let failed = self.driver.failed.get(&id);
        [rejected, failed].into_iter().flatten().copied()
    }
}

fn check(steps: &[Step], allow_hedging: bool) -> Result<(), TestCaseError> {
    let mut checker = Checker::new(allow_hedging);
    for step in steps {
        checker.step(step)?;
    }
    checker.step(&Step::Pass(3 * SECOND))?;
    checker.check_ends()
}

fn check_generated(allow_hedging: bool) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&steps(), |steps| check(&steps, allow_hedging))
        .unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn the_rules_hold_with_hedging() {
    check_generated(true);
}

#[test]
fn the_rules_hold_without_hedging() {
    check_generated(false);
}
