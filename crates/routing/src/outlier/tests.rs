use super::*;

const EJECTION_TIME: DurationBounds = DurationBounds {
    min: 1000,
    max: 8000,
};

/// A group of four servers of which the others are healthy.
fn well() -> GroupHealth {
    GroupHealth {
        count: 4,
        ejected: 0,
        short_term_failures: 0.0,
        long_term_failures: 0.0,
        slowness: 1.0,
    }
}

fn byte(ratio: f64) -> FirstByte {
    FirstByte {
        ratio,
        lateness: 1.0,
        utilization: 0.0,
    }
}

/// Number of attempts with that outcome until the server is ejected, at most 100, and the cause.
fn until_ejected(
    health: &mut OutlierDetector,
    outcome: &Outcome,
    peers: GroupHealth,
) -> Option<(u32, EjectionCause)> {
    (1..=100).find_map(|count| {
        Some((
            count,
            health.attempt_finished(10, outcome, 5, peers, EJECTION_TIME)?,
        ))
    })
}

#[test]
fn each_kind_of_failure_ejects_after_a_few_attempts() {
    let count = |outcome| until_ejected(&mut OutlierDetector::default(), &outcome, well());
    assert_eq!(
        count(Outcome::ConnectFailed),
        Some((2, EjectionCause::Unreachable))
    );
    for outcome in [Outcome::ServerError, Outcome::Timeout] {
        assert_eq!(count(outcome), Some((3, EjectionCause::Failing)));
    }
    for outcome in [
        Outcome::Reset,
        Outcome::MalformedResponse,
        Outcome::Truncated { last_event: None },
    ] {
        assert_eq!(count(outcome), Some((4, EjectionCause::Failing)));
    }
}

#[test]
fn outcomes_that_are_not_the_servers_fault_never_eject() {
    let promises = [
        Outcome::NotExecuted { retry_after: None },
        Outcome::WrongInstance,
        Outcome::WrongVersion,
        Outcome::NotSent,
        Outcome::Cancelled,
        Outcome::Success,
        Outcome::ClientError,
    ];
    for outcome in promises {
        assert_eq!(
            until_ejected(&mut OutlierDetector::default(), &outcome, well()),
            None,
            "{outcome:?}"
        );
    }
}

#[test]
fn at_most_half_of_a_group_is_ejected_except_for_failed_connects() {
    let half = GroupHealth {
        ejected: 2,
        ..well()
    };
    assert_eq!(
        until_ejected(&mut OutlierDetector::default(), &Outcome::ServerError, half),
        None
    );
    assert!(
        until_ejected(
            &mut OutlierDetector::default(),
            &Outcome::ConnectFailed,
            half
        )
        .is_some()
    );
    let single = GroupHealth {
        count: 1,
        ..GroupHealth::default()
    };
    assert_eq!(
        until_ejected(
            &mut OutlierDetector::default(),
            &Outcome::ServerError,
            single
        ),
        None
    );
}

#[test]
fn failures_that_the_group_shares_do_not_eject() {
    let alike = GroupHealth {
        short_term_failures: 0.9,
        long_term_failures: 0.6,
        ..well()
    };
    assert_eq!(
        until_ejected(&mut OutlierDetector::default(), &Outcome::Timeout, alike),
        None
    );
}

#[test]
fn a_server_that_fails_a_quarter_of_its_requests_is_ejected_in_the_long_term() {
    let mut health = OutlierDetector::default();
    let mut ejected = false;
    for number in 0..60 {
        let outcome = if number % 4 == 3 {
            Outcome::ServerError
        } else {
            Outcome::Success
        };
        ejected |= health
            .attempt_finished(10, &outcome, 5, well(), EJECTION_TIME)
            .is_some();
    }
    assert!(ejected);
}

