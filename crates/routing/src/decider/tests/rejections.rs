//! Rejections: which requests are rejected, and with which status and retry delay.

use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

/// A gate that lets no request queue at servers. The admission limits of the priorities are fixed
/// and 0.05 apart.
fn gate_without_queue(table: TableSpec) -> Gate {
    let mut settings = Settings::new("north", "north-0");
    (
        settings.max_queue_time_share,
        settings.rejection_ramp,
        settings.priority_step,
    ) = (0.0, 0.0, 0.05);
    Gate::with_settings(table, settings, 1)
}

/// A gate with one server of 8 slots and two routes: `urgent` of priority 0 and `patient` of 4.
fn gate() -> Gate {
    let urgent = route("urgent", RouteKind::Idempotent);
    let mut patient = route("patient", RouteKind::Idempotent);
    patient.priority = 4;
    gate_without_queue(spec(vec![urgent, patient], servers(0, 1, "north")))
}

/// Number of requests that are accepted before the first rejection, at most 100, and that
/// rejection.
fn accepted_before_rejection(gate: &mut Gate, name: &str) -> (usize, Option<Rejection>) {
    for count in 0..100 {
        match gate.begin(gate.request(name)).1 {
            Decision::Send(_) => {}
            Decision::Reject(rejection) => return (count, Some(rejection)),
            other => panic!("{other:?}"),
        }
    }
    (100, None)
}

#[test]
fn when_all_servers_are_full_requests_are_rejected_at_once_with_a_retry_delay() {
    let mut gate = gate();
    let (count, rejection) = accepted_before_rejection(&mut gate, "urgent");
    let rejection = rejection.expect("a rejection");
    assert_eq!((count, rejection.status), (8, RejectionStatus::Unavailable));
    // A response is assumed to take 1 s, so one of eight slots becomes free after 125 ms; the
    // jitter is 25%.
    assert!(
        (90 * MS..160 * MS).contains(&rejection.retry_after),
        "{rejection:?}"
    );
    let seconds: f64 = rejection.retry_after_seconds().parse().expect("a number");
    assert!((seconds * 1e6 - rejection.retry_after as f64).abs() < 1000.0);
}

#[test]
fn low_priority_requests_leave_reserved_capacity() {
    assert_guarded(Guard::PriorityReserve, || {
        let mut gate = gate();
        let (count, rejection) = accepted_before_rejection(&mut gate, "patient");
        let is_reserved =
            rejection.is_some_and(|rejection| rejection.status == RejectionStatus::TooManyRequests);
        is_reserved && count == 7 && accepted_before_rejection(&mut gate, "urgent").0 == 1
    });
}

#[test]
fn slots_are_counted_over_all_gates() {
    let mut gate = gate();
    let server = gate.decider.server("i-0").expect("listed");
    let load = LoadReport {
        running: 6,
        waiting: 0,
        slots: Some(8),
        kv_cache: None,
    };
    gate.decider.apply_load_report(gate.now, server, load);
    assert_eq!(accepted_before_rejection(&mut gate, "urgent").0, 2);
}

#[test]
fn no_request_is_rejected_while_half_of_the_slots_are_free() {
    assert_guarded(Guard::FreeSlots, || {
        let mut table = spec(
            vec![route("a", RouteKind::Stream { resumable: false })],
            servers(0, 2, "north"),
        );
        table.services[0].kv_cache_tokens = 1000;
        let mut gate = gate_without_queue(table);
        (0..8).all(|key| matches!(gate.begin(gate.prompt("a", key)).1, Decision::Send(_)))
    });
}

#[test]
fn a_queue_at_a_server_allows_rejections() {
    let mut gate = gate();
    let server = gate.decider.server("i-0").expect("listed");
    let (mut call, _) = gate.begin(gate.request("urgent"));
    gate.finish_attempt(&mut call, Outcome::NotExecuted { retry_after: None });
    let load = LoadReport {
        running: 1,
        waiting: 3,
        slots: Some(8),
        kv_cache: None,
    };
    gate.decider.apply_load_report(gate.now, server, load);
    assert!(matches!(
        gate.begin(gate.request("urgent")).1,
        Decision::Reject(_)
    ));
}

