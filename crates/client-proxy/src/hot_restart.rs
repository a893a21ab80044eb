//! Hot restart: the running process (the predecessor) passes its listening sockets over a Unix
//! socket to the process that replaces it (the successor), and notifies it of the requests it has
//! open.
//!
//! `ironmast_admin::handover` defines the messages, and the state machine
//! `ironmast_admin::hot_restart` decides which process serves when. [`predecessor`] connects to the
//! process before this one, [`successor`] accepts the one after it, and [`partners`] exchanges
//! messages with both. If a handover fails, the failure is logged and each process runs alone.

pub(crate) mod partners;
pub(crate) mod predecessor;
pub(crate) mod successor;

use std::time::Duration;

/// The time-out of each read and write of the handshake with a partner, and of the answer to a
/// claim.
const PARTNER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of sockets passed: the clients' listener and the peers' datagram socket.
const MAX_PASSED_SOCKETS: usize = 2;
