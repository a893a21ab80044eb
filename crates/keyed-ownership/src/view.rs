//! The gates known at one epoch, and which of them owns a key.
//!
//! Views come from outside. What the limits need of them: an epoch names one view for good, and
//! epochs rise. Nothing is needed of when a gate learns a view; gates may act on different views at
//! the same time.

use std::hash::Hash;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

#[cfg(test)]
mod tests;

/// One life of the process beside a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// Where it is reached by others.
    pub address: SocketAddr,
    /// Never used twice at one address; a restart takes a new one.
    pub incarnation: u64,
    /// The region it stands in ([`region_number`]).
    pub region: u32,
}

/// The number of a region, from its name; the same at all gates. Two regions of one number only
/// lose nearness.
#[must_use]
pub fn region_number(name: &str) -> u32 {
    // The lower half of the hash.
    xxh3_64(name.as_bytes()) as u32
}

/// What is owned: a server instance or a service.
pub trait Key: Clone + Eq + Hash {
    /// Its name, by which the owner is drawn.
    fn name(&self) -> &str;

    /// The region whose gates own it, if there are any. It never changes for a name, and all gates
    /// know it alike.
    fn region(&self) -> Option<u32> {
        None
    }
}

impl Key for String {
    fn name(&self) -> &str {
        self
    }
}

impl Key for Arc<str> {
    fn name(&self) -> &str {
        self
    }
}

impl Key for &'static str {
    fn name(&self) -> &str {
        self
    }
}

/// A server instance, owned near itself: most of its requests come from gates of its region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, new at each start.
    pub id: String,
    /// The region of its zone.
    pub region: u32,
}

impl Key for Instance {
    fn name(&self) -> &str {
        &self.id
    }

    fn region(&self) -> Option<u32> {
        Some(self.region)
    }
}

/// The gates of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view; each names one set of gates for good.
    pub epoch: u64,
    /// The epoch of the view before, if it is certain that none was in force between them. Without
    /// it, owners wait for their quiet period more often, and nothing else changes.
    pub follows: Option<u64>,
    /// The gates, in any order.
    pub gates: Vec<GateId>,
}

impl View {
    /// The gate that owns `key` in this view, by rendezvous hashing over the addresses of the gates
    /// of its region, or of all gates where it has none; `None` in an empty view.
    ///
    /// A gate that joins or leaves moves only the keys that it owns, unless it is the first or last
    /// of its region.
    #[must_use]
    pub fn owner<K: Key>(&self, key: &K) -> Option<GateId> {
        let seed = xxh3_64(key.name().as_bytes());
        let near = |gate: &&GateId| key.region().is_none_or(|region| gate.region == region);
        let heaviest = |gate: &&GateId| (weight(seed, gate), gate.address);
        let nearest = self.gates.iter().filter(near).max_by_key(heaviest);
        nearest
            .or_else(|| self.gates.iter().max_by_key(heaviest))
            .copied()
    }

    /// Whether this life of the gate is in the view.
    #[must_use]
    pub fn contains(&self, gate: &GateId) -> bool {
        self.gates.contains(gate)
    }
}

fn weight(seed: u64, gate: &GateId) -> u64 {
    let port = u64::from(gate.address.port());
    match gate.address.ip() {
        std::net::IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed ^ port),
        std::net::IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed ^ port),
    }
}

/// The fencing token of an ownership: the epoch of the view it comes from and the life of the
/// owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Token {
    /// The epoch of the owner's view.
    pub epoch: u64,
    /// The owner.
    pub owner: GateId,
}
