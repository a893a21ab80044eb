//! Settings of a log.

/// Part of the disk that a log may use by default: one eighth.
const DISK_FRACTION: u64 = 8;
/// The space holds the current segment, one being written, and two that a lost folder sync may
/// bring back.
const SEGMENTS_PER_SPACE: u64 = 4;
/// Least space of a log, in bytes.
const MIN_SPACE_BYTES: u64 = 4096;

/// Settings of a log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    pub(crate) name: String,
    pub(crate) space_bytes: u64,
    pub(crate) guards: Guards,
}

/// What keeps the log safe. Tests switch one off to see that it is missed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// Frames with a wrong checksum are refused.
    pub(crate) checksum: bool,
    /// No file is written again after a failure.
    pub(crate) stop_after_failure: bool,
    /// The next segment's file is made before others are removed.
    pub(crate) create_before_remove: bool,
    /// What becomes of the newest record when a log is opened.
    pub(crate) on_open: OnOpen,
}

/// What becomes of the newest record when a log is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    not(test),
    expect(dead_code, reason = "the other ways are there to be seen failing")
)]
pub(crate) enum OnOpen {
    /// It is written into a new segment.
    Rewrite,
    /// It is trusted as read; the next record begins a new segment.
    Trust,
    /// It is trusted as read, and the next record is appended behind whatever the segment ends
    /// with.
    AppendBehind,
}

impl LogSettings {
    /// Settings of a log on a disk of `disk_bytes`, of which the log uses an eighth at most.
    ///
    /// # Errors
    /// When the name has characters other than lower-case letters, digits and `_`, or the space is
    /// under 4 KiB.
    pub fn new(name: &str, disk_bytes: u64) -> Result<Self, SettingsError> {
        Self::with_space(name, disk_bytes / DISK_FRACTION)
    }

    /// Settings of a log that uses `space_bytes` at most.
    ///
    /// # Errors
    /// When the name has characters other than lower-case letters, digits and `_`, or the space is
    /// under 4 KiB.
    pub fn with_space(name: &str, space_bytes: u64) -> Result<Self, SettingsError> {
        let plain = name
            .bytes()
            .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_'));
        if name.is_empty() || !plain {
            return Err(SettingsError::Name {
                name: name.to_owned(),
            });
        }
        if space_bytes < MIN_SPACE_BYTES {
            return Err(SettingsError::Space { space_bytes });
        }
        Ok(Self::new_unchecked(name, space_bytes))
    }

    /// Settings known to be sound.
    pub(crate) fn new_unchecked(name: &str, space_bytes: u64) -> Self {
        let guards = Guards {
            checksum: true,
            stop_after_failure: true,
            create_before_remove: true,
            on_open: OnOpen::Rewrite,
        };
        Self {
            name: name.to_owned(),
            space_bytes,
            guards,
        }
    }

    /// Bytes that all files of the log hold together at most, less damaged segments that were set
    /// aside: each of those takes a quarter of this at most, and there are
    /// [`MAX_QUARANTINED_SEGMENTS`](crate::MAX_QUARANTINED_SEGMENTS).
    #[must_use]
    pub fn space_bytes(&self) -> u64 {
        self.space_bytes
    }

    /// Bytes of a segment at most, and so of a record with its frame.
    pub(crate) fn segment_bytes(&self) -> u64 {
        self.space_bytes / SEGMENTS_PER_SPACE
    }
}

/// Settings that no log can have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The name would not make a safe file name.
    #[error("log name {name:?}: use lower-case letters, digits and _")]
    Name {
        /// The name given.
        name: String,
    },
    /// Too little space.
    #[error("log space of {space_bytes} bytes: give 4096 at least")]
    Space {
        /// The space given, in bytes.
        space_bytes: u64,
    },
}
