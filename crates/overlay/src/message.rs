//! The messages of the overlay. Each travels over the link between two nodes; no order is assumed
//! between links.
//!
//! Messages are encoded by position with postcard: the order of variants and fields is part of the
//! wire format.

use serde::{Deserialize, Serialize};

use crate::digest::Buckets;
use crate::entry::{Entry, Key, Version};
use crate::node::{Descriptor, NodeId};
use crate::position::TreePosition;

/// The heartbeat of one coordinator, as relayed down the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootHeartbeat {
    /// The coordinator and its incarnation, see [`Descriptor::incarnation_id`].
    pub coordinator: NodeId,
    /// Milliseconds from the start of this incarnation to the heartbeat, on the coordinator's
    /// clock; at least 1.
    pub elapsed_ms: u64,
}

/// The heartbeat on a link, which also carries the state of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of this heartbeat on this link.
    pub sequence: u32,
    /// Sequence number of the last heartbeat received from the receiver, 0 for none. It
    /// acknowledges all heartbeats up to that one.
    pub echo: u32,
    /// The sender's position in the tree.
    pub position: TreePosition,
    /// How many more children the sender accepts.
    pub spare_capacity: u8,
    /// Whether the receiver is the sender's designated successor: it keeps a standby link to a
    /// coordinator, so that it can attach the region when the sender fails.
    pub is_successor: bool,
    /// Upper half of the root hash of the sender's store, which its children compare.
    pub root_hash: u32,
    /// The newest root heartbeats that the sender has not sent on this link yet.
    pub root_heartbeats: Vec<RootHeartbeat>,
}

/// A descriptor with the time since its node was last heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedDescriptor {
    /// The node.
    pub node: Descriptor,
    /// Seconds since the node was last heard from.
    pub age_s: u16,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a link, sent by both ends.
    Hello {
        /// The sender.
        node: Descriptor,
    },
    /// Nodes that the receiver may connect to, as the reply to its `Hello`.
    Nodes {
        /// Some nodes of the receiver's region, then coordinators.
        sample: Vec<AgedDescriptor>,
    },
    /// The sender has no capacity for this link and closes it.
    LinkRejected {
        /// Other nodes that the receiver may connect to.
        sample: Vec<AgedDescriptor>,
    },
    /// The heartbeat of the link.
    Heartbeat(Heartbeat),
    /// Requests that the receiver become the sender's parent and push changes eagerly (Plumtree's
    /// GRAFT).
    Graft {
        /// Root hash of the sender's store.
        root_hash: u64,
    },
    /// Accepts a `Graft`: the sender is now the receiver's parent.
    GraftAccepted,
    /// Rejects a `Graft`, as the sender has no capacity or is a descendant of the receiver.
    GraftRejected {
        /// Children of the sender, which the receiver may graft instead.
        sample: Vec<AgedDescriptor>,
    },
    /// Requests that the receiver stop pushing changes to the sender (Plumtree's PRUNE).
    Prune,
    /// Entries.
    Entries {
        /// The newest versions at the sender.
        entries: Vec<Entry>,
        /// Whether the entries were pushed along the tree, as opposed to requested.
        pushed: bool,
        /// Whether more entries differ, so that the stores must be compared again.
        more: bool,
    },
    /// Versions that the sender has stored since its last announcement (Plumtree's IHAVE).
    Announce {
        /// Keys and versions.
        versions: Vec<(Key, Version)>,
    },
    /// Requests the entries of these keys.
    Request {
        /// The keys.
        keys: Vec<Key>,
    },
    /// Root hash of the sender's store, which starts a comparison.
    Digest {
        /// See [`crate::Store::root_hash`].
        root_hash: u64,
    },
    /// Bucket hashes of the sender's store, sent when the root hashes differ.
    Buckets(Buckets),
    /// Versions in the buckets that differ.
    VersionList {
        /// The buckets, one bit each.
        mask: u64,
        /// All versions that the sender stores in them.
        versions: Vec<(Key, Version)>,
    },
    /// A sample of the sender's view, exchanged for one of the receiver's (Cyclon).
    Shuffle {
        /// The sample.
        sample: Vec<AgedDescriptor>,
        /// Whether this is the reply to a shuffle.
        is_reply: bool,
    },
    /// A node has joined, possibly with a new incarnation.
    Joined {
        /// The node.
        node: Descriptor,
        /// Remaining hops of the random walk, for an agent; a join of a coordinator is flooded.
        hops: u8,
    },
    /// The sender leaves the overlay.
    Leave,
}
