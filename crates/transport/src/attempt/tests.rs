//! Tests of `attempt.rs`.

use super::*;

/// A retry whose connection is established only at the end of its idempotency window must not be
/// sent; one that has started before is completed.
#[test]
fn an_attempt_past_its_start_deadline_does_not_start_but_a_started_one_continues() {
    let clock = Clock::start();
    let attempt_with_deadline = |deadline| {
        AttemptState::new(AttemptOptions {
            start_deadline: Some((clock, deadline)),
            ..AttemptOptions::default()
        })
    };
    let past = clock.now();
    ATTEMPT.sync_scope(attempt_with_deadline(past), || {
        assert!(
            AttemptObserver.may_write().is_err(),
            "the deadline has passed"
        );
    });
    ATTEMPT.sync_scope(attempt_with_deadline(past + 3_600_000_000), || {
        assert!(
            AttemptObserver.may_write().is_ok(),
            "the deadline has not passed"
        );
    });
    let started = attempt_with_deadline(past);
    started.bytes_written.set(1);
    ATTEMPT.sync_scope(started, || {
        assert!(
            AttemptObserver.may_write().is_ok(),
            "an attempt that started in time continues"
        );
    });
}

/// A drain that starts between the decision to send and the first byte prevents the write; a request
/// that has started is completed.
#[test]
fn an_attempt_at_a_draining_server_does_not_start_but_a_started_one_continues() {
    let admits = Rc::new(Cell::new(true));
    let admits_in_check = Rc::clone(&admits);
    let admission: AdmissionCheck = Box::new(move || admits_in_check.get());
    let attempt = AttemptState::new(AttemptOptions {
        admission: Some(admission),
        ..AttemptOptions::default()
    });
    ATTEMPT.sync_scope(attempt, || {
        assert!(AttemptObserver.may_write().is_ok(), "not draining yet");
        admits.set(false);
        assert!(
            AttemptObserver.may_write().is_err(),
            "draining before the first byte"
        );
        AttemptObserver.on_write(10);
        assert!(
            AttemptObserver.may_write().is_ok(),
            "a request that has started continues"
        );
    });
    assert!(
        AttemptObserver.may_write().is_ok(),
        "writes outside an attempt, such as those of discovery, are allowed"
    );
}
