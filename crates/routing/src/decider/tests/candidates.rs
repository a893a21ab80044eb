//! Candidates: which servers a request may be sent to.

use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: false };

fn north_and_south() -> Vec<ServerSpec> {
    [servers(0, 3, "north"), servers(10, 3, "south")].concat()
}

/// Starts requests with different keys, and returns for each whether it is sent to another region.
fn region_crossings(gate: &mut Gate, name: &str, requests: u64) -> Vec<bool> {
    let crosses = |gate: &mut Gate, key| {
        let (_, decision) = gate.begin(gate.prompt(name, key));
        dispatch_of(&decision).crosses_region
    };
    (0..requests).map(|key| crosses(gate, key)).collect()
}

#[test]
fn the_own_region_comes_first() {
    assert_guarded(Guard::OwnRegion, || {
        let mut gate = Gate::new(spec(vec![route("a", STREAM)], north_and_south()));
        !region_crossings(&mut gate, "a", 12).contains(&true)
    });
}

#[test]
fn a_gate_that_has_moved_prefers_the_servers_of_its_new_region() {
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], north_and_south()));
    region_crossings(&mut gate, "a", 6);
    gate.decider.set_location("south", "south-0");
    assert!(!region_crossings(&mut gate, "a", 12).contains(&true));
    let south = gate.serve(gate.prompt("a", 1));
    assert!(["i-10", "i-11", "i-12"].contains(&&*south), "{south}");
}

#[test]
fn other_regions_are_used_when_the_own_has_no_eligible_server() {
    let mut listed = north_and_south();
    listed
        .iter_mut()
        .take(3)
        .for_each(|server| server.state = ServerState::Draining);
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    assert!(!region_crossings(&mut gate, "a", 6).contains(&false));
}

#[test]
fn a_route_uses_only_its_allowed_regions() {
    assert_guarded(Guard::AllowedRegions, || {
        let mut restricted = route("a", STREAM);
        restricted.allowed_regions = vec!["south".into()];
        let mut gate = Gate::new(spec(vec![restricted], north_and_south()));
        !region_crossings(&mut gate, "a", 12).contains(&false)
    });
}

#[test]
fn a_route_whose_regions_have_no_server_is_rejected() {
    let mut restricted = route("a", STREAM);
    restricted.allowed_regions = vec!["east".into()];
    let mut gate = Gate::new(spec(vec![restricted], north_and_south()));
    let (call, decision) = gate.begin(gate.prompt("a", 1));
    assert!(matches!(
        decision,
        Decision::Reject(Rejection {
            status: RejectionStatus::Unavailable,
            ..
        })
    ));
    assert!(call.is_done());
}

#[test]
fn a_request_uses_only_regions_that_both_it_and_its_route_allow() {
    let mut restricted = route("a", STREAM);
    restricted.allowed_regions = vec!["south".into()];
    let mut gate = Gate::new(spec(vec![restricted], north_and_south()));
    let request = Request {
        allowed_regions: vec!["north".into()],
        ..gate.prompt("a", 1)
    };
    assert!(matches!(gate.begin(request).1, Decision::Reject(_)));
}

/// True if, after a change to one of two servers, the other server gets every request.
fn is_avoided(change: impl Fn(&mut ServerSpec)) -> bool {
    let mut listed = servers(0, 2, "north");
    change(&mut listed[0]);
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    (0..8).all(|key| &*gate.serve(gate.prompt("a", key)) == "i-1")
}

#[test]
fn draining_servers_get_no_requests() {
    assert_guarded(Guard::Draining, || {
        is_avoided(|server| server.state = ServerState::Draining)
    });
}

#[test]
fn evacuated_servers_get_no_requests() {
    assert_guarded(Guard::Evacuated, || {
        is_avoided(|server| server.evacuated = true)
    });
}

#[test]
fn servers_without_heartbeats_get_no_requests_while_others_have_them() {
    assert!(is_avoided(
        |server| server.heartbeats_missing_since = Some(SECOND)
    ));
}

#[test]
fn servers_without_heartbeats_are_used_when_all_lack_them() {
    let mut listed = servers(0, 2, "north");
    for server in &mut listed {
        server.heartbeats_missing_since = Some(SECOND);
    }
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    gate.serve(gate.prompt("a", 1));
}

#[test]
fn draining_and_evacuated_servers_are_not_used_even_if_no_other_is_left() {
    let mut listed = servers(0, 2, "north");
    listed[0].state = ServerState::Draining;
    listed[1].evacuated = true;
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    assert!(matches!(
        gate.begin(gate.prompt("a", 1)).1,
        Decision::Reject(_)
    ));
}

