//! Prefix affinity: which server an affinity key is assigned to.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: false };

fn gate(count: usize, seed: u64) -> Gate {
    let table = spec(vec![route("a", STREAM)], servers(0, count, "north"));
    Gate::with_settings(table, Settings::new("north", "north-0"), seed)
}

#[test]
fn a_key_stays_with_its_server_at_every_gate() {
    let assigned = |seed| -> Vec<Arc<str>> {
        let mut gate = gate(6, seed);
        (0..50)
            .map(|key| gate.serve(gate.prompt("a", key % 10)))
            .collect()
    };
    let first = assigned(1);
    assert_eq!(first, assigned(2));
    assert!((10..50).all(|at| first[at] == first[at - 10]));
}

#[test]
fn the_model_is_part_of_the_key() {
    let mut gate = gate(8, 1);
    let mut differs = |key| {
        let other = Request {
            model: "n".into(),
            ..gate.prompt("a", key)
        };
        gate.serve(gate.prompt("a", key)) != gate.serve(other)
    };
    assert!((0..20).filter(|key| differs(*key)).count() > 10);
}

#[test]
fn the_last_prompt_part_is_not_part_of_the_key() {
    let mut gate = gate(8, 1);
    let mut other = gate.prompt("a", 3);
    other.parts[2].id = 99;
    assert_eq!(gate.serve(gate.prompt("a", 3)), gate.serve(other));
}

/// Number of 500 keys that are assigned to another server when the number of servers changes.
fn moved_keys(from: usize, to: usize) -> usize {
    let assigned = |count| -> Vec<Arc<str>> {
        let mut gate = gate(count, 1);
        (0..500)
            .map(|key| gate.serve(gate.prompt("a", key)))
            .collect()
    };
    let (before, after) = (assigned(from), assigned(to));
    before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after)
        .count()
}

#[test]
fn keys_stay_when_another_server_joins_or_leaves() {
    assert_guarded(Guard::Rendezvous, || {
        let assigned = |count| -> Vec<Arc<str>> {
            let mut gate = gate(count, 1);
            (0..500)
                .map(|key| gate.serve(gate.prompt("a", key)))
                .collect()
        };
        let (of_ten, of_nine) = (assigned(10), assigned(9));
        let is_even = |assigned: &[Arc<str>], servers: usize| {
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            for instance in assigned {
                *counts.entry(instance).or_default() += 1;
            }
            counts.len() == servers && counts.values().all(|count| *count > 500 / servers / 2)
        };
        let is_stable = of_ten
            .iter()
            .zip(&of_nine)
            .all(|(ten, nine)| &**ten == "i-9" || ten == nine);
        is_stable && is_even(&of_ten, 10) && is_even(&of_nine, 9)
    });
    assert!(
        (25..=80).contains(&moved_keys(10, 9)),
        "{}",
        moved_keys(10, 9)
    );
    assert_eq!(moved_keys(9, 10), moved_keys(10, 9));
}

/// Number of requests in flight at each of six servers when every second request has the same key.
fn in_flight_with_hot_key(requests: u64) -> Vec<u32> {
    let mut table = spec(vec![route("a", STREAM)], servers(0, 6, "north"));
    table.services[0].slots = 64;
    let mut settings = Settings::new("north", "north-0");
    (settings.affinity_load_excess, settings.affinity_load_floor) = (0.25, 0.15);
    let mut gate = Gate::with_settings(table, settings, 1);
    for number in 0..requests {
        let key = if number % 2 == 0 { 1_000_000 } else { number };
        assert!(matches!(
            gate.begin(gate.prompt("a", key)).1,
            Decision::Send(_)
        ));
    }
    let handles = (0..6).map(|number| gate.decider.server(&format!("i-{number}")).expect("listed"));
    handles
        .collect::<Vec<_>>()
        .into_iter()
        .map(|server| gate.decider.in_flight(server))
        .collect()
}

