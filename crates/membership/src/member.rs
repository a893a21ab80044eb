//! The identity of a member.

use std::net::SocketAddrV4;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A member: its peer address and its incarnation, which a restart must never reuse.
///
/// The incarnation is taken from the clock at the start ([`new_incarnation`]), so that a proxy that
/// restarts without any state has a higher incarnation than any that the cluster has seen of it. A
/// refutation increments it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The address from which the member sends datagrams and at which it receives them.
    pub address: SocketAddrV4,
    /// The incarnation; of two with the same address, the higher one replaces the other.
    pub incarnation: u32,
}

impl foca::Identity for Member {
    type Addr = SocketAddrV4;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            address: self.address,
            incarnation: self.incarnation.wrapping_add(1),
        })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// Returns the incarnation of a proxy that starts now: the seconds since the Unix epoch, which are
/// above every earlier incarnation of the proxy.
#[must_use]
pub fn new_incarnation() -> u32 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs() as u32
}
