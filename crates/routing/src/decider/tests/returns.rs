//! The way back of a server that health has set aside.

use std::sync::Arc;

use super::health::{gate, play};
use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

/// A gate whose `i-0` has just been ejected, and the time of that.
fn with_ejected(kind: RouteKind) -> (Gate, ServerHandle) {
    let mut gate = gate(kind, 3);
    play(&mut gate, 40, &["i-0"], |_| Outcome::ConnectFailed);
    let server = gate.decider.server("i-0").expect("listed");
    assert!(gate.decider.is_ejected(server));
    (gate, server)
}

#[test]
fn a_trial_by_an_idempotent_request_returns_an_ejected_server_to_service() {
    let (mut gate, server) = with_ejected(RouteKind::Idempotent);
    gate.now += 8 * SECOND;
    let (mut call, decision) = gate.begin(gate.request("a"));
    assert_eq!(sent(&decision).server, server);
    let (_, other) = gate.begin(gate.request("a"));
    assert_ne!(sent(&other).server, server, "one trial at a time");
    gate.settle(&mut call, Outcome::Success);
    assert!(!gate.decider.is_ejected(server));
}

#[test]
fn each_ejection_and_each_return_is_reported_once() {
    let (mut gate, server) = with_ejected(RouteKind::Idempotent);
    let changes = gate.decider.take_ejection_changes();
    let ejected = Some(EjectionCause::Unreachable);
    assert_eq!(
        changes,
        [EjectionChange {
            server,
            instance: "i-0".into(),
            ejected
        }]
    );
    gate.now += 8 * SECOND;
    gate.served(gate.request("a"));
    assert_eq!(
        gate.decider.take_ejection_changes(),
        [EjectionChange {
            server,
            instance: "i-0".into(),
            ejected: None
        }]
    );
    assert!(gate.decider.take_ejection_changes().is_empty());
}

#[test]
fn a_non_idempotent_request_tries_no_ejected_server() {
    guarded(Guard::TrialIdempotent, || {
        let (mut gate, server) = with_ejected(RouteKind::NonIdempotent);
        gate.now += 8 * SECOND;
        (0..6).all(|_| sent(&gate.begin(gate.request("a")).1).server != server)
    });
}

#[test]
fn no_retry_and_no_last_attempt_tries_an_ejected_server() {
    guarded(Guard::TrialFirst, || {
        let (mut gate, server) = with_ejected(RouteKind::Idempotent);
        let (mut call, _) = gate.begin(gate.request("a"));
        gate.now += 8 * SECOND;
        let repeat = gate.settle(&mut call, Outcome::Reset);
        sent(&repeat).server != server
    });
    let mut single = route("a", RouteKind::Idempotent);
    (single.affinity, single.max_attempts) = (false, 1);
    let (mut gate, server) = with_ejected(RouteKind::Idempotent);
    gate.swap(spec(vec![single], servers(0, 3, "north")));
    gate.now += 8 * SECOND;
    assert!((0..9).all(|_| sent(&gate.begin(gate.request("a")).1).server != server));
}

#[test]
fn consecutive_ejections_grow_longer() {
    let (mut gate, server) = with_ejected(RouteKind::Idempotent);
    let mut rests = Vec::new();
    for _ in 0..5 {
        let start = gate.now;
        loop {
            gate.now += 50 * MS;
            let (mut call, decision) = gate.begin(gate.request("a"));
            let trial = sent(&decision).server == server;
            gate.settle(
                &mut call,
                if trial {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Success
                },
            );
            gate.decider.cancel(gate.now, &mut call);
            if trial {
                break;
            }
        }
        rests.push(gate.now - start);
    }
    assert!(
        rests.windows(2).skip(1).all(|pair| pair[1] >= pair[0]),
        "{rests:?}"
    );
    assert!(
        *rests.last().expect("rests") > 7 * SECOND && rests[4] < 9 * SECOND,
        "{rests:?}"
    );
}

#[test]
fn a_health_check_returns_a_server_to_service_that_no_request_may_try() {
    let (mut gate, server) = with_ejected(RouteKind::NonIdempotent);
    let mut probes = Vec::new();
    gate.decider.due_health_checks(gate.now, &mut probes);
    assert!(probes.is_empty());
    gate.now += 8 * SECOND;
    gate.decider.due_health_checks(gate.now, &mut probes);
    assert_eq!(probes.len(), 1);
    assert_eq!(
        (
            probes[0].server,
            &*probes[0].path,
            &*probes[0].expect_instance
        ),
        (server, "/healthz", "i-0")
    );
    gate.decider.due_health_checks(gate.now, &mut probes);
    assert_eq!(probes.len(), 1, "one at a time");
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Unhealthy);
    assert!(gate.decider.is_ejected(server));
    gate.now += 10 * SECOND;
    gate.decider.due_health_checks(gate.now, &mut probes);
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Healthy);
    assert!(!gate.decider.is_ejected(server));
}

#[test]
fn health_outlives_a_table_update_and_a_new_instance_starts_fresh() {
    let (mut gate, server) = with_ejected(RouteKind::Idempotent);
    let mut route = route("a", RouteKind::Idempotent);
    route.affinity = false;
    let mut table = spec(vec![route], servers(0, 3, "north"));
    gate.swap(table.clone());
    assert!(gate.decider.is_ejected(server));
    table.servers[0].instance = Arc::from("i-new");
    gate.swap(table);
    let anew = gate.decider.server("i-new").expect("listed");
    assert!(!gate.decider.is_ejected(anew) && gate.decider.server("i-0").is_none());
}
