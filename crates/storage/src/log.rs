//! The log: appends the newest record and makes it durable.
//!
//! Every segment begins with a whole record, so that the segment with the highest sequence number
//! is enough to recover from; a separate snapshot would be a second copy of the same bytes. A
//! segment is written under a temporary name, synced, renamed, and the folder is synced; only then
//! may older segments be removed. A segment under its complete name is therefore known to have a
//! synced first frame.
//!
//! No file is appended to by two runs, and none after a failed write or sync. There is no reserve
//! file to be freed when the disk is full: the log's own use is bounded, and a disk that refuses
//! every write refuses into a freed file too.

mod quarantine;
mod segments;
#[cfg(test)]
mod tests;

use std::marker::PhantomData;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::disk::{Disk, DiskError};
use crate::encode::encode;
use crate::recovery::{self, NewestRecord, OpenError, Recovered};
use crate::settings::{LogSettings, OnOpen};

pub use quarantine::MAX_QUARANTINED_SEGMENTS;
use segments::{Segments, check_size};

/// The newest of a row of records, durable in checksummed segments.
pub struct Log<R> {
    segments: Segments,
    failure: Option<DiskError>,
    payload: Vec<u8>,
    record: PhantomData<fn(R) -> R>,
}

/// Whether a log takes records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogState {
    /// Records are taken.
    Ready,
    /// A write or sync failed; every append is refused until [`Log::reopen`] succeeds.
    Failed(DiskError),
}

/// Why a record was not taken or not made durable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The disk has no room. What was durable stays so; [`Log::reopen`] succeeds once there is
    /// room.
    #[error("{0}; free room on the disk")]
    Full(DiskError),
    /// The disk failed. Whether unsynced records are on it is not known; [`Log::reopen`] begins
    /// anew.
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
    Encode(String),
}

impl<R: Serialize + DeserializeOwned> Log<R> {
    /// Opens the log in a folder, finds its newest record and writes that into a new segment.
    ///
    /// The record may have been read from the page cache alone (after a failed sync and a kill,
    /// say), so it counts as durable only once it has been written again. When that fails the log
    /// is returned in [`LogState::Failed`].
    ///
    /// # Errors
    /// [`OpenError::Corrupted`] for damaged durable state, [`OpenError::Disk`] when the folder
    /// cannot be read.
    pub fn open(
        disk: Arc<dyn Disk>,
        settings: LogSettings,
    ) -> Result<(Self, Recovered<R>), OpenError> {
        let files = recovery::list_files(disk.as_ref(), &settings.name)?;
        let newest = match files.segments.last() {
            Some(sequence) => Some(recovery::read_newest(disk.as_ref(), &settings, *sequence)?),
            None => None,
        };
        let on_open = settings.guards.on_open;
        let mut log = Self {
            segments: Segments::new(disk, settings, files),
            failure: None,
            payload: Vec::new(),
            record: PhantomData,
        };
        let Some(newest) = newest else {
            return Ok((log, Recovered::Empty));
        };
        match on_open {
            OnOpen::Rewrite => {
                let _failure_is_kept_in_state = log.rewrite(&newest.payload);
            }
            OnOpen::Trust => {}
            OnOpen::AppendBehind => log
                .segments
                .resume_newest(newest.file_bytes, newest.valid_bytes),
        }
        let found = log.recovered(newest);
        Ok((log, found))
    }

    /// Removes all files of a log, also damaged ones, so that the replica can begin anew under a
    /// new identity.
    ///
    /// The identity goes first, by [`IdentityFile::erase`](crate::IdentityFile::erase): with the
    /// log gone alone, a crash would leave a replica that has forgotten its promises.
    ///
    /// # Errors
    /// When a file cannot be removed or the folder cannot be synced; some files may be gone then.
    pub fn erase(disk: &dyn Disk, settings: &LogSettings) -> Result<(), DiskError> {
        quarantine::erase(disk, settings)
    }

