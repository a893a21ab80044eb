//! Outlier ejection: which failures eject a server, for how long, and how the ejection ends.

use std::collections::BTreeSet;

use ironmast_balancer::*;

use crate::support::*;

/// A balancer with [`two_zones`] that has served 60 requests of a class that must not be retried.
fn non_idempotent_driver() -> Driver {
    let mut driver = Driver::ready(non_idempotent());
    serve_60_requests(&mut driver);
    driver
}

fn serve_60_requests(driver: &mut Driver) {
    for number in 1_000..1_060 {
        driver.serve(number, 0, 10 * MS);
    }
}

#[test]
fn a_slow_server_gets_a_smaller_share_though_its_attempts_are_cancelled() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    let mut count = 0;
    for number in 0..400 {
        driver.request(number, 0);
        let is_slow = driver.last_server(number) == id(1);
        if number >= 100 {
            count += usize::from(is_slow);
        }
        driver.pass(if is_slow { 60 * MS } else { 5 * MS });
        if is_slow {
            driver.disconnect(number);
        }
        let outcome = if is_slow {
            Outcome::Cancelled
        } else {
            Outcome::Ok
        };
        for attempt in 0..driver.attempts(number) as u32 {
            driver.end_attempt(number, attempt, outcome);
        }
    }
    assert!(
        (5..=40).contains(&count),
        "{count} of 300 requests sent to the slow server: its share must be smaller, but not zero"
    );
}

#[test]
fn a_server_that_refuses_connections_is_ejected_and_tried_again() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    let refusing = id(1);
    let mut refused = 0;
    for number in 0..60 {
        driver.request(number, 0);
        let server = driver.last_server(number);
        driver.pass(5 * MS);
        if server != refusing {
            driver.end_attempt(number, 0, Outcome::Ok);
            continue;
        }
        refused += 1;
        driver.end_attempt(number, 0, Outcome::ConnectFailed);
        driver.pass(5 * MS);
        assert_ne!(driver.last_server(number), refusing, "retried elsewhere");
        driver.end_attempt(number, 1, Outcome::Ok);
    }
    assert!(
        (1..=3).contains(&refused),
        "ejected after {refused} refused connections"
    );
    driver.pass(2 * SECOND);
    let count = driver.count_served_by(refusing, 100..1_600, 5 * MS);
    assert!(
        count >= 250,
        "the server is in use after a trial: {count} requests"
    );
}

#[test]
fn one_broken_response_ejects_no_server() {
    let mut driver = non_idempotent_driver();
    for number in 0..3 {
        driver.request(number, 0);
        driver.end_attempt(number, 0, Outcome::Reset);
    }
    let failed: BTreeSet<ServerId> = (0..3).map(|number| driver.last_server(number)).collect();
    let used: BTreeSet<ServerId> = (10..40)
        .map(|number| driver.serve(number, 0, 10 * MS))
        .collect();
    assert_eq!(failed.len(), 3);
    assert_eq!(failed, used, "all three servers remain in use");
}

#[test]
fn a_few_broken_connections_in_a_row_eject_no_server() {
    let mut driver = non_idempotent_driver();
    for number in 0..12 {
        driver.request(number, 0);
        let is_broken = driver.last_server(number) == id(1);
        let outcome = if is_broken {
            Outcome::Reset
        } else {
            Outcome::Ok
        };
        driver.end_attempt(number, 0, outcome);
    }
    let count = driver.count_served_by(id(1), 100..130, 10 * MS);
    assert!(count > 0, "the server remains in use");
}

#[test]
fn one_lost_connection_after_some_broken_responses_ejects_no_server() {
    let mut driver = non_idempotent_driver();
    let mut failures = [Outcome::Reset, Outcome::Reset, Outcome::ConnectFailed].into_iter();
    let mut count = 0;
    for number in 0..36 {
        driver.request(number, 0);
        let mut outcome = Outcome::Ok;
        if driver.last_server(number) == id(1) {
            count += 1;
            outcome = failures.next().unwrap_or(Outcome::Ok);
        }
        driver.end_attempt(number, 0, outcome);
        driver.end_retries(number);
    }
    assert!(count >= 8, "the server remains in use: {count} requests");
}

#[test]
fn an_ejected_server_returns_by_a_probe_where_no_class_is_idempotent() {
    let mut settings = settings(non_idempotent());
    settings.limits.probes = true;
    let mut driver = Driver::with_servers(settings, two_zones());
    serve_60_requests(&mut driver);
    for number in 0..30 {
        driver.request(number, 0);
        let outcome = if driver.last_server(number) == id(1) {
            Outcome::ConnectFailed
        } else {
            Outcome::Ok
        };
        driver.end_attempt(number, 0, outcome);
        driver.end_retries(number);
    }
    assert_eq!(
        driver.count_served_by(id(1), 100..130, MS),
        0,
        "the server is ejected"
    );
    assert!(
        !is_used_after_probe(&mut driver, id(1), Outcome::ConnectFailed),
        "a failed probe prolongs the ejection"
    );
    assert!(
        is_used_after_probe(&mut driver, id(1), Outcome::Ok),
        "a successful probe ends the ejection"
    );
}

/// Whether an ejected server is in use after its next probe, which ends with `outcome`.
fn is_used_after_probe(driver: &mut Driver, server: ServerId, outcome: Outcome) -> bool {
    let probe = Action::Probe { server };
    let before = driver.count_actions(&probe);
    driver.pass(9 * SECOND);
    assert!(
        driver.count_actions(&probe) > before,
        "the ejected server's trial is a probe"
    );
    driver.event(Event::ProbeEnded {
        server,
        outcome,
        latency: MS,
        load: None,
    });
    (0..30).any(|number| driver.serve(driver.now + number, 0, MS) == server)
}

