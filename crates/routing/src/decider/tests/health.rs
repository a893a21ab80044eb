//! Outlier detection: ejection because of failed attempts, slow first bytes and failed health
//! checks.

use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

pub(super) fn gate(kind: RouteKind, count: usize) -> Gate {
    let mut route = route("a", kind);
    route.affinity = false;
    Gate::new(spec(vec![route], servers(0, count, "north")))
}

/// Runs requests. Attempts at the `faulty` servers end with `outcome` of the attempt's number,
/// counted from 1 over these servers; others succeed. Returns the number of attempts at the faulty
/// servers.
pub(super) fn serve_with_faults(
    gate: &mut Gate,
    requests: usize,
    faulty: &[&str],
    mut outcome: impl FnMut(usize) -> Outcome,
) -> usize {
    let mut attempts = 0;
    for _ in 0..requests {
        gate.now += 10 * MS;
        let (mut call, mut decision) = gate.begin(gate.request("a"));
        while let Decision::Send(dispatch) = &decision {
            let is_faulty = faulty.contains(&&*dispatch.expect_instance);
            attempts += usize::from(is_faulty);
            let end = if is_faulty {
                outcome(attempts)
            } else {
                Outcome::Success
            };
            decision = gate.finish_attempt(&mut call, end);
        }
    }
    attempts
}

/// Number of ejected servers among the first `count`.
pub(super) fn ejected_count(gate: &Gate, count: usize) -> usize {
    let handle = |number| gate.decider.server(&format!("i-{number}"));
    (0..count)
        .filter_map(handle)
        .filter(|server| gate.decider.is_ejected(*server))
        .count()
}

#[test]
fn failing_servers_are_ejected() {
    assert_guarded(Guard::Ejected, || {
        [
            Outcome::ServerError,
            Outcome::Reset,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::MalformedResponse,
        ]
        .into_iter()
        .all(|outcome| {
            let mut gate = gate(RouteKind::NonIdempotent, 4);
            serve_with_faults(&mut gate, 60, &["i-0"], |_| outcome.clone()) <= 6
        })
    });
}

#[test]
fn servers_at_capacity_are_not_ejected() {
    assert_guarded(Guard::OverloadIsNoFailure, || {
        let mut gate = gate(RouteKind::Idempotent, 4);
        serve_with_faults(&mut gate, 200, &["i-0"], |_| Outcome::NotExecuted {
            retry_after: None,
        });
        ejected_count(&gate, 4) == 0
    });
}

#[test]
fn a_failed_connect_to_a_server_that_answers_others_counts_as_overload() {
    assert_guarded(Guard::ConnectFailureOfLiveServer, || {
        let mut gate = gate(RouteKind::Idempotent, 2);
        let server = gate.decider.server("i-0").expect("listed");
        // The server has one request in flight, and the gate keeps receiving something from it.
        let mut first = gate.begin(gate.request("a"));
        while dispatch_of(&first.1).server != server {
            first = gate.begin(gate.request("a"));
        }
        for _ in 0..30 {
            gate.now += 100 * MS;
            gate.decider.record_liveness(gate.now, server);
            let (mut call, decision) = gate.begin(gate.request("a"));
            let is_target = dispatch_of(&decision).server == server;
            gate.finish_attempt(
                &mut call,
                if is_target {
                    Outcome::ConnectFailed
                } else {
                    Outcome::Success
                },
            );
            gate.decider.cancel(gate.now, &mut call);
        }
        !gate.decider.is_ejected(server)
    });
}

#[test]
fn at_most_half_of_a_group_is_ejected() {
    assert_guarded(Guard::MaxEjectedShare, || {
        let mut gate = gate(RouteKind::Idempotent, 4);
        serve_with_faults(&mut gate, 20, &["i-0", "i-1"], |_| Outcome::ConnectFailed);
        assert_eq!(ejected_count(&gate, 4), 2);
        serve_with_slow_server(&mut gate, 100, "i-2");
        ejected_count(&gate, 4) == 2
    });
}

#[test]
fn a_server_that_fails_some_of_its_requests_is_ejected() {
    let mut gate = gate(RouteKind::Idempotent, 4);
    let every_third_fails = |attempts: usize| {
        if attempts.is_multiple_of(3) {
            Outcome::ServerError
        } else {
            Outcome::Success
        }
    };
    let attempts = serve_with_faults(&mut gate, 400, &["i-0"], every_third_fails);
    assert!(attempts < 70, "{attempts} of about 100");
}

