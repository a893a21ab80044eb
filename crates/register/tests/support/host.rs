//! One host of the simulation: its process, its disk, and their faults.

use std::net::SocketAddr;
use std::time::Duration;

use ironmast_register::{Node, Record, Write};

use super::value::Value;

/// A host with a disk, and with a node while its process runs.
pub(crate) struct Host {
    pub address: SocketAddr,
    pub zone: String,
    pub disk: Option<Record<Value>>,
    pub node: Option<Node<Value>>,
    /// Incremented at each start and stop; events of earlier incarnations are dropped.
    pub(super) incarnation: u64,
    /// End of a pause of the process; events of the host are delayed until then.
    pub(super) paused_until: Duration,
    /// Earliest time at which a write completes.
    pub writes_stalled_until: Duration,
    /// Whether writes fail; the record of a failed write may be on the disk or not.
    pub writes_fail: bool,
    /// The write in flight, if any.
    pub(super) writing: Option<Write<Value>>,
    pub(super) timer: Duration,
    /// Sequence numbers of the states reported as learned since the start.
    pub learned: Vec<u64>,
}

impl Host {
    /// Creates a host with an empty disk whose process doesn't run.
    pub(super) fn new(index: usize) -> Self {
        Self {
            address: SocketAddr::from((
                [127, 0, 0, 1],
                7_000 + u16::try_from(index).expect("index fits in u16"),
            )),
            zone: format!("zone-{}", index % 3),
            disk: None,
            node: None,
            incarnation: 0,
            paused_until: Duration::ZERO,
            writes_stalled_until: Duration::ZERO,
            writes_fail: false,
            writing: None,
            timer: Duration::ZERO,
            learned: Vec::new(),
        }
    }
}
