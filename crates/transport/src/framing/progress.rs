//! How far a body has been followed.

/// What a [`BodyTracker`](super::BodyTracker) found in the bytes it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// How many of them belong to the response.
    pub(crate) bytes: usize,
    /// Whether the response is complete with them.
    pub(crate) is_complete: bool,
}

/// Takes as many of `bytes` as `remaining` allows, and returns how many those are.
pub(super) fn consume(remaining: &mut u64, bytes: &[u8]) -> usize {
    let used = usize::try_from(*remaining).map_or(bytes.len(), |most| most.min(bytes.len()));
    *remaining -= used as u64;
    used
}