#[test]
fn a_group_whose_servers_fail_alike_is_not_ejected() {
    let mut gate = gate(RouteKind::NonIdempotent, 4);
    // Failures are random: a fixed pattern by request number would follow the round-robin order and
    // always hit the same servers.
    let mut rng = ironmast_balancer::Rng(7);
    let mut random_outcome = move || {
        if rng.unit() < 0.25 {
            Outcome::ServerError
        } else {
            Outcome::Success
        }
    };
    let all = ["i-0", "i-1", "i-2", "i-3"];
    // Servers may be ejected until the baseline is known. Health checks return them to service.
    serve_with_faults(&mut gate, 300, &all, |_| random_outcome());
    let mut checks = Vec::new();
    gate.decider.due_health_checks(gate.now, &mut checks);
    for check in &checks {
        gate.decider
            .health_check_finished(gate.now, check.server, HealthCheckOutcome::Healthy);
    }
    let ejected = (0..100).map(|_| {
        serve_with_faults(&mut gate, 4, &all, |_| random_outcome());
        ejected_count(&gate, 4)
    });
    assert_eq!(ejected.max(), Some(0));
}

#[test]
fn a_fast_failure_does_not_attract_load() {
    let mut gate = gate(RouteKind::NonIdempotent, 3);
    // Requests at healthy servers stay in flight; the faulty server fails at once, so it looks
    // idle.
    let mut attempts = 0;
    for _ in 0..12 {
        gate.now += 10 * MS;
        let (mut call, decision) = gate.begin(gate.request("a"));
        if &*dispatch_of(&decision).expect_instance == "i-0" {
            attempts += 1;
            gate.finish_attempt(&mut call, Outcome::ServerError);
        }
    }
    assert!(attempts <= 4, "{attempts} of 12");
}

#[test]
fn a_slow_server_is_ejected() {
    let mut gate = gate(RouteKind::Idempotent, 4);
    let slow_attempts = serve_with_slow_server(&mut gate, 200, "i-0");
    assert!(slow_attempts < 30, "{slow_attempts} of about 50");
}

/// Runs requests. The `slow` server takes 2 s to the first byte, the others 100 ms. Returns the
/// number of requests sent to the slow server.
fn serve_with_slow_server(gate: &mut Gate, requests: usize, slow: &str) -> usize {
    let mut slow_attempts = 0;
    for _ in 0..requests {
        let (mut call, decision) = gate.begin(gate.request("a"));
        let is_slow = &*dispatch_of(&decision).expect_instance == slow;
        slow_attempts += usize::from(is_slow);
        let sent_at = gate.now;
        gate.now += if is_slow { 2 * SECOND } else { 100 * MS };
        gate.decider.first_byte_received(gate.now, &mut call);
        gate.finish_attempt(&mut call, Outcome::Success);
        // The clock is set back so that no ejection of another server ends in the meantime.
        gate.now = sent_at + MS;
    }
    slow_attempts
}

#[test]
fn servers_of_a_region_are_used_when_all_are_ejected() {
    let mut gate = gate(RouteKind::NonIdempotent, 2);
    serve_with_faults(&mut gate, 40, &["i-0", "i-1"], |_| Outcome::ConnectFailed);
    assert_eq!(ejected_count(&gate, 2), 2);
    assert!(matches!(gate.begin(gate.request("a")).1, Decision::Send(_)));
}

#[test]
fn another_region_is_used_before_ejected_servers_of_the_own() {
    let mut route = route("a", RouteKind::NonIdempotent);
    route.affinity = false;
    let listed = [servers(0, 1, "north"), servers(1, 2, "south")].concat();
    let mut gate = Gate::new(spec(vec![route], listed));
    serve_with_faults(&mut gate, 20, &["i-0"], |_| Outcome::ConnectFailed);
    assert!(dispatch_of(&gate.begin(gate.request("a")).1).crosses_region);
}

#[test]
fn a_removed_server_is_kept_until_its_last_attempt_ends() {
    let mut gate = gate(RouteKind::Idempotent, 1);
    let (mut call, decision) = gate.begin(gate.request("a"));
    let server = dispatch_of(&decision).server;
    let mut table = spec(
        vec![route("a", RouteKind::Idempotent)],
        servers(1, 1, "north"),
    );
    table.routes[0].affinity = false;
    gate.update_table(table);
    assert_eq!(gate.decider.in_flight(server), 1);
    assert_eq!(&*gate.serve(gate.request("a")), "i-1");
    assert_eq!(
        gate.finish_attempt(&mut call, Outcome::Success),
        Decision::Finished
    );
    assert_eq!(gate.decider.in_flight(server), 0);
    assert!(gate.decider.server("i-0").is_none());
}

