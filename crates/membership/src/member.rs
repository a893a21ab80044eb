//! The identity of a member.

use std::net::SocketAddrV4;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A member: its peer address and its incarnation, which a restart must never reuse.
///
/// The incarnation is taken from the clock at the start ([`new_incarnation`]), so that a proxy that
/// restarts without any state returns above every value that the cluster has seen of it. A
/// refutation raises it by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The address that its datagrams are sent from and to.
    pub address: SocketAddrV4,
    /// Its incarnation.
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

/// The incarnation of a proxy that starts now, in seconds since the Unix epoch: never one that the
/// cluster has seen of it before.
#[must_use]
pub fn new_incarnation() -> u32 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_secs() as u32
}
