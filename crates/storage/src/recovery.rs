//! What a folder holds when a log is opened.

use serde::de::DeserializeOwned;

use crate::disk::{Disk, DiskError};
use crate::format::{Corruption, CorruptionReason, scan};
use crate::names::{self, LogFile};
use crate::settings::LogSettings;

/// What was found when a log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recovered<R> {
    /// No segment: the log was never written to, or its first record was never reported as durable.
    /// Such a record may still be found after a later loss of power.
    Empty,
    /// The newest record.
    Found {
        /// The record.
        record: R,
        /// Whether it was made durable again. If not, [`Log::state`](crate::Log::state) gives the
        /// reason, and the record must not be relied on before [`Log::reopen`](crate::Log::reopen)
        /// has succeeded with it.
        durable: bool,
        /// Bytes of the torn end that were dropped.
        dropped_bytes: u64,
    },
}

/// Why a log could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The folder or a segment could not be read; worth another try.
    #[error("{0}; check the disk and start again")]
    Disk(#[from] DiskError),
    /// Durable state is damaged. Nothing was changed; [`Log::quarantine`](crate::Log::quarantine)
    /// allows a new beginning, which for a replica means a new identity.
    #[error(
        "{file} is damaged at byte {offset}: {reason}; the replica has to begin anew as after the loss of its disk"
    )]
    Corrupted {
        /// Name of the segment.
        file: String,
        /// Byte in the segment.
        offset: u64,
        /// What is wrong there.
        reason: CorruptionReason,
    },
}

/// The files of a log, by what they are.
#[derive(Debug, Default)]
pub(crate) struct LogFiles {
    /// Sequence numbers of complete segments, in rising order.
    pub(crate) segments: Vec<u64>,
    /// Names of segments that never became complete.
    pub(crate) temporary: Vec<String>,
    /// Sequence numbers of damaged segments that were set aside, in rising order.
    pub(crate) quarantined: Vec<u64>,
    /// The first sequence number above all that were seen.
    pub(crate) next_sequence: u64,
}

/// The newest segment, read.
pub(crate) struct NewestRecord<R> {
    pub(crate) record: R,
    pub(crate) payload: Vec<u8>,
    pub(crate) file_bytes: u64,
    pub(crate) valid_bytes: u64,
}

/// Sorts the files of a log out from all in the folder.
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

/// Reads a segment that stands under its complete name.
///
/// Older segments are never read: whatever a lost folder sync brought back has a lower sequence
/// number.
pub(crate) fn read_newest<R: DeserializeOwned>(
    disk: &dyn Disk,
    settings: &LogSettings,
    sequence: u64,
) -> Result<NewestRecord<R>, OpenError> {
    let file = names::segment(&settings.name, sequence);
    let bytes = disk.read(&file)?;
    let corrupted = |damage: Corruption| OpenError::Corrupted {
        file: file.clone(),
        offset: damage.offset,
        reason: damage.reason,
    };
    let scan =
        scan(&bytes, &settings.name, sequence, settings.guards.checksum).map_err(corrupted)?;
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
