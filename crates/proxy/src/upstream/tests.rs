//! Tests of `upstream.rs`.

use super::*;

/// A repeat whose connection comes up at the end of its window is not begun; one begun before it goes on.
#[test]
fn nothing_is_begun_once_the_window_of_its_class_is_over() {
    let clock = Clock::start();
    let writing = |by| Rc::new(Writing { begin_by: Some((clock, by)), ..Writing::default() });
    let over = clock.now();
    WRITING.sync_scope(writing(over), || assert!(Meter.may_write().is_err(), "its window is over"));
    WRITING.sync_scope(writing(over + 3_600_000_000), || {
        assert!(Meter.may_write().is_ok(), "there is time left");
    });
    let begun = writing(over);
    begun.bytes.set(1);
    WRITING.sync_scope(begun, || assert!(Meter.may_write().is_ok(), "the rest of one begun in time"));
}

/// A drain heard between decision and first byte stops the write; a request begun before it is finished.
#[test]
fn nothing_new_is_written_to_a_retired_server() {
    let (server, retired) = (Some(ServerId(7)), Retired::default());
    let writing = Rc::new(Writing { server, retired: Rc::clone(&retired), ..Writing::default() });
    WRITING.sync_scope(writing, || {
        assert!(Meter.may_write().is_ok(), "not retired yet");
        retired.borrow_mut().insert(ServerId(7), 0);
        assert!(Meter.may_write().is_err(), "retired before the first byte");
        Meter.wrote(10);
        assert!(Meter.may_write().is_ok(), "the rest of a request already begun");
    });
    assert!(Meter.may_write().is_ok(), "discovery's own calls are no attempts");
}
