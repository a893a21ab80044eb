use ironmast_limits::{GateId, GateMember};
use ironmast_routing::{Permits as _, RetryBudget as _};

use super::*;

const SECOND: Micros = 1_000_000;
const START: Micros = 100 * SECOND;

fn service(name: &str, warmup_per_s: f64) -> ServiceSpec {
    ServiceSpec {
        name: name.into(),
        health_check: "/healthz".into(),
        slots: 64,
        kv_cache_tokens: 0,
        max_connections: 0,
        warmup_per_s,
    }
}

fn server(instance: &str, service: &str) -> ServerSpec {
    ServerSpec {
        instance: instance.into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".into(),
        region: "r".into(),
        capacity: 64,
        state: ironmast_routing::ServerState::Ready,
        evacuated: false,
        warming_up: true,
        heartbeats_missing_since: None,
        models: Vec::new(),
        sequence: 1,
    }
}

/// A set of `count` gates; all but the first, which is this one, are in the servers' region.
fn gate_set(count: u64) -> GateSet {
    GateSet::new(
        GateId(0),
        (0..count)
            .map(|gate| GateMember {
                region: if gate == 0 { "elsewhere" } else { "r" }.into(),
                id: GateId(gate),
            })
            .collect(),
    )
}

/// A warm-up limit of 10 a second, with an overshoot of 1.5 and a tolerance of 5, for 16 gates:
/// each gate gets 1.
fn limits() -> Limits {
    let bounds = TimingBounds {
        warmup_overshoot: 1.5,
        warmup_tolerance: 5.0,
        ..TimingBounds::default()
    };
    let mut limits = Limits::new(&bounds, START);
    limits.update(
        gate_set(16),
        &[service("cold", 10.0), service("plain", 0.0)],
    );
    confirm_feed(&mut limits, START - 10 * SECOND, START + 20 * SECOND);
    limits
}

/// Confirms the feed without a gap from one time to another.
fn confirm_feed(limits: &mut Limits, from: Micros, until: Micros) {
    let mut now = from;
    while now <= until {
        limits.confirm_feed(now, 1_200_000);
        now += SECOND / 2;
    }
}

fn count_permits(limits: &mut Limits, now: Micros, server: &ServerSpec) -> usize {
    (0..100)
        .take_while(|_| limits.try_acquire(now, server).is_ok())
        .count()
}

#[test]
fn new_server_is_warming_up_and_gets_this_gates_share() {
    let mut limits = limits();
    let now = START + 2 * SECOND;
    assert_eq!(count_permits(&mut limits, now, &server("i", "cold")), 1);
    assert_eq!(
        count_permits(&mut limits, now + SECOND / 2, &server("i", "cold")),
        0
    );
    assert_eq!(
        count_permits(&mut limits, now + 2 * SECOND, &server("i", "cold")),
        1
    );
}

#[test]
fn service_without_a_warmup_limit_is_not_limited() {
    assert_eq!(
        count_permits(&mut limits(), START + 2 * SECOND, &server("i", "plain")),
        100
    );
}

#[test]
fn warm_server_is_not_limited_until_its_warmup_is_invalidated() {
    let mut limits = limits();
    let now = START + 2 * SECOND;
    limits.record_heartbeat(now, &"i".into(), 0.0);
    assert_eq!(count_permits(&mut limits, now, &server("i", "cold")), 100);
    limits.invalidate_warmup(now, &"i".into());
    // Requests that were sent while the server was considered warm count.
    assert_eq!(count_permits(&mut limits, now, &server("i", "cold")), 0);
    assert_eq!(limits.take_invalidated(), ["i".into()]);
    limits.record_health_check(now + SECOND, now + SECOND / 2, &"i".into(), 0.0);
    assert_eq!(
        count_permits(&mut limits, now + SECOND, &server("i", "cold")),
        100
    );
}

#[test]
fn report_from_before_the_invalidation_does_not_end_the_warmup() {
    let mut limits = limits();
    let now = START + 2 * SECOND;
    limits.record_heartbeat(now, &"i".into(), 0.0);
    limits.invalidate_warmup(now + 10, &"i".into());
    // Received after the invalidation, but may have been sent up to a second earlier.
    limits.record_heartbeat(now + SECOND / 2, &"i".into(), 0.0);
    assert!(limits.is_warming_up(now + SECOND, &server("i", "cold")));
    limits.record_heartbeat(now + 2 * SECOND, &"i".into(), 0.0);
    assert!(!limits.is_warming_up(now + 2 * SECOND, &server("i", "cold")));
}

#[test]
fn request_that_waited_for_its_connection_needs_another_permit() {
    let mut limits = limits();
    let (now, server) = (START + 2 * SECOND, server("i", "cold"));
    assert!(limits.try_acquire(now, &server).is_ok());
    assert!(limits.may_write(now + 10_000, now, &server));
    assert!(!limits.may_write(now + SECOND / 2, now, &server));
    assert!(limits.may_write(now + 2 * SECOND, now, &server));
}

#[test]
fn retries_stay_within_this_gates_share() {
    let mut limits = limits();
    let now = START + 60 * SECOND;
    let plain = service("plain", 0.0);
    (0..100).for_each(|_| limits.deposit(now, &plain));
    let retries = (0..100)
        .take_while(|_| limits.withdraw(now, &plain))
        .count();
    // Half of a ratio of 0.1; a burst of 10 leaves nothing for each of 16 gates.
    assert_eq!(retries, 5);
}

