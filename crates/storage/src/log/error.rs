//! Errors of writing to a log.

use crate::disk::DiskError;

/// Why a record was not written or not made durable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The disk is full. Durable records stay durable; [`Log::reopen`](crate::Log::reopen) succeeds
    /// once there is space.
    #[error("{0}; free space on the disk, as records are rejected until a new segment is written")]
    Full(DiskError),
    /// The disk failed. Whether it holds the unsynced records is unknown;
    /// [`Log::reopen`](crate::Log::reopen) starts a new segment.
    #[error("{0}; records are rejected until a new segment is written")]
    Disk(DiskError),
    /// An earlier operation failed and the log has not been reopened since; nothing was written.
    #[error("the log rejects records, as it has not been reopened after an earlier failure: {0}")]
    Failed(DiskError),
    /// The record does not fit into a segment; nothing was written.
    #[error(
        "record needs a segment of {bytes} bytes, but {limit} are allowed; increase the log's space"
    )]
    TooLarge {
        /// Size of the encoded record with its frame header and the segment header, in bytes.
        bytes: u64,
        /// Largest size of a segment, in bytes.
        limit: u64,
    },
    /// The record cannot be encoded; nothing was written.
    #[error("record cannot be encoded: {0}")]
    Encode(postcard::Error),
}