#[test]
fn a_hot_key_does_not_overload_its_server() {
    assert_guarded(Guard::BoundedLoad, || {
        let loads = in_flight_with_hot_key(240);
        let most = *loads.iter().max().expect("servers");
        f64::from(most) <= 1.25 * 240.0 / 6.0 + 1.0
    });
}

#[test]
fn a_hot_key_stays_while_its_server_has_capacity() {
    let mut table = spec(vec![route("a", STREAM)], servers(0, 6, "north"));
    table.services[0].slots = 64;
    let mut gate = Gate::new(table);
    let mut assigned: Vec<Arc<str>> = (0..9)
        .map(|_| {
            dispatch_of(&gate.begin(gate.prompt("a", 1)).1)
                .expect_instance
                .clone()
        })
        .collect();
    assigned.dedup();
    assert_eq!(assigned.len(), 1, "the key stays below the load floor");
}

#[test]
fn a_key_skips_a_server_at_capacity_and_returns() {
    let mut gate = gate(4, 1);
    let assigned = gate.serve(gate.prompt("a", 1));
    let server = gate.decider.server(&assigned).expect("listed");
    let load = LoadReport {
        running: 8,
        waiting: 2,
        slots: Some(8),
        kv_cache: None,
    };
    gate.decider.apply_load_report(gate.now, server, load);
    assert_ne!(gate.serve(gate.prompt("a", 1)), assigned);
    gate.decider.apply_load_report(
        gate.now,
        server,
        LoadReport {
            running: 0,
            waiting: 0,
            slots: Some(8),
            kv_cache: None,
        },
    );
    assert_eq!(gate.serve(gate.prompt("a", 1)), assigned);
}

#[test]
fn kv_cache_limits_capacity_and_shared_prefixes_count_once() {
    let mut table = spec(vec![route("a", STREAM)], servers(0, 2, "north"));
    table.services[0].slots = 64;
    table.services[0].kv_cache_tokens = 2000;
    let mut settings = Settings::new("north", "north-0");
    settings.affinity_load_excess = 10.0;
    let mut gate = Gate::with_settings(table, settings, 1);
    // Each request needs 130 tokens besides the 500 of the shared prefix: 500 + 11 * 130 = 1,930
    // fit into the KV cache of 2,000 tokens, a twelfth request does not.
    let assigned: Vec<Arc<str>> = (0..12)
        .map(|_| {
            dispatch_of(&gate.begin(gate.prompt("a", 1)).1)
                .expect_instance
                .clone()
        })
        .collect();
    assert!(
        assigned[..11]
            .iter()
            .all(|instance| *instance == assigned[0])
    );
    assert_ne!(assigned[11], assigned[0]);
}

#[test]
fn excessive_token_counts_do_not_overflow() {
    let mut gate = gate(3, 1);
    let mut calls = Vec::new();
    for key in 0..20 {
        let mut request = gate.prompt("a", key);
        (request.prompt_tokens, request.max_output_tokens) = (u64::MAX, u64::MAX);
        request
            .parts
            .iter_mut()
            .for_each(|part| part.tokens = u64::MAX);
        calls.push(gate.begin(request).0);
    }
    for mut call in calls {
        gate.decider.cancel(gate.now, &mut call);
    }
    gate.serve(gate.prompt("a", 1));
}

/// Runs one request of 50,000 tokens whose first byte comes after 1 s, so that the prefill rate is
/// known.
fn measure_prefill_rate(gate: &mut Gate) {
    let mut request = gate.prompt("a", 1_000);
    request.prompt_tokens = 50_000;
    let (mut call, _) = gate.begin(request);
    gate.now += 1_000_000;
    gate.decider.first_byte_received(gate.now, &mut call);
    gate.finish_attempt(&mut call, Outcome::Success);
}

