//! Tests of `read_ahead.rs`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use super::{MAX_READ_AHEAD_BYTES, ReadAhead, count_lines};

/// The free bytes of the buffer that each read fills.
const FREE_BYTES: usize = 8 * 1024;

/// A waker that counts how often it is woken.
#[derive(Default)]
struct WakeCounter(AtomicUsize);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

impl WakeCounter {
    /// Creates a counter and its waker.
    fn new() -> (Arc<Self>, Waker) {
        let wakes = Arc::new(Self::default());
        let waker = Waker::from(Arc::clone(&wakes));
        (wakes, waker)
    }

    fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Reads up to `max_bytes` bytes of empty lines, as a connection does that has all of them at once,
/// until reading is pending. Returns the number of bytes read.
fn read_lines(read_ahead: &ReadAhead, max_bytes: usize, cx: &Context<'_>) -> usize {
    read_repeated(read_ahead, b'\n', max_bytes, cx)
}

/// Reads like [`read_lines`], with `byte` repeated in place of line ends.
fn read_repeated(read_ahead: &ReadAhead, byte: u8, max_bytes: usize, cx: &Context<'_>) -> usize {
    let mut read = 0;
    while let Poll::Ready(allowance) = read_ahead.poll_allowance(cx) {
        let bytes = allowance.min(FREE_BYTES).min(max_bytes - read);
        if bytes == 0 {
            break;
        }
        read_ahead.record_read(&vec![byte; bytes]);
        read += bytes;
    }
    read
}

#[test]
fn reading_stops_without_a_wake_while_a_request_is_in_progress() {
    let (wakes, waker) = WakeCounter::new();
    let cx = Context::from_waker(&waker);
    let read_ahead = ReadAhead::new();
    assert_eq!(read_lines(&read_ahead, 100, &cx), 100);
    read_ahead.request_started();
    assert_eq!(
        read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx),
        MAX_READ_AHEAD_BYTES
    );
    for _ in 0..100 {
        assert!(read_ahead.poll_allowance(&cx).is_pending());
    }
    assert_eq!(wakes.count(), 0, "no wake while reading must not continue");
    read_ahead.request_finished();
    assert_eq!(wakes.count(), 1);
    assert!(read_ahead.poll_allowance(&cx).is_ready());
}

/// Guards against a buffer that grows over back-to-back requests: what it holds is not known
/// between them, so the allowance must not be renewed.
#[test]
fn back_to_back_requests_do_not_renew_the_allowance() {
    let cx = Context::from_waker(Waker::noop());
    let read_ahead = ReadAhead::new();
    assert_eq!(read_lines(&read_ahead, 100, &cx), 100);
    read_ahead.request_started();
    let mut read = 0;
    for _ in 0..1_000 {
        read += read_lines(&read_ahead, FREE_BYTES, &cx);
        read_ahead.request_finished();
        read_ahead.request_started();
    }
    assert_eq!(read, MAX_READ_AHEAD_BYTES);
    read_ahead.request_finished();
    assert_eq!(
        read_lines(&read_ahead, FREE_BYTES, &cx),
        FREE_BYTES,
        "no request is in progress: everything is parsed"
    );
}

#[test]
fn a_body_is_read_as_it_is_consumed() {
    let (wakes, waker) = WakeCounter::new();
    let cx = Context::from_waker(&waker);
    let read_ahead = ReadAhead::new();
    assert_eq!(read_lines(&read_ahead, 100, &cx), 100);
    read_ahead.request_started();
    read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx);
    for turn in 1..=10 {
        read_ahead.body_consumed(100);
        assert_eq!(wakes.count(), turn);
        assert_eq!(
            read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx),
            MAX_READ_AHEAD_BYTES + 100
        );
    }
}

