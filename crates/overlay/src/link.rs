//! The state of the link to one neighbour.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::entry::Key;
use crate::freshness::SentHeartbeats;
use crate::message::Heartbeat;
use crate::node::Descriptor;
use crate::position::TreePosition;

/// Number of heartbeat intervals after which a heartbeat is sent even on a link with other traffic,
/// as only heartbeats carry the position in the tree.
const STATUS_INTERVALS: u32 = 3;

/// A heartbeat that the neighbour has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct UnacknowledgedHeartbeat {
    sequence: u32,
    sent_at: Duration,
}

/// The sequence numbers in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatNumbers {
    /// Sequence number of the heartbeat.
    pub sequence: u32,
    /// Sequence number of the last heartbeat received from the neighbour, which is acknowledged.
    pub echo: u32,
}

/// The link to a neighbour, from the connection on.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(crate) struct Link {
    /// Descriptor of the neighbour; `None` until its `Hello` has arrived.
    pub node: Option<Descriptor>,
    /// Whether this node opened the connection.
    pub is_outbound: bool,
    /// Time at which the connection was established.
    pub opened_at: Duration,
    /// Time at which the last message arrived.
    pub last_received: Duration,
    /// Time at which the last message was sent.
    pub last_sent: Duration,
    last_heartbeat_sent: Duration,
    /// Sequence number of the last heartbeat sent, 0 for none.
    sequence: u32,
    /// Sequence number of the last heartbeat received, 0 for none.
    peer_sequence: u32,
    /// The oldest heartbeat that the neighbour has not acknowledged.
    unacknowledged: Option<UnacknowledgedHeartbeat>,
    /// Whether the neighbour has acknowledged a heartbeat, so that the link works in both
    /// directions.
    pub is_bidirectional: bool,
    /// Position of the neighbour in the tree, as of its last heartbeat.
    pub position: TreePosition,
    /// Number of further children that the neighbour accepts, as of its last heartbeat.
    pub spare_capacity: u8,
    /// Whether the neighbour is a child of this node, so that changes are pushed to it.
    pub is_child: bool,
    /// Keys of the changes to push.
    pub pending_push: BTreeSet<Key>,
    /// Time at which the last push was sent.
    pub last_push: Duration,
    /// Keys of the changes to announce.
    pub pending_announce: BTreeSet<Key>,
    /// Time at which the pending changes are announced; `None` if there are none.
    pub announce_at: Option<Duration>,
    /// Time until which the neighbour is not grafted, after it rejected or did not answer a graft,
    /// or missed pushes as the parent.
    pub avoid_as_parent_until: Duration,
    /// Newest root heartbeat of each coordinator that was sent on this link.
    pub sent_heartbeats: SentHeartbeats,
    /// Number of consecutive heartbeats of the neighbour with a root hash that differs from the
    /// local one.
    pub digest_mismatches: u32,
    /// Whether a heartbeat is due early to report a change of the local state.
    pub heartbeat_pending: bool,
}

impl Link {
    /// Creates a link that is established at `now`, before the first message.
    pub(crate) fn new(now: Duration) -> Link {
        Link {
            node: None,
            is_outbound: false,
            opened_at: now,
            last_received: now,
            last_sent: now,
            last_heartbeat_sent: now,
            sequence: 0,
            peer_sequence: 0,
            unacknowledged: None,
            is_bidirectional: false,
            position: TreePosition::Detached,
            spare_capacity: 0,
            is_child: false,
            pending_push: BTreeSet::new(),
            last_push: Duration::ZERO,
            pending_announce: BTreeSet::new(),
            announce_at: None,
            avoid_as_parent_until: Duration::ZERO,
            sent_heartbeats: SentHeartbeats::default(),
            digest_mismatches: 0,
            heartbeat_pending: true,
        }
    }

    /// Whether the neighbour is known to be a coordinator.
    pub(crate) fn is_coordinator(&self) -> bool {
        self.node.is_some_and(|node| node.is_coordinator())
    }

    /// Assigns the numbers of a heartbeat that is sent at `now`.
    pub(crate) fn next_heartbeat(&mut self, now: Duration) -> HeartbeatNumbers {
        self.sequence += 1;
        self.last_heartbeat_sent = now;
        self.unacknowledged.get_or_insert(UnacknowledgedHeartbeat {
            sequence: self.sequence,
            sent_at: now,
        });
        HeartbeatNumbers {
            sequence: self.sequence,
            echo: self.peer_sequence,
        }
    }

    /// Stores the state that a heartbeat of the neighbour carries.
    pub(crate) fn on_heartbeat(&mut self, heartbeat: &Heartbeat) {
        // The first heartbeat is answered at once: from the echo the neighbour learns that the link
        // works in both directions.
        self.heartbeat_pending |= self.peer_sequence == 0;
        self.peer_sequence = heartbeat.sequence;
        if heartbeat.echo > 0 {
            self.is_bidirectional = true;
        }
        if self
            .unacknowledged
            .is_some_and(|unacknowledged| heartbeat.echo >= unacknowledged.sequence)
        {
            self.unacknowledged = None;
        }
        self.spare_capacity = heartbeat.spare_capacity;
        self.position = heartbeat.position.clone();
    }

    /// Time at which the oldest heartbeat that is not acknowledged was sent.
    pub(crate) fn unacknowledged_since(&self) -> Option<Duration> {
        self.unacknowledged
            .map(|unacknowledged| unacknowledged.sent_at)
    }

    /// Extends all deadlines of the neighbour by the duration of a pause of this process.
    pub(crate) fn extend_deadlines(&mut self, pause: Duration) {
        self.opened_at += pause;
        self.last_received += pause;
        if let Some(unacknowledged) = &mut self.unacknowledged {
            unacknowledged.sent_at += pause;
        }
    }

    /// Time at which the last heartbeat was sent.
    pub(crate) fn last_heartbeat_sent(&self) -> Duration {
        self.last_heartbeat_sent
    }

    /// Time at which the next heartbeat is due: `interval` after the last message sent, and at the
    /// latest [`STATUS_INTERVALS`] intervals after the last heartbeat sent.
    pub(crate) fn heartbeat_due(&self, interval: Duration) -> Duration {
        let after_heartbeat = self.last_heartbeat_sent + interval * STATUS_INTERVALS;
        (self.last_sent + interval).min(after_heartbeat)
    }

    /// Time at which pending changes are pushed: `batch_interval` after the last push; `None` if
    /// there are none.
    pub(crate) fn push_due(&self, batch_interval: Duration) -> Option<Duration> {
        (!self.pending_push.is_empty()).then_some(self.last_push + batch_interval)
    }

    /// Drops the pending push and announcement of `key`, as a message of the neighbour shows that
    /// it stores the local version.
    pub(crate) fn mark_up_to_date(&mut self, key: Key) {
        self.pending_announce.remove(&key);
        self.pending_push.remove(&key);
        if self.pending_announce.is_empty() {
            self.announce_at = None;
        }
    }
}