#[test]
fn servers_that_warm_up_need_a_permit() {
    assert_guarded(Guard::Permit, || {
        is_avoided(|server| server.warming_up = true)
    });
    let mut listed = servers(0, 1, "north");
    listed[0].warming_up = true;
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    gate.limits.permits = 1;
    gate.serve(gate.prompt("a", 1));
    assert!(
        matches!(gate.begin(gate.prompt("a", 1)).1, Decision::Delay { until } if until == gate.now + 100 * MS)
    );
}

#[test]
fn a_request_is_delayed_for_a_permit_only_for_a_short_part_of_its_objective() {
    assert_guarded(Guard::ShortDelay, || {
        let mut listed = servers(0, 1, "north");
        listed[0].warming_up = true;
        let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
        let (mut call, mut decision) = gate.begin(gate.prompt("a", 1));
        while let Decision::Delay { until } = decision {
            gate.now = until;
            if gate.now > SECOND + 250 * MS {
                return false;
            }
            decision = gate.decider.resume(gate.now, &mut call, &mut gate.limits);
        }
        matches!(decision, Decision::Reject(_))
    });
}

#[test]
fn a_displaced_server_is_not_used_until_it_is_announced_again() {
    assert_guarded(Guard::Displaced, || {
        let table = spec(vec![route("a", STREAM)], servers(0, 1, "north"));
        let mut gate = Gate::new(table.clone());
        let (mut call, _) = gate.begin(gate.prompt("a", 1));
        gate.finish_attempt(&mut call, Outcome::WrongInstance);
        let is_rejected = matches!(gate.begin(gate.prompt("a", 1)).1, Decision::Reject(_));
        gate.update_table(table.clone());
        let is_rejected =
            is_rejected && matches!(gate.begin(gate.prompt("a", 1)).1, Decision::Reject(_));
        let mut announced_again = table;
        announced_again.servers[0].sequence = 2;
        gate.update_table(announced_again);
        is_rejected && matches!(gate.begin(gate.prompt("a", 1)).1, Decision::Send(_))
    });
}

#[test]
fn servers_that_announce_the_model_come_first() {
    let mut listed = servers(0, 3, "north");
    listed[0].models = vec!["other".into()];
    listed[1].models = vec!["m".into()];
    listed[2].models = vec!["other".into()];
    let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed));
    assert!((0..6).all(|key| &*gate.serve(gate.prompt("a", key)) == "i-1"));
}

#[test]
fn a_traffic_split_follows_the_weights_and_falls_back_to_the_other_service() {
    let mut split = route("a", RouteKind::Idempotent);
    split.backends = vec![
        WeightedBackend {
            service: "desk".into(),
            weight: 90,
        },
        WeightedBackend {
            service: "other".into(),
            weight: 10,
        },
    ];
    let other = ServerSpec {
        service: "other".into(),
        ..server(5, "north")
    };
    let both = spec(vec![split.clone()], vec![server(0, "north"), other.clone()]);
    let mut gate = Gate::new(both);
    let desk = (0..2000)
        .filter(|_| &*gate.serve(gate.request("a")) == "i-0")
        .count();
    assert!((1740..1860).contains(&desk), "{desk} of 2000");
    let mut gate = Gate::new(spec(vec![split], vec![other]));
    assert!((0..50).all(|_| &*gate.serve(gate.request("a")) == "i-5"));
}

#[test]
fn a_backend_of_weight_zero_gets_no_requests() {
    let mut split = route("a", RouteKind::Idempotent);
    split.backends = vec![
        WeightedBackend {
            service: "desk".into(),
            weight: 0,
        },
        WeightedBackend {
            service: "other".into(),
            weight: 1,
        },
    ];
    let mut gate = Gate::new(spec(vec![split], servers(0, 2, "north")));
    assert!((0..20).all(|_| matches!(gate.begin(gate.request("a")).1, Decision::Reject(_))));
}

#[test]
fn a_server_without_heartbeats_is_used_while_this_gate_hears_it() {
    let mut listed = servers(0, 2, "north");
    listed[0].heartbeats_missing_since = Some(SECOND);
    let is_used = |gate: &mut Gate| (0..16).any(|key| &*gate.serve(gate.prompt("a", key)) == "i-0");
    assert_guarded(Guard::LivenessOverHeartbeats, || {
        let mut gate = Gate::new(spec(vec![route("a", STREAM)], listed.clone()));
        assert!(!is_used(&mut gate));
        gate.now += SECOND;
        let server = gate.decider.server("i-0").expect("listed");
        gate.decider.record_liveness(gate.now, server);
        let used_after_liveness = is_used(&mut gate);
        gate.now += 4 * SECOND;
        used_after_liveness && !is_used(&mut gate)
    });
}

