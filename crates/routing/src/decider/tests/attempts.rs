//! Retries: what follows the end of an attempt.

use crate::guards::Guard;
use crate::test_support::*;
use crate::*;

fn gate(kind: RouteKind, max_attempts: u32) -> Gate {
    let mut route = route("a", kind);
    route.max_attempts = max_attempts;
    Gate::new(spec(vec![route], servers(0, 5, "north")))
}

fn outcomes_that_may_have_run() -> Vec<Outcome> {
    vec![
        Outcome::ServerError,
        Outcome::Reset,
        Outcome::Timeout,
        Outcome::MalformedResponse,
    ]
}

fn outcomes_that_never_ran() -> Vec<Outcome> {
    vec![
        Outcome::NotExecuted { retry_after: None },
        Outcome::WrongInstance,
        Outcome::WrongVersion,
        Outcome::ConnectFailed,
        Outcome::NotSent,
    ]
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    assert_guarded(Guard::AtMostOnce, || {
        [
            RouteKind::NonIdempotent,
            RouteKind::Stream { resumable: false },
        ]
        .into_iter()
        .all(|kind| {
            outcomes_that_may_have_run().iter().all(|outcome| {
                let mut gate = gate(kind, 3);
                let (tried, last) = gate.fail_all_attempts(gate.request("a"), outcome);
                tried.len() == 1
                    && matches!(last, Decision::Fail { .. } | Decision::ForwardResponse)
            })
        })
    });
}

#[test]
fn a_request_that_was_not_executed_is_retried_at_other_servers() {
    for outcome in outcomes_that_never_ran() {
        let mut gate = gate(RouteKind::NonIdempotent, 2);
        let (mut tried, last) = gate.fail_all_attempts(gate.request("a"), &outcome);
        assert!(tried.len() >= 2, "{outcome:?}");
        assert!(matches!(last, Decision::Reject(_)), "{outcome:?}: {last:?}");
        let attempts = tried.len();
        tried.sort();
        tried.dedup();
        let may_repeat = outcome == Outcome::NotSent;
        assert!(
            may_repeat || tried.len() == attempts,
            "one server twice after {outcome:?}"
        );
    }
}

#[test]
fn an_attempt_that_was_not_sent_is_retried_at_the_same_server() {
    let mut gate = gate(RouteKind::Stream { resumable: false }, 1);
    let (mut call, first) = gate.begin(gate.prompt("a", 1));
    let second = gate.finish_attempt(&mut call, Outcome::NotSent);
    assert_eq!(dispatch_of(&second).server, dispatch_of(&first).server);
}

#[test]
fn idempotent_requests_are_retried_after_any_failure() {
    for kind in [RouteKind::Idempotent, RouteKind::Stream { resumable: true }] {
        for outcome in outcomes_that_may_have_run() {
            let mut gate = gate(kind, 3);
            assert_eq!(
                gate.fail_all_attempts(gate.request("a"), &outcome).0.len(),
                3
            );
        }
    }
}

#[test]
fn a_request_reaches_no_more_servers_than_the_route_allows() {
    assert_guarded(Guard::MaxAttempts, || {
        outcomes_that_may_have_run().iter().all(|outcome| {
            let mut gate = gate(RouteKind::Idempotent, 2);
            gate.fail_all_attempts(gate.request("a"), outcome).0.len() == 2
        })
    });
}

#[test]
fn the_number_of_failed_connects_is_bounded() {
    let mut gate = gate(RouteKind::Idempotent, 1);
    assert_eq!(
        gate.fail_all_attempts(gate.request("a"), &Outcome::ConnectFailed)
            .0
            .len(),
        4
    );
}

#[test]
fn retries_are_charged_to_the_budget_and_failed_connects_are_not() {
    assert_guarded(Guard::RetryBudget, || {
        let mut gate = gate(RouteKind::Idempotent, 3);
        gate.limits.retries = 1;
        let (tried, last) = gate.fail_all_attempts(gate.request("a"), &Outcome::Reset);
        tried.len() == 2 && matches!(last, Decision::Fail { status: 502 })
    });
    let mut gate = gate(RouteKind::Idempotent, 3);
    gate.limits.retries = 0;
    assert!(
        gate.fail_all_attempts(gate.request("a"), &Outcome::ConnectFailed)
            .0
            .len()
            > 1
    );
    assert_eq!(gate.limits.deposits, 1);
}

#[test]
fn a_request_is_rejected_only_if_it_was_not_executed() {
    assert_guarded(Guard::RejectOnlyUnexecuted, || {
        let mut gate = gate(RouteKind::Idempotent, 3);
        gate.limits.retries = 0;
        let (_, last) = gate.fail_all_attempts(gate.request("a"), &Outcome::Reset);
        !matches!(last, Decision::Reject(_))
    });
}

