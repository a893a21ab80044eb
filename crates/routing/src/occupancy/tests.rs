use super::*;
use crate::load::KvCacheUsage;

const MAX_AGE: Micros = 1_000_000;

fn limits() -> CapacityLimits {
    CapacityLimits {
        slots: 8,
        kv_cache: 10_000,
        connections: 12,
        gates: 3,
    }
}

fn demand(key: u64, shared: u64, own: u64) -> TokenDemand {
    TokenDemand {
        key: Some(key),
        shared,
        own,
    }
}

fn report(running: u32, waiting: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: None,
        kv_cache: None,
    }
}

fn load(occupancy: &Occupancy, now: Micros) -> Load {
    let averages = PoolAverages::of([occupancy].into_iter(), now, MAX_AGE);
    occupancy.load(now, MAX_AGE, &limits(), averages)
}

#[test]
fn a_shared_prefix_counts_once_while_any_attempt_uses_it() {
    let mut occupancy = Occupancy::default();
    occupancy.add(demand(1, 500, 100));
    occupancy.add(demand(1, 500, 100));
    occupancy.add(demand(2, 300, 50));
    assert_eq!(load(&occupancy, 0).tokens, 1050.0);
    assert_eq!(
        (
            occupancy.added_tokens(demand(1, 500, 70)),
            occupancy.added_tokens(demand(3, 500, 70))
        ),
        (70, 570)
    );
    occupancy.remove(demand(1, 500, 100));
    assert_eq!(load(&occupancy, 0).tokens, 950.0);
    occupancy.remove(demand(1, 500, 100));
    occupancy.remove(demand(2, 300, 50));
    assert_eq!((load(&occupancy, 0).tokens, occupancy.in_flight), (0.0, 0));
    occupancy.remove(demand(2, 300, 50));
    assert_eq!(
        load(&occupancy, 0).active,
        0.0,
        "one removal too many has no effect"
    );
}

#[test]
fn a_load_report_counts_for_other_gates_and_decays_with_age() {
    let mut occupancy = Occupancy::default();
    occupancy.add(demand(1, 0, 100));
    occupancy.record_load_report(0, report(4, 1));
    assert_eq!(load(&occupancy, 0).active, 5.0);
    occupancy.add(demand(1, 0, 100));
    assert_eq!(
        load(&occupancy, 0).active,
        6.0,
        "attempts sent after the report are added"
    );
    let idle = PoolAverages::default();
    assert_eq!(
        occupancy.load(MAX_AGE / 2, MAX_AGE, &limits(), idle).active,
        4.0
    );
    assert_eq!(
        occupancy.load(MAX_AGE, MAX_AGE, &limits(), idle).active,
        2.0
    );
    assert!(occupancy.has_queue(MAX_AGE / 2, MAX_AGE) && !occupancy.has_queue(MAX_AGE, MAX_AGE));
}

#[test]
fn pool_averages_stand_in_for_a_server_without_a_report() {
    let (mut reported, mut silent) = (Occupancy::default(), Occupancy::default());
    reported.record_load_report(0, report(6, 0));
    silent.add(demand(1, 400, 200));
    let averages = PoolAverages::of([&reported, &silent].into_iter(), 0, MAX_AGE);
    let load = silent.load(0, MAX_AGE, &limits(), averages);
    assert_eq!((load.active, load.tokens), (4.0, 600.0 + 3.0 * 200.0));
}

#[test]
fn kv_cache_usage_outlives_reports_without_it() {
    let mut occupancy = Occupancy::default();
    occupancy.record_load_report(
        0,
        LoadReport {
            kv_cache: Some(KvCacheUsage {
                used: 4000,
                capacity: 20_000,
            }),
            ..report(2, 0)
        },
    );
    occupancy.record_load_report(MAX_AGE / 2, report(2, 0));
    let load = occupancy.load(MAX_AGE / 2, MAX_AGE, &limits(), PoolAverages::default());
    assert_eq!((load.tokens, load.kv_cache), (2000.0, 20_000.0));
}

#[test]
fn utilization_is_the_higher_of_slots_and_kv_cache() {
    let load = |active, tokens| {
        Load {
            active,
            slots: 8.0,
            tokens,
            kv_cache: 1000.0,
        }
        .utilization()
    };
    assert_eq!((load(4.0, 100.0), load(1.0, 750.0)), (0.5, 0.75));
}

#[test]
fn a_request_fits_into_the_remaining_kv_cache() {
    let fits = |tokens, added| {
        Load {
            active: 9.0,
            slots: 8.0,
            tokens,
            kv_cache: 1000.0,
        }
        .has_kv_cache_for(added)
    };
    assert!(fits(700.0, 300) && !fits(701.0, 300));
}

#[test]
fn backoff_doubles_with_each_overload_and_ends_when_a_report_shows_capacity() {
    let mut occupancy = Occupancy::default();
    let mut backoffs = Vec::new();
    for round in 0..8 {
        occupancy.record_overload(round * MAX_AGE * 10, None);
        backoffs.push(occupancy.backoff_until() - round * MAX_AGE * 10);
    }
    assert_eq!(
        backoffs[..4],
        [
            INITIAL_BACKOFF,
            INITIAL_BACKOFF * 2,
            INITIAL_BACKOFF * 4,
            INITIAL_BACKOFF * 8
        ]
    );
    assert_eq!(backoffs[7], MAX_BACKOFF);
    let now = 7 * MAX_AGE * 10 + 1;
    occupancy.record_load_report(
        now,
        LoadReport {
            slots: Some(8),
            ..report(8, 1)
        },
    );
    assert!(occupancy.backoff_until() > now);
    occupancy.record_load_report(
        now,
        LoadReport {
            slots: Some(8),
            ..report(3, 0)
        },
    );
    assert!(occupancy.backoff_until() <= now);
    occupancy.record_success();
    occupancy.record_overload(now, Some(INITIAL_BACKOFF * 3));
    assert_eq!(
        occupancy.backoff_until(),
        now + INITIAL_BACKOFF * 3,
        "the delay that the server requests is used"
    );
}

#[test]
fn connections_are_limited_to_twice_the_even_share_and_at_least_one() {
    let has_capacity = |in_flight, connections, gates| {
        let occupancy = Occupancy {
            in_flight,
            ..Occupancy::default()
        };
        occupancy.has_connection_capacity(&CapacityLimits {
            connections,
            gates,
            ..limits()
        })
    };
    assert!(has_capacity(7, 12, 3) && !has_capacity(8, 12, 3));
    assert!(has_capacity(0, 1, 50) && !has_capacity(1, 1, 50));
    assert!(has_capacity(1000, 0, 3));
}