#[test]
fn a_server_at_capacity_gets_no_requests_during_its_backoff() {
    assert_guarded(Guard::OverloadBackoff, || {
        let mut gate = gate_without_queue(spec(
            vec![route("a", RouteKind::NonIdempotent)],
            servers(0, 2, "north"),
        ));
        let (mut call, decision) = gate.begin(gate.request("a"));
        let full = dispatch_of(&decision).expect_instance.clone();
        gate.finish_attempt(
            &mut call,
            Outcome::NotExecuted {
                retry_after: Some(30 * MS),
            },
        );
        let is_avoided =
            (0..4).all(|_| dispatch_of(&gate.begin(gate.request("a")).1).expect_instance != full);
        gate.now += 200 * MS;
        is_avoided
            && (0..4).any(|_| dispatch_of(&gate.begin(gate.request("a")).1).expect_instance == full)
    });
}

#[test]
fn requests_spill_over_to_another_region_while_it_has_ample_capacity() {
    let listed = [servers(0, 1, "north"), servers(1, 1, "south")].concat();
    let mut gate = gate_without_queue(spec(vec![route("a", RouteKind::Idempotent)], listed));
    let sent: Vec<bool> = (0..20)
        .filter_map(|_| match gate.begin(gate.request("a")).1 {
            Decision::Send(dispatch) => Some(dispatch.crosses_region),
            _ => None,
        })
        .collect();
    assert_eq!(sent.iter().filter(|crosses| !**crosses).count(), 8);
    assert_eq!(
        sent.iter().filter(|crosses| **crosses).count(),
        7,
        "until 80% of its slots are in use"
    );
    assert!(
        sent[..8].iter().all(|crosses| !crosses),
        "the own region first"
    );
}

#[test]
fn the_connection_limit_is_shared_among_the_gates() {
    let mut table = spec(
        vec![route("a", RouteKind::Idempotent)],
        servers(0, 1, "north"),
    );
    table.services[0].max_connections = 12;
    table.services[0].slots = 6;
    table.gates = 6;
    let mut gate = gate_without_queue(table);
    assert_eq!(
        accepted_before_rejection(&mut gate, "a").0,
        4,
        "twice the even share"
    );
}

#[test]
fn the_retry_after_of_a_full_server_is_forwarded() {
    let mut gate = gate();
    let outcome = Outcome::NotExecuted {
        retry_after: Some(800 * MS),
    };
    let (_, last) = gate.fail_all_attempts(gate.request("urgent"), &outcome);
    let Decision::Reject(rejection) = last else {
        panic!("{last:?}")
    };
    assert!(
        (600 * MS..=1000 * MS).contains(&rejection.retry_after),
        "{rejection:?}"
    );
}

#[test]
fn a_retry_delay_is_limited_to_a_third_of_the_time_until_the_deadline() {
    let mut gate = gate();
    let request = Request {
        deadline: Some(gate.now + 900 * MS),
        ..gate.request("urgent")
    };
    let outcome = Outcome::NotExecuted {
        retry_after: Some(2 * SECOND),
    };
    let Decision::Reject(rejection) = gate.fail_all_attempts(request, &outcome).1 else {
        panic!("not rejected")
    };
    assert!(rejection.retry_after <= 375 * MS, "{rejection:?}");
}

#[test]
fn a_request_past_its_deadline_is_rejected() {
    let mut gate = gate();
    let request = Request {
        deadline: Some(gate.now),
        ..gate.request("urgent")
    };
    assert!(matches!(gate.begin(request).1, Decision::Reject(_)));
}

