//! Tests of `bodies.rs`.

use super::*;

/// A request's time whatever its pace.
const PATIENCE: Micros = 2_200_000;

#[test]
fn a_client_that_keeps_the_agreed_pace_is_never_late() {
    // The head took 2 s; then 64,000 bytes a second, in pieces of 0.1 s.
    let mut pace = MinRateTimer::new(0, PATIENCE);
    let mut now = 2_000_000;
    for _ in 0..2_000 {
        pace.waits(now);
        assert!(
            pace.late_at().expect("waited for") > now + 100_000,
            "at {now}"
        );
        now += 100_000;
        pace.came(now, 6_400);
    }
}

#[test]
fn a_client_that_stops_half_way_is_late_within_three_seconds_and_never_while_it_is_not_waited_for()
{
    for received in [0, 100, 32 * 1024, MAX_BUFFERED_BODY_BYTES] {
        let mut pace = MinRateTimer::new(0, PATIENCE);
        pace.came(10_000, received);
        assert_eq!(
            pace.late_at(),
            None,
            "a slow pay server holds it up, not the client"
        );
        pace.waits(10_000);
        let late = pace.late_at().expect("waited for");
        assert!((PATIENCE..2_800_000).contains(&late), "{received}: {late}");
    }
    // A drip does not help for long.
    let mut pace = MinRateTimer::new(0, PATIENCE);
    let mut now = 0;
    while now < 60_000_000 {
        pace.waits(now);
        if pace.late_at().expect("waited for") < now + 1_000_000 {
            break;
        }
        now += 1_000_000;
        pace.came(now, 1);
    }
    assert!(now < 4_000_000, "{now}");
}

#[tokio::test]
async fn windows_wait_for_room_and_give_it_back() {
    let held = BodyMemory::new(1);
    let one = held.reserve().await;
    let waits = tokio::time::timeout(Duration::from_millis(20), held.reserve()).await;
    assert!(waits.is_err(), "a third of one MB has room for one window");
    drop(one);
    drop(held.reserve().await);
    assert_eq!(held.now.get(), 0);
}
