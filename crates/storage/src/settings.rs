//! Settings of a log.

use crate::scan::Checksums;

/// The fraction of the disk that a log may use by default is one eighth.
const DISK_FRACTION: u64 = 8;
/// The space holds four segments: the current one, the one being written, and two that a lost
/// folder sync may restore.
const SEGMENTS_PER_SPACE: u64 = 4;
/// The smallest space of a log, in bytes.
const MIN_SPACE_BYTES: u64 = 4096;

/// Settings of a log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    pub(crate) name: String,
    pub(crate) space_bytes: u64,
    pub(crate) guards: Guards,
}

/// Safeguards of the log. Tests switch one off to show that its absence is detected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// Whether the checksums of frames are verified.
    pub(crate) checksums: Checksums,
    /// What happens to a file after a failure.
    pub(crate) after_failure: AfterFailure,
    /// In which order the next segment is created and obsolete files are removed.
    pub(crate) replacement: SegmentReplacement,
    /// How the newest record is treated when a log is opened.
    pub(crate) on_open: OnOpen,
}

/// What happens to a file after a write or a sync of it has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    not(test),
    expect(
        dead_code,
        reason = "the unsafe variant exists for tests that show it failing"
    )
)]
pub(crate) enum AfterFailure {
    /// Nothing more is written to the file, as its durable content is unknown.
    StopWriting,
    /// Later records are written to the same file, as if the operation had succeeded.
    ContinueWriting,
}

/// In which order the file of the next segment is created and obsolete files are removed. The
/// unsafe variant exists for tests that show it failing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentReplacement {
    /// The next segment is created first, so that the highest sequence number in use is always
    /// visible.
    CreateFirst,
    /// Obsolete files are removed first.
    RemoveFirst,
}

/// How the newest record is treated when a log is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    not(test),
    expect(
        dead_code,
        reason = "the unsafe variants exist for tests that show them failing"
    )
)]
pub(crate) enum OnOpen {
    /// The record is rewritten into a new segment.
    Rewrite,
    /// The record is taken as durable without a rewrite; the next one starts a new segment.
    Trust,
    /// The record is taken as durable without a rewrite, and the next one is appended to the end of
    /// the same file, even if that end is torn.
    AppendAfterTornEnd,
}

impl LogSettings {
    /// Settings of a log on a disk of `disk_bytes`, of which the log uses an eighth at most.
    ///
    /// # Errors
    /// When the name is empty or has characters other than lower-case letters, digits and `_`, or
    /// an eighth of the disk is under 4 KiB.
    pub fn new(name: &str, disk_bytes: u64) -> Result<Self, SettingsError> {
        Self::with_space(name, disk_bytes / DISK_FRACTION)
    }

    /// Settings of a log that uses `space_bytes` at most.
    ///
    /// # Errors
    /// When the name is empty or has characters other than lower-case letters, digits and `_`, or
    /// the space is under 4 KiB.
    pub fn with_space(name: &str, space_bytes: u64) -> Result<Self, SettingsError> {
        let is_valid = name
            .bytes()
            .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_'));
        if name.is_empty() || !is_valid {
            return Err(SettingsError::Name {
                name: name.to_owned(),
            });
        }
        if space_bytes < MIN_SPACE_BYTES {
            return Err(SettingsError::Space { space_bytes });
        }
        Ok(Self::new_unchecked(name, space_bytes))
    }

    /// Settings without validation: the caller has checked the name and the space, or they are
    /// constants.
    pub(crate) fn new_unchecked(name: &str, space_bytes: u64) -> Self {
        let guards = Guards {
            checksums: Checksums::Verify,
            after_failure: AfterFailure::StopWriting,
            replacement: SegmentReplacement::CreateFirst,
            on_open: OnOpen::Rewrite,
        };
        Self {
            name: name.to_owned(),
            space_bytes,
            guards,
        }
    }

    /// The largest total size of the log's files, in bytes, without quarantined segments: each of
    /// those takes a quarter of this at most, and there are at most
    /// [`MAX_QUARANTINED_SEGMENTS`](crate::MAX_QUARANTINED_SEGMENTS).
    #[must_use]
    pub fn space_bytes(&self) -> u64 {
        self.space_bytes
    }

    /// The largest size of a segment, and so of a record with its frame, in bytes.
    pub(crate) fn segment_bytes(&self) -> u64 {
        self.space_bytes / SEGMENTS_PER_SPACE
    }
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The name is empty or has characters that aren't allowed in the names of a log's files.
    #[error("invalid log name {name:?}: use lower-case letters, digits and _")]
    Name {
        /// The rejected name.
        name: String,
    },
    /// The space is below the minimum of 4 KiB.
    #[error("log space of {space_bytes} bytes is too small: at least 4096 are required")]
    Space {
        /// The rejected space, in bytes.
        space_bytes: u64,
    },
}
