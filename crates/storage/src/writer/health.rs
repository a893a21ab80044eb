//! The state of a writer, for monitoring.

use std::time::Duration;

use crate::disk::DiskError;

/// The activity of the writer's thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It waits for records.
    Idle,
    /// It writes and syncs a batch.
    Busy {
        /// When the batch was started, on the clock passed to
        /// [`Writer::spawn`](crate::Writer::spawn).
        since: Duration,
    },
    /// It has ended.
    Stopped,
}

/// The state of a writer, for monitoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// The activity of the writer's thread.
    pub activity: Activity,
    /// The failure after which the log hasn't been reopened yet; the next submitted record tries
    /// to.
    pub failure: Option<DiskError>,
    /// Submitted records that no batch includes yet.
    pub queued: usize,
}
