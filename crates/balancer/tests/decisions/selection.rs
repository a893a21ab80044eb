//! Selection of servers within a zone: which are used, and how evenly.

use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::*;

use crate::support::*;

/// Number of requests sent to each server.
type Counts = BTreeMap<ServerId, usize>;

/// Serves requests one after the other, `pause` apart.
fn serve_and_count(driver: &mut Driver, requests: u64, pause: Micros) -> Counts {
    let mut counts = Counts::new();
    for number in 0..requests {
        let server = driver.serve(number, 0, 20 * MS);
        *counts.entry(server).or_default() += 1;
        driver.pass(pause);
    }
    counts
}

#[test]
fn the_own_zone_is_sent_all_requests_in_even_shares() {
    let mut driver = Driver::ready(idempotent());
    for number in 1_000..1_600 {
        driver.serve(number, 0, 5 * MS);
    }
    let mut counts = Counts::new();
    for number in 0..300 {
        *counts.entry(driver.serve(number, 0, 5 * MS)).or_default() += 1;
    }
    assert_eq!(counts.len(), 3, "only the own zone's servers");
    for number in 1..=3 {
        assert!((90..=110).contains(&counts[&id(number)]), "{counts:?}");
    }
}

/// When each server received a request from a balancer only every few seconds, slow servers kept their
/// share for a whole day.
#[test]
fn one_of_many_balancers_with_little_traffic_uses_a_small_subset_of_its_own() {
    let mut total = Counts::new();
    for seed in 0..200 {
        let mut driver = Driver::one_of(200, 10, idempotent(), seed);
        let counts = serve_and_count(&mut driver, 40, 100 * MS);
        assert!(
            counts.len() <= 4,
            "two servers, and two more after the subset changes: {counts:?}"
        );
        for (server, count) in counts {
            *total.entry(server).or_default() += count;
        }
    }
    let is_even = total.values().all(|count| (500..1_100).contains(count));
    assert!(
        total.len() == 10 && is_even,
        "requests are spread evenly over all balancers: {total:?}"
    );
    let mut driver = Driver::one_of(200, 10, idempotent(), 1);
    let counts = serve_and_count(&mut driver, 9_000, 100 * MS);
    let is_even = counts.values().all(|count| (200..2_700).contains(count));
    assert!(
        counts.len() == 10 && is_even,
        "requests are spread evenly in the long run: {counts:?}"
    );
}

/// A busy balancer with few peers used only two servers in its first seconds and rejected the remaining
/// requests.
#[test]
fn few_balancers_use_all_servers_from_the_start() {
    let mut driver = Driver::one_of(5, 10, idempotent(), 1);
    let servers = (0..10).map(|number| driver.serve(number, 0, 20 * MS));
    let used: BTreeSet<ServerId> = servers.collect();
    assert_eq!(used.len(), 10);
}

/// Idle connections of many balancers filled the servers' connection tables, and new connections were
/// refused.
#[test]
fn idle_connections_to_unused_servers_are_closed() {
    let mut driver = Driver::ready(idempotent());
    let closed = |driver: &Driver, server| driver.count_actions(&Action::CloseIdle { server });
    let used = driver.serve(1, 0, 20 * MS);
    driver.request(2, 0);
    let busy = driver.last_server(2);
    driver.pass(500 * MS);
    assert_eq!(
        closed(&driver, used),
        0,
        "connections stay open between two requests"
    );
    driver.pass(10 * SECOND);
    assert_eq!(
        closed(&driver, used),
        usize::from(used != busy),
        "an idle connection is closed once"
    );
    assert_eq!(
        closed(&driver, busy),
        0,
        "a connection stays open while a request is in flight"
    );
}

#[test]
fn larger_servers_get_larger_shares_where_sizes_mean_capacity() {
    let mut settings = settings(idempotent());
    settings.sizes = SizeMeaning::Capacity;
    let large = Server {
        size: 3.0,
        ..server(1, 0)
    };
    let mut driver = Driver::with_servers(settings, vec![large, server(2, 0)]);
    let count = driver.count_served_by(id(1), 0..400, 5 * MS);
    assert!((285..=315).contains(&count), "{count}");
}

#[test]
fn a_key_keeps_its_server_and_balancers_agree_on_it() {
    let mut settings = settings(idempotent());
    settings.key_affinity = true;
    let mut drivers = [1, 2].map(|seed| Driver::seeded(settings.clone(), seed));
    for driver in &mut drivers {
        driver.list(Scope::Complete, two_zones());
    }
    let mut agreed = 0;
    for number in 0..200 {
        for driver in &mut drivers {
            driver.request_with_key(number, 0, number % 40);
            driver.pass(5 * MS);
            driver.end_attempt(number, 0, Outcome::Ok);
        }
        let [first, second] = drivers.each_ref().map(|driver| driver.last_server(number));
        agreed += u32::from(first == second);
    }
    assert!(agreed > 150, "{agreed} of 200");
}
