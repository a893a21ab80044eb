//! Slow start: a server that has just started gets a small, growing share, and all balancers together
//! do not overload it (safety rule 4).

use std::collections::BTreeMap;

use ironmast_balancer::*;

use crate::support::*;

#[test]
fn a_restarted_server_has_a_slow_start() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    driver.list(Scope::Changes, vec![started_server(1, 0, driver.now)]);
    let early = driver.count_served_by(id(1), 0..100, 5 * MS);
    assert!(
        early <= 15,
        "{early} of 100 requests while the server warms up"
    );
    driver.pass(25 * SECOND);
    let warm = driver.count_served_by(id(1), 200..300, 5 * MS);
    assert!(
        (28..=38).contains(&warm),
        "{warm} of 100 requests when the server is warm"
    );
}

/// Safety rule 4 must also hold if no warm server shows how many requests are safe.
#[test]
fn a_fleet_that_warms_up_is_not_overloaded() {
    let mut driver = Driver::new(settings(idempotent()));
    driver.list(Scope::Complete, vec![started_server(1, 0, driver.now)]);
    for number in 0..1_000 {
        driver.request(number, 0);
        driver.pass(MS);
    }
    let sends = driver.sends.len();
    assert!(sends <= 4, "{sends} sends in a second without a response");
    driver.pass(2 * SECOND);
    for number in 0..1_000 {
        assert!(driver.is_answered(number) || driver.attempts(number) == 1);
    }
}

/// The number of requests that may be sent in one overload window to a server that carries `carried`
/// per window when warm, at a fraction of its capacity.
fn max_in_window(safety: &Safety, capacity: f64, carried: f64) -> f64 {
    safety.overload_multiple * capacity * carried
}

/// Converts requests per second to requests per overload window.
fn per_window(safety: &Safety, rate: f64) -> f64 {
    rate * safety.overload_window as f64 / SECOND as f64
}

/// A restarted server failed after each of 160 balancers had sent it one request within a second.
#[test]
fn many_balancers_together_do_not_overload_a_warming_server() {
    let safety = Settings::default().safety;
    let balancers = 160;
    let sent: usize = (0..balancers)
        .map(|index| sends_to_a_restarted_server(balancers, index, 4 * safety.overload_window))
        .sum();
    // Each warm server serves a quarter of one request a second from each balancer.
    let carried = per_window(&safety, f64::from(balancers) / 4.0);
    let max = max_in_window(&safety, safety.initial_capacity, carried);
    assert!(
        (sent as f64) < max,
        "{sent} sends where fewer than {max} are allowed"
    );
    assert!(
        sent > 0,
        "a warming server must get requests, or it never warms up"
    );
}

/// The number of sends to a restarted server by one of the balancers, which receives a request per
/// second, within `time` after the restart.
fn sends_to_a_restarted_server(balancers: u32, index: u32, time: Micros) -> usize {
    let mut driver = Driver::one_of(balancers, 4, idempotent(), u64::from(index));
    let mut next = 0;
    let mut serve = |driver: &mut Driver| {
        next += 1;
        let server = driver.serve(next, 0, 20 * MS);
        driver.pass(980 * MS);
        server
    };
    for _ in 0..20 {
        serve(&mut driver);
    }
    driver.pass(u64::from(index) * 6 * MS);
    let started = driver.now;
    driver.list(Scope::Changes, vec![started_server(9, 0, started)]);
    driver.pass(100 * MS);
    let mut count = 0;
    while driver.now < started + time {
        count += usize::from(serve(&mut driver) == id(9));
    }
    count
}

/// The sends of all balancers to a zone in which most servers were replaced.
#[derive(Default)]
struct ReplacedZone {
    /// Times since the replacement at which each server was sent a request.
    sends: BTreeMap<ServerId, Vec<Micros>>,
    requests: usize,
    /// Number of requests that were sent as soon as they arrived.
    sent_at_once: usize,
}

/// The servers that replace others in [`ReplacedZone`].
const NEW_SERVERS: std::ops::RangeInclusive<u64> = 21..=26;
/// Time between the start of the new servers and the replacement.
const STARTED_BEFORE: Micros = 500 * MS;

impl ReplacedZone {
    /// Runs one of the balancers: it serves 40 requests, then six of ten servers are replaced, and 20
    /// more requests arrive at five per second.
    fn run(&mut self, balancers: u32, index: u32) {
        let mut driver = Driver::one_of(balancers, 10, idempotent(), u64::from(index));
        for number in 0..40 {
            driver.serve(number, 0, 20 * MS);
            driver.pass(200 * MS);
        }
        let started = driver.now - STARTED_BEFORE;
        let new = NEW_SERVERS.map(|number| started_server(number, 0, started));
        let removed = (1..=6).map(|number| removed_server(number, 0));
        driver.list(Scope::Changes, new.chain(removed).collect());
        let replaced = driver.now;
        let first = 1_000 + u64::from(index % 40) * 5;
        driver.pass(first % 200 * MS);
        for number in first..first + 20 {
            self.request(&mut driver, number, replaced);
        }
    }

    fn request(&mut self, driver: &mut Driver, number: RequestId, replaced: Micros) {
        driver.request(number, 0);
        self.requests += 1;
        self.sent_at_once += usize::from(driver.attempts(number) == 1);
        driver.pass(20 * MS);
        if driver.is_waiting_for_first(number) {
            let sends = self.sends.entry(driver.last_server(number)).or_default();
            sends.push(driver.now - replaced);
            driver.end_attempt(number, 0, Outcome::Ok);
        }
        driver.pass(180 * MS);
    }
}

/// Six of ten servers of a zone were replaced at once. Balancers that use few servers had only warming
/// ones in their subset and queued requests for them, while the warm servers were overloaded. Warm
/// servers and warming ones with budget must serve, and no warming server may be overloaded.
#[test]
fn many_balancers_keep_serving_while_most_servers_of_a_zone_warm_up() {
    let safety = Settings::default().safety;
    let balancers = 100;
    let mut zone = ReplacedZone::default();
    for index in 0..balancers {
        zone.run(balancers, index);
    }
    // Each of ten servers had a tenth of a hundred balancers' five requests a second.
    let carried = per_window(&safety, 4.5 * f64::from(balancers) / 10.0);
    let capacity_at = |age: Micros| {
        let initial = safety.initial_capacity;
        initial + (1.0 - initial) * age as f64 / safety.warm_up as f64
    };
    for number in NEW_SERVERS {
        let times = zone.sends.remove(&id(number)).unwrap_or_default();
        for &start in &times {
            let window = start..start + safety.overload_window;
            let sent = times.iter().filter(|at| window.contains(at)).count();
            let capacity = capacity_at(start + STARTED_BEFORE);
            let max = max_in_window(&safety, capacity, carried);
            assert!(
                (sent as f64) < max,
                "{sent} sends to one server where fewer than {max} are allowed"
            );
        }
        let (served, requests) = (times.len(), zone.requests);
        assert!(
            served * 10 > requests / 10,
            "server {number} served only {served} of {requests} requests while warming up"
        );
    }
    let (at_once, requests) = (zone.sent_at_once, zone.requests);
    assert!(
        at_once * 100 >= requests * 95,
        "{at_once} of {requests} requests sent on arrival"
    );
}
