//! Replica identities and the ballots that order proposals.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identifies one replica's disk. A machine that returns with an empty disk takes a new identity,
/// since it no longer knows what the old one promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u64);

impl Identity {
    /// Identity of an initial member. The other initial members derive it from the address alone
    /// (64-bit FNV-1a of its text), so that they agree on the first replica set without a message.
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

/// Orders proposals: by counter, then by the proposer's identity, so that two proposers never use
/// the same one (Rystsov 2018, section 2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Raised by a proposer for every attempt.
    pub counter: u64,
    /// Identity of the proposer.
    pub identity: Identity,
}

impl Ballot {
    /// Ballot of the initial state; no proposer uses it.
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
