//! Identity of the nodes: address, locality, role and incarnation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Short identity of a node on the wire: a hash of its address. Two nodes with the same identity
/// only avoid each other as parents, so a collision costs a choice of parent but no correctness.
pub type NodeId = u32;

/// Role of a node in the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Publishes entries and root heartbeats; a root of the tree.
    Coordinator,
    /// Receives entries and relays them.
    Agent,
}

/// Region and zone of a node (Envoy's locality), as numbers that all nodes derive in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Locality {
    /// The region.
    pub region: u32,
    /// The zone; only compared together with the region.
    pub zone: u32,
}

impl Locality {
    /// The locality with these names: 32-bit hashes of them.
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

/// Everything that other nodes need to know of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// The address it listens at, which is also its identity.
    pub address: SocketAddr,
    /// Its region and zone.
    pub locality: Locality,
    /// Its role.
    pub role: Role,
    /// Incarnation of the process at this address; higher at each start.
    pub incarnation: u64,
}

impl Descriptor {
    /// The short identity of the node.
    #[must_use]
    pub fn id(&self) -> NodeId {
        hash::address(self.address) as u32
    }

    /// The short identity of this incarnation of the node, which differs between incarnations so
    /// that the counters of each may start at 1.
    #[must_use]
    pub fn incarnation_id(&self) -> NodeId {
        hash::pair(hash::address(self.address), self.incarnation) as u32
    }

    /// Rank among the nodes that compete to be the head of a region or zone: the lowest score wins.
    /// Never 0, which represents a coordinator.
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
