//! Tiers with so many balancers that each uses, and knows the limits of, only a few servers.

use std::collections::BTreeSet;

use ironmast_balancer::*;

use crate::support::*;

/// One of `balancers` balancers, with clients that wait for ten seconds.
fn one_of(balancers: u32, servers: Vec<Server>) -> Driver {
    let class = ClassSettings {
        deadline: 10 * SECOND,
        ..class(Effect::Idempotent)
    };
    let penalties = Penalties {
        cross_zone: 0.2,
        waste: 0.0,
        late_fail: 0.0,
    };
    let settings = Settings {
        balancers,
        penalties,
        ..settings(vec![class])
    };
    Driver::with_servers(settings, servers)
}

/// Runs one of 527 balancers with two zones of 30 servers for 8 s. Twice a second, `at_once` requests
/// arrive together. `outcome` gives the outcome and latency of each attempt.
fn one_of_very_many(at_once: u64, outcome: impl Fn(ServerId) -> (Outcome, Micros)) -> Driver {
    let zone = |number| usize::from(number >= 30);
    let servers = (0..60).map(|number| server(number, zone(number))).collect();
    let mut driver = one_of(527, servers);
    let mut ended = 0;
    for tick in 0..800 {
        if tick % 50 == 0 {
            for number in 0..at_once {
                driver.request_until(tick * 10 + number, 0, driver.now + 10 * SECOND);
            }
        }
        driver.end_due(&mut ended, &outcome);
        driver.pass(10 * MS);
    }
    driver
}

/// The number of sends to the other zone.
fn remote_sends(driver: &Driver) -> usize {
    let remote: BTreeSet<ServerId> = (30..60).map(id).collect();
    let sends = driver.sends.iter();
    sends.filter(|sent| remote.contains(&sent.server)).count()
}

#[test]
fn overloaded_servers_do_not_widen_the_subset_of_one_of_very_many_balancers() {
    let driver = one_of_very_many(8, |_| (Outcome::Overloaded, 0));
    let (sends, remote) = (driver.sends.len(), remote_sends(&driver));
    assert!(
        (8..=50).contains(&sends),
        "{sends} sends in 8 s, all rejected as overloaded"
    );
    assert!(
        remote <= 24,
        "{remote} sends crossed zones to servers as overloaded as the own"
    );
}

#[test]
fn limits_of_the_used_subset_are_extrapolated_to_the_zone() {
    // All responses take the whole latency target: limits of unused servers must not permit more.
    let overloaded = one_of_very_many(1, |_| (Outcome::Ok, 200 * MS));
    let sends = overloaded.sends.len();
    assert!((2..=10).contains(&sends), "{sends} sends in 8 s");
    let responsive = one_of_very_many(1, |_| (Outcome::Ok, 20 * MS));
    assert_eq!(
        responsive.sends.len(),
        16,
        "a zone without overload takes all"
    );
    assert_eq!(remote_sends(&responsive), 0);
}

/// With 300 balancers and 200 servers, each balancer used four or five servers of its zone of fifty.
/// The initial limits of the unused servers still counted, so that requests were sent to the zone while
/// its servers were overloaded (service 0.08, against 0.86 with 60 balancers).
#[test]
fn initial_limits_of_unused_servers_do_not_keep_an_overloaded_zone_open() {
    let sends = |latency| {
        let zone = |number| number as usize / 100;
        let servers = (0..200)
            .map(|number| server(number, zone(number)))
            .collect();
        let mut driver = one_of(300, servers);
        let mut ended = 0;
        for number in 0..200 {
            driver.request_until(number, 0, driver.now + 10 * SECOND);
            for _ in 0..5 {
                driver.pass(10 * MS);
                driver.end_due(&mut ended, |_| (Outcome::Ok, latency));
            }
        }
        driver.sends.len()
    };
    assert_eq!(sends(20 * MS), 200, "a zone without overload takes all");
    let overloaded = sends(200 * MS);
    assert!(
        overloaded <= 100,
        "{overloaded} sends of 200 though every response takes the latency target"
    );
}

#[test]
fn unreachable_servers_are_not_all_tried_by_each_of_very_many_balancers() {
    let driver = one_of_very_many(8, |_| (Outcome::ConnectFailed, 150 * MS));
    let tried: BTreeSet<ServerId> = driver.sends.iter().map(|sent| sent.server).collect();
    let servers = tried.len();
    assert!((4..=16).contains(&servers), "{servers} tried in 8 s");
    let sends = driver.sends.len();
    assert!(sends <= 60, "{sends} sends in 8 s");
}