#[test]
fn rejected_clients_are_told_to_retry_one_after_the_other() {
    let mut gate = gate();
    accepted_before_rejection(&mut gate, "urgent");
    let mut delays = Vec::new();
    for _ in 0..8 {
        let Decision::Reject(rejection) = gate.begin(gate.request("urgent")).1 else {
            panic!("not rejected")
        };
        delays.push(rejection.retry_after);
    }
    // One of eight slots becomes free every 125 ms; the jitter is 25%.
    for (number, delay) in delays.iter().enumerate() {
        let slot_at = (number as u64 + 2) * 125 * MS;
        assert!(
            (slot_at * 3 / 4..=slot_at * 5 / 4).contains(delay),
            "{number}: {delay}"
        );
    }
    for _ in 0..100 {
        gate.begin(gate.request("urgent"));
    }
    let Decision::Reject(rejection) = gate.begin(gate.request("urgent")).1 else {
        panic!("not rejected")
    };
    assert!(
        rejection.retry_after <= 2500 * MS,
        "the maximum retry delay is not exceeded"
    );
    gate.now += 3 * SECOND;
    let Decision::Reject(rejection) = gate.begin(gate.request("urgent")).1 else {
        panic!("not rejected")
    };
    assert!(
        rejection.retry_after <= 160 * MS,
        "promised slots expire with time"
    );
}

#[test]
fn a_rejection_after_the_last_attempt_allows_an_immediate_retry() {
    let mut single = route("a", RouteKind::NonIdempotent);
    single.max_attempts = 1;
    let mut gate = gate_without_queue(spec(vec![single], servers(0, 3, "north")));
    let Decision::Reject(rejection) = gate
        .fail_all_attempts(gate.request("a"), &Outcome::WrongInstance)
        .1
    else {
        panic!("not rejected")
    };
    assert!(rejection.retry_after < 100 * MS, "{rejection:?}");
}

#[test]
fn low_priority_requests_leave_reserved_kv_cache() {
    let mut patient = route("patient", RouteKind::Stream { resumable: false });
    patient.priority = 4;
    let urgent = route("urgent", RouteKind::Stream { resumable: false });
    let mut table = spec(vec![urgent, patient], servers(0, 1, "north"));
    table.services[0].slots = 16;
    table.services[0].kv_cache_tokens = 7000;
    let mut gate = gate_without_queue(table);
    let count = |gate: &mut Gate, name: &str, from: u64| {
        (from..100)
            .take_while(|key| matches!(gate.begin(gate.prompt(name, *key)).1, Decision::Send(_)))
            .count()
    };
    // Requests of 630 tokens are accepted while less than 0.8 (`patient`) or all (`urgent`) of the
    // KV cache of 7,000 tokens is in use: 8 requests use 5,040, 11 use 6,930.
    assert_eq!(count(&mut gate, "patient", 0), 9);
    assert_eq!(count(&mut gate, "urgent", 50), 3);
}

#[test]
fn a_few_requests_queue_at_a_server_if_they_get_a_slot_in_time() {
    let table = spec(
        vec![route("a", RouteKind::Idempotent)],
        servers(0, 1, "north"),
    );
    let settings = Settings {
        rejection_ramp: 0.0,
        ..Settings::new("north", "north-0")
    };
    // Each request is assumed to take as long as its latency objective, so two of eight slots
    // become free within the allowed queue time of a quarter of the objective.
    assert_eq!(
        accepted_before_rejection(&mut Gate::with_settings(table, settings, 1), "a").0,
        10
    );
}

/// Fraction of the requests of each route that are sent while the server reports `running` requests
/// at 100 slots.
fn sent_shares(table: TableSpec, running: u32, names: [&str; 2]) -> [f64; 2] {
    let mut gate = Gate::new(table);
    let load = LoadReport {
        running,
        waiting: 0,
        slots: Some(100),
        kv_cache: None,
    };
    names.map(|name| {
        let sent = (0..1000u64).filter(|key| {
            gate.decider.apply_load_report(
                gate.now,
                gate.decider.server("i-0").expect("listed"),
                load,
            );
            let (mut call, decision) = gate.begin(gate.prompt(name, *key));
            gate.decider.cancel(gate.now, &mut call);
            matches!(decision, Decision::Send(_))
        });
        sent.count() as f64 / 1000.0
    })
}

