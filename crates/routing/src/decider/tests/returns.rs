//! The return of ejected servers to service.

use std::sync::Arc;

use super::health::{gate, serve_with_faults};
use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

/// A gate that has just ejected `i-0`, and the handle of that server.
fn gate_with_ejected_server(kind: RouteKind) -> (Gate, ServerHandle) {
    let mut gate = gate(kind, 3);
    serve_with_faults(&mut gate, 40, &["i-0"], |_| Outcome::ConnectFailed);
    let server = gate.decider.server("i-0").expect("listed");
    assert!(gate.decider.is_ejected(server));
    (gate, server)
}

#[test]
fn a_trial_by_an_idempotent_request_returns_an_ejected_server_to_service() {
    let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
    gate.now += 8 * SECOND;
    let (mut call, decision) = gate.begin(gate.request("a"));
    assert_eq!(dispatch_of(&decision).server, server);
    let (_, other) = gate.begin(gate.request("a"));
    assert_ne!(dispatch_of(&other).server, server, "one trial at a time");
    gate.finish_attempt(&mut call, Outcome::Success);
    assert!(!gate.decider.is_ejected(server));
}

#[test]
fn each_ejection_and_each_return_is_reported_once() {
    let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
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
    gate.serve(gate.request("a"));
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
    assert_guarded(Guard::TrialIdempotent, || {
        let (mut gate, server) = gate_with_ejected_server(RouteKind::NonIdempotent);
        gate.now += 8 * SECOND;
        (0..6).all(|_| dispatch_of(&gate.begin(gate.request("a")).1).server != server)
    });
}

#[test]
fn no_retry_and_no_last_attempt_tries_an_ejected_server() {
    assert_guarded(Guard::TrialFirst, || {
        let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
        let (mut call, _) = gate.begin(gate.request("a"));
        gate.now += 8 * SECOND;
        let retry = gate.finish_attempt(&mut call, Outcome::Reset);
        dispatch_of(&retry).server != server
    });
    let mut single = route("a", RouteKind::Idempotent);
    (single.affinity, single.max_attempts) = (false, 1);
    let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
    gate.update_table(spec(vec![single], servers(0, 3, "north")));
    gate.now += 8 * SECOND;
    assert!((0..9).all(|_| dispatch_of(&gate.begin(gate.request("a")).1).server != server));
}

#[test]
fn consecutive_ejections_grow_longer() {
    let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
    let mut durations = Vec::new();
    for _ in 0..5 {
        let start = gate.now;
        loop {
            gate.now += 50 * MS;
            let (mut call, decision) = gate.begin(gate.request("a"));
            let is_trial = dispatch_of(&decision).server == server;
            gate.finish_attempt(
                &mut call,
                if is_trial {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Success
                },
            );
            gate.decider.cancel(gate.now, &mut call);
            if is_trial {
                break;
            }
        }
        durations.push(gate.now - start);
    }
    assert!(
        durations.windows(2).skip(1).all(|pair| pair[1] >= pair[0]),
        "{durations:?}"
    );
    assert!(
        *durations.last().expect("durations") > 7 * SECOND && durations[4] < 9 * SECOND,
        "{durations:?}"
    );
}

#[test]
fn a_health_check_returns_a_server_to_service_that_no_request_may_try() {
    let (mut gate, server) = gate_with_ejected_server(RouteKind::NonIdempotent);
    let mut checks = Vec::new();
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert!(checks.is_empty());
    gate.now += 8 * SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert_eq!(checks.len(), 1);
    assert_eq!(
        (
            checks[0].server,
            &*checks[0].path,
            &*checks[0].expect_instance
        ),
        (server, "/healthz", "i-0")
    );
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert_eq!(checks.len(), 1, "one at a time");
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Unhealthy);
    assert!(gate.decider.is_ejected(server));
    gate.now += 10 * SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Healthy);
    assert!(!gate.decider.is_ejected(server));
}

#[test]
fn an_ejection_survives_a_table_update_but_does_not_apply_to_a_new_instance() {
    let (mut gate, server) = gate_with_ejected_server(RouteKind::Idempotent);
    let mut route = route("a", RouteKind::Idempotent);
    route.affinity = false;
    let mut table = spec(vec![route], servers(0, 3, "north"));
    gate.update_table(table.clone());
    assert!(gate.decider.is_ejected(server));
    table.servers[0].instance = Arc::from("i-new");
    gate.update_table(table);
    let new_server = gate.decider.server("i-new").expect("listed");
    assert!(!gate.decider.is_ejected(new_server) && gate.decider.server("i-0").is_none());
}
