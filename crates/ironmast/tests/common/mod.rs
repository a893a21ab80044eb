//! What tests that run the program share.

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStderr};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// What never comes fails the test after this.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A program that ends with the test, whatever becomes of it: one left over holds the test's own
/// output open.
pub(crate) struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait());
    }
}

/// Reads the program's log on to the line that holds `text`.
pub(crate) fn wait_log(log: &mut BufReader<ChildStderr>, text: &str) -> String {
    let patience = Timespec::try_from(PATIENCE).expect("in range");
    loop {
        if log.buffer().is_empty() {
            let mut log = [PollFd::new(log.get_ref(), PollFlags::IN)];
            assert_ne!(
                poll(&mut log, Some(&patience)).expect("polled"),
                0,
                "no `{text}` in time"
            );
        }
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).expect("a log") > 0,
            "the log ended before `{text}`"
        );
        if line.contains(text) {
            return line;
        }
    }
}
