//! Quarantine and erasure of a corrupted log.
//!
//! Recovery reads the segment with the highest sequence number. An older one may still exist, if
//! its removal failed or was undone by a power loss, and must never outlive the newest: recovery
//! would read it, and a replica would vote by outdated promises. Older segments are therefore
//! removed first, durably.

use crate::disk::{Disk, DiskError, FailureKind};
use crate::names;
use crate::recovery::{self, LogFiles};
use crate::settings::LogSettings;

/// The largest number of corrupted segments that are kept; older ones are removed.
pub const MAX_QUARANTINED_SEGMENTS: usize = 2;

/// Removes all files of a log.
pub(super) fn erase(disk: &dyn Disk, settings: &LogSettings) -> Result<(), DiskError> {
    let files = recovery::list_files(disk, &settings.name)?;
    remove_superseded(disk, settings, &files)?;
    for sequence in &files.quarantined {
        remove(disk, &names::quarantined(&settings.name, *sequence))?;
    }
    if let Some(newest) = files.segments.last() {
        remove(disk, &names::segment(&settings.name, *newest))?;
    }
    disk.sync_folder()
}

/// Renames the newest segment so that it is kept but never read.
pub(super) fn quarantine(
    disk: &dyn Disk,
    settings: &LogSettings,
) -> Result<Option<String>, DiskError> {
    let files = recovery::list_files(disk, &settings.name)?;
    let Some(newest) = files.segments.last().copied() else {
        return Ok(None);
    };
    remove_superseded(disk, settings, &files)?;
    let segment = names::segment(&settings.name, newest);
    let quarantined = names::quarantined(&settings.name, newest);
    // A crash during an earlier quarantine may have left the segment under both names.
    remove(disk, &quarantined)?;
    let earlier: Vec<u64> = files
        .quarantined
        .into_iter()
        .filter(|sequence| *sequence != newest)
        .collect();
    for sequence in earlier
        .iter()
        .take((earlier.len() + 1).saturating_sub(MAX_QUARANTINED_SEGMENTS))
    {
        remove(disk, &names::quarantined(&settings.name, *sequence))?;
    }
    let is_too_long = disk.read(&segment)?.len() as u64 > settings.segment_bytes();
    if is_too_long {
        remove(disk, &segment)?;
    } else {
        disk.rename(&segment, &quarantined)?;
    }
    disk.sync_folder()?;
    Ok((!is_too_long).then_some(quarantined))
}

/// Names of the quarantined segments.
pub(super) fn quarantined_files(
    disk: &dyn Disk,
    settings: &LogSettings,
) -> Result<Vec<String>, DiskError> {
    let files = recovery::list_files(disk, &settings.name)?;
    Ok(files
        .quarantined
        .into_iter()
        .map(|sequence| names::quarantined(&settings.name, sequence))
        .collect())
}

/// Durably removes the files that the newest segment supersedes.
fn remove_superseded(
    disk: &dyn Disk,
    settings: &LogSettings,
    files: &LogFiles,
) -> Result<(), DiskError> {
    let older = files.segments.len().saturating_sub(1);
    for sequence in &files.segments[..older] {
        remove(disk, &names::segment(&settings.name, *sequence))?;
    }
    for temporary in &files.temporary {
        remove(disk, temporary)?;
    }
    disk.sync_folder()
}

fn remove(disk: &dyn Disk, file: &str) -> Result<(), DiskError> {
    match disk.remove(file) {
        Err(error) if error.kind != FailureKind::NotFound => Err(error),
        _ => Ok(()),
    }
}
