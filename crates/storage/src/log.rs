//! The log: appends records and makes the newest one durable.
//!
//! Every segment begins with a complete record, so that the segment with the highest sequence
//! number suffices for recovery; a separate snapshot would be a second copy of the same bytes. A
//! segment is written under a temporary name, synced and renamed, and the folder is synced; only
//! then may older segments be removed. A segment under its final name therefore has a synced first
//! frame.
//!
//! No file is appended to by two runs of the process, and none after a failed write or sync. There
//! is no reserve file to release when the disk is full: the log's own use is bounded, and a disk
//! that rejects every write also rejects writes into released space.

mod error;
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

pub use error::LogError;
pub use quarantine::MAX_QUARANTINED_SEGMENTS;
use segments::{Segments, check_size};

/// A write-ahead log that keeps the newest of a sequence of records, in checksummed segments.
pub struct Log<R> {
    segments: Segments,
    failure: Option<DiskError>,
    payload_buffer: Vec<u8>,
    record: PhantomData<fn(R) -> R>,
}

/// Whether a log accepts records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogState {
    /// Records are accepted.
    Ready,
    /// A write or sync failed; every append is rejected until [`Log::reopen`] succeeds.
    Failed(DiskError),
}

impl<R: Serialize + DeserializeOwned> Log<R> {
    /// Opens the log in a folder, recovers its newest record and rewrites it into a new segment.
    ///
    /// The record may exist in the page cache only (for example after a failed sync and a kill), so
    /// it counts as durable only once it has been rewritten. When that fails the log
    /// is returned in [`LogState::Failed`].
    ///
    /// # Errors
    /// [`OpenError::Corrupted`] for corrupted durable state, [`OpenError::Disk`] when the folder
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
            payload_buffer: Vec::new(),
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
            OnOpen::AppendAfterTornEnd => log
                .segments
                .resume_newest(newest.file_bytes, newest.valid_bytes),
        }
        let found = log.recovered(newest);
        Ok((log, found))
    }

    /// Removes all files of a log, including quarantined ones, so that the replica can start empty
    /// under a new identity.
    ///
    /// The caller erases the identity first, by
    /// [`IdentityFile::erase`](crate::IdentityFile::erase): with only the log erased, a crash would
    /// leave a replica that has forgotten its promises.
    ///
    /// # Errors
    /// When a file cannot be removed or the folder cannot be synced; some files may be removed
    /// then.
    pub fn erase(disk: &dyn Disk, settings: &LogSettings) -> Result<(), DiskError> {
        quarantine::erase(disk, settings)
    }

    /// Renames the corrupted newest segment so that it is kept but never read, and removes the
    /// segments that it superseded; the next [`Log::open`] then finds an empty log. At most
    /// [`MAX_QUARANTINED_SEGMENTS`] segments are kept, the newest ones, and none that is longer
    /// than a segment may be. Returns the name of the kept file, or `None` if there was no segment
    /// or it was too long to keep.
    ///
    /// # Errors
    /// When a disk operation fails; the corrupted segment still exists under one of its names then.
    pub fn quarantine(
        disk: &dyn Disk,
        settings: &LogSettings,
    ) -> Result<Option<String>, DiskError> {
        quarantine::quarantine(disk, settings)
    }

    /// Names of the quarantined segments. If there are any, the folder has held a log before, even
    /// if the log is empty now.
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
        self.payload_buffer = payload;
        self.check_outcome(appended)
    }

    /// Makes all appended records durable; does nothing if there are none.
    ///
    /// # Errors
    /// After an error it is unknown whether the disk holds the records, and the log is in
    /// [`LogState::Failed`].
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check_not_failed()?;
        let synced = self.segments.sync();
        self.check_outcome(synced)
    }

    /// Starts a new segment with `record` and makes it durable; also works after a failure.
    ///
    /// # Errors
    /// As [`Log::append`] and [`Log::sync`]; records that were durable before stay durable.
    pub fn reopen(&mut self, record: &R) -> Result<(), LogError> {
        let payload = self.encode(record)?;
        let rewritten = self.rewrite(&payload);
        self.payload_buffer = payload;
        rewritten
    }

    /// Whether the log accepts records.
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

    /// Encodes into the reused buffer, which the caller puts back into `self.payload_buffer`.
    fn encode(&mut self, record: &R) -> Result<Vec<u8>, LogError> {
        let buffer = std::mem::take(&mut self.payload_buffer);
        let payload = encode(record, buffer).map_err(LogError::Encode)?;
        check_size(payload.len(), self.segments.segment_bytes())?;
        Ok(payload)
    }

    fn check_not_failed(&self) -> Result<(), LogError> {
        match &self.failure {
            None => Ok(()),
            Some(failure) => Err(LogError::Failed(failure.clone())),
        }
    }

    /// Converts the outcome of a disk operation. A failure is remembered and closes the current
    /// segment, so that no file written so far is written to again.
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
