//! Selection of zones: the own zone first, and spillover to others.

use ironmast_balancer::*;

use crate::support::*;

#[test]
fn requests_leave_a_zone_without_servers_and_return_when_it_has_some() {
    let mut driver = Driver::ready(idempotent());
    let removed = (1..=3).map(|number| removed_server(number, 0)).collect();
    driver.list(Scope::Changes, removed);
    let server_of_other_zone = driver.serve(1, 0, 5 * MS);
    assert!([id(4), id(5)].contains(&server_of_other_zone));
    driver.list(Scope::Changes, vec![server(2, 0)]);
    assert_eq!(driver.count_served_by(id(2), 10..20, 5 * MS), 10);
}

/// When a zone is saturated, its responses get slow and its limits shrink; requests that have waited
/// long enough cross to another zone.
#[test]
fn a_saturated_zone_spills_over_only_its_excess() {
    let mut driver = Driver::with_spillover(idempotent());
    let mut waiting: Vec<(Micros, RequestId)> = Vec::new();
    let mut seen = 0;
    for number in 0..600 {
        driver.request(number, 0);
        driver.pass(5 * MS);
        for sent in &driver.sends[seen..] {
            assert_eq!(sent.attempt, 0);
            let is_local = is_local(sent.server);
            let latency = if is_local { 150 * MS } else { 10 * MS };
            waiting.push((sent.at + latency, sent.request));
        }
        seen = driver.sends.len();
        let (due, rest) = waiting.into_iter().partition(|(at, _)| *at <= driver.now);
        waiting = rest;
        for (_, request) in due {
            driver.end_attempt(request, 0, Outcome::Ok);
        }
    }
    let sends = driver.sends.iter();
    let local = sends.filter(|sent| is_local(sent.server)).count();
    let remote = driver.sends.len() - local;
    assert!(
        remote > 50,
        "excess requests are sent to the other zone: {remote}"
    );
    assert!(
        local > 50,
        "the other requests stay in the own zone: {local}"
    );
}

#[test]
fn a_zone_with_capacity_does_not_spill_over() {
    let mut driver = Driver::with_spillover(idempotent());
    driver.serve_many();
    assert!(driver.sends.iter().all(|sent| is_local(sent.server)));
}

/// Limits of remote servers must not stay at their minimum where latency targets are short and network
/// latency is long.
#[test]
fn network_latency_to_another_zone_does_not_count_as_overload() {
    let settings = Settings {
        balancers: 4,
        ..settings(idempotent())
    };
    let mut driver = Driver::with_servers(settings, vec![server(4, 1), server(5, 1)]);
    // More requests arrive than the limits allow, and every response takes the network latency plus a
    // little work.
    let mut ended = 0;
    let mut sent_at_once = |round: u64| {
        driver.request_all(24 * round..24 * (round + 1));
        let count = driver.sends.len() - ended;
        driver.pass(60 * MS);
        for index in ended..ended + count {
            let sent = driver.sends[index];
            driver.end_attempt(sent.request, sent.attempt, Outcome::Ok);
        }
        ended += count;
        count
    };
    let before = sent_at_once(0);
    let after = (1..=40).map(&mut sent_at_once).last().unwrap_or(0);
    assert!(
        after > before,
        "{before} requests sent on arrival at first, {after} at the end"
    );
}

/// A balancer whose share of an overloaded zone's limit is less than one request pauses sending to
/// the zone at times: one request in flight from each of 140 balancers would exceed its capacity.
#[test]
fn limits_that_sum_below_one_pause_the_zone() {
    let class = ClassSettings {
        deadline: 10 * SECOND,
        ..class(Effect::NonIdempotent)
    };
    let mut driver = Driver::one_of(140, 4, vec![class], 1);
    let mut ended = 0;
    for number in 0..600 {
        driver.request_until(number, 0, driver.now + 10 * SECOND);
        driver.pass(50 * MS);
        // Every response takes the whole latency target: the zone is overloaded. One request at a
        // time would make 150 sends in all.
        driver.end_due(&mut ended, |_| (Outcome::Ok, 200 * MS));
    }
    let sends = driver.sends.len();
    assert!(
        (5..=60).contains(&sends),
        "{sends} sends in 30 s from one of 140"
    );
}
