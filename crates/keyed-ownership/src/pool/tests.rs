use std::time::Duration;

use super::{PendingRequest, PermitPool};
use crate::test_support::{completed, gate, gate_incarnation, ms};
use crate::timing::PermitTiming;

/// A request to a pool of 10 permits that arrived at `arrived` milliseconds.
fn request(number: u8, sequence: u64, requested: u32, arrived: u64) -> PendingRequest {
    let arrived = ms(arrived);
    PendingRequest {
        gate: gate(number),
        sequence,
        requested,
        pool: 10,
        lifetime: ms(300),
        arrived,
        deadline: arrived + ms(60),
    }
}

/// A pool with one grant: 3 permits for request 1 of gate 1, which arrived at 100 ms.
fn pool_with_a_grant(timing: &PermitTiming) -> PermitPool {
    let mut pool = PermitPool::default();
    pool.grant(&request(1, 1, 3, 100), 3, timing);
    pool
}

#[test]
fn permits_count_until_their_last_possible_arrival() {
    let timing = PermitTiming::slow_start();
    let mut pool = pool_with_a_grant(&timing);
    let expires = ms(100) + timing.lifetime + timing.delay_variation + timing.window;
    pool.prune(expires - Duration::from_nanos(1));
    assert_eq!(pool.outstanding(), 3);
    assert_eq!(pool.next_expiry(), Some(expires));
    pool.prune(expires);
    assert_eq!(pool.outstanding(), 0);
}

#[test]
fn reported_permits_count_from_their_use() {
    let timing = PermitTiming::slow_start();
    let mut pool = pool_with_a_grant(&timing);
    pool.complete(&gate(1), &completed(1, 2, ms(40)), &timing);
    assert_eq!(pool.outstanding(), 2);
    assert_eq!(
        pool.next_expiry(),
        Some(ms(140) + timing.delay_variation + timing.window)
    );
}

#[test]
fn unused_permits_are_available_at_once() {
    let timing = PermitTiming::slow_start();
    let mut pool = pool_with_a_grant(&timing);
    pool.complete(&gate(1), &completed(1, 0, Duration::ZERO), &timing);
    assert_eq!(pool.outstanding(), 0);
}

#[test]
fn reports_of_other_grants_and_of_greater_counts_change_nothing() {
    let timing = PermitTiming::slow_start();
    let mut pool = pool_with_a_grant(&timing);
    pool.complete(&gate(2), &completed(1, 0, Duration::ZERO), &timing);
    pool.complete(&gate(1), &completed(2, 0, Duration::ZERO), &timing);
    pool.complete(
        &gate_incarnation(1, 2),
        &completed(1, 0, Duration::ZERO),
        &timing,
    );
    pool.complete(&gate(1), &completed(1, 9, ms(5000)), &timing);
    assert_eq!(pool.outstanding(), 3);
    assert_eq!(
        pool.next_expiry(),
        Some(ms(100) + timing.unreported_charge(timing.lifetime))
    );
}

#[test]
fn pool_is_shared_by_demand_when_it_is_short() {
    let mut pool = PermitPool::default();
    pool.enqueue(request(1, 1, 8, 0));
    assert_eq!(pool.fair_share(8, 10), 8);
    pool.enqueue(request(2, 1, 24, 0));
    assert_eq!(pool.fair_share(8, 10), 2);
    assert_eq!(pool.fair_share(24, 10), 7);
    pool.enqueue(request(3, 1, 1, 0));
    assert_eq!(pool.fair_share(1, 10), 1);
}

#[test]
fn newer_request_of_a_gate_replaces_its_older_one() {
    let mut pool = PermitPool::default();
    pool.enqueue(request(1, 1, 8, 0));
    pool.enqueue(request(2, 1, 1, 0));
    pool.enqueue(request(1, 2, 3, 0));
    let waiting: Vec<_> = pool
        .pending
        .iter()
        .map(|request| (request.gate, request.sequence))
        .collect();
    assert_eq!(waiting, [(gate(2), 1), (gate(1), 2)]);
}

#[test]
fn rejected_gates_are_given_consecutive_moments_to_retry() {
    let timing = PermitTiming::slow_start();
    let mut pool = PermitPool::default();
    pool.grant(&request(0, 1, 10, 0), 10, &timing);
    let free = ms(300) + timing.charge_after_use();
    let time_per_permit = timing.charge_after_use() / 10;
    let rejected = |pool: &mut PermitPool, number| {
        pool.retry_after(ms(500), &request(number, 1, 1, 500), &timing)
    };
    assert_eq!(rejected(&mut pool, 1), free - ms(500));
    assert_eq!(rejected(&mut pool, 2), free - ms(500) + time_per_permit);
    let delays: Vec<_> = (3..200).map(|number| rejected(&mut pool, number)).collect();
    assert!(
        delays
            .iter()
            .all(|delay| *delay >= ms(1000).min(free) && *delay <= ms(2000))
    );
}