    /// Sets the damaged newest segment aside under another name and removes what it superseded, so
    /// that the log can be opened anew, empty. At most [`MAX_QUARANTINED_SEGMENTS`] segments are kept so, and
    /// none that is longer than a segment may be; the oldest go first. Returns the name of the
    /// file, unless it was too long to keep.
    ///
    /// # Errors
    /// When a step fails; the damaged segment is then still found under one of its names.
    pub fn quarantine(
        disk: &dyn Disk,
        settings: &LogSettings,
    ) -> Result<Option<String>, DiskError> {
        quarantine::quarantine(disk, settings)
    }

    /// Names of the damaged segments that were set aside: evidence that this folder has held a log
    /// before.
    ///
    /// # Errors
    /// When the folder cannot be read.
    pub fn quarantined_files(
        disk: &dyn Disk,
        settings: &LogSettings,
    ) -> Result<Vec<String>, DiskError> {
        quarantine::quarantined_files(disk, settings)
    }

    /// Writes a record. It is durable once a later [`Log::sync`] succeeds.
    ///
    /// # Errors
    /// After [`LogError::Full`] and [`LogError::Disk`] the log is in [`LogState::Failed`]; the
    /// other errors leave it as it was.
    pub fn append(&mut self, record: &R) -> Result<(), LogError> {
        self.check_not_failed()?;
        let payload = self.encode(record)?;
        let appended = self.segments.append(&payload);
        self.payload = payload;
        self.check_outcome(appended)
    }

    /// Makes all appended records durable; with nothing new this does nothing.
    ///
    /// # Errors
    /// After an error whether the records are on the disk is not known, and the log is in
    /// [`LogState::Failed`].
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check_not_failed()?;
        let synced = self.segments.sync();
        self.check_outcome(synced)
    }

    /// Begins a new segment with `record` and makes it durable, also after a failure.
    ///
    /// # Errors
    /// As [`Log::append`] and [`Log::sync`]; what was durable before stays so.
    pub fn reopen(&mut self, record: &R) -> Result<(), LogError> {
        let payload = self.encode(record)?;
        let rewritten = self.rewrite(&payload);
        self.payload = payload;
        rewritten
    }

    /// Whether records are taken.
    #[must_use]
    pub fn state(&self) -> LogState {
        match &self.failure {
            None => LogState::Ready,
            Some(failure) => LogState::Failed(failure.clone()),
        }
    }

    fn rewrite(&mut self, payload: &[u8]) -> Result<(), LogError> {
        self.failure = None;
        self.segments.close_current();
        let appended = self.segments.append(payload);
        self.check_outcome(appended)?;
        let synced = self.segments.sync();
        self.check_outcome(synced)
    }

    fn recovered(&self, newest: NewestRecord<R>) -> Recovered<R> {
        Recovered::Found {
            record: newest.record,
            durable: self.failure.is_none(),
            dropped_bytes: newest.file_bytes - newest.valid_bytes,
        }
    }

    /// Encodes into the kept buffer, which the caller puts back.
    fn encode(&mut self, record: &R) -> Result<Vec<u8>, LogError> {
        let buffer = std::mem::take(&mut self.payload);
        let payload =
            encode(record, buffer).map_err(|error| LogError::Encode(error.to_string()))?;
        check_size(payload.len(), self.segments.segment_bytes())?;
        Ok(payload)
    }

    fn check_not_failed(&self) -> Result<(), LogError> {
        match &self.failure {
            None => Ok(()),
            Some(failure) => Err(LogError::Failed(failure.clone())),
        }
    }

    /// Keeps a failure, after which no file written so far is written to again.
    fn check_outcome(&mut self, outcome: Result<(), DiskError>) -> Result<(), LogError> {
        let Err(failure) = outcome else { return Ok(()) };
        if self.segments.stops_after_failure() {
            self.segments.close_current();
            self.failure = Some(failure.clone());
        }
        Err(if failure.is_full() {
            LogError::Full(failure)
        } else {
            LogError::Disk(failure)
        })
    }
}