#[test]
fn under_overload_less_urgent_requests_are_rejected_more_often_and_none_is_excluded() {
    assert_guarded(Guard::PriorityReserve, || {
        let mut patient = route("patient", RouteKind::Idempotent);
        patient.priority = 3;
        let table = spec(
            vec![route("urgent", RouteKind::Idempotent), patient],
            servers(0, 1, "north"),
        );
        let idle = sent_shares(table.clone(), 50, ["urgent", "patient"]);
        let overloaded = sent_shares(table, 117, ["urgent", "patient"]);
        idle == [1.0, 1.0] && overloaded[0] > overloaded[1] + 0.1 && overloaded[1] > 0.15
    });
}

#[test]
fn under_overload_the_size_of_a_request_does_not_matter() {
    let mut table = spec(
        vec![route("a", RouteKind::Idempotent)],
        servers(0, 1, "north"),
    );
    table.services[0].kv_cache_tokens = 10_000;
    let mut gate = Gate::new(table);
    let server = gate.decider.server("i-0").expect("listed");
    let mut count_sent = |max_output_tokens| {
        let sent = (0..1000u64).filter(|key| {
            let load = LoadReport {
                running: 5,
                waiting: 0,
                slots: Some(8),
                kv_cache: Some(KvCacheUsage {
                    used: 11_500,
                    capacity: 10_000,
                }),
            };
            gate.decider.apply_load_report(gate.now, server, load);
            let request = Request {
                max_output_tokens,
                ..gate.prompt("a", *key)
            };
            let (mut call, decision) = gate.begin(request);
            gate.decider.cancel(gate.now, &mut call);
            matches!(decision, Decision::Send(_))
        });
        sent.count() as f64 / 1000.0
    };
    let (small, large) = (count_sent(10), count_sent(5000));
    assert!(
        (small - large).abs() < 0.06 && (0.2..0.8).contains(&small),
        "{small} against {large}"
    );
}

/// Limits whose permits become available after a fixed delay for each service.
struct DelayedPermits {
    delays: [(&'static str, Micros); 2],
}

impl Permits for DelayedPermits {
    fn try_acquire(&mut self, _: Micros, server: &ServerSpec) -> Result<(), RetryAfter> {
        let delay = self
            .delays
            .iter()
            .find(|(name, _)| *name == &*server.service);
        Err(RetryAfter(delay.expect("a known service").1))
    }
}

impl RetryBudget for DelayedPermits {
    fn deposit(&mut self, _: Micros, _: &ServiceSpec) {}

    fn withdraw(&mut self, _: Micros, _: &ServiceSpec) -> bool {
        true
    }
}

#[test]
fn a_request_waits_for_the_earliest_permit_of_all_its_services() {
    let mut split = route("a", RouteKind::Idempotent);
    split.backends.push(WeightedBackend {
        service: "other".into(),
        weight: 1,
    });
    let warming = |number, service: &str| ServerSpec {
        warming_up: true,
        service: service.into(),
        ..server(number, "north")
    };
    let listed = vec![warming(1, "desk"), warming(2, "other")];
    for delays in [[30 * MS, 70 * MS], [70 * MS, 30 * MS]] {
        let mut gate = Gate::new(spec(vec![split.clone()], listed.clone()));
        let mut limits = DelayedPermits {
            delays: [("desk", delays[0]), ("other", delays[1])],
        };
        for _ in 0..2 {
            let request = gate.request("a");
            let (_, decision) = gate.decider.begin(gate.now, request, &mut limits);
            let earliest = Decision::Delay {
                until: gate.now + 30 * MS,
            };
            assert_eq!(decision, earliest, "permits in {delays:?}");
        }
    }
}
