use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn root_heartbeat(elapsed_ms: u64) -> RootHeartbeat {
    RootHeartbeat {
        coordinator: 1,
        elapsed_ms,
    }
}

#[test]
fn heartbeat_age_follows_the_coordinators_clock() {
    let mut table = FreshnessTable::default();
    assert_eq!(table.age(ms(0)), None);
    assert!(table.record(ms(10_050), &root_heartbeat(400)));
    assert!(
        !table.record(ms(10_060), &root_heartbeat(400)),
        "a repeated heartbeat is not newer"
    );
    assert_eq!(table.age(ms(10_150)), Some(ms(100)));
}

#[test]
fn delayed_heartbeat_does_not_count_as_fresh() {
    let mut table = FreshnessTable::default();
    table.record(ms(10_050), &root_heartbeat(400));
    table.record(ms(13_000), &root_heartbeat(800));
    assert_eq!(table.age(ms(13_000)), Some(ms(2_550)));
    table.record(ms(13_010), &root_heartbeat(3_360));
    assert_eq!(table.age(ms(13_010)), Some(ms(0)));
}

#[test]
fn clock_drift_is_corrected_in_each_offset_window() {
    let mut table = FreshnessTable::default();
    for at in 1..1_000u64 {
        // The local clock gains 1 ms on the coordinator's in every 400 ms.
        table.record(ms(at * 401), &root_heartbeat(at * 400));
    }
    let age = table.age(ms(999 * 401)).expect("heartbeats were recorded");
    assert!(age < ms(400), "{age:?}");
}

#[test]
fn least_recently_sent_coordinators_are_sent_first() {
    let mut table = FreshnessTable::default();
    let mut sent = SentHeartbeats::default();
    let mut sent_coordinators = std::collections::BTreeSet::new();
    for round in 1..=3u64 {
        for coordinator in 0..9 {
            table.record(
                ms(round * 400),
                &RootHeartbeat {
                    coordinator,
                    elapsed_ms: round * 400,
                },
            );
        }
        let heartbeats = table.take_unsent(3, &mut sent);
        assert_eq!(heartbeats.len(), 3);
        sent_coordinators.extend(heartbeats.iter().map(|heartbeat| heartbeat.coordinator));
    }
    assert_eq!(sent_coordinators.len(), 9);
}

#[test]
fn table_of_coordinators_is_bounded() {
    let mut table = FreshnessTable::default();
    for coordinator in 0..100 {
        table.record(
            ms(u64::from(coordinator) * 10),
            &RootHeartbeat {
                coordinator,
                elapsed_ms: 1,
            },
        );
    }
    assert_eq!(table.ages(ms(1_000)).count(), MAX_COORDINATORS);
    assert_eq!(table.age(ms(990)), Some(ms(0)));
}
