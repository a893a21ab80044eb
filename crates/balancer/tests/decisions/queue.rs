//! Queued requests: the order in which they are sent, and when they are rejected.

use std::collections::BTreeSet;

use ironmast_balancer::*;

use crate::support::*;

#[test]
fn the_most_valuable_queued_request_is_sent_first() {
    let valuable = ClassSettings {
        value: 9.0,
        ..class(Effect::Idempotent)
    };
    let classes = vec![class(Effect::Idempotent), valuable];
    let mut driver = Driver::new(settings(classes));
    driver.request(1, 0);
    driver.request(2, 1);
    driver.list(Scope::Complete, two_zones());
    let sent: Vec<RequestId> = driver.sends.iter().map(|sent| sent.request).collect();
    assert_eq!(sent, [2, 1]);
}

/// A queued request that has waited long enough to cross zones is sent to a free server in another
/// zone, even if the newest queued request has not.
#[test]
fn queued_requests_that_may_spill_over_do_not_wait_behind_newer_ones() {
    let mut settings = settings(non_idempotent());
    settings.penalties.cross_zone = 0.2;
    let remote = id(2);
    let mut driver = Driver::with_servers(settings, vec![server(1, 0), server(2, 1)]);
    driver.request_all(0..60);
    driver.pass(50 * MS);
    let mut sends = driver.sends.iter();
    let crossed = sends
        .find(|sent| sent.server == remote)
        .expect("some crossed")
        .request;
    driver.request(100, 0);
    assert_eq!(driver.attempts(100), 0, "no capacity anywhere");
    let before = driver.sends.len();
    driver.end_attempt(crossed, 0, Outcome::Ok);
    let next = driver.sends.get(before).expect("an older one is sent");
    assert_eq!(driver.last_server(next.request), remote, "it crosses");
    assert_eq!(driver.attempts(100), 0, "the newest is too new to cross");
}

/// The distinct retry delays of all rejections.
fn retry_delays(driver: &Driver) -> BTreeSet<Micros> {
    let retry_after = |action: &Action| match action {
        Action::Reject { retry_after, .. } => Some(retry_after.expect("a retry delay")),
        _ => None,
    };
    driver.actions.iter().filter_map(retry_after).collect()
}

/// Clients that are rejected together must not all retry at the same time.
#[test]
fn rejections_at_the_same_time_have_different_retry_delays() {
    let mut driver = Driver::new(settings(idempotent()));
    driver.request_all(0..40);
    driver.pass(SECOND);
    let times: BTreeSet<Micros> = driver.rejected.values().copied().collect();
    assert_eq!((driver.rejected.len(), times.len()), (40, 1));
    let delays = retry_delays(&driver);
    assert!(delays.len() > 10, "{delays:?}");
}

/// Requests queued for a full server are rejected well before their latency target, while their
/// clients can still try elsewhere.
#[test]
fn a_request_that_no_server_has_seen_is_rejected_early_with_a_jittered_retry_delay() {
    let class = ClassSettings {
        latency_target: 800 * MS,
        ..class(Effect::NonIdempotent)
    };
    let mut driver = Driver::with_servers(settings(vec![class]), vec![server(1, 0)]);
    driver.request_all(1..=40);
    let queued = 40 - driver.sends.len();
    driver.pass(260 * MS);
    assert!(queued > 1);
    assert_eq!(driver.rejected.len(), queued, "{:?}", driver.rejected);
    assert!(
        driver.rejected.values().all(|&at| at < driver.now),
        "rejected within 260 ms, before the latency target of 800 ms"
    );
    let delays = retry_delays(&driver);
    let is_allowed = |delay: &Micros| (1..=SECOND).contains(delay);
    assert!(delays.iter().all(is_allowed), "{delays:?}");
    assert!(
        delays.len() > queued / 2,
        "clients retry at different times: {delays:?}"
    );
}
