//! Versions of instance entries, derived from heartbeat sequences.
//!
//! Each sequence has a range of versions, so that the versions of an entry's expiry and removal are
//! above that of the last heartbeat and below that of the next one.

/// Number of versions for each heartbeat sequence: alive, unreachable, removed, and one unused.
/// Agents use the same distance between gate statuses (`VERSIONS_PER_STATUS` in `ironmast-agent`).
const VERSIONS_PER_SEQUENCE: u64 = 4;
/// Added to the version of the last contact when an endpoint expires.
pub(crate) const EXPIRY_INCREMENT: u64 = 1;
/// Added to the version of an entry when it is removed.
pub(crate) const REMOVAL_INCREMENT: u64 = 1;
/// The version of a deregistered instance; only that of its removal is higher.
pub(crate) const DEREGISTERED: u64 = u64::MAX - 1;

/// The version of the heartbeat with this sequence; always below [`DEREGISTERED`].
pub(crate) fn of_sequence(sequence: u64) -> u64 {
    sequence
        .saturating_mul(VERSIONS_PER_SEQUENCE)
        .min(DEREGISTERED - VERSIONS_PER_SEQUENCE)
}