/// The number of retries that the budget of the service `plain` permits at once, of at most 100.
fn count_retries(limits: &mut Limits, now: Micros) -> usize {
    withdraw_at_most(100, limits, now)
}

fn withdraw_at_most(retries: usize, limits: &mut Limits, now: Micros) -> usize {
    let plain = service("plain", 0.0);
    (0..retries)
        .take_while(|_| limits.withdraw(now, &plain))
        .count()
}

#[test]
fn more_gates_do_not_reset_the_retry_budget() {
    let bounds = TimingBounds {
        retry_budget_ratio: 0.2,
        retry_burst: 64.0,
        ..TimingBounds::default()
    };
    let mut limits = Limits::new(&bounds, START);
    let plain = service("plain", 0.0);
    limits.update(gate_set(8), std::slice::from_ref(&plain));
    let now = START + 20 * SECOND;
    (0..50).for_each(|_| limits.deposit(now, &plain));
    assert_eq!(withdraw_at_most(3, &mut limits, now), 3);
    limits.update(gate_set(16), std::slice::from_ref(&plain));
    assert_eq!(
        count_retries(&mut limits, now),
        6,
        "5 by the ratio and 4 of the burst, less 3"
    );
}

#[test]
fn reloaded_settings_change_the_limits_and_keep_the_counts() {
    let mut limits = limits();
    let now = START + 20 * SECOND;
    let cold = server("i", "cold");
    assert_eq!(count_permits(&mut limits, now, &cold), 1);
    // 640 for 16 gates, none of it reserved for the region of the gate.
    let raised = TimingBounds {
        warmup_overshoot: 64.0,
        warmup_tolerance: 0.0,
        retry_budget_ratio: 0.0,
        retry_burst: 160.0,
        ..TimingBounds::default()
    };
    limits.set_bounds(now, &raised);
    assert_eq!(count_permits(&mut limits, now, &cold), 40 - 1);
    assert_eq!(count_retries(&mut limits, now), 10);
    let unlimited = TimingBounds {
        warmup_overshoot: 0.0,
        warmup_tolerance: 0.0,
        ..raised
    };
    limits.set_bounds(now, &unlimited);
    assert_eq!(
        count_permits(&mut limits, now, &cold),
        100,
        "no limit is set"
    );
}

/// Guards against a gate that sends its whole share to a cold server after it has started or has
/// been cut off from its agent: the last report may be from before the server turned cold.
#[test]
fn server_whose_report_is_undated_gets_this_gates_share_until_a_health_check() {
    let mut limits = limits();
    let (now, server) = (START + 2 * SECOND, server("i", "cold"));
    limits.record_heartbeat(now, &server.instance, 0.0);
    limits.begin_feed_gap();
    limits.record_heartbeat(now, &server.instance, 0.0);
    assert_eq!(count_permits(&mut limits, now, &server), 1);
    assert_eq!(limits.take_invalidated(), ["i".into()]);
    let later = now + 2 * SECOND;
    limits.confirm_feed(later, 1_200_000);
    assert_eq!(count_permits(&mut limits, later, &server), 1);
    limits.record_health_check(later + 10, later + 5, &server.instance, 0.0);
    assert_eq!(count_permits(&mut limits, later + 10, &server), 100);
}

#[test]
fn report_is_dated_by_a_heartbeat_interval_without_a_gap() {
    let mut limits = limits();
    let (now, server) = (START + 2 * SECOND, server("i", "cold"));
    limits.begin_feed_gap();
    limits.record_heartbeat(now, &server.instance, 0.0);
    confirm_feed(&mut limits, now, now + 3 * SECOND);
    assert!(limits.is_warming_up(now + 2 * SECOND, &server));
    assert!(!limits.is_warming_up(now + 2_200_000, &server));
}

#[test]
fn gates_with_undated_reports_stay_within_the_bound_together() {
    for count in [2, 12] {
        let members: Vec<_> = (0..count)
            .map(|gate| GateMember {
                region: "r".into(),
                id: GateId(gate),
            })
            .collect();
        let sent: usize = members
            .iter()
            .map(|own| {
                let mut limits = limits();
                let gates = GateSet::new(own.id, members.clone());
                limits.update(gates, &[service("cold", 10.0)]);
                limits.record_heartbeat(START, &"i".into(), 0.0);
                limits.begin_feed_gap();
                count_permits(&mut limits, START + 2 * SECOND, &server("i", "cold"))
            })
            .sum();
        assert!((1..=20).contains(&sent), "{count} gates: {sent}");
    }
}

/// Without its agent a gate learns of a cold server by health checks alone, and the server may turn cold
/// right after one.
#[test]
fn while_the_agent_is_down_each_health_check_allows_this_gates_share_again() {
    let mut limits = limits();
    let (start, server) = (START + 10 * SECOND, server("i", "cold"));
    limits.record_heartbeat(start, &server.instance, 0.0);
    limits.begin_feed_gap();
    for check in 0..3 {
        let now = start + check * SECOND / 2;
        limits.record_health_check(now, now, &server.instance, 0.0);
        assert_eq!(count_permits(&mut limits, now + 1, &server), 1);
    }
    let now = start + 3 * SECOND;
    limits.record_health_check(now, now, &server.instance, 3_000.0);
    assert_eq!(count_permits(&mut limits, now + 1, &server), 1);
    assert_eq!(count_permits(&mut limits, now + SECOND, &server), 0);
}
