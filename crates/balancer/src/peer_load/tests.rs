//! Tests of `peer_load.rs`.

use super::*;
use crate::api::ClassSettings;

const SECOND: Micros = 1_000_000;

/// Requests per second of each balancer: 2,000 in all, nearly half of them at one.
const RATES: [u64; 16] = [
    900, 300, 300, 100, 100, 100, 100, 100, 0, 0, 0, 0, 0, 0, 0, 0,
];

fn peer_load(balancers: u32, index: u32) -> PeerLoad {
    let mut settings = Settings {
        balancers,
        balancer_index: index,
        classes: vec![ClassSettings::default()],
        ..Settings::default()
    };
    settings.limits.peers = true;
    PeerLoad::new(&settings, true, u64::from(index) + 1)
}

/// The message of a balancer in `zone` that reports `requests_per_s` requests per second.
fn report(zone: u8, requests_per_s: u32) -> Vec<u8> {
    let rate = (requests_per_s * 1_000).to_le_bytes();
    [&[VERSION, zone], &rate[..]].concat()
}

/// Simulates balancers that report to each other for ten seconds. `rates` are the requests per
/// second of each; `is_lost` says which messages are lost, by sender and time. Returns the share of
/// each for remote servers.
fn exchange_reports(rates: &[u64], is_lost: impl Fn(usize, Micros) -> bool) -> Vec<f64> {
    let count = rates.len() as u32;
    let mut balancers: Vec<PeerLoad> = (0..count).map(|index| peer_load(count, index)).collect();
    for now in (SECOND..11 * SECOND).step_by(10_000) {
        let mut messages = Vec::new();
        for (index, balancer) in balancers.iter_mut().enumerate() {
            for _ in 0..rates[index] / 100 {
                balancer.count_request(now);
            }
            balancer.update_shares(now);
            messages.extend(balancer.due_message(now).map(|data| (index, data)));
        }
        messages.retain(|(from, _)| !is_lost(*from, now));
        for (from, data) in messages {
            for balancer in &mut balancers {
                balancer.receive(now, from as u32, &data);
            }
        }
    }
    let share = |balancer: &PeerLoad| balancer.shares.remote;
    balancers.iter().map(share).collect()
}

#[test]
fn shares_follow_the_rates_of_all_balancers() {
    let shares = exchange_reports(&RATES, |_, _| false);
    assert!((shares[0] - 0.45).abs() < 0.05, "{shares:?}");
    assert!((shares[1] - 0.15).abs() < 0.02, "{shares:?}");
    assert!(
        shares[4] >= 1.0 / 16.0,
        "never below an even share: {shares:?}"
    );
}

/// Guards against limits in the own zone that are too low. Most requests to a zone's servers come
/// from the balancers of that zone; with a share of all requests instead, a fifth of all requests
/// crossed zones although each local server had only two or three in flight.
#[test]
fn the_own_zones_share_counts_only_its_own_balancers() {
    let mut balancer = peer_load(16, 0);
    balancer.update_shares(SECOND);
    for _ in 0..200 {
        balancer.count_request(2 * SECOND);
    }
    for from in 1..16 {
        let zone = u8::from(from > 3);
        balancer.receive(2 * SECOND, from, &report(zone, 100));
    }
    let factors = balancer.update_shares(2 * SECOND);
    let shares = balancer.shares;
    let ratio = shares.local / shares.remote;
    assert!((ratio - 16.0 / 4.0).abs() < 1.0, "{shares:?}");
    assert!(factors.local > 2.0 * factors.remote, "{factors:?}");
}

#[test]
fn shares_are_even_without_messages_and_close_with_a_third_of_them_lost() {
    assert_eq!(exchange_reports(&RATES, |_, _| true), vec![1.0 / 16.0; 16]);
    let is_lost = |from: usize, now: Micros| (now / 10_000 + from as u64).is_multiple_of(3);
    let shares = exchange_reports(&RATES, is_lost);
    assert!((shares[0] - 0.45).abs() < 0.05, "{shares:?}");
}

/// Guards against a share that is too large after a start, when few balancers have reported: the
/// sum of their rates must not count as the sum over all balancers.
#[test]
fn balancers_that_have_not_reported_yet_count_as_average() {
    let mut balancer = peer_load(100, 0);
    balancer.update_shares(SECOND);
    let now = SECOND + 100_000;
    for _ in 0..20 {
        balancer.count_request(now);
    }
    balancer.receive(now, 1, &report(0, 1));
    balancer.update_shares(now + 100_000);
    assert!(balancer.shares.remote < 0.2, "{:?}", balancer.shares);
}

/// The others take over the share of balancers that have failed.
#[test]
fn balancers_that_stop_reporting_no_longer_count() {
    let has_failed = |from: usize, now: Micros| from > 1 && now > 4 * SECOND;
    let shares = exchange_reports(&[400; 16], has_failed);
    assert!((shares[0] - 0.5).abs() < 0.05, "{shares:?}");
}

#[test]
fn malformed_messages_and_unknown_senders_are_dropped() {
    let good = [VERSION, 0, 255, 255, 255, 255];
    let bad: [(u32, &[u8]); 6] = [
        (1, &good[..5]),
        (1, &[good.as_slice(), &[0]].concat()),
        (1, &[VERSION + 1, 0, 255, 255, 255, 255]),
        (1, &[]),
        (99, &good),
        (0, &good),
    ];
    for (from, data) in bad {
        let mut balancer = peer_load(16, 0);
        balancer.receive(SECOND, from, data);
        assert!(
            balancer.reports.iter().all(Option::is_none),
            "{from} {data:?}"
        );
    }
    let mut balancer = peer_load(16, 0);
    balancer.receive(SECOND, 1, &good);
    assert!(balancer.reports[1].is_some());
}

/// Guards against a message load that grows with the tier: whatever its size, no balancer receives
/// more than about a hundred messages per second.
#[test]
fn larger_tiers_report_less_often() {
    for balancers in [13, 100, 2_000] {
        let mut balancer = peer_load(balancers, 0);
        let times = (0..20_000).map(|step| SECOND + step * 10_000);
        let messages = times
            .filter(|now| balancer.due_message(*now).is_some())
            .count();
        let received_per_s = messages as f64 / 200.0 * f64::from(balancers);
        assert!(
            received_per_s <= 110.0,
            "{balancers} balancers: each receives {received_per_s} messages per second"
        );
    }
}
