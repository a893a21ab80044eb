//! Deadlines: each request gets its final answer in time, and no attempt follows it.

use ironmast_balancer::*;

use crate::support::*;

#[test]
fn every_request_is_answered_before_its_client_gives_up() {
    let mut driver = Driver::new(settings(idempotent()));
    let end = driver.now + SECOND;
    driver.request(1, 0); // before the first list
    driver.list(Scope::Complete, two_zones());
    driver.request(2, 0); // no server responds
    driver.pass(SECOND);
    for number in [1, 2] {
        assert_eq!(driver.attempts(number), 1, "request {number}");
        assert!(driver.failed[&number] <= end, "request {number}");
    }
    let mut driver = Driver::new(settings(idempotent()));
    driver.request(3, 0);
    driver.pass(SECOND);
    assert!(
        driver.rejected[&3] <= end,
        "rejected, not failed: no attempt was sent, so a retry is safe"
    );
}

#[test]
fn a_request_whose_client_disconnected_is_not_retried() {
    let mut driver = Driver::ready(idempotent());
    driver.request(1, 0);
    driver.disconnect(1);
    driver.end_attempt(1, 0, Outcome::ServerError);
    driver.pass(2 * SECOND);
    assert_eq!(driver.attempts(1), 1);
    assert!(!driver.is_answered(1));
}

#[test]
fn a_started_stream_has_no_deadline_and_is_not_hedged() {
    let class = ClassSettings {
        streaming: true,
        ..class(Effect::Idempotent)
    };
    let mut settings = settings(vec![class]);
    settings.limits.allow_hedging = true;
    let mut driver = Driver::with_servers(settings, two_zones());
    driver.request(1, 0);
    driver.event(Event::ResponseStarted { id: 1, attempt: 0 });
    driver.pass(5 * SECOND);
    assert!(!driver.is_answered(1));
    assert_eq!(driver.attempts(1), 1);
    assert!(driver.cancelled.is_empty());
}

/// Delivers request 1, whose body takes 20 s to arrive; returns when it is complete.
fn receive_slow_body(driver: &mut Driver) -> Micros {
    driver.request_until(1, 0, driver.now + 600 * SECOND);
    driver.pass(20 * SECOND);
    assert!(
        !driver.is_answered(1),
        "no deadline passes while the body arrives"
    );
    complete(driver);
    driver.now
}

/// Delivers the last byte of request 1; its client waits for another second.
fn complete(driver: &mut Driver) {
    let expires = driver.now + SECOND;
    driver.event(Event::RequestComplete { id: 1, expires });
}

#[test]
fn the_time_of_a_request_counts_from_the_last_byte_of_its_body() {
    let mut driver = Driver::ready(non_idempotent());
    let completed = receive_slow_body(&mut driver);
    driver.pass(2 * SECOND);
    let failed = driver.failed.get(&1).expect("it may have run");
    assert!(
        (completed + SECOND / 2..completed + SECOND).contains(failed),
        "failed before its client gives up"
    );
    assert!(driver.cancelled.contains(&(1, 0)));
    // Events after the final answer change nothing.
    complete(&mut driver);
    driver.end_attempt(1, 0, Outcome::Cancelled);
    driver.pass(2 * SECOND);
    assert_eq!((driver.failed.len(), driver.attempts(1)), (1, 1));
}

#[test]
fn a_request_with_a_slow_body_is_retried_while_a_response_can_still_arrive_in_time() {
    let mut driver = Driver::ready(idempotent());
    for number in 1_000..1_100 {
        driver.serve(number, 0, 5 * MS);
    }
    receive_slow_body(&mut driver);
    driver.pass(10 * MS);
    driver.end_attempt(1, 0, Outcome::ServerError);
    assert_eq!(driver.attempts(1), 2);
}
