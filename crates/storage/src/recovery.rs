//! Recovery: reads the newest record of a log from the files in its folder.

use serde::de::DeserializeOwned;

use crate::disk::{Disk, DiskError};
use crate::format::{Corruption, CorruptionReason};
use crate::names::{self, LogFile};
use crate::scan::scan;
use crate::settings::LogSettings;

/// The result of recovery when a log is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovered<R> {
    /// There is no segment: the log was never written to, or its first record was never reported as
    /// durable. Such a record may still appear after a later power loss.
    Empty,
    /// The newest record was read.
    Found {
        /// The newest record, decoded.
        record: R,
        /// Whether the record was made durable again. If not, [`Log::state`](crate::Log::state)
        /// gives the reason, and the record must not be relied on before
        /// [`Log::reopen`](crate::Log::reopen) has succeeded with it.
        durable: bool,
        /// Length of the torn end that was dropped, in bytes.
        dropped_bytes: u64,
    },
}

/// Why a log could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The folder or a segment could not be read; a retry may succeed.
    #[error("{0}; check the disk and restart the process")]
    Disk(#[from] DiskError),
    /// Durable state is corrupted. Nothing was changed; after
    /// [`Log::quarantine`](crate::Log::quarantine) the log can be opened empty, which for a replica
    /// requires a new identity.
    #[error(
        "{file} is corrupted at byte {offset}: {reason}; the replica must start empty under a new identity, as after the loss of its disk"
    )]
    Corrupted {
        /// File name of the corrupted segment.
        file: String,
        /// Offset of the corruption in the segment, in bytes.
        offset: u64,
        /// The kind of corruption.
        reason: CorruptionReason,
    },
}

/// The files of a log, by kind.
#[derive(Debug, Default)]
pub(crate) struct LogFiles {
    /// Sequence numbers of complete segments, in ascending order.
    pub(crate) segments: Vec<u64>,
    /// Names of segments that were never completed.
    pub(crate) temporary: Vec<String>,
    /// Sequence numbers of quarantined segments, in ascending order.
    pub(crate) quarantined: Vec<u64>,
    /// The lowest sequence number above all those in use.
    pub(crate) next_sequence: u64,
}

/// The newest record, with the sizes of the segment that it was read from.
pub(crate) struct NewestRecord<R> {
    pub(crate) record: R,
    pub(crate) payload: Vec<u8>,
    pub(crate) file_bytes: u64,
    pub(crate) valid_bytes: u64,
}

/// Lists the files of one log; other files in the folder are ignored.
pub(crate) fn list_files(disk: &dyn Disk, log: &str) -> Result<LogFiles, DiskError> {
    let mut files = LogFiles::default();
    for name in disk.list()? {
        let Some(file) = names::parse(log, &name) else {
            continue;
        };
        files.next_sequence = files.next_sequence.max(file.sequence().saturating_add(1));
        match file {
            LogFile::Segment(sequence) => files.segments.push(sequence),
            LogFile::Temporary(_) => files.temporary.push(name),
            LogFile::Quarantined(sequence) => files.quarantined.push(sequence),
        }
    }
    files.segments.sort_unstable();
    files.quarantined.sort_unstable();
    Ok(files)
}

/// Reads the newest record from a complete segment.
///
/// Only the newest segment is read: files that a lost folder sync restored have lower sequence
/// numbers.
pub(crate) fn read_newest<R: DeserializeOwned>(
    disk: &dyn Disk,
    settings: &LogSettings,
    sequence: u64,
) -> Result<NewestRecord<R>, OpenError> {
    let file = names::segment(&settings.name, sequence);
    let bytes = disk.read(&file)?;
    let corrupted = |corruption: Corruption| OpenError::Corrupted {
        file: file.clone(),
        offset: corruption.offset,
        reason: corruption.reason,
    };
    let scan =
        scan(&bytes, &settings.name, sequence, settings.guards.checksums).map_err(corrupted)?;
    let offset = scan.newest.start as u64;
    let payload = bytes[scan.newest].to_vec();
    let record = postcard::from_bytes(&payload).map_err(|_| {
        corrupted(Corruption {
            offset,
            reason: CorruptionReason::Record,
        })
    })?;
    Ok(NewestRecord {
        record,
        payload,
        file_bytes: bytes.len() as u64,
        valid_bytes: scan.valid_end as u64,
    })
}
