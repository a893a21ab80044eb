//! The segments of a log: which one is written, when a new one begins, which ones are removed.

use std::sync::Arc;

use crate::disk::{Disk, DiskError, FailureKind};
use crate::format::{FramePosition, SEGMENT_HEADER_BYTES, frame_bytes, push_frame, segment_header};
use crate::names;
use crate::recovery::LogFiles;
use crate::settings::LogSettings;

use super::LogError;

/// The segments of one log.
pub(super) struct Segments {
    disk: Arc<dyn Disk>,
    settings: LogSettings,
    next_sequence: u64,
    current: Option<Current>,
    /// Older complete segments, kept until a newer one is durable.
    retained: Vec<u64>,
    /// Files that nothing depends on, removed once the next segment's file has been made.
    obsolete: Vec<String>,
    frame: Vec<u8>,
}

/// The segment that is written.
struct Current {
    sequence: u64,
    /// Whether it stands durably under its complete name.
    complete: bool,
    length: u64,
    synced_end: u64,
}

/// Refuses a record that no segment can hold.
pub(super) fn check_size(payload: usize, limit: u64) -> Result<(), LogError> {
    let bytes = SEGMENT_HEADER_BYTES as u64 + frame_bytes(payload);
    if bytes > limit || u32::try_from(payload).is_err() {
        return Err(LogError::TooLarge { bytes, limit });
    }
    Ok(())
}

impl Segments {
    /// Takes over what was found. Any of the segments may be the durable one, so that all are kept
    /// at first.
    pub(super) fn new(disk: Arc<dyn Disk>, settings: LogSettings, files: LogFiles) -> Self {
        Self {
            disk,
            settings,
            next_sequence: files.next_sequence,
            current: None,
            retained: files.segments,
            obsolete: files.temporary,
            frame: Vec::new(),
        }
    }

    pub(super) fn segment_bytes(&self) -> u64 {
        self.settings.segment_bytes()
    }

    pub(super) fn stops_after_failure(&self) -> bool {
        self.settings.guards.stop_after_failure
    }

    /// Goes on in the newest segment found; only for tests of what this would break.
    pub(super) fn resume_newest(&mut self, length: u64, synced_end: u64) {
        let Some(sequence) = self.retained.pop() else {
            return;
        };
        self.current = Some(Current {
            sequence,
            complete: true,
            length,
            synced_end,
        });
    }

    /// Writes a record behind the last one, or as the first of a new segment.
    pub(super) fn append(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        let room = self
            .current
            .as_ref()
            .map(|current| self.segment_bytes().saturating_sub(current.length));
        match room {
            Some(room) if frame_bytes(payload.len()) <= room => self.append_frame(payload),
            _ => self.begin(payload),
        }
    }

    /// Makes what was appended durable.
    pub(super) fn sync(&mut self) -> Result<(), DiskError> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        if !current.complete {
            return self.complete();
        }
        if current.synced_end < current.length {
            self.disk
                .sync_file(&names::segment(&self.settings.name, current.sequence))?;
        }
        self.mark_synced();
        Ok(())
    }

    /// Writes no more to the current segment.
    pub(super) fn close_current(&mut self) {
        let Some(current) = self.current.take() else {
            return;
        };
        if current.complete {
            self.retained.push(current.sequence);
        } else {
            self.obsolete
                .push(names::temporary(&self.settings.name, current.sequence));
        }
    }

    /// Begins a segment under a temporary name.
    ///
    /// The file is made before others are removed, so that the highest number used is always seen:
    /// a number given twice could let a removed segment come back after a loss of power and win
    /// over a newer one.
    fn begin(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        self.close_current();
        if !self.settings.guards.create_before_remove {
            self.remove_obsolete()?;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.current = Some(Current {
            sequence,
            complete: false,
            length: 0,
            synced_end: 0,
        });
        self.disk
            .create(&names::temporary(&self.settings.name, sequence))?;
        self.remove_obsolete()?;
        self.frame.clear();
        self.frame
            .extend_from_slice(&segment_header(&self.settings.name, sequence));
        let position = FramePosition {
            sequence,
            offset: SEGMENT_HEADER_BYTES as u64,
            synced_end: 0,
        };
        push_frame(&mut self.frame, position, payload);
        self.write_frame()
    }

    fn append_frame(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        let position = FramePosition {
            sequence: current.sequence,
            offset: current.length,
            synced_end: current.synced_end,
        };
        self.frame.clear();
        push_frame(&mut self.frame, position, payload);
        self.write_frame()
    }

    fn write_frame(&mut self) -> Result<(), DiskError> {
        let Some(current) = &mut self.current else {
            return Ok(());
        };
        let name = if current.complete {
            names::segment(&self.settings.name, current.sequence)
        } else {
            names::temporary(&self.settings.name, current.sequence)
        };
        self.disk.append(&name, &self.frame)?;
        current.length += self.frame.len() as u64;
        Ok(())
    }

    /// Gives the new segment its name, durably, and removes what it supersedes.
    fn complete(&mut self) -> Result<(), DiskError> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        let sequence = current.sequence;
        self.disk
            .sync_file(&names::temporary(&self.settings.name, sequence))?;
        self.publish(sequence)
            .inspect_err(|_| self.unpublish(sequence))?;
        let superseded = self
            .retained
            .drain(..)
            .map(|sequence| names::segment(&self.settings.name, sequence));
        self.obsolete.extend(superseded);
        self.mark_synced();
        let _tried_again_later = self.remove_obsolete();
        Ok(())
    }

    fn publish(&self, sequence: u64) -> Result<(), DiskError> {
        let temporary = names::temporary(&self.settings.name, sequence);
        self.disk
            .rename(&temporary, &names::segment(&self.settings.name, sequence))?;
        self.disk.sync_folder()
    }

    /// Takes back a name that may not be durable, as far as the disk allows, so that failures over
    /// many starts don't add up to many segments.
    fn unpublish(&mut self, sequence: u64) {
        let segment = names::segment(&self.settings.name, sequence);
        let _may_not_be_there = self
            .disk
            .rename(&segment, &names::temporary(&self.settings.name, sequence));
        self.obsolete.push(segment);
    }

    fn mark_synced(&mut self) {
        if let Some(current) = &mut self.current {
            current.complete = true;
            current.synced_end = current.length;
        }
    }

    /// Removes what nothing depends on. A file that a loss of power brings back can't win, being
    /// older.
    fn remove_obsolete(&mut self) -> Result<(), DiskError> {
        while let Some(name) = self.obsolete.last() {
            match self.disk.remove(name) {
                Err(error) if error.kind != FailureKind::NotFound => return Err(error),
                _ => self.obsolete.pop(),
            };
        }
        Ok(())
    }
}