#[test]
fn an_error_response_of_a_server_is_forwarded() {
    let mut gate = gate(RouteKind::NonIdempotent, 3);
    assert_eq!(
        gate.fail_all_attempts(gate.request("a"), &Outcome::ServerError)
            .1,
        Decision::ForwardResponse
    );
    assert_eq!(
        gate.fail_all_attempts(gate.request("a"), &Outcome::ClientError)
            .1,
        Decision::ForwardResponse
    );
}

#[test]
fn a_truncated_resumable_stream_continues_after_its_last_event() {
    let mut gate = gate(RouteKind::Stream { resumable: true }, 2);
    let (mut call, first) = gate.begin(gate.prompt("a", 1));
    gate.decider.first_byte_received(gate.now, &mut call);
    gate.decider
        .response_forwarded(gate.now, &mut call, Some(11));
    let second = gate.finish_attempt(
        &mut call,
        Outcome::Truncated {
            last_event: Some(12),
        },
    );
    assert_eq!(dispatch_of(&second).resume_after, Some(12));
    assert_ne!(dispatch_of(&second).server, dispatch_of(&first).server);
    assert_eq!(
        gate.finish_attempt(
            &mut call,
            Outcome::Truncated {
                last_event: Some(20)
            }
        ),
        Decision::AbortResponse
    );
}

#[test]
fn no_failure_is_forwarded_after_the_head_of_a_stream() {
    for outcome in [Outcome::ClientError, Outcome::ServerError, Outcome::Reset] {
        let mut gate = gate(RouteKind::Stream { resumable: true }, 2);
        let (mut call, _) = gate.begin(gate.prompt("a", 1));
        gate.finish_attempt(
            &mut call,
            Outcome::Truncated {
                last_event: Some(1),
            },
        );
        assert_eq!(
            gate.finish_attempt(&mut call, outcome),
            Decision::AbortResponse
        );
    }
}

#[test]
fn a_truncated_stream_without_a_server_searches_again_for_a_while() {
    let mut resumable = route("a", RouteKind::Stream { resumable: true });
    resumable.max_attempts = 3;
    let table = spec(vec![resumable], servers(0, 1, "north"));
    let mut gate = Gate::new(table.clone());
    let (mut call, _) = gate.begin(gate.prompt("a", 1));
    let start = gate.now;
    let mut decision = gate.finish_attempt(
        &mut call,
        Outcome::Truncated {
            last_event: Some(4),
        },
    );
    while let Decision::Delay { until } = decision {
        assert!(until > gate.now && until <= start + SECOND + 50 * MS);
        gate.now = until;
        decision = gate.decider.resume(gate.now, &mut call, &mut gate.limits);
    }
    assert_eq!(decision, Decision::AbortResponse);
    assert!(gate.now >= start + SECOND);

    let mut gate = Gate::new(table.clone());
    let (mut call, _) = gate.begin(gate.prompt("a", 1));
    assert!(matches!(
        gate.finish_attempt(
            &mut call,
            Outcome::Truncated {
                last_event: Some(4)
            }
        ),
        Decision::Delay { .. }
    ));
    gate.update_table(spec(table.routes.clone(), servers(0, 2, "north")));
    let decision = gate.decider.resume(gate.now, &mut call, &mut gate.limits);
    assert_eq!(
        (
            &*dispatch_of(&decision).expect_instance,
            dispatch_of(&decision).resume_after
        ),
        ("i-1", Some(4))
    );
}

#[test]
fn a_truncated_stream_that_cannot_resume_is_aborted() {
    let mut gate = gate(RouteKind::Stream { resumable: false }, 3);
    let (mut call, _) = gate.begin(gate.prompt("a", 1));
    assert_eq!(
        gate.finish_attempt(
            &mut call,
            Outcome::Truncated {
                last_event: Some(3)
            }
        ),
        Decision::AbortResponse
    );
}

#[test]
fn the_last_event_id_of_the_client_is_forwarded() {
    let mut gate = gate(RouteKind::Stream { resumable: true }, 2);
    let request = Request {
        last_event: Some(5),
        ..gate.prompt("a", 1)
    };
    let (mut call, first) = gate.begin(request);
    assert_eq!(dispatch_of(&first).resume_after, Some(5));
    assert_eq!(
        dispatch_of(&gate.finish_attempt(&mut call, Outcome::Reset)).resume_after,
        Some(5)
    );
}

