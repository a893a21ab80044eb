//! Versions of instance entries, derived from heartbeat sequences.
//!
//! Each sequence owns a range of versions, so that an entry's expiry and its removal lie above the
//! heartbeat that they follow and below the next one.

/// Versions that one heartbeat sequence covers: alive, unreachable, removed, and a spare one. Agents
/// give the statuses of their gates the same distance (`VERSIONS_PER_STATUS` in `ironmast-agent`).
const VERSIONS_PER_SEQUENCE: u64 = 4;
/// Added to the version of the last contact when an endpoint expires.
pub(crate) const EXPIRY_INCREMENT: u64 = 1;
/// Added to the version of an entry when it is removed.
pub(crate) const REMOVAL_INCREMENT: u64 = 1;
/// The version of a deregistered instance: only its removal is newer.
pub(crate) const DEREGISTERED: u64 = u64::MAX - 1;

/// The version of the heartbeat with this sequence; always below [`DEREGISTERED`].
pub(crate) fn of_sequence(sequence: u64) -> u64 {
    sequence
        .saturating_mul(VERSIONS_PER_SEQUENCE)
        .min(DEREGISTERED - VERSIONS_PER_SEQUENCE)
}
