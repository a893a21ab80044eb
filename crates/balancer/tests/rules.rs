//! The four rules as properties over generated event sequences (fixed seed, no files written).

mod common;

use common::*;
use ironmast_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One thing that happens to the balancer.
#[derive(Clone, Debug)]
enum Step {
    Request(ClassId),
    Settle(usize, Outcome),
    Pass(Micros),
    HangUp(usize),
    List(u64, u8),
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
    let step = prop_oneof![
        6 => (0..4usize).prop_map(Step::Request),
        6 => (any::<usize>(), outcome).prop_map(|(n, o)| Step::Settle(n, o)),
        4 => (0..150 * MS).prop_map(Step::Pass),
        1 => any::<usize>().prop_map(Step::HangUp),
        1 => (1..7u64, 0..4u8).prop_map(|(n, change)| Step::List(n, change)),
    ];
    prop::collection::vec(step, 1..150)
}

fn classes() -> Vec<ClassSettings> {
    let guarded = |group| Effect::Deduplicated {
        group,
        window: 100 * MS,
    };
    [
        Effect::Idempotent,
        Effect::NonIdempotent,
        guarded(Group::Zone),
        guarded(Group::Cell),
    ]
    .map(class)
    .to_vec()
}

/// Every attempt as the driver knows it: request, server, when sent, how it ended.
type Attempt = (RequestId, u32, ServerId, Micros, Option<Outcome>);

#[expect(
    clippy::too_many_lines,
    reason = "one pass over the steps that holds all rules"
)]
fn check(steps: &[Step], allow_hedging: bool) -> Result<(), TestCaseError> {
    let mut s = settings(classes());
    s.limits.allow_hedging = allow_hedging;
    s.balancers = 1;
    let place = |n: ServerId| {
        (1..7)
            .find(|k| id(*k) == n)
            .map(|k| (usize::from(k > 3), k / 2))
    };
    let mut d = Driver::new(s);
    let mut away = std::collections::BTreeSet::new();
    d.list(
        Scope::Complete,
        (1..7).map(|n| server(n, usize::from(n > 3))).collect(),
    );
    let (mut attempts, mut arrived, mut over) = (Vec::<Attempt>::new(), Vec::new(), Vec::new());
    for step in steps.iter().chain([&Step::Pass(3 * SECOND)]) {
        let refused = d.refused.len();
        match *step {
            Step::Request(class) => {
                arrived.push((arrived.len() as RequestId, class, d.now));
                d.request(arrived.len() as RequestId - 1, class);
            }
            Step::Settle(n, outcome) => {
                let open: Vec<usize> = (0..attempts.len())
                    .filter(|i| attempts[*i].4.is_none())
                    .collect();
                if let Some(&i) = (!open.is_empty()).then(|| &open[n % open.len()]) {
                    attempts[i].4 = Some(outcome);
                    let (request, attempt, ..) = attempts[i];
                    d.settle(request, attempt, outcome);
                }
            }
            Step::Pass(time) => d.pass(time),
            Step::HangUp(n) if !arrived.is_empty() => {
                let request = arrived[n % arrived.len()].0;
                if !d.answered(request) {
                    over.push(request);
                    d.hang_up(request);
                }
            }
            Step::HangUp(_) => {}
            Step::List(n, change) => {
                let phase =
                    [Phase::Ready, Phase::Draining, Phase::Gone, Phase::Ready][change as usize];
                let started = (change == 3).then_some(d.now);
                let fresh = Server {
                    phase,
                    started,
                    ..server(n, usize::from(n > 3))
                };
                if phase == Phase::Ready {
                    away.remove(&id(n))
                } else {
                    away.insert(id(n))
                };
                d.list(Scope::Changes, vec![fresh]);
            }
        }
        for &(at, request, attempt, to) in &d.sends[attempts.len()..] {
            let class = arrived[request as usize].1;
            let before: Vec<&Attempt> = attempts.iter().filter(|a| a.0 == request).collect();
            let ran: Vec<&&Attempt> = before
                .iter()
                .filter(|a| a.4.is_none_or(|o| !o.never_ran()))
                .collect();
            prop_assert!(
                !over.contains(&request),
                "rule 1: sent after the client left"
            );
            let ends = [d.failed.get(&request), d.refused.get(&request)];
            let after = ends.into_iter().flatten().any(|t| *t < at);
            prop_assert!(!after, "rule 1: sent after its final answer");
            prop_assert!(
                !away.contains(&to),
                "rule 3: sent to a draining or gone server"
            );
            let outstanding = before.iter().any(|a| a.4.is_none());
            prop_assert!(
                allow_hedging || !outstanding,
                "rule 2: two attempts at once"
            );
            let same = |a: &&&Attempt| match class {
                0 => true,
                1 => false,
                2 => place(a.2).map(|p| p.0) == place(to).map(|p| p.0) && at < a.3 + 100 * MS,
                _ => place(a.2).map(|p| p.1) == place(to).map(|p| p.1) && at < a.3 + 100 * MS,
            };
            prop_assert!(
                ran.iter().all(same),
                "rule 2: class {class} sent where it may run twice"
            );
            attempts.push((request, attempt, to, at, None));
        }
        for request in d.refused.keys().skip(if refused == d.refused.len() {
            usize::MAX
        } else {
            0
        }) {
            let ran = |a: &Attempt| a.0 == *request && a.4.is_none_or(|o| !o.never_ran());
            let free = arrived[*request as usize].1 == 0;
            prop_assert!(
                free || !attempts.iter().any(ran),
                "rule 2: refused though it may have run"
            );
        }
    }
    for (request, _, at) in arrived {
        let ends = [d.refused.get(&request), d.failed.get(&request)];
        let told: Vec<_> = ends.into_iter().flatten().collect();
        let served =
            usize::from(d.served.contains(&request)) + usize::from(over.contains(&request));
        prop_assert_eq!(
            told.len() + served,
            1,
            "rule 1: exactly one end for request {}",
            request
        );
        prop_assert!(
            told.iter().all(|t| **t <= at + SECOND),
            "rule 1: told too late"
        );
    }
    Ok(())
}

fn hold(allow_hedging: bool) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&steps(), |steps| check(&steps, allow_hedging))
        .unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn the_rules_hold_with_hedging() {
    hold(true);
}

#[test]
fn the_rules_hold_without_hedging() {
    hold(false);
}