#[test]
fn the_forwarded_deadline_is_the_remaining_time() {
    let mut gate = gate(RouteKind::Idempotent, 3);
    let request = Request {
        deadline: Some(gate.now + 4 * SECOND),
        ..gate.request("a")
    };
    let (mut call, first) = gate.begin(request);
    assert_eq!(
        (dispatch_of(&first).timeout, dispatch_of(&first).deadline_ms),
        (4 * SECOND, 4000)
    );
    gate.now += SECOND;
    assert_eq!(
        dispatch_of(&gate.finish_attempt(&mut call, Outcome::Reset)).timeout,
        3 * SECOND
    );
    gate.now += 3 * SECOND;
    assert_eq!(
        gate.finish_attempt(&mut call, Outcome::Timeout),
        Decision::Fail { status: 504 }
    );
    let (_, later) = gate.begin(gate.request("a"));
    assert_eq!(
        dispatch_of(&later).timeout,
        10 * SECOND,
        "the route's timeout"
    );
}

#[test]
fn nothing_stays_in_flight_after_requests_end() {
    let mut gate = gate(RouteKind::Idempotent, 3);
    let (mut call, first) = gate.begin(gate.request("a"));
    let server = dispatch_of(&first).server;
    assert_eq!(gate.decider.in_flight(server), 1);
    gate.decider.cancel(gate.now, &mut call);
    assert_eq!(gate.decider.in_flight(server), 0);
    gate.decider.cancel(gate.now, &mut call);
    assert_eq!(
        gate.finish_attempt(&mut call, Outcome::Success),
        Decision::Finished
    );
    assert_eq!(gate.decider.in_flight(server), 0);
}

#[test]
fn a_stalled_attempt_fails_over_only_if_its_server_is_silent_too() {
    let mut gate = gate(RouteKind::Idempotent, 2);
    let (mut call, first) = gate.begin(gate.request("a"));
    let first = dispatch_of(&first);
    let at = first.check_at.expect("a check");
    gate.now = at - 1;
    assert!(matches!(
        gate.check_progress(&mut call),
        ProgressCheck::Wait { until } if until == at
    ));
    gate.decider.record_liveness(at - 10, first.server);
    gate.now = at;
    let ProgressCheck::Wait { until } = gate.check_progress(&mut call) else {
        panic!("the server has been heard")
    };
    assert!(until > at);
    gate.now = until;
    let ProgressCheck::FailOver(second) = gate.check_progress(&mut call) else {
        panic!("the server is silent")
    };
    assert_ne!(second.server, first.server);
    assert_eq!(gate.decider.in_flight(first.server), 0);
    assert_eq!(gate.decider.in_flight(second.server), 1);
    gate.now += 20 * SECOND;
    assert_eq!(
        gate.check_progress(&mut call),
        ProgressCheck::Ignore,
        "no attempt is left"
    );
}

#[test]
fn a_stalled_attempt_goes_on_while_no_other_server_can_take_the_request() {
    let table_of = |server_count| {
        let route = route("a", RouteKind::Stream { resumable: true });
        spec(vec![route], servers(0, server_count, "north"))
    };
    let mut gate = Gate::new(table_of(1));
    let (mut call, first) = gate.begin(gate.request("a"));
    let first = dispatch_of(&first);
    gate.decider
        .response_forwarded(gate.now, &mut call, Some(1));
    // The route's time-out ends the request after 10 s.
    for _ in 0..8 {
        gate.now += SECOND;
        assert!(matches!(
            gate.check_progress(&mut call),
            ProgressCheck::Wait { until } if until > gate.now
        ));
        assert_eq!(gate.decider.in_flight(first.server), 1);
    }
    gate.update_table(table_of(2));
    let ProgressCheck::FailOver(second) = gate.check_progress(&mut call) else {
        panic!("another server is listed")
    };
    assert_eq!((second.attempt, second.resume_after), (2, Some(1)));
}

#[test]
fn a_stalled_attempt_goes_on_while_the_retry_budget_is_exhausted() {
    let mut gate = gate(RouteKind::Stream { resumable: true }, 2);
    let (mut call, first) = gate.begin(gate.request("a"));
    gate.decider
        .response_forwarded(gate.now, &mut call, Some(1));
    gate.limits.retries = 0;
    gate.now += 2 * SECOND;
    assert!(matches!(
        gate.check_progress(&mut call),
        ProgressCheck::Wait { .. }
    ));
    assert_eq!(gate.decider.in_flight(dispatch_of(&first).server), 1);
    gate.limits.retries = 1;
    assert!(matches!(
        gate.check_progress(&mut call),
        ProgressCheck::FailOver(_)
    ));
    assert_eq!(gate.limits.withdrawals, 1);
}

#[test]
fn a_non_idempotent_request_does_not_fail_over() {
    let mut gate = gate(RouteKind::NonIdempotent, 2);
    let (mut call, first) = gate.begin(gate.request("a"));
    assert_eq!(dispatch_of(&first).check_at, None);
    gate.now += 9 * SECOND;
    assert_eq!(gate.check_progress(&mut call), ProgressCheck::Ignore);
}
