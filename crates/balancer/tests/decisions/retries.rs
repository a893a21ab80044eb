//! Retries and hedging: for which requests, when, and how often.

use ironmast_balancer::*;

use crate::support::*;

fn deduplicated(group: Group, window: Micros) -> Vec<ClassSettings> {
    vec![class(Effect::Deduplicated { group, window })]
}

/// Retries of requests that overloaded servers had rejected did not count against the retry budget and
/// became a retry storm among overloaded servers.
#[test]
fn overloaded_servers_cause_no_retry_storm() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    let before = driver.sends.len();
    for number in 0..400 {
        driver.request(number, 0);
        for attempt in 0..6 {
            if driver.attempts(number) > attempt as usize {
                driver.end_attempt(number, attempt, Outcome::Overloaded);
            }
        }
        driver.pass(50 * MS);
    }
    let sent = driver.sends.len() - before;
    assert!(sent <= 520, "{sent} attempts for 400 requests");
}

#[test]
fn a_non_idempotent_request_is_retried_only_when_it_cannot_have_run() {
    let mut driver = Driver::ready(non_idempotent());
    driver.serve_many();
    driver.request(1, 0);
    driver.end_attempt(1, 0, Outcome::Overloaded);
    assert_eq!(driver.attempts(1), 2);
    driver.end_attempt(1, 1, Outcome::Reset);
    assert_eq!(driver.attempts(1), 2);
    assert!(
        driver.failed.contains_key(&1),
        "failed, not rejected: it may have run"
    );
}

#[test]
fn a_deduplicated_request_is_retried_only_in_its_group() {
    let mut driver = Driver::ready(deduplicated(Group::Zone, SECOND));
    driver.request(1, 0);
    driver.end_attempt(1, 0, Outcome::Reset);
    assert!(driver.attempts(1) == 1 || is_local(driver.last_server(1)));
    let mut driver = Driver::ready(deduplicated(Group::Cell, SECOND));
    driver.serve_many();
    // Server 1 has a cell of its own, 2 and 3 share one.
    let is_first_cell = |server| server == id(1);
    for number in 0..20 {
        driver.request(number, 0);
        let first = driver.last_server(number);
        driver.end_attempt(number, 0, Outcome::ServerError);
        let second = driver.last_server(number);
        assert_eq!(is_first_cell(first), is_first_cell(second));
    }
}

#[test]
fn a_deduplicated_request_is_not_retried_after_its_window() {
    let mut driver = Driver::ready(deduplicated(Group::All, 50 * MS));
    driver.serve_many();
    driver.request(1, 0);
    driver.pass(60 * MS);
    driver.end_attempt(1, 0, Outcome::ServerError);
    assert_eq!(driver.attempts(1), 1);
}

#[test]
fn one_attempt_at_a_time_is_in_flight_without_hedging() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    for number in 0..20 {
        driver.request(number, 0);
        driver.pass(30 * MS);
    }
    driver.pass(100 * MS);
    for number in 0..20 {
        assert!(
            driver.attempts(number) <= 1,
            "the first attempt is still in flight"
        );
    }
}

#[test]
fn a_late_response_is_hedged_where_hedging_is_allowed() {
    let mut driver = Driver::with_hedging();
    driver.request(1, 0);
    let first = driver.last_server(1);
    driver.pass(100 * MS);
    assert_eq!(driver.attempts(1), 2);
    assert_ne!(driver.last_server(1), first);
    driver.end_attempt(1, 1, Outcome::Ok);
    assert!(
        driver.cancelled.contains(&(1, 0)),
        "the slower attempt is cancelled"
    );
}

/// Expensive requests must not be hedged: they are as expensive on another server, and the second
/// attempt only adds load.
#[test]
fn hedged_requests_that_lose_become_rarer() {
    let hedged_requests = |hedge_wins: bool| {
        let mut driver = Driver::with_hedging();
        let before = driver.sends.len();
        for number in 0..600 {
            driver.request(number, 0);
            let is_slow = number % 3 == 0;
            driver.pass(if is_slow { 120 * MS } else { 10 * MS });
            let is_hedged = driver.attempts(number) == 2;
            let winner = u32::from(is_hedged && hedge_wins);
            driver.end_attempt(number, winner, Outcome::Ok);
            if is_hedged {
                driver.end_attempt(number, 1 - winner, Outcome::Cancelled);
            }
        }
        driver.sends.len() - before - 600
    };
    let (won, lost) = (hedged_requests(true), hedged_requests(false));
    assert!(
        won > 2 * lost,
        "{won} hedged requests if they win, {lost} if they lose"
    );
}

/// A cancelled attempt runs on at its server: a retry would do the work twice and overload the zone.
#[test]
fn a_slow_attempt_is_not_cancelled_where_hedging_is_not_allowed() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    for number in 0..30 {
        driver.request(number, 0);
        driver.pass(5 * MS);
    }
    driver.pass(150 * MS);
    assert!(driver.cancelled.is_empty());
}
