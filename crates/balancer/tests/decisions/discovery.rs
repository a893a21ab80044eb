//! Updates of the server list: changes, complete lists, and retries of discovery calls.

use ironmast_balancer::*;

use crate::support::*;

#[test]
fn draining_servers_are_sent_no_new_requests() {
    let mut driver = Driver::ready(idempotent());
    let draining = Server {
        phase: Phase::Draining,
        ..server(1, 0)
    };
    driver.list(Scope::Changes, vec![draining]);
    assert_eq!(driver.count_served_by(id(1), 0..50, 5 * MS), 0);
}

#[test]
fn servers_missing_from_a_complete_list_are_removed() {
    let mut driver = Driver::ready(idempotent());
    driver.list(Scope::Complete, vec![server(3, 0), server(4, 1)]);
    assert_eq!(driver.count_served_by(id(3), 0..20, 5 * MS), 20);
}

#[test]
fn discovery_is_retried_after_a_failure_with_backoff() {
    let mut settings = settings(idempotent());
    settings.discovery = Discovery::Subscribed;
    let mut driver = Driver::new(settings);
    driver.list(Scope::Cached, two_zones());
    assert_eq!(driver.subscribed.len(), 1);
    for _ in 0..6 {
        let subscribed = driver.subscribed.len();
        driver.list(Scope::Failed, vec![]);
        driver.pass(10 * SECOND);
        assert!(
            driver.subscribed.len() > subscribed,
            "discovery is called again within discovery_interval"
        );
    }
    let subscribed = driver.subscribed.len();
    driver.list(Scope::Changes, vec![]);
    driver.pass(60 * SECOND);
    assert_eq!(
        driver.subscribed.len(),
        subscribed,
        "no more calls while subscribed"
    );
    assert_eq!(
        driver.count_served_by(id(4), 0..20, 5 * MS),
        0,
        "the cached list stays in use during failures"
    );
}

/// However many calls failed, the next one comes within half of `MAX_DISCOVERY_DELAY`. As a call may
/// wait for the other half in discovery's queue, it is answered within `MAX_DISCOVERY_DELAY` of
/// discovery's recovery.
#[test]
fn the_discovery_backoff_stays_within_half_of_the_maximum_discovery_delay() {
    for discovery_interval in [3 * SECOND, 10 * SECOND, 60 * SECOND] {
        let mut settings = settings(idempotent());
        settings.discovery = Discovery::Subscribed;
        settings.safety.discovery_interval = discovery_interval;
        let mut driver = Driver::new(settings);
        driver.list(Scope::Cached, two_zones());
        for failure in 0..40 {
            let subscribed = driver.subscribed.len();
            driver.list(Scope::Failed, vec![]);
            driver.pass(MAX_DISCOVERY_DELAY / 2);
            assert!(
                driver.subscribed.len() > subscribed,
                "interval {discovery_interval} us: discovery is not called again after failure {failure}"
            );
        }
    }
}
