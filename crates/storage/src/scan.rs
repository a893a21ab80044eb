//! Scans a segment for its newest record, and distinguishes the torn end that a power loss leaves
//! from corruption of synced bytes.
//!
//! Each frame states how many bytes of the segment had been synced when the frame was written, and
//! the segment's final name shows that its first frame had been synced. Nothing shows whether the
//! last of several frames had been, so corruption there is taken for a torn end; a marker written
//! after each sync would show it, at the cost of a second write for each record.

use std::ops::Range;

use crate::format::{
    Corruption, CorruptionReason, FRAME_HEADER_BYTES, FRAME_MAGIC, SEGMENT_HEADER_BYTES,
    check_segment_header, checksum, u32_at, u64_at,
};

/// Whether the checksums of frames are verified. Only tests ignore them, to show that corruption is
/// missed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    not(test),
    expect(
        dead_code,
        reason = "the unsafe variant exists for tests that show it failing"
    )
)]
pub(crate) enum Checksums {
    /// Frames with a wrong checksum are rejected.
    Verify,
    /// All frames are accepted.
    Ignore,
}

/// The content of an intact segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scan {
    /// Byte range of the newest record.
    pub(crate) newest: Range<usize>,
    /// Number of valid frames.
    pub(crate) frames: usize,
    /// End of the last valid frame; the bytes after it are the torn end.
    pub(crate) valid_end: usize,
}

/// A valid frame.
struct Frame {
    payload: Range<usize>,
    synced_end: u64,
}

/// Scans a complete segment, of which at least the header and the first frame had been synced.
pub(crate) fn scan(
    bytes: &[u8],
    log: &str,
    sequence: u64,
    checksums: Checksums,
) -> Result<Scan, Corruption> {
    check_segment_header(bytes, log, sequence)
        .map_err(|reason| Corruption { offset: 0, reason })?;
    let first = frame_at(bytes, SEGMENT_HEADER_BYTES, sequence, checksums).ok_or(Corruption {
        offset: SEGMENT_HEADER_BYTES as u64,
        reason: CorruptionReason::FirstFrame,
    })?;
    let mut scan = Scan {
        valid_end: first.payload.end,
        newest: first.payload,
        frames: 1,
    };
    while let Some(frame) = frame_at(bytes, scan.valid_end, sequence, checksums) {
        scan.valid_end = frame.payload.end;
        scan.newest = frame.payload;
        scan.frames += 1;
    }
    check_synced_frames(bytes, scan.valid_end, sequence, checksums)?;
    Ok(scan)
}

/// Rejects a segment in which a frame after `valid_end` shows that more bytes had been synced than
/// are valid.
///
/// Unsynced frames may be lost in any order, so a valid frame after an invalid one does not show
/// corruption by itself.
fn check_synced_frames(
    bytes: &[u8],
    valid_end: usize,
    sequence: u64,
    checksums: Checksums,
) -> Result<(), Corruption> {
    let mut at = valid_end + 1;
    while let Some(found) = find_magic(bytes, at) {
        match frame_at(bytes, found, sequence, checksums) {
            Some(frame) if frame.synced_end > valid_end as u64 => {
                return Err(Corruption {
                    offset: valid_end as u64,
                    reason: CorruptionReason::SyncedFrame,
                });
            }
            Some(frame) => at = frame.payload.end,
            None => at = found + 1,
        }
    }
    Ok(())
}

fn find_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    rest.windows(FRAME_MAGIC.len())
        .position(|window| window == FRAME_MAGIC)
        .map(|position| from + position)
}

fn frame_at(bytes: &[u8], at: usize, sequence: u64, checksums: Checksums) -> Option<Frame> {
    let start = at.checked_add(FRAME_HEADER_BYTES)?;
    let header = bytes.get(at..start)?;
    if header[..4] != FRAME_MAGIC {
        return None;
    }
    let end = start.checked_add(u32_at(header, 4) as usize)?;
    let offset = at as u64;
    if checksums == Checksums::Verify
        && checksum(sequence, offset, &[&header[..20]]) != u32_at(header, 20)
    {
        return None;
    }
    let payload = bytes.get(start..end)?;
    if checksums == Checksums::Verify
        && checksum(sequence, offset, &[&header[4..16], payload]) != u32_at(header, 16)
    {
        return None;
    }
    Some(Frame {
        payload: start..end,
        synced_end: u64_at(header, 8),
    })
}
