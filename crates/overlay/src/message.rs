//! What nodes tell each other. Every message travels over the link between two nodes and needs no
//! order among links.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::node::{Descriptor, NodeId};
use crate::store::{Buckets, Key, Version};

/// One version of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The version.
    pub version: Version,
    /// For a removal, seconds since it was made; 0 otherwise.
    pub removed_s: u32,
    /// The content, `None` for a removal.
    #[serde(with = "optional_bytes")]
    pub payload: Option<Arc<[u8]>>,
}

impl Entry {
    /// About how many bytes it takes on the wire.
    #[must_use]
    pub fn size(&self) -> usize {
        const HEAD: usize = 16;
        HEAD + self.payload.as_ref().map_or(0, |payload| payload.len())
    }
}

/// Where a node stands in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Position {
    /// A coordinator.
    Root {
        /// Whether it is in contact with a majority of the coordinators.
        in_contact: bool,
    },
    /// An agent that is fed by nobody.
    #[default]
    Detached,
    /// An agent that is fed.
    Under {
        /// The nodes between, from the coordinator to the agent's own source.
        path: Vec<NodeId>,
        /// Score of the agent through which its region is fed, 0 when fed by a coordinator in the
        /// region.
        region_head: u32,
        /// Score of the agent through which its zone is fed, 0 when fed by a coordinator in the
        /// zone.
        zone_head: u32,
        /// Whether the coordinator at the start of the path is in contact with a majority, as far
        /// as is known here.
        in_contact: bool,
    },
}

/// The beat of one coordinator, as relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The coordinator and its incarnation, see [`Descriptor::beat_source`].
    pub source: NodeId,
    /// Milliseconds from the start of this incarnation, on its clock, to the beat; at least 1.
    pub elapsed_ms: u64,
}

/// Heartbeat on a link, with what changes about the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of this heartbeat on this link.
    pub sequence: u32,
    /// Number of the last heartbeat heard from the receiver, 0 for none.
    pub echo: u32,
    /// Where the sender stands.
    pub position: Position,
    /// How many more nodes the sender would feed.
    pub room: u8,
    /// Whether the receiver is to stand in for the sender: it keeps a link to a coordinator ready.
    pub deputy: bool,
    /// Upper half of the digest of the sender's store, for the nodes it feeds.
    pub root: u32,
    /// The newest beats the sender knows and has not sent on this link.
    pub beats: Vec<Beat>,
}

/// A descriptor with the time since its owner was last heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aged {
    /// The node.
    pub node: Descriptor,
    /// Seconds since the node itself was heard.
    pub age_s: u16,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First message on a link, from both ends.
    Hello {
        /// The sender.
        node: Descriptor,
    },
    /// Nodes the receiver may connect to, as an answer to its `Hello`.
    Nodes {
        /// Some of the receiver's region first, then coordinators.
        sample: Vec<Aged>,
    },
    /// The sender has no room for this link and closes it.
    Full {
        /// Others to turn to.
        sample: Vec<Aged>,
    },
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// Push changes to me from now on.
    Graft {
        /// Digest of the sender's store.
        root: u64,
    },
    /// Answer to `Graft`: changes will be pushed.
    Grafted,
    /// Answer to `Graft`: no room, or the sender is fed by the receiver.
    Refused {
        /// Nodes fed by the sender, to turn to instead.
        sample: Vec<Aged>,
    },
    /// Push changes to me no more.
    Prune,
    /// Entries.
    Entries {
        /// Newest versions at the sender.
        entries: Vec<Entry>,
        /// Whether they were pushed along the tree, not asked for.
        pushed: bool,
        /// Whether there are more that differ: compare again.
        more: bool,
    },
    /// Versions the sender holds since its last announcement.
    Announce {
        /// Keys and versions.
        versions: Vec<(Key, Version)>,
    },
    /// Send me these keys.
    Want {
        /// The keys.
        keys: Vec<Key>,
    },
    /// Digest of the whole store, for comparison.
    Digest {
        /// See [`crate::Store::root`].
        root: u64,
    },
    /// The stores differ; digest of all buckets.
    Buckets(Buckets),
    /// Versions in the buckets that differ.
    Listing {
        /// The buckets, one bit each.
        mask: u64,
        /// All versions the sender holds in them.
        versions: Vec<(Key, Version)>,
    },
    /// Part of the sender's view, for part of the receiver's.
    Shuffle {
        /// The part.
        sample: Vec<Aged>,
        /// Whether this answers a shuffle.
        answer: bool,
    },
    /// A node has joined or come back.
    Joined {
        /// The node.
        node: Descriptor,
        /// Links it may still travel, for agents; news of coordinators reach all.
        hops: u8,
    },
    /// The sender leaves for good.
    Leave,
}

/// Payloads as byte strings, shared in memory.
mod optional_bytes {
    use super::{Arc, Deserialize, Deserializer, Serialize, Serializer};
    use serde::de::{Error, SeqAccess, Visitor};

    struct Bytes<'a>(&'a [u8]);

    impl Serialize for Bytes<'_> {
        fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
            serializer.serialize_bytes(self.0)
        }
    }

    struct Owned(Arc<[u8]>);

    struct OwnedVisitor;

    impl<'de> Visitor<'de> for OwnedVisitor {
        type Value = Owned;

        fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
            formatter.write_str("bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Owned, E> {
            Ok(Owned(Arc::from(bytes)))
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Owned, A::Error> {
            let mut bytes = Vec::new();
            while let Some(byte) = items.next_element()? {
                bytes.push(byte);
            }
            Ok(Owned(Arc::from(bytes)))
        }
    }

    impl<'de> Deserialize<'de> for Owned {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Owned, D::Error> {
            deserializer.deserialize_bytes(OwnedVisitor)
        }
    }

    pub(super) fn serialize<S: Serializer>(
        bytes: &Option<Arc<[u8]>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        bytes.as_deref().map(Bytes).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Arc<[u8]>>, D::Error> {
        Ok(Option::<Owned>::deserialize(deserializer)?.map(|owned| owned.0))
    }
}
