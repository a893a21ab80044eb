//! The gates of an epoch, and which of them owns a key.
//!
//! Views are installed by [`crate::view_change`]. Safety requires only that each epoch identifies
//! one view forever and that epochs increase. Gates may learn a view at any time and may act on
//! different views at the same time.

use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

#[cfg(test)]
mod tests;

/// Identifies one incarnation of a gate's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// The address at which other gates reach the process.
    pub address: SocketAddr,
    /// The incarnation number: new at each start, and never reused at one address.
    pub incarnation: u64,
    /// The number of the gate's region ([`region_number`]).
    pub region: u32,
}

/// The number of a region: a hash of its name, the same at all gates. If the numbers of two regions
/// collide, a key of one may be owned in the other; only the preference for nearby gates is lost.
#[must_use]
pub fn region_number(name: &str) -> u32 {
    // The lower half of the hash.
    xxh3_64(name.as_bytes()) as u32
}

/// A key that is assigned to an owner: a server instance or a service.
pub trait OwnedKey: Clone + Eq + Hash {
    /// The name of the key, which is hashed to choose the owner.
    fn name(&self) -> &str;

    /// The region whose gates may own the key; `None` if all gates may. All gates must know the
    /// same region for a name, and it must never change.
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

/// A server instance. Its owner is a gate of its own region, where most of its requests come from.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The id of the instance, new at each start.
    pub id: String,
    /// The number of the region that contains the instance's zone.
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
    /// The number of the view; each epoch identifies one set of gates forever.
    pub epoch: u64,
    /// The epoch of the preceding view, if it is certain that no view was installed between the
    /// two. With `None`, owners wait for their takeover delay more often, and nothing else changes.
    pub follows: Option<u64>,
    /// The gates, in any order.
    pub gates: Vec<GateId>,
}

impl View {
    /// The gate that owns `key` in this view, by rendezvous hashing (Thaler and Ravishankar, 1998)
    /// over the addresses of the gates of its region, or of all gates where the region has none;
    /// `None` in an empty view.
    ///
    /// A gate that joins or leaves changes only the owners of the keys that it owns itself, unless
    /// it is the first or last gate of its region.
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

/// The fencing token of an owner: the epoch of its view and its incarnation. A gate that has
/// accepted a grant does not use later grants under a lower epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The epoch of the owner's view.
    pub epoch: u64,
    /// The incarnation of the gate that owns the key.
    pub owner: GateId,
}
