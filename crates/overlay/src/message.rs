//! The messages between two neighbours. Nothing is assumed about the order of messages on different
//! links.
//!
//! Messages are encoded with postcard, which identifies variants and fields by position: their
//! order is part of the wire format.

use serde::{Deserialize, Serialize};

use crate::digest::Buckets;
use crate::entry::{Entry, Key, Version};
use crate::node::{Descriptor, NodeId};
use crate::position::TreePosition;

/// The heartbeat of a coordinator, which is relayed down the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RootHeartbeat {
    /// Identifies the coordinator and its incarnation, see [`Descriptor::incarnation_id`].
    pub coordinator: NodeId,
    /// Milliseconds from the start of this incarnation to the heartbeat, on the coordinator's
    /// clock; at least 1.
    pub elapsed_ms: u64,
}

/// The heartbeat on a link, which also carries the state of the sender that neighbours need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of this heartbeat on this link.
    pub sequence: u32,
    /// Sequence number of the last heartbeat that the sender has received on this link, 0 for none.
    /// Acknowledges all heartbeats up to that one.
    pub echo: u32,
    /// Position of the sender in the tree.
    pub position: TreePosition,
    /// Number of further children that the sender accepts.
    pub spare_capacity: u8,
    /// Whether the receiver is the designated successor of the sender. The successor keeps a
    /// standby link to a coordinator, through which it attaches the region when the sender fails.
    pub is_successor: bool,
    /// Upper 32 bits of the root hash of the sender's store. Children compare it with their own, as
    /// do coordinators among themselves.
    pub root_hash: u32,
    /// Newest root heartbeats that the sender has not sent on this link yet.
    pub root_heartbeats: Vec<RootHeartbeat>,
}

/// A descriptor with the time since the node was last known to be alive (Cyclon's age).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedDescriptor {
    /// Descriptor of the node.
    pub node: Descriptor,
    /// Seconds since the node was last known to be alive.
    pub age_s: u16,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message on a link, sent by both ends. Messages that arrive before it are dropped,
    /// except `LinkRejected` and `Leave`.
    Hello {
        /// Descriptor of the sender.
        node: Descriptor,
    },
    /// Reply to the `Hello` of the node that opened the connection: nodes that it may connect to.
    Nodes {
        /// The sender, then a random sample of its view.
        sample: Vec<AgedDescriptor>,
    },
    /// Reports that the sender has no capacity for this link and closes it.
    LinkRejected {
        /// The sender, then other nodes that the receiver may connect to.
        sample: Vec<AgedDescriptor>,
    },
    /// The heartbeat of the link.
    Heartbeat(Heartbeat),
    /// Requests that the receiver become the parent of the sender and push changes to it
    /// (Plumtree's GRAFT).
    Graft {
        /// Root hash of the sender's store; the receiver starts a comparison if its own differs.
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
    /// Carries entries, pushed or in reply (Plumtree's GOSSIP).
    Entries {
        /// Newest versions in the sender's store.
        entries: Vec<Entry>,
        /// Whether the entries are pushed, as opposed to sent in reply to a request or after a
        /// comparison of stores.
        pushed: bool,
        /// Whether the reply was truncated, so that the stores must be compared again.
        more: bool,
    },
    /// Announces versions that the sender has stored since its last announcement (Plumtree's
    /// IHAVE).
    Announce {
        /// Keys, with the version stored of each.
        versions: Vec<(Key, Version)>,
    },
    /// Requests the entries of these keys.
    Request {
        /// Keys of the requested entries.
        keys: Vec<Key>,
    },
    /// Starts a comparison of stores.
    Digest {
        /// Root hash of the sender's store, see [`crate::Store::root_hash`].
        root_hash: u64,
    },
    /// Reply to `Digest` when the root hashes differ: the bucket hashes of the sender's store.
    Buckets(Buckets),
    /// Reply to `Buckets`: the versions in the buckets that differ.
    VersionList {
        /// Buckets that differ, one bit each.
        mask: u64,
        /// Keys in these buckets, with the version that the sender stores of each.
        versions: Vec<(Key, Version)>,
    },
    /// Exchanges a sample of the sender's view for one of the receiver's (Cyclon).
    Shuffle {
        /// The sender, then a random sample of its view.
        sample: Vec<AgedDescriptor>,
        /// Whether this is the reply to a shuffle; a reply is not answered.
        is_reply: bool,
    },
    /// Reports that a node has joined, or restarted with a new incarnation (`HyParView`'s
    /// FORWARDJOIN).
    Joined {
        /// Descriptor of the node that has joined.
        node: Descriptor,
        /// Remaining hops of the random walk for an agent; 0 for a coordinator, whose join is
        /// flooded.
        hops: u8,
    },
    /// Reports that the sender leaves the overlay.
    Leave,
}