#[test]
fn an_abandoned_body_is_read_to_its_end() {
    let (wakes, waker) = WakeCounter::new();
    let cx = Context::from_waker(&waker);
    let read_ahead = ReadAhead::new();
    read_ahead.poll_allowance(&cx).is_ready();
    read_ahead.request_started();
    read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx);
    read_ahead.body_abandoned(5 * MAX_READ_AHEAD_BYTES);
    assert_eq!(wakes.count(), 1);
    assert_eq!(
        read_lines(&read_ahead, 100 * MAX_READ_AHEAD_BYTES, &cx),
        6 * MAX_READ_AHEAD_BYTES,
        "the body and the read-ahead after it"
    );
}

#[test]
fn each_full_batch_ends_with_a_wake() {
    let (wakes, waker) = WakeCounter::new();
    let cx = Context::from_waker(&waker);
    let read_ahead = ReadAhead::new();
    for turn in 1..=10 {
        assert_eq!(
            read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx),
            MAX_READ_AHEAD_BYTES
        );
        assert_eq!(wakes.count(), turn, "each batch ends with a wake");
    }
    read_ahead.request_started();
    assert_eq!(
        read_lines(&read_ahead, 10 * MAX_READ_AHEAD_BYTES, &cx),
        MAX_READ_AHEAD_BYTES,
        "everything before the request is parsed"
    );
}

/// Bytes that do not fill the queue of requests are parsed, and rejected if they grow too long, so
/// reading them need not stop.
#[test]
fn a_long_line_without_a_queue_is_read_without_limit() {
    let cx = Context::from_waker(Waker::noop());
    let read_ahead = ReadAhead::new();
    read_repeated(&read_ahead, b'#', 100, &cx);
    read_ahead.record_socket_empty();
    read_ahead.request_started();
    assert_eq!(
        read_repeated(&read_ahead, b'#', 10 * MAX_READ_AHEAD_BYTES, &cx),
        10 * MAX_READ_AHEAD_BYTES
    );
}

/// The queued requests may have arrived with the request itself, or have been left unparsed by the
/// previous one.
#[test]
fn a_long_line_behind_queued_requests_is_limited() {
    let cx = Context::from_waker(Waker::noop());
    let read_ahead = ReadAhead::new();
    read_lines(&read_ahead, 100, &cx);
    read_ahead.record_socket_empty();
    read_ahead.request_started();
    assert_eq!(
        read_repeated(&read_ahead, b'#', 10 * MAX_READ_AHEAD_BYTES, &cx),
        MAX_READ_AHEAD_BYTES
    );
    read_ahead.request_finished();
    read_repeated(&read_ahead, b'#', 100, &cx);
    read_ahead.record_socket_empty();
    read_ahead.request_started();
    assert_eq!(
        read_repeated(&read_ahead, b'#', 10 * MAX_READ_AHEAD_BYTES, &cx),
        MAX_READ_AHEAD_BYTES
    );
    read_ahead.request_finished();
    for _ in 0..2 {
        read_repeated(&read_ahead, b'#', 100, &cx);
        read_ahead.record_socket_empty();
    }
    read_ahead.request_started();
    assert_eq!(
        read_repeated(&read_ahead, b'#', 10 * MAX_READ_AHEAD_BYTES, &cx),
        10 * MAX_READ_AHEAD_BYTES
    );
}

#[test]
fn a_request_without_a_backlog_ends_without_a_wake() {
    let (wakes, waker) = WakeCounter::new();
    let cx = Context::from_waker(&waker);
    let read_ahead = ReadAhead::new();
    for _ in 0..10 {
        read_lines(&read_ahead, 100, &cx);
        read_ahead.request_started();
        assert_eq!(read_lines(&read_ahead, 0, &cx), 0);
        read_ahead.request_finished();
    }
    assert_eq!(wakes.count(), 0);
}

#[test]
fn lines_are_counted_in_chunks_of_any_length() {
    for length in [0, 1, 254, 255, 256, 10_000] {
        assert_eq!(count_lines(&vec![b'\n'; length]), length);
        assert_eq!(count_lines(&vec![b'x'; length]), 0);
    }
}