#[test]
fn a_key_moves_while_peers_report_pending_prefill_and_returns() {
    assert_guarded(Guard::ShortPrefillWait, || {
        let mut gate = gate(6, 1);
        measure_prefill_rate(&mut gate);
        let assigned = gate.serve(gate.prompt("a", 3));
        let (mut call, _) = gate.begin(Request {
            prompt_tokens: 1,
            ..gate.prompt("a", 3)
        });
        let mut report = gate.decider.peer_report(gate.now);
        gate.finish_attempt(&mut call, Outcome::Success);
        assert_eq!(report.pending_prefill.len(), 1);
        report.pending_prefill[0].tokens = 1_000_000;
        gate.decider.apply_peer_report(gate.now, 7, &report);
        let moved = gate.serve(gate.prompt("a", 3)) != assigned;
        gate.decider
            .apply_peer_report(gate.now, 7, &PeerReport::default());
        assert_eq!(gate.serve(gate.prompt("a", 3)), assigned);
        moved
    });
}

#[test]
fn an_expired_peer_report_does_not_count() {
    let mut gate = gate(6, 1);
    measure_prefill_rate(&mut gate);
    let assigned = gate.serve(gate.prompt("a", 3));
    let (mut call, _) = gate.begin(Request {
        prompt_tokens: 1_000_000,
        ..gate.prompt("a", 3)
    });
    let report = gate.decider.peer_report(gate.now);
    gate.finish_attempt(&mut call, Outcome::Success);
    gate.decider.apply_peer_report(gate.now, 7, &report);
    assert_ne!(gate.serve(gate.prompt("a", 3)), assigned);
    gate.now += 600_000;
    assert_eq!(gate.serve(gate.prompt("a", 3)), assigned);
}

/// Whether a request is sent to another region while `pending_tokens` are pending at each server of
/// the own one: on a route that allows all regions, and on one that allows only the own region.
fn crosses_region_with_pending(pending_tokens: u64) -> [bool; 2] {
    let mut restricted = route("home", STREAM);
    restricted.allowed_regions = vec!["north".into()];
    let listed = [servers(0, 2, "north"), servers(10, 2, "south")].concat();
    let mut gate = Gate::new(spec(vec![route("a", STREAM), restricted], listed));
    measure_prefill_rate(&mut gate);
    let pending = (0..2)
        .map(|number| PendingPrefill {
            server: crate::affinity::name_hash(&format!("i-{number}")),
            tokens: pending_tokens,
        })
        .collect();
    gate.decider.apply_peer_report(
        gate.now,
        7,
        &PeerReport {
            pending_prefill: pending,
            suspect: Vec::new(),
        },
    );
    ["a", "home"].map(|name| {
        let (_, decision) = gate.begin(gate.prompt(name, 3));
        dispatch_of(&decision).crosses_region
    })
}

#[test]
fn a_long_prefill_wait_in_the_own_region_spills_over_to_another() {
    assert_guarded(Guard::SpilloverWait, || {
        crosses_region_with_pending(50_000) == [true, false]
    });
    assert_eq!(
        crosses_region_with_pending(2_000),
        [false, false],
        "a short wait is tolerated"
    );
}

#[test]
fn small_changes_of_the_peer_report_are_not_significant() {
    let mut gate = gate(6, 1);
    measure_prefill_rate(&mut gate);
    let (mut call, _) = gate.begin(Request {
        prompt_tokens: 10_000,
        ..gate.prompt("a", 3)
    });
    let report = gate.decider.peer_report(gate.now);
    let with = |tokens: u64| PeerReport {
        pending_prefill: vec![PendingPrefill {
            tokens,
            ..report.pending_prefill[0]
        }],
        suspect: Vec::new(),
    };
    let pending_tokens = report.pending_prefill[0].tokens;
    assert!(!gate.decider.is_significant_change(&report, &report));
    assert!(
        !gate
            .decider
            .is_significant_change(&report, &with(pending_tokens + 10))
    );
    assert!(
        gate.decider
            .is_significant_change(&report, &with(pending_tokens + 5_000))
    );
    assert!(
        gate.decider
            .is_significant_change(&report, &PeerReport::default())
    );
    assert!(gate.decider.is_significant_change(
        &report,
        &PeerReport {
            suspect: vec![1],
            ..report.clone()
        }
    ));
    gate.finish_attempt(&mut call, Outcome::Success);
}