#[test]
fn an_unresponsive_server_is_used_last_before_its_attempts_end() {
    assert_guarded(Guard::UnresponsiveLast, || {
        let mut gate = gate(RouteKind::NonIdempotent, 3);
        let (mut attempts, mut in_flight) = (0, Vec::new());
        for _ in 0..60 {
            gate.now += 50 * MS;
            let (mut call, decision) = gate.begin(gate.request("a"));
            if &*dispatch_of(&decision).expect_instance == "i-0" {
                attempts += 1;
                in_flight.push(call);
            } else {
                gate.finish_attempt(&mut call, Outcome::Success);
            }
        }
        // The server is silent from the start. Detection takes 0.6 s to 1 s of the 3 s.
        let is_detected = attempts <= 6;
        // Anything received from the server makes it usable at once.
        let server = gate.decider.server("i-0").expect("listed");
        gate.decider.record_liveness(gate.now, server);
        let next_server = |gate: &mut Gate| dispatch_of(&gate.begin(gate.request("a")).1).server;
        is_detected && (0..24).any(|_| next_server(&mut gate) == server)
    });
}

#[test]
fn a_loaded_server_is_not_ejected_as_slow() {
    assert_guarded(Guard::LoadedIsNotSlow, || {
        let mut gate = gate(RouteKind::Idempotent, 4);
        for _ in 0..200 {
            let (mut call, decision) = gate.begin(gate.request("a"));
            let server = dispatch_of(&decision).server;
            let is_loaded = &*dispatch_of(&decision).expect_instance == "i-0";
            let sent_at = gate.now;
            gate.now += if is_loaded { 2 * SECOND } else { 100 * MS };
            let load = LoadReport {
                running: 5,
                waiting: 0,
                slots: Some(8),
                kv_cache: None,
            };
            gate.decider.apply_load_report(gate.now, server, load);
            gate.decider.first_byte_received(gate.now, &mut call);
            gate.finish_attempt(&mut call, Outcome::Success);
            gate.now = sent_at + MS;
        }
        ejected_count(&gate, 4) == 0
    });
}

/// A gate with three servers, of which `i-0` is silent with requests in flight. Returns the gate,
/// the handle of `i-0` and these requests.
fn gate_with_unresponsive_server() -> (Gate, ServerHandle, Vec<Call>) {
    let mut gate = gate(RouteKind::NonIdempotent, 3);
    let server = gate.decider.server("i-0").expect("listed");
    let mut in_flight = Vec::new();
    for _ in 0..6 {
        let (mut call, decision) = gate.begin(gate.request("a"));
        if dispatch_of(&decision).server == server {
            in_flight.push(call);
        } else {
            gate.finish_attempt(&mut call, Outcome::Success);
        }
    }
    (gate, server, in_flight)
}

#[test]
fn an_unresponsive_server_is_checked_and_ejected_when_the_check_fails() {
    let (mut gate, server, _in_flight) = gate_with_unresponsive_server();
    let mut checks = Vec::new();
    gate.now += SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert!(checks.is_empty());
    gate.now += SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert_eq!(
        checks.iter().map(|check| check.server).collect::<Vec<_>>(),
        [server]
    );
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Unhealthy);
    assert!(gate.decider.is_ejected(server));
}

#[test]
fn an_unresponsive_server_that_passes_its_health_check_is_not_ejected() {
    let (mut gate, server, _in_flight) = gate_with_unresponsive_server();
    let mut checks = Vec::new();
    gate.now += 2 * SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    gate.decider
        .health_check_finished(gate.now, server, HealthCheckOutcome::Healthy);
    assert!(!gate.decider.is_ejected(server));
    checks.clear();
    gate.now += SECOND;
    gate.decider.due_health_checks(gate.now, &mut checks);
    assert!(checks.is_empty(), "not checked again within the interval");
}

#[test]
fn disconnects_from_a_silent_server_count_as_timeouts() {
    assert_guarded(Guard::UnresponsiveCancelCounts, || {
        let (mut gate, server, mut in_flight) = gate_with_unresponsive_server();
        for _ in 0..4 {
            gate.now += 3 * SECOND;
            for mut call in in_flight.drain(..) {
                gate.decider.cancel(gate.now, &mut call);
            }
            for _ in 0..6 {
                let (mut call, decision) = gate.begin(gate.request("a"));
                if dispatch_of(&decision).server == server {
                    in_flight.push(call);
                } else {
                    gate.finish_attempt(&mut call, Outcome::Success);
                }
            }
        }
        gate.decider.is_ejected(server)
    });
}

#[test]
fn immediate_disconnects_do_not_count_as_failures() {
    let mut gate = gate(RouteKind::NonIdempotent, 3);
    for _ in 0..100 {
        gate.now += 200 * MS;
        let (mut call, _) = gate.begin(gate.request("a"));
        gate.now += 200 * MS;
        gate.decider.cancel(gate.now, &mut call);
    }
    assert_eq!(ejected_count(&gate, 3), 0);
}

