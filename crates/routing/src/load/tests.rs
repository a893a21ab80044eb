use super::*;

const MEMORY: Micros = 1_000_000;

fn bounds() -> CapacityLimits {
    CapacityLimits {
        slots: 8,
        kv_cache: 10_000,
        connections: 12,
        gates: 3,
    }
}

fn need(key: u64, shared: u64, own: u64) -> TokenDemand {
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
    let usage = PeerAverages::of([occupancy].into_iter(), now, MEMORY);
    occupancy.load(now, MEMORY, &bounds(), usage)
}

#[test]
fn shared_parts_count_once_for_as_long_as_one_needs_them() {
    let mut here = Occupancy::default();
    here.take(need(1, 500, 100));
    here.take(need(1, 500, 100));
    here.take(need(2, 300, 50));
    assert_eq!(load(&here, 0).tokens, 1050.0);
    assert_eq!(
        (
            here.added_tokens(need(1, 500, 70)),
            here.added_tokens(need(3, 500, 70))
        ),
        (70, 570)
    );
    here.release(need(1, 500, 100));
    assert_eq!(load(&here, 0).tokens, 950.0);
    here.release(need(1, 500, 100));
    here.release(need(2, 300, 50));
    assert_eq!((load(&here, 0).tokens, here.in_flight), (0.0, 0));
    here.release(need(2, 300, 50));
    assert_eq!(load(&here, 0).active, 0.0, "one too many does no harm");
}

#[test]
fn a_report_tells_of_other_gates_only_and_fades() {
    let mut here = Occupancy::default();
    here.take(need(1, 0, 100));
    here.record_load_report(0, report(4, 1));
    assert_eq!(load(&here, 0).active, 5.0);
    here.take(need(1, 0, 100));
    assert_eq!(load(&here, 0).active, 6.0, "what was sent since is added");
    let idle = PeerAverages::default();
    assert_eq!(here.load(MEMORY / 2, MEMORY, &bounds(), idle).active, 4.0);
    assert_eq!(here.load(MEMORY, MEMORY, &bounds(), idle).active, 2.0);
    assert!(here.waiting(MEMORY / 2, MEMORY) && !here.waiting(MEMORY, MEMORY));
}

#[test]
fn what_peers_tell_stands_in_for_what_a_server_does_not() {
    let (mut told, mut quiet) = (Occupancy::default(), Occupancy::default());
    told.record_load_report(0, report(6, 0));
    quiet.take(need(1, 400, 200));
    let usage = PeerAverages::of([&told, &quiet].into_iter(), 0, MEMORY);
    let load = quiet.load(0, MEMORY, &bounds(), usage);
    assert_eq!((load.active, load.tokens), (4.0, 600.0 + 3.0 * 200.0));
}

#[test]
fn a_word_on_memory_outlives_reports_without_one() {
    let mut here = Occupancy::default();
    here.record_load_report(
        0,
        LoadReport {
            kv_cache: Some((4000, 20_000)),
            ..report(2, 0)
        },
    );
    here.record_load_report(MEMORY / 2, report(2, 0));
    let load = here.load(MEMORY / 2, MEMORY, &bounds(), PeerAverages::default());
    assert_eq!((load.tokens, load.kv_cache), (2000.0, 20_000.0));
}

#[test]
fn the_fuller_of_slots_and_memory_is_the_load() {
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
fn a_request_fits_into_the_memory_that_is_left() {
    let fits = |tokens, added| {
        super::has_memory_for(
            &Load {
                active: 9.0,
                slots: 8.0,
                tokens,
                kv_cache: 1000.0,
            },
            added,
        )
    };
    assert!(fits(700.0, 300) && !fits(701.0, 300));
}

#[test]
fn a_full_server_rests_longer_each_time_and_a_report_of_room_ends_the_rest() {
    let mut here = Occupancy::default();
    let mut rests = Vec::new();
    for round in 0..8 {
        here.refused(round * MEMORY * 10, None);
        rests.push(here.backoff_until() - round * MEMORY * 10);
    }
    assert_eq!(
        rests[..4],
        [
            INITIAL_BACKOFF,
            INITIAL_BACKOFF * 2,
            INITIAL_BACKOFF * 4,
            INITIAL_BACKOFF * 8
        ]
    );
    assert_eq!(rests[7], MAX_BACKOFF);
    let now = 7 * MEMORY * 10 + 1;
    here.record_load_report(
        now,
        LoadReport {
            slots: Some(8),
            ..report(8, 1)
        },
    );
    assert!(here.backoff_until() > now);
    here.record_load_report(
        now,
        LoadReport {
            slots: Some(8),
            ..report(3, 0)
        },
    );
    assert!(here.backoff_until() <= now);
    here.served();
    here.refused(now, Some(INITIAL_BACKOFF * 3));
    assert_eq!(
        here.backoff_until(),
        now + INITIAL_BACKOFF * 3,
        "a told wait counts"
    );
}

#[test]
fn connections_are_twice_the_even_share_and_one_at_least() {
    let connects = |in_flight, connections, gates| {
        let here = Occupancy {
            in_flight,
            ..Occupancy::default()
        };
        here.has_connection_capacity(&CapacityLimits {
            connections,
            gates,
            ..bounds()
        })
    };
    assert!(connects(7, 12, 3) && !connects(8, 12, 3));
    assert!(connects(0, 1, 50) && !connects(1, 1, 50));
    assert!(connects(1000, 0, 3));
}