#[test]
fn a_server_that_does_not_answer_one_class_is_ejected_for_that_class_alone() {
    let mut driver = Driver::ready([non_idempotent(), non_idempotent()].concat());
    for number in 1_000..1_120 {
        driver.serve(number, (number % 2) as usize, 10 * MS);
    }
    assert_eq!(leave_unanswered(&mut driver, id(1), 1), 3);
    let uses = |driver: &mut Driver, class, ids: std::ops::Range<RequestId>| {
        let servers = ids.map(|number| driver.serve(number, class, MS));
        servers.filter(|server| *server == id(1)).count()
    };
    assert_eq!(
        uses(&mut driver, 1, 200..215),
        0,
        "ejected for the class that it does not answer"
    );
    assert!(
        uses(&mut driver, 0, 300..330) > 0,
        "the server is in use for the other class"
    );
    driver.pass(9 * SECOND);
    assert!(
        uses(&mut driver, 1, 400..430) > 0,
        "a trial request is sent"
    );
    assert!(
        uses(&mut driver, 1, 500..530) > 5,
        "the server is in use after the trial's response"
    );
}

/// Delivers requests of two classes, of which the server does not answer one, until three clients have
/// disconnected; returns how many did.
fn leave_unanswered(driver: &mut Driver, silent: ServerId, class: ClassId) -> usize {
    let mut disconnected = 0;
    for number in 0..120 {
        if disconnected == 3 {
            break;
        }
        let requested = (number % 2) as usize;
        driver.request(number, requested);
        if requested == class && driver.last_server(number) == silent {
            disconnected += 1;
            driver.pass(300 * MS);
            driver.disconnect(number);
            driver.end_attempt(number, 0, Outcome::Cancelled);
        } else {
            driver.pass(10 * MS);
            driver.end_attempt(number, 0, Outcome::Ok);
        }
    }
    disconnected
}

/// If all servers of a zone fail alike, the cause is load; ejecting them all would overload the other
/// zone next.
#[test]
fn failures_of_a_whole_zone_do_not_eject_all_of_its_servers() {
    let mut driver = Driver::ready(non_idempotent());
    for number in 0..60 {
        driver.request(number, 0);
        driver.pass(5 * MS);
        driver.end_attempt(number, 0, Outcome::ServerError);
    }
    let latest = driver.sends.iter().rev().take(30);
    let local = latest.filter(|sent| is_local(sent.server)).count();
    assert!(local >= 15, "{local} of 30 requests stay in the own zone");
}

/// An overloaded zone must not lose one server after the other.
#[test]
fn at_most_half_of_a_zone_is_ejected() {
    let mut driver = non_idempotent_driver();
    for number in 0..90 {
        driver.request(number, 0);
        driver.pass(5 * MS);
        let outcome = if driver.last_server(number) == id(3) {
            Outcome::Ok
        } else {
            Outcome::ServerError
        };
        driver.end_attempt(number, 0, outcome);
    }
    let latest = driver.sends.iter().rev().take(20);
    let used: BTreeSet<ServerId> = latest.map(|sent| sent.server).collect();
    assert_eq!(
        used.len(),
        2,
        "one of two failing servers of three is ejected"
    );
}

#[test]
fn a_restarted_server_is_not_judged_by_outcomes_of_its_last_incarnation() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    driver.request_all(0..9);
    let was_sent = |number: &RequestId| driver.last_server(*number) == id(1);
    let (pending, others): (Vec<RequestId>, Vec<RequestId>) = (0..9).partition(was_sent);
    driver.pass(10 * MS);
    let restarted = started_server(1, 0, driver.now - 60 * SECOND);
    driver.list(Scope::Changes, vec![restarted]);
    for number in &pending {
        driver.end_attempt(*number, 0, Outcome::ConnectFailed);
    }
    for number in others {
        driver.end_attempt(number, 0, Outcome::Ok);
    }
    assert!(pending.len() >= 2);
    let count = driver.count_served_by(id(1), 100..130, 5 * MS);
    assert!(count > 0, "the restarted server is warm and healthy");
}

/// A response to an attempt that was sent before the server began to fail is no evidence of recovery.
#[test]
fn a_success_sent_before_the_ejection_does_not_end_it() {
    let mut driver = Driver::ready(idempotent());
    driver.serve_many();
    let failing = id(1);
    let mut number = 0;
    let mut next_at_failing = |driver: &mut Driver| loop {
        number += 1;
        driver.request(number, 0);
        if driver.last_server(number) == failing {
            return number;
        }
        driver.end_attempt(number, 0, Outcome::Ok);
    };
    let sent_before = next_at_failing(&mut driver);
    for _ in 0..2 {
        let refused = next_at_failing(&mut driver);
        driver.pass(MS);
        driver.end_attempt(refused, 0, Outcome::ConnectFailed);
        driver.end_attempt(refused, 1, Outcome::Ok);
    }
    let before = driver.count_served_by(failing, 20_000..20_030, 0);
    assert_eq!(before, 0, "the server is ejected");
    driver.end_attempt(sent_before, 0, Outcome::Ok);
    let after = driver.count_served_by(failing, 30_000..30_030, 0);
    assert_eq!(after, 0, "the server is still ejected");
}
