//! Checks that the retries of all gates together stay within the retry budget in every window, for
//! request patterns chosen to provoke an excess.

mod simulation;

use std::time::Duration;

use ironmast_limits::{RetryBudget, RetryBudgetSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulation::checks::max_budget_excess;
use simulation::trace::{KeyEvent, Trace};
use simulation::{MS, Micros, at};

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    burst: 20,
    window: Duration::from_secs(10),
};

const GATES: usize = 4;

/// Requests that are sent to one gate at the same time. The gate then retries as often as its
/// budget permits.
#[derive(Clone, Copy, Debug)]
struct Burst {
    gate: usize,
    moment: Micros,
    requests: u32,
    /// The network delay from the client to the gate.
    to_gate: Micros,
    /// The network delay from the gate to the server.
    to_server: Micros,
}

/// The number of retries above the budget in the worst window if every gate retries as often as it
/// may. `restart` names a gate and when it restarts; `factor` multiplies the ratio that the gates
/// apply.
fn excess(mut bursts: Vec<Burst>, restart: Option<(usize, Micros)>, factor: f64) -> f64 {
    bursts.sort_by_key(|burst| burst.moment + burst.to_gate);
    let settings = RetryBudgetSettings {
        ratio: SETTINGS.ratio * factor,
        ..SETTINGS
    };
    let start = |started| RetryBudget::with_even_share(settings, GATES as u32, started);
    let mut gates: Vec<_> = (0..GATES).map(|_| start(Duration::ZERO)).collect();
    let mut restart = restart;
    let mut trace = Trace::default();
    for burst in bursts {
        let now = burst.moment + burst.to_gate;
        if let Some((gate, _)) = restart.take_if(|(_, moment)| *moment <= now) {
            gates[gate] = start(at(now));
        }
        let budget = &mut gates[burst.gate];
        for _ in 0..burst.requests {
            budget.deposit(at(now), &"s");
            trace.requests.push(KeyEvent {
                key: 0,
                at: burst.moment,
            });
        }
        while budget.withdraw(at(now), &"s").is_ok() {
            trace.arrivals.push(KeyEvent {
                key: 0,
                at: now + burst.to_server,
            });
        }
    }
    max_budget_excess(&trace, &SETTINGS, 1)
}

fn burst(gate: usize, moment: Micros, requests: u32) -> Burst {
    Burst {
        gate,
        moment,
        requests,
        to_gate: 5 * MS,
        to_server: 5 * MS,
    }
}

/// Two gates receive their requests 9 s apart, so that the retries of both fall in one window of
/// 10 s. At twice the ratio, they exceed the budget.
#[test]
fn rule_is_violated_at_twice_the_safe_ratio() {
    let bursts = vec![
        burst(0, 20_000 * MS, 0),
        burst(1, 20_000 * MS, 0),
        burst(2, 20_000 * MS, 0),
        burst(3, 20_000 * MS, 500),
        burst(0, 29_000 * MS, 500),
    ];
    assert_eq!(excess(bursts.clone(), None, 1.0), 0.0);
    assert!(excess(bursts, None, 2.0) > 0.0);
}

fn any_burst() -> impl Strategy<Value = Burst> {
    let requests = prop_oneof![3 => Just(0_u32), 2 => 1..40_u32, 1 => 100..400_u32];
    (0..GATES, 0..60_000 * MS, requests, 0..60 * MS, 0..60 * MS).prop_map(
        |(gate, moment, requests, to_gate, to_server)| Burst {
            gate,
            moment,
            requests,
            to_gate,
            to_server,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_arrivals_stay_within_the_rule(
        bursts in prop::collection::vec(any_burst(), 1..40),
        restart in prop::option::of((0..GATES, 0..60_000 * MS)),
    ) {
        prop_assert_eq!(excess(bursts, restart, 1.0), 0.0);
    }
}
