//! Tests of `attempt.rs`.

use super::*;

/// A repeat whose connection comes up at the end of its window is not begun; one begun before it
/// goes on.
#[test]
fn nothing_is_begun_once_the_window_of_its_class_is_over() {
    let clock = Clock::start();
    let attempt = |by| {
        AttemptState::new(AttemptOptions {
            start_deadline: Some((clock, by)),
            ..AttemptOptions::default()
        })
    };
    let over = clock.now();
    ATTEMPT.sync_scope(attempt(over), || {
        assert!(AttemptObserver.may_write().is_err(), "its window is over");
    });
    ATTEMPT.sync_scope(attempt(over + 3_600_000_000), || {
        assert!(AttemptObserver.may_write().is_ok(), "there is time left");
    });
    let begun = attempt(over);
    begun.written.set(1);
    ATTEMPT.sync_scope(begun, || {
        assert!(
            AttemptObserver.may_write().is_ok(),
            "the rest of one begun in time"
        );
    });
}

/// A drain heard between decision and first byte stops the write; a request begun before it is
/// finished.
#[test]
fn nothing_new_is_written_to_a_retired_server() {
    let admits = Rc::new(Cell::new(true));
    let asked = Rc::clone(&admits);
    let admission: Admission = Box::new(move || asked.get());
    let attempt = AttemptState::new(AttemptOptions {
        admission: Some(admission),
        ..AttemptOptions::default()
    });
    ATTEMPT.sync_scope(attempt, || {
        assert!(AttemptObserver.may_write().is_ok(), "not retired yet");
        admits.set(false);
        assert!(
            AttemptObserver.may_write().is_err(),
            "retired before the first byte"
        );
        AttemptObserver.wrote(10);
        assert!(
            AttemptObserver.may_write().is_ok(),
            "the rest of a request already begun"
        );
    });
    assert!(
        AttemptObserver.may_write().is_ok(),
        "discovery's own calls are no attempts"
    );
}
