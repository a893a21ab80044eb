//! Replica identities and the ballots that order proposals.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Names one replica's disk. A machine that returns with an empty disk draws a new identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity(pub u64);

impl Identity {
    /// Identity of an initial member, which the other initial members derive from its address
    /// alone.
    #[must_use]
    pub fn from_seed_address(address: SocketAddr) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let text = address.to_string();
        let hash = text.bytes().fold(OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        });
        Self(hash)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Orders proposals: by counter, then by the proposer's identity, so that no two proposers share
/// one.
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
