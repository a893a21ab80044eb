//! Errors of writing to a log.

use crate::disk::DiskError;

/// Why a record was not written or not made durable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The disk is full. Durable records stay durable; [`Log::reopen`](crate::Log::reopen) succeeds
    /// once there is space.
    #[error("{0}; free room on the disk")]
    Full(DiskError),
    /// The disk failed. Whether it holds the unsynced records is unknown;
    /// [`Log::reopen`](crate::Log::reopen) starts a new segment.
    #[error("{0}; records are refused until a new segment is written")]
    Disk(DiskError),
    /// An earlier operation failed and the log has not been reopened.
    #[error("the log failed before and was not reopened: {0}")]
    Failed(DiskError),
    /// The record is larger than a segment may be.
    #[error("record of {bytes} bytes in a frame, {limit} allowed; raise the log's space")]
    TooLarge {
        /// Bytes of the record with its frame and the segment header.
        bytes: u64,
        /// Bytes allowed.
        limit: u64,
    },
    /// The record cannot be encoded.
    #[error("record cannot be encoded: {0}")]
    Encode(postcard::Error),
}
