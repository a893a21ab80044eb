//! Tests of `attempt.rs`.

use super::*;

/// A retry whose connection is established at the end of its window is not started; one started
/// before it goes on.
#[test]
fn an_attempt_past_its_start_deadline_does_not_start_but_a_started_one_goes_on() {
    let clock = Clock::start();
    let attempt_with_deadline = |deadline| {
        AttemptState::new(AttemptOptions {
            start_deadline: Some((clock, deadline)),
            ..AttemptOptions::default()
        })
    };
    let past = clock.now();
    ATTEMPT.sync_scope(attempt_with_deadline(past), || {
        assert!(AttemptObserver.may_write().is_err(), "its window is over");
    });
    ATTEMPT.sync_scope(attempt_with_deadline(past + 3_600_000_000), || {
        assert!(AttemptObserver.may_write().is_ok(), "there is time left");
    });
    let started = attempt_with_deadline(past);
    started.bytes_written.set(1);
    ATTEMPT.sync_scope(started, || {
        assert!(
            AttemptObserver.may_write().is_ok(),
            "the rest of one started in time"
        );
    });
}

/// A drain that starts between decision and first byte stops the write; a request that has started
/// is finished.
#[test]
fn an_attempt_at_a_draining_server_does_not_start_but_a_started_one_goes_on() {
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
            "the rest of a request that has started"
        );
    });
    assert!(
        AttemptObserver.may_write().is_ok(),
        "discovery's own calls are no attempts"
    );
}