/// Number of 200 requests that are sent to `i-0` while `suspecting_gates` other gates suspect it.
/// `heard`: this gate has just received something from `i-0`.
fn attempts_at_suspected(suspecting_gates: u64, heard: bool) -> usize {
    let mut gate = gate(RouteKind::Idempotent, 4);
    gate.now += 1_000 * MS;
    let report = PeerReport {
        suspect: vec![crate::affinity::name_hash("i-0")],
        ..PeerReport::default()
    };
    let server = gate.decider.server("i-0").expect("listed");
    let mut attempts = 0;
    for _ in 0..200 {
        (0..suspecting_gates)
            .for_each(|peer| gate.decider.apply_peer_report(gate.now, peer, &report));
        if heard {
            gate.decider.record_liveness(gate.now, server);
        }
        attempts += usize::from(&*gate.serve(gate.request("a")) == "i-0");
        gate.now += 10 * MS;
    }
    attempts
}

#[test]
fn a_server_suspected_by_several_gates_gets_no_requests() {
    assert_guarded(Guard::UnresponsiveLast, || {
        attempts_at_suspected(2, false) == 0
    });
    assert!(
        attempts_at_suspected(1, false) > 40,
        "the network path of one gate may be at fault"
    );
    assert!(
        attempts_at_suspected(2, true) > 40,
        "this gate has heard from it"
    );
}

#[test]
fn a_server_is_used_again_once_other_gates_withdraw_their_suspicion() {
    let mut gate = gate(RouteKind::Idempotent, 2);
    gate.now += 1_000 * MS;
    let report = PeerReport {
        suspect: vec![crate::affinity::name_hash("i-0")],
        ..PeerReport::default()
    };
    (0..2).for_each(|peer| gate.decider.apply_peer_report(gate.now, peer, &report));
    assert_eq!(&*gate.serve(gate.request("a")), "i-1");
    (0..2).for_each(|peer| {
        gate.decider
            .apply_peer_report(gate.now, peer, &PeerReport::default());
    });
    let served: Vec<_> = (0..2).map(|_| gate.serve(gate.request("a"))).collect();
    assert!(served.iter().any(|server| &**server == "i-0"));
}

#[test]
fn a_gate_reports_unresponsive_servers_as_suspect() {
    let mut gate = gate(RouteKind::Idempotent, 2);
    let (_call, decision) = gate.begin(gate.request("a"));
    let silent = crate::affinity::name_hash(&dispatch_of(&decision).expect_instance);
    assert_eq!(gate.decider.peer_report(gate.now).suspect, []);
    gate.now += 700 * MS;
    assert_eq!(gate.decider.peer_report(gate.now).suspect, [silent]);
}

#[test]
fn a_gate_reports_a_server_as_suspect_after_a_broken_attempt_until_a_success() {
    for outcome in [
        Outcome::Reset,
        Outcome::ConnectFailed,
        Outcome::MalformedResponse,
        Outcome::Timeout,
    ] {
        let mut gate = gate(RouteKind::NonIdempotent, 1);
        let (mut call, _) = gate.begin(gate.request("a"));
        gate.finish_attempt(&mut call, outcome.clone());
        assert_eq!(
            gate.decider.peer_report(gate.now).suspect,
            [crate::affinity::name_hash("i-0")],
            "{outcome:?}"
        );
        assert_eq!(
            gate.decider.peer_report(gate.now + 1_000 * MS).suspect,
            [],
            "{outcome:?} long ago"
        );
        gate.serve(gate.request("a"));
        assert_eq!(gate.decider.peer_report(gate.now).suspect, []);
    }
}

/// Two of four servers reset every connection; something was just received from the others. A retry
/// that goes to the second faulty server would use up the attempts.
#[test]
fn a_retry_goes_to_a_server_that_has_just_answered() {
    assert_guarded(Guard::RetryAtLiveServer, || {
        (0..20).all(|seed| {
            let mut route = route("a", RouteKind::Idempotent);
            route.affinity = false;
            let table = spec(vec![route], servers(0, 4, "north"));
            let mut gate = Gate::with_settings(table, Settings::new("north", "z"), seed);
            gate.now += 5_000 * MS;
            for healthy in ["i-2", "i-3"] {
                let server = gate.decider.server(healthy).expect("listed");
                gate.decider.record_liveness(gate.now, server);
            }
            let (mut call, mut decision) = gate.begin(gate.request("a"));
            while let Decision::Send(dispatch) = &decision {
                let is_healthy = matches!(&*dispatch.expect_instance, "i-2" | "i-3");
                decision = gate.finish_attempt(
                    &mut call,
                    if is_healthy {
                        Outcome::Success
                    } else {
                        Outcome::Reset
                    },
                );
            }
            decision == Decision::Finished
        })
    });
}
