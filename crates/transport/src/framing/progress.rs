//! The progress of a [`BodyTracker`](super::BodyTracker) through received bytes.

/// The result of advancing a [`BodyTracker`](super::BodyTracker) over received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// How many of the received bytes belong to the response.
    pub(crate) bytes: usize,
    /// Whether these bytes complete the response.
    pub(crate) is_complete: bool,
}

/// Consumes up to `remaining` bytes of `bytes`, subtracts them from `remaining`, and returns their
/// number.
pub(super) fn consume(remaining: &mut u64, bytes: &[u8]) -> usize {
    let used = usize::try_from(*remaining).map_or(bytes.len(), |most| most.min(bytes.len()));
    *remaining -= used as u64;
    used
}
