//! What tests that run the program share.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{self, BufRead, BufReader};
use std::process::{Child, ChildStderr};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, Signal, kill_process};

/// What has not arrived after this fails the test.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// A program that ends with the test, whatever becomes of it: one left over holds the test's own
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
    /// By a system call, not by a `kill` process: where such a process ends before the thread that
    /// started it is back from `posix_spawn`, during which it blocks all signals, the SIGCHLD goes
    /// to another thread of the test and interrupts what that waits for.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).expect("signalled");
    }
}

/// Repeats a read while signals interrupt it: one with a time-out is not restarted by the system.
pub(crate) fn uninterrupted<T>(mut read: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match read() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Asks until a condition is true.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not in time: {what}");
        std::thread::yield_now();
    }
}

/// Reads the program's log on to the line that holds `text`.
pub(crate) fn wait_log(log: &mut BufReader<ChildStderr>, text: &str) -> String {
    let deadline = Instant::now() + TIMEOUT;
    let mut skipped = String::new();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        assert!(!remaining.is_zero(), "no `{text}` in time, but:\n{skipped}");
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
