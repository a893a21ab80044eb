//! The identity of a node: address, locality, role and incarnation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Short identity of a node on the wire: a 32-bit hash. Two nodes whose hashes collide only avoid
/// each other, and paths through each other, as parents: a collision costs a choice of parent but
/// no correctness.
pub type NodeId = u32;

/// The role of a node in the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Publishes entries and root heartbeats; a root of the tree.
    Coordinator,
    /// Receives entries and relays them.
    Agent,
}

/// The region and zone of a node (Envoy's locality), as numbers that all nodes derive in the same
/// way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Locality {
    /// Hash of the name of the region.
    pub region: u32,
    /// Hash of the name of the zone; only compared together with the region, as zones of different
    /// regions may have the same name.
    pub zone: u32,
}

impl Locality {
    /// The locality with these names, each hashed to 32 bits.
    #[must_use]
    pub fn from_names(region: &str, zone: &str) -> Locality {
        let hash32 = |name: &str| hash::bytes(name.as_bytes()) as u32;
        Locality {
            region: hash32(region),
            zone: hash32(zone),
        }
    }

    /// Whether `other` is in the same region.
    #[must_use]
    pub fn same_region(self, other: Locality) -> bool {
        self.region == other.region
    }
}

/// What other nodes need to know about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Listening address of the node, which is also its identity.
    pub address: SocketAddr,
    /// Region and zone of the node; nodes of the same zone, then region, are preferred as
    /// parents.
    pub locality: Locality,
    /// Whether the node is a coordinator or an agent.
    pub role: Role,
    /// Incarnation number of the process at this address; higher at each start.
    pub incarnation: u64,
}

impl Descriptor {
    /// The short identity of the node, the same for all incarnations.
    #[must_use]
    pub fn id(&self) -> NodeId {
        hash::address(self.address) as u32
    }

    /// The short identity of this incarnation of the node. It differs between incarnations, so that
    /// [`crate::RootHeartbeat::elapsed_ms`] of each may start at 1.
    #[must_use]
    pub fn incarnation_id(&self) -> NodeId {
        hash::pair(hash::address(self.address), self.incarnation) as u32
    }

    /// Rank among the nodes that compete to be the head of a region or zone: the lowest score wins.
    /// At least 1, as 0 represents a coordinator.
    #[must_use]
    pub fn score(&self) -> u32 {
        ((hash::pair(hash::address(self.address), self.incarnation) >> 32) as u32).max(1)
    }

    /// Whether the node is a coordinator.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        self.role == Role::Coordinator
    }
}
