//! In-flight limits of servers, and how they are shared among balancers.

use ironmast_balancer::*;

use crate::support::*;

/// The number of requests that are sent immediately when many arrive together.
fn burst(driver: &mut Driver, ids: std::ops::Range<RequestId>) -> usize {
    let before = driver.sends.len();
    driver.request_all(ids);
    driver.sends.len() - before
}

/// Limits were split evenly among balancers regardless of their load: the busiest of a hundred queued
/// and rejected requests for which the servers had capacity. It may use the limits that the others leave
/// unused once they report how few requests they have.
#[test]
fn the_busiest_of_many_balancers_uses_limits_that_the_others_leave() {
    let sent_at_once = |others_report: bool| {
        let mut settings = settings(idempotent());
        settings.balancers = 100;
        settings.limits.peers = true;
        let servers = (1..=20).map(|number| server(number, 0)).collect();
        let mut driver = Driver::with_servers(settings, servers);
        for number in 0..100 {
            if others_report && number % 50 == 0 {
                for from in 1..100 {
                    let one_request_per_s = vec![1, 0, 0xe8, 3, 0, 0];
                    let data = one_request_per_s;
                    driver.event(Event::PeerMessage { from, data });
                }
            }
            driver.serve(number, 0, 10 * MS);
        }
        driver.request_all(1_000..1_100);
        (1_000..1_100)
            .filter(|number| driver.attempts(*number) > 0)
            .count()
    };
    let (without, with) = (sent_at_once(false), sent_at_once(true));
    assert!(
        without <= 3 && with >= 12,
        "{without} sends without reports of the others, {with} with them"
    );
}

/// One request in flight from each of many balancers overloads a server.
#[test]
fn many_balancers_share_the_limit_of_a_server() {
    let mut settings = settings(idempotent());
    settings.balancers = 40;
    let mut driver = Driver::with_servers(settings, two_zones());
    for number in 0..200 {
        driver.request(number, 0);
        // Every response takes the whole latency target: the servers are overloaded.
        driver.pass(200 * MS);
        if driver.attempts(number) == 1 {
            driver.end_attempt(number, 0, Outcome::Ok);
        }
    }
    let sent = burst(&mut driver, 1_000..1_020);
    assert!(
        sent <= 2,
        "{sent} requests in flight at five overloaded servers"
    );
}

/// Each balancer's limits grew by one per response until the first overload, whatever the number of
/// balancers: 187 balancers overloaded a zone in seconds.
#[test]
fn the_first_growth_of_a_limit_is_shared_among_many_balancers() {
    let mut driver = Driver::one_of(160, 10, non_idempotent(), 1);
    for round in 0..4 {
        let ids = 12 * round..12 * (round + 1);
        driver.request_all(ids.clone());
        for _ in 0..20 {
            driver.pass(10 * MS);
            let is_waiting = |id: &RequestId| driver.is_waiting_for_first(*id);
            let waiting: Vec<RequestId> = ids.clone().filter(is_waiting).collect();
            for id in waiting {
                driver.end_attempt(id, 0, Outcome::Ok);
            }
        }
        driver.pass(SECOND);
    }
    let sent = burst(&mut driver, 1_000..1_050);
    assert!(
        (1..=5).contains(&sent),
        "{sent} requests in flight from one of 160 balancers"
    );
}

/// With skewed traffic, a limit split evenly among balancers starves the one that receives all requests.
#[test]
fn a_balancer_that_causes_all_of_a_servers_load_gets_all_of_its_limit() {
    let in_flight = |active: f64| {
        let mut settings = settings(idempotent());
        settings.balancers = 10;
        let mut driver = Driver::with_servers(settings, two_zones());
        driver.load = Some(LoadReport {
            cpu: None,
            active: Some(active),
        });
        for round in 0..400 {
            let ids = 12 * round..12 * (round + 1);
            driver.request_all(ids.clone());
            let latency = if round % 4 == 0 { 100 * MS } else { 30 * MS };
            driver.pass(latency);
            for id in ids {
                if driver.is_waiting_for_first(id) {
                    driver.end_attempt(id, 0, Outcome::Ok);
                }
            }
        }
        burst(&mut driver, 10_000..10_050)
    };
    let (alone, one_of_many) = (in_flight(1.0), in_flight(50.0));
    assert!(
        alone >= one_of_many + 3,
        "{alone} in flight if alone, {one_of_many} as one of many balancers"
    );
}

#[test]
fn a_server_ejected_for_a_class_does_not_keep_the_others_limits_down() {
    let servers = vec![server(1, 0), server(2, 0)];
    let mut driver = Driver::with_servers(settings(non_idempotent()), servers);
    // Sends requests, to which server 1 gives no response; returns how many were sent.
    let send = |driver: &mut Driver, ids: std::ops::Range<RequestId>| {
        driver.request_all(ids.clone());
        let is_sent = |id: &RequestId| driver.attempts(*id) > 0;
        let sent: Vec<RequestId> = ids.filter(is_sent).collect();
        driver.pass(MS);
        for id in &sent {
            if driver.last_server(*id) != server(1, 0).id {
                driver.end_attempt(*id, 0, Outcome::Ok);
            }
        }
        sent.len()
    };
    send(&mut driver, 0..10);
    driver.pass(300 * MS);
    for number in 0..10 {
        if driver.last_server(number) == id(1) {
            driver.disconnect(number);
            driver.end_attempt(number, 0, Outcome::Cancelled);
        }
    }
    for round in 1..9 {
        let ids = 100 * round..100 * round + 11;
        assert_eq!(send(&mut driver, ids), 11);
    }
    assert!(
        send(&mut driver, 2_000..2_040) >= 18,
        "the limit of the server that responds has grown"
    );
}

/// A server that rejects immediately always has capacity and would be sent ever more requests.
#[test]
fn a_server_that_rejects_immediately_is_not_preferred() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    let before = driver.sends.len();
    for number in 0..200 {
        driver.request(number, 0); // the other servers never respond and are soon at their limits
        for attempt in 0..3 {
            let is_latest = driver.attempts(number) == attempt as usize + 1;
            if is_latest && driver.last_server(number) == id(1) {
                driver.end_attempt(number, attempt, Outcome::Overloaded);
            }
        }
        driver.pass(MS);
    }
    let sends = driver.sends[before..].iter();
    let count = sends.filter(|sent| sent.server == id(1)).count();
    assert!(
        count <= 25,
        "{count} sends in 200 ms to the server that rejects"
    );
}
