//! Helpers for tests that run the program.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{self, BufRead, BufReader};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, Signal, kill_process};

/// A test fails if something it waits for takes longer than this.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A program that is killed when the test ends, also by a panic. One left over would keep the test's
/// output open.
pub(crate) struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

impl Running {
    /// Sends a signal to the program.
    ///
    /// Uses the system call, not a `kill` process: `posix_spawn` blocks all signals in the calling
    /// thread, so if that process ends before the call returns, SIGCHLD goes to another thread of the
    /// test and interrupts its blocking call.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).expect("signalled");
    }
}

/// Repeats a read that a signal interrupts. The kernel does not restart a read with a timeout.
pub(crate) fn uninterrupted<T>(mut read: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match read() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Polls a condition until it is true; panics after [`TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        std::thread::yield_now();
    }
}

/// Reads the program's log up to the next line that contains `text`, and returns that line.
pub(crate) fn wait_log(log: &mut BufReader<ChildStderr>, text: &str) -> String {
    let deadline = Instant::now() + TIMEOUT;
    let mut skipped = String::new();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        assert!(
            !remaining.is_zero(),
            "timed out waiting for `{text}` in the log; read instead:\n{skipped}"
        );
        if log.buffer().is_empty() {
            let timeout = Timespec::try_from(remaining).expect("in range");
            let mut log = [PollFd::new(log.get_ref(), PollFlags::IN)];
            if poll(&mut log, Some(&timeout)).expect("polled") == 0 {
                continue;
            }
        }
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).expect("a log") > 0,
            "the log ended before `{text}`, after:\n{skipped}"
        );
        if line.contains(text) {
            return line;
        }
        skipped += &line;
    }
}
