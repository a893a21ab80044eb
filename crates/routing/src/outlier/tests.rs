use super::*;

const EJECTION_TIME: DurationBounds = DurationBounds {
    min: 1000,
    max: 8000,
};

/// A group of four servers in which the other three are healthy.
fn healthy_group() -> GroupHealth {
    GroupHealth {
        count: 4,
        ejected: 0,
        short_term_failures: 0.0,
        long_term_failures: 0.0,
        slowness: 1.0,
    }
}

fn first_byte(ratio: f64) -> FirstByte {
    FirstByte {
        ratio,
        lateness: 1.0,
        utilization: 0.0,
    }
}

/// Number of attempts with `outcome` until the server is ejected, and the cause; `None` if 100
/// attempts do not eject it.
fn until_ejected(
    detector: &mut OutlierDetector,
    outcome: &Outcome,
    group: GroupHealth,
) -> Option<(u32, EjectionCause)> {
    (1..=100).find_map(|count| {
        Some((
            count,
            detector.attempt_finished(10, outcome, 5, group, EJECTION_TIME)?,
        ))
    })
}

#[test]
fn each_kind_of_failure_ejects_after_a_few_attempts() {
    let count = |outcome| until_ejected(&mut OutlierDetector::default(), &outcome, healthy_group());
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
    let outcomes = [
        Outcome::NotExecuted { retry_after: None },
        Outcome::WrongInstance,
        Outcome::WrongVersion,
        Outcome::NotSent,
        Outcome::Cancelled,
        Outcome::Success,
        Outcome::ClientError,
    ];
    for outcome in outcomes {
        assert_eq!(
            until_ejected(&mut OutlierDetector::default(), &outcome, healthy_group()),
            None,
            "{outcome:?}"
        );
    }
}

#[test]
fn at_most_half_of_a_group_is_ejected_except_for_failed_connects() {
    let half = GroupHealth {
        ejected: 2,
        ..healthy_group()
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
        ..healthy_group()
    };
    assert_eq!(
        until_ejected(&mut OutlierDetector::default(), &Outcome::Timeout, alike),
        None
    );
}

#[test]
fn a_server_that_fails_a_quarter_of_its_requests_is_ejected_in_the_long_term() {
    let mut detector = OutlierDetector::default();
    let mut ejected = false;
    for number in 0..60 {
        let outcome = if number % 4 == 3 {
            Outcome::ServerError
        } else {
            Outcome::Success
        };
        ejected |= detector
            .attempt_finished(10, &outcome, 5, healthy_group(), EJECTION_TIME)
            .is_some();
    }
    assert!(ejected);
}

#[test]
fn an_answer_to_a_request_from_before_the_ejection_does_not_end_it() {
    let mut detector = OutlierDetector::default();
    until_ejected(&mut detector, &Outcome::ConnectFailed, healthy_group());
    detector.attempt_finished(20, &Outcome::Success, 5, healthy_group(), EJECTION_TIME);
    assert!(detector.ejection().is_some());
    detector.attempt_finished(
        1200,
        &Outcome::Success,
        1100,
        healthy_group(),
        EJECTION_TIME,
    );
    assert!(detector.ejection().is_none());
}

#[test]
fn ejection_time_doubles_up_to_the_maximum_and_resets_after_recovery() {
    let mut detector = OutlierDetector::default();
    let mut durations = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        while detector
            .attempt_finished(
                now,
                &Outcome::ConnectFailed,
                now,
                healthy_group(),
                EJECTION_TIME,
            )
            .is_none()
        {}
        let ejected = detector.ejection().expect("ejected");
        durations.push(ejected.until - now);
        now = ejected.until + 1;
        assert!(detector.is_trial_due(now) && !detector.is_trial_due(ejected.until - 1));
    }
    assert_eq!(durations, [1000, 2000, 4000, 8000, 8000, 8000]);
    for _ in 0..40 {
        detector.attempt_finished(now, &Outcome::Success, now, healthy_group(), EJECTION_TIME);
    }
    until_ejected(&mut detector, &Outcome::ConnectFailed, healthy_group());
    let ejected = detector.ejection().expect("ejected");
    assert_eq!(ejected.until - ejected.since, 1000);
}

#[test]
fn a_health_check_decides_the_return_to_service() {
    let mut detector = OutlierDetector::default();
    until_ejected(&mut detector, &Outcome::ConnectFailed, healthy_group());
    detector.has_trial = true;
    detector.health_check_failed(2000, EJECTION_TIME);
    assert_eq!(
        detector.ejection(),
        Some(Ejection {
            since: 2000,
            until: 4000
        })
    );
    assert!(!detector.has_trial);
    detector.health_check_passed();
    assert_eq!(detector.ejection(), None);
    detector.health_check_failed(6000, EJECTION_TIME);
    assert_eq!(
        detector.ejection(),
        None,
        "a failed check alone ejects no server"
    );
}

#[test]
fn slowness_against_the_group_ejects_and_a_slow_trial_prolongs_the_ejection() {
    let slow = |first_byte: FirstByte, group| {
        let mut detector = OutlierDetector::default();
        let ejected = (0..20).any(|_| {
            detector
                .first_byte_received(10, first_byte, group, EJECTION_TIME)
                .is_some()
        });
        (ejected, detector)
    };
    let (ejected, mut detector) = slow(first_byte(6.0), healthy_group());
    assert!(ejected);
    assert!(
        !slow(first_byte(2.0), healthy_group()).0,
        "less than three times the group's slowness"
    );
    assert!(
        !slow(
            first_byte(6.0),
            GroupHealth {
                slowness: 3.0,
                ..healthy_group()
            }
        )
        .0,
        "all are slow"
    );
    assert!(
        !slow(
            first_byte(6.0),
            GroupHealth {
                slowness: 0.0,
                ..healthy_group()
            }
        )
        .0,
        "the slowness of the group is unknown"
    );
    assert!(
        !slow(
            FirstByte {
                lateness: 0.1,
                ..first_byte(6.0)
            },
            healthy_group()
        )
        .0,
        "within the latency objective"
    );
    assert!(
        !slow(
            FirstByte {
                utilization: 0.9,
                ..first_byte(6.0)
            },
            healthy_group()
        )
        .0,
        "loaded"
    );
    assert!(
        !slow(
            first_byte(6.0),
            GroupHealth {
                ejected: 2,
                ..healthy_group()
            }
        )
        .0,
        "half are ejected"
    );
    detector.first_byte_received(1500, first_byte(6.0), healthy_group(), EJECTION_TIME);
    assert_eq!(
        detector.ejection(),
        Some(Ejection {
            since: 1500,
            until: 3500
        })
    );
    detector.attempt_finished(
        1600,
        &Outcome::Success,
        1400,
        healthy_group(),
        EJECTION_TIME,
    );
    assert!(detector.ejection().is_some());
    detector.first_byte_received(4000, first_byte(1.0), healthy_group(), EJECTION_TIME);
    detector.attempt_finished(
        4100,
        &Outcome::Success,
        3900,
        healthy_group(),
        EJECTION_TIME,
    );
    assert!(detector.ejection().is_none());
}
