//! The segments of a log: which one is written, when a new one is started, which ones are removed.

use std::sync::Arc;

use crate::disk::{Disk, DiskError, FailureKind};
use crate::format::{FramePosition, SEGMENT_HEADER_BYTES, frame_bytes, push_frame, segment_header};
use crate::names;
use crate::recovery::LogFiles;
use crate::settings::{AfterFailure, LogSettings, SegmentReplacement};

use super::error::LogError;

/// The segments of one log.
pub(super) struct Segments {
    disk: Arc<dyn Disk>,
    settings: LogSettings,
    next_sequence: u64,
    current: Option<CurrentSegment>,
    /// Older complete segments, kept until a newer one is durable.
    retained: Vec<u64>,
    /// Files that nothing depends on, removed once the next segment's file has been created.
    obsolete: Vec<String>,
    frame_buffer: Vec<u8>,
}

/// The segment that records are appended to.
struct CurrentSegment {
    sequence: u64,
    /// Whether the segment exists durably under its final name.
    complete: bool,
    length: u64,
    synced_end: u64,
}

/// Rejects a record that doesn't fit into a segment.
pub(super) fn check_size(payload: usize, limit: u64) -> Result<(), LogError> {
    let bytes = SEGMENT_HEADER_BYTES as u64 + frame_bytes(payload);
    if bytes > limit || u32::try_from(payload).is_err() {
        return Err(LogError::TooLarge { bytes, limit });
    }
    Ok(())
}

impl Segments {
    /// Starts from the files found. Any of the segments may be the durable one, so all are retained
    /// until a new one is complete.
    pub(super) fn new(disk: Arc<dyn Disk>, settings: LogSettings, files: LogFiles) -> Self {
        Self {
            disk,
            settings,
            next_sequence: files.next_sequence,
            current: None,
            retained: files.segments,
            obsolete: files.temporary,
            frame_buffer: Vec::new(),
        }
    }

    pub(super) fn segment_bytes(&self) -> u64 {
        self.settings.segment_bytes()
    }

    pub(super) fn stops_after_failure(&self) -> bool {
        self.settings.guards.after_failure == AfterFailure::StopWriting
    }

    /// Appends to the newest segment found instead of a new one; only for tests, which show that
    /// this loses records.
    pub(super) fn resume_newest(&mut self, length: u64, synced_end: u64) {
        let Some(sequence) = self.retained.pop() else {
            return;
        };
        self.current = Some(CurrentSegment {
            sequence,
            complete: true,
            length,
            synced_end,
        });
    }

    /// Appends a record to the current segment, or starts a new segment with it.
    pub(super) fn append(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        let remaining = self
            .current
            .as_ref()
            .map(|current| self.segment_bytes().saturating_sub(current.length));
        match remaining {
            Some(remaining) if frame_bytes(payload.len()) <= remaining => {
                self.append_frame(payload)
            }
            _ => self.start_segment(payload),
        }
    }

    /// Makes all appended records durable.
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

    /// Closes the current segment: nothing is written to it any more.
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

    /// Starts a segment under a temporary name.
    ///
    /// The file is created before obsolete ones are removed, so that the highest sequence number in
    /// use is always visible: if a number were reused, a removed segment that reappears after a
    /// power loss could supersede a newer one.
    fn start_segment(&mut self, payload: &[u8]) -> Result<(), DiskError> {
        self.close_current();
        if self.settings.guards.replacement == SegmentReplacement::RemoveFirst {
            self.remove_obsolete()?;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.current = Some(CurrentSegment {
            sequence,
            complete: false,
            length: 0,
            synced_end: 0,
        });
        self.disk
            .create(&names::temporary(&self.settings.name, sequence))?;
        self.remove_obsolete()?;
        self.frame_buffer.clear();
        self.frame_buffer
            .extend_from_slice(&segment_header(&self.settings.name, sequence));
        let position = FramePosition {
            sequence,
            offset: SEGMENT_HEADER_BYTES as u64,
            synced_end: 0,
        };
        push_frame(&mut self.frame_buffer, position, payload);
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
        self.frame_buffer.clear();
        push_frame(&mut self.frame_buffer, position, payload);
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
        self.disk.append(&name, &self.frame_buffer)?;
        current.length += self.frame_buffer.len() as u64;
        Ok(())
    }

    /// Durably gives the new segment its final name, and removes the files that it supersedes.
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
        let _retried_with_next_segment = self.remove_obsolete();
        Ok(())
    }

    fn publish(&self, sequence: u64) -> Result<(), DiskError> {
        let temporary = names::temporary(&self.settings.name, sequence);
        self.disk
            .rename(&temporary, &names::segment(&self.settings.name, sequence))?;
        self.disk.sync_folder()
    }

    /// Reverts a rename that may not be durable, as far as the disk allows, so that repeated
    /// failures don't accumulate segments.
    fn unpublish(&mut self, sequence: u64) {
        let segment = names::segment(&self.settings.name, sequence);
        let _may_not_exist = self
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

    /// Removes the obsolete files, without a sync of the folder: a file that a power loss restores
    /// has a lower sequence number and is never read.
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
