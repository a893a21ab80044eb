//! Identities of replicas, and ballots, which order proposals.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies a replica by the contents of its disk. A machine that restarts with an empty disk
/// takes a new identity, since the promises given under the old one are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u64);

impl Identity {
    /// Derives the identity of an initial member from its address alone (64-bit FNV-1a of the
    /// text), so that all initial members agree on the first replica set without exchanging
    /// messages.
    #[must_use]
    pub fn from_seed_address(address: SocketAddr) -> Self {
        const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
        let text = address.to_string();
        let hash = text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self(hash)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A ballot number. Ballots order proposals by counter, then by the proposer's identity, so that
/// two proposers never use the same ballot (Rystsov 2018, section 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counter that the proposer increases for each attempt.
    pub counter: u64,
    /// Identity of the proposer.
    pub identity: Identity,
}

impl Ballot {
    /// Ballot of the initial state, below the ballots of all proposers.
    pub const ZERO: Self = Self {
        counter: 0,
        identity: Identity(0),
    };
}

impl fmt::Display for Ballot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.counter, self.identity)
    }
}
