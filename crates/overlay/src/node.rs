//! Who takes part: address, place, role and incarnation of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;

/// Short identity of a node on the wire: a hash of its address. Two nodes with the same one only
/// avoid each other as sources, so a collision costs a choice and no safety.
pub type NodeId = u32;

/// What a node is in the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Publishes entries and beats; a root of the tree.
    Coordinator,
    /// Receives entries and relays them.
    Agent,
}

/// Region and zone of a node, as numbers that all nodes derive alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The region.
    pub region: u32,
    /// The zone; only compared together with the region.
    pub zone: u32,
}

impl Place {
    /// The place with these names: 32-bit hashes of them.
    #[must_use]
    pub fn named(region: &str, zone: &str) -> Place {
        let short = |name: &str| hash::bytes(name.as_bytes()) as u32;
        Place {
            region: short(region),
            zone: short(zone),
        }
    }

    /// Whether `other` lies in the same region.
    #[must_use]
    pub fn same_region(self, other: Place) -> bool {
        self.region == other.region
    }
}

/// All that others need to know of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Where it listens; also its identity.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// What it is.
    pub role: Role,
    /// Higher at each start of the process at this address.
    pub incarnation: u64,
}

impl Descriptor {
    /// Its short identity.
    #[must_use]
    pub fn id(&self) -> NodeId {
        hash::address(self.address) as u32
    }

    /// Identity of its beats: another one for each incarnation, so that counters may begin at 1
    /// again.
    #[must_use]
    pub fn beat_source(&self) -> NodeId {
        hash::pair(hash::address(self.address), self.incarnation) as u32
    }

    /// Its rank among nodes that compete for a place at the head of a region or zone: the lowest
    /// stays. Never 0, which stands for a coordinator.
    #[must_use]
    pub fn score(&self) -> u32 {
        ((hash::pair(hash::address(self.address), self.incarnation) >> 32) as u32).max(1)
    }

    /// Whether it is a coordinator.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        self.role == Role::Coordinator
    }
}
