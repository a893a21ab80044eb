//! Numbers and identities in the interface.

use std::fmt;

/// A duration or a clock reading, in microseconds.
pub type Micros = u64;
/// A request's number; never reused by one balancer.
pub type RequestId = u64;
/// Position of a class in [`Settings::classes`](super::Settings::classes).
pub type ClassId = usize;
/// Position of a tenant in [`Settings::tenants`](super::Settings::tenants).
pub type TenantId = usize;
/// A zone's number; those below [`Settings::zones`](super::Settings::zones) are the configured ones.
pub type ZoneId = usize;

/// A server's identity: the same number at every balancer and across restarts of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Derives the identity from the server's name (FNV-1a), so that balancers agree on it without communication.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// As in log lines: 16 hexadecimal digits.
impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
