//! The gates of an epoch, and which of them owns a key.
//!
//! Views come from outside. The limits need only that an epoch names one view for good and that
//! epochs rise. It does not matter when a gate learns a view; gates may act on different views at
//! the same time.

use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

#[cfg(test)]
mod tests;

/// One incarnation of the process beside a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// The address at which others reach it.
    pub address: SocketAddr,
    /// Never used twice at one address; a restart uses a new one.
    pub incarnation: u64,
    /// The region that it runs in ([`region_number`]).
    pub region: u32,
}

/// The number of a region, from its name; the same at all gates. Where two regions have the same
/// number, only the preference for near gates is lost.
#[must_use]
pub fn region_number(name: &str) -> u32 {
    // The lower half of the hash.
    xxh3_64(name.as_bytes()) as u32
}

/// Something that has an owner: a server instance or a service.
pub trait OwnedKey: Clone + Eq + Hash {
    /// Its name, by which the owner is chosen.
    fn name(&self) -> &str;

    /// The region whose gates own it, if it has one. It never changes for a name, and all gates
    /// know the same.
    fn region(&self) -> Option<u32> {
        None
    }
}

impl OwnedKey for String {
    fn name(&self) -> &str {
        self
    }
}

impl OwnedKey for Arc<str> {
    fn name(&self) -> &str {
        self
    }
}

impl OwnedKey for &'static str {
    fn name(&self) -> &str {
        self
    }
}

/// A server instance. It is owned in its own region, from which most of its requests come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, new at each start.
    pub id: String,
    /// The region of its zone.
    pub region: u32,
}

impl OwnedKey for Instance {
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
    /// it, owners wait for their takeover delay more often, and nothing else changes.
    pub follows: Option<u64>,
    /// The gates, in any order.
    pub gates: Vec<GateId>,
}

impl View {
    /// The gate that owns `key` in this view, by rendezvous hashing (Thaler and Ravishankar, 1998)
    /// over the addresses of the gates of its region, or of all gates where the region has none;
    /// `None` in an empty view.
    ///
    /// A gate that joins or leaves moves only the keys that it owns, unless it is the first or last
    /// of its region.
    #[must_use]
    pub fn owner<K: OwnedKey>(&self, key: &K) -> Option<GateId> {
        let seed = xxh3_64(key.name().as_bytes());
        let is_in_region = |gate: &&GateId| key.region().is_none_or(|region| gate.region == region);
        let weight = |gate: &&GateId| (rendezvous_weight(seed, gate), gate.address);
        let regional_owner = self.gates.iter().filter(is_in_region).max_by_key(weight);
        regional_owner
            .or_else(|| self.gates.iter().max_by_key(weight))
            .copied()
    }

    /// Whether this incarnation of the gate is in the view.
    #[must_use]
    pub fn contains(&self, gate: &GateId) -> bool {
        self.gates.contains(gate)
    }
}

fn rendezvous_weight(seed: u64, gate: &GateId) -> u64 {
    let port = u64::from(gate.address.port());
    match gate.address.ip() {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed ^ port),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed ^ port),
    }
}

/// The fencing token of an ownership: the epoch of the view that it comes from and the incarnation
/// of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The epoch of the owner's view.
    pub epoch: u64,
    /// The owner.
    pub owner: GateId,
}
