//! Health of a writer, for monitoring.

use std::time::Duration;

use crate::disk::DiskError;

/// The activity of the writer's thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Waiting for records.
    Idle,
    /// Writing and syncing a batch. One that takes long shows a stalled disk.
    Busy {
        /// When the batch was started, on the clock passed to
        /// [`Writer::spawn`](crate::Writer::spawn).
        since: Duration,
    },
    /// The thread has ended, by a panic or after the writer was finished or dropped.
    Stopped,
}

/// Health of a writer, for monitoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Whether the thread is idle, busy or stopped.
    pub activity: Activity,
    /// The failure after which the log hasn't been reopened yet, if any; the next batch tries to
    /// reopen it.
    pub failure: Option<DiskError>,
    /// Number of submitted records that no batch includes yet, including superseded ones.
    pub queued: usize,
}
