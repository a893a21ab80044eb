//! The two processes of a hot restart: the running one passes its listening sockets over a Unix
//! socket to the one that replaces it, and each notifies the other of the requests that it has open.
//!
//! The messages are `ironmast_admin::handover`, who serves when is decided by
//! `ironmast_admin::hot_restart`. [`predecessor`] connects to the process before this one,
//! [`successor`] waits for the one after it, and [`partners`] is the conversation with either.
//! Where a hot restart is impossible, that is logged and each process runs alone.

pub(crate) mod partners;
pub(crate) mod predecessor;
pub(crate) mod successor;

use std::time::Duration;

/// The time-out of each step of the greeting, and of a claim.
const STEP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The largest number of sockets that are passed: a listening one and one for datagrams.
const MAX_PASSED_SOCKETS: usize = 2;