#[test]
fn an_answer_to_a_request_from_before_the_ejection_does_not_end_it() {
    let mut health = OutlierDetector::default();
    until_ejected(&mut health, &Outcome::ConnectFailed, well());
    health.attempt_finished(20, &Outcome::Success, 5, well(), EJECTION_TIME);
    assert!(health.ejection().is_some());
    health.attempt_finished(1200, &Outcome::Success, 1100, well(), EJECTION_TIME);
    assert!(health.ejection().is_none());
}

#[test]
fn ejection_time_doubles_up_to_the_maximum_and_resets_after_recovery() {
    let mut health = OutlierDetector::default();
    let mut rests = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        while health
            .attempt_finished(now, &Outcome::ConnectFailed, now, well(), EJECTION_TIME)
            .is_none()
        {}
        let ejected = health.ejection().expect("ejected");
        rests.push(ejected.until - now);
        now = ejected.until + 1;
        assert!(health.is_trial_due(now) && !health.is_trial_due(ejected.until - 1));
    }
    assert_eq!(rests, [1000, 2000, 4000, 8000, 8000, 8000]);
    for _ in 0..40 {
        health.attempt_finished(now, &Outcome::Success, now, well(), EJECTION_TIME);
    }
    until_ejected(&mut health, &Outcome::ConnectFailed, well());
    let ejected = health.ejection().expect("ejected");
    assert_eq!(ejected.until - ejected.since, 1000);
}

#[test]
fn a_health_check_decides_the_return_to_service() {
    let mut health = OutlierDetector::default();
    until_ejected(&mut health, &Outcome::ConnectFailed, well());
    health.has_trial = true;
    health.health_check_failed(2000, EJECTION_TIME);
    assert_eq!(
        health.ejection(),
        Some(Ejection {
            since: 2000,
            until: 4000
        })
    );
    assert!(!health.has_trial);
    health.health_check_passed();
    assert_eq!(health.ejection(), None);
    health.health_check_failed(6000, EJECTION_TIME);
    assert_eq!(
        health.ejection(),
        None,
        "a failed check alone sets nobody aside"
    );
}

#[test]
fn slowness_against_the_group_ejects_and_a_slow_trial_prolongs_the_ejection() {
    let slow = |byte: FirstByte, peers| {
        let mut health = OutlierDetector::default();
        let ejected = (0..20).any(|_| {
            health
                .first_byte_received(10, byte, peers, EJECTION_TIME)
                .is_some()
        });
        (ejected, health)
    };
    let (ejected, mut health) = slow(byte(6.0), well());
    assert!(ejected);
    assert!(!slow(byte(2.0), well()).0, "not so slow");
    assert!(
        !slow(
            byte(6.0),
            GroupHealth {
                slowness: 3.0,
                ..well()
            }
        )
        .0,
        "all are slow"
    );
    assert!(
        !slow(
            byte(6.0),
            GroupHealth {
                slowness: 0.0,
                ..well()
            }
        )
        .0,
        "nothing is known of the others"
    );
    assert!(
        !slow(
            FirstByte {
                lateness: 0.1,
                ..byte(6.0)
            },
            well()
        )
        .0,
        "in time all the same"
    );
    assert!(
        !slow(
            FirstByte {
                utilization: 0.9,
                ..byte(6.0)
            },
            well()
        )
        .0,
        "crowded"
    );
    assert!(
        !slow(
            byte(6.0),
            GroupHealth {
                ejected: 2,
                ..well()
            }
        )
        .0,
        "half are ejected"
    );
    health.first_byte_received(1500, byte(6.0), well(), EJECTION_TIME);
    assert_eq!(
        health.ejection(),
        Some(Ejection {
            since: 1500,
            until: 3500
        })
    );
    health.attempt_finished(1600, &Outcome::Success, 1400, well(), EJECTION_TIME);
    assert!(health.ejection().is_some());
    health.first_byte_received(4000, byte(1.0), well(), EJECTION_TIME);
    health.attempt_finished(4100, &Outcome::Success, 3900, well(), EJECTION_TIME);
    assert!(health.ejection().is_none());
}
