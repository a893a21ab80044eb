//! Identifiers and units of the interface.

use std::fmt;

/// A duration or a clock reading, in microseconds.
pub type Micros = u64;
/// Identifier of a request; never reused by one balancer.
pub type RequestId = u64;
/// Index of a class in [`Settings::classes`](super::Settings::classes).
pub type ClassId = usize;
/// Index of a tenant in [`Settings::tenants`](super::Settings::tenants).
pub type TenantId = usize;
/// Index of a zone; configured zones are below [`Settings::zones`](super::Settings::zones).
pub type ZoneId = usize;

/// Identifier of a server: the same at every balancer and across restarts of the server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Derives the identifier from the server's name (FNV-1a), so that balancers agree on it without
    /// communication.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
        ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

/// Formats the identifier as 16 hexadecimal digits, as in log lines.
impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