/// A gate in the north with a route that allows only the regions south and west, which have that
/// many servers.
fn gate_with_remote_route(south: usize, west: usize) -> Gate {
    let mut restricted = route("home", RouteKind::Stream { resumable: false });
    restricted.allowed_regions = vec!["south".into(), "west".into()];
    let listed = [
        servers(0, 3, "north"),
        servers(10, south, "south"),
        servers(20, west, "west"),
    ]
    .concat();
    Gate::new(spec(vec![restricted], listed))
}

/// Starts requests until `count` are in flight in the south, then lets 700 ms pass without anything
/// received from there. Returns the requests in flight.
fn partition_south(gate: &mut Gate, count: usize) -> Vec<Call> {
    let mut calls = Vec::new();
    while calls.len() < count {
        let (mut call, decision) = gate.begin(gate.request("home"));
        if dispatch_of(&decision).expect_instance.starts_with("i-1") {
            calls.push(call);
        } else {
            gate.finish_attempt(&mut call, Outcome::Success);
        }
    }
    gate.now += 700 * MS;
    calls
}

#[test]
fn an_unreachable_region_is_left_for_another() {
    assert_guarded(Guard::UnreachableRegion, || {
        let mut gate = gate_with_remote_route(8, 2);
        let _in_flight = partition_south(&mut gate, 2);
        (0..20).all(|_| gate.serve(gate.request("home")).starts_with("i-2"))
    });
}

#[test]
fn one_unresponsive_server_does_not_make_its_region_unreachable() {
    let mut gate = gate_with_remote_route(8, 0);
    let _in_flight = partition_south(&mut gate, 1);
    assert!(gate.serve(gate.request("home")).starts_with("i-1"));
}

#[test]
fn requests_are_rejected_while_all_allowed_regions_are_unreachable() {
    assert_guarded(Guard::UnreachableRegion, || {
        let mut gate = gate_with_remote_route(8, 0);
        let _in_flight = partition_south(&mut gate, 2);
        let is_rejected = matches!(gate.begin(gate.request("home")).1, Decision::Reject(_));
        let mut checks = Vec::new();
        gate.decider.due_health_checks(gate.now, &mut checks);
        let Some(check) = checks.first() else {
            return false;
        };
        gate.decider
            .health_check_finished(gate.now, check.server, HealthCheckOutcome::Healthy);
        gate.serve(gate.request("home"));
        is_rejected
    });
}

#[test]
fn an_unreachable_region_gets_one_health_check_at_a_time() {
    let mut gate = gate_with_remote_route(8, 0);
    let _in_flight = partition_south(&mut gate, 2);
    let Gate { decider, now, .. } = &mut gate;
    let mut checks = Vec::new();
    decider.due_health_checks(*now, &mut checks);
    assert_eq!(checks.len(), 1);
    decider.due_health_checks(*now + 100 * MS, &mut checks);
    assert_eq!(checks.len(), 1);
    decider.due_health_checks(*now + 400 * MS, &mut checks);
    assert_eq!(checks.len(), 2);
    assert_ne!(checks[0].server, checks[1].server);
}

/// A gate without servers that expects some to be discovered within a second.
fn discovering_gate() -> Gate {
    let mut gate = Gate::new(spec(vec![route("a", RouteKind::NonIdempotent)], Vec::new()));
    gate.decider.allow_discovery_until(gate.now + SECOND);
    gate
}

#[test]
fn after_a_start_a_request_waits_for_a_server_to_be_discovered() {
    assert_guarded(Guard::Discovery, || {
        let mut gate = discovering_gate();
        let (mut call, decision) = gate.begin(gate.request("a"));
        let Decision::Delay { until } = decision else {
            return false;
        };
        gate.now = until;
        gate.update_table(spec(
            vec![route("a", RouteKind::NonIdempotent)],
            servers(0, 1, "north"),
        ));
        let decision = gate.decider.resume(gate.now, &mut call, &mut gate.limits);
        &*dispatch_of(&decision).expect_instance == "i-0"
    });
}

#[test]
fn a_request_waits_for_servers_no_longer_than_discovery_takes() {
    let mut gate = discovering_gate();
    gate.now += SECOND;
    assert!(matches!(
        gate.begin(gate.request("a")).1,
        Decision::Reject(_)
    ));
}

#[test]
fn a_request_waits_for_servers_at_most_half_of_its_time() {
    let mut gate = discovering_gate();
    let deadline = Some(gate.now + 400 * MS);
    let (mut call, decision) = gate.begin(Request {
        deadline,
        ..gate.request("a")
    });
    assert!(matches!(decision, Decision::Delay { .. }));
    gate.now += 200 * MS;
    let decision = gate.decider.resume(gate.now, &mut call, &mut gate.limits);
    assert!(matches!(decision, Decision::Reject(_)), "{decision:?}");
}
