//! The bytes of a segment: a header, then frames of one record each.
//!
//! All integers are little-endian, all checksums CRC-32. Both checksums of a frame are seeded with
//! the segment's sequence number and the frame's offset, so that a frame's bytes in another place
//! (inside a record, in another segment) aren't a valid frame.
//!
//! | Segment header | bytes | Frame header | bytes |
//! |---|---|---|---|
//! | magic `IRONMLOG` | 8 | magic `FRAM` | 4 |
//! | format version | 4 | payload length | 4 |
//! | checksum of the log's name | 4 | end of the synced bytes when the frame was written | 8 |
//! | sequence number | 8 | checksum of length, synced end and payload | 4 |
//! | checksum of the above | 4 | checksum of the header | 4 |

use std::fmt;

/// Version of the format; a segment of any other version is rejected.
pub(crate) const VERSION: u32 = 1;
/// Bytes of a segment header.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 28;
/// Bytes of a frame header.
pub(crate) const FRAME_HEADER_BYTES: usize = 24;

/// First bytes of a segment.
const SEGMENT_MAGIC: [u8; 8] = *b"IRONMLOG";
/// First bytes of a frame.
pub(crate) const FRAME_MAGIC: [u8; 4] = *b"FRAM";

/// The kind of corruption in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CorruptionReason {
    /// The segment header is truncated or its checksum is wrong.
    SegmentHeader,
    /// The segment header names another log or sequence number than the file name.
    WrongSegment,
    /// The format version is unknown.
    Version(u32),
    /// The first frame, which was synced before the segment got its final name, is corrupted.
    FirstFrame,
    /// A frame that had been synced, as a later valid frame shows, is corrupted.
    SyncedFrame,
    /// The checksums are right but the record cannot be decoded.
    Record,
}

impl fmt::Display for CorruptionReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CorruptionReason::SegmentHeader => formatter.write_str("segment header is corrupted"),
            CorruptionReason::WrongSegment => {
                formatter.write_str("segment header does not match the file name")
            }
            CorruptionReason::Version(version) => {
                write!(formatter, "format version {version} is unknown")
            }
            CorruptionReason::FirstFrame => formatter.write_str("first frame is corrupted"),
            CorruptionReason::SyncedFrame => formatter.write_str("synced frame is corrupted"),
            CorruptionReason::Record => formatter.write_str("record cannot be decoded"),
        }
    }
}

/// Location and kind of corruption in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Corruption {
    /// Offset in the segment, in bytes.
    pub(crate) offset: u64,
    /// The kind of corruption.
    pub(crate) reason: CorruptionReason,
}

/// Encodes the header of a segment.
pub(crate) fn segment_header(log: &str, sequence: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut header = [0; SEGMENT_HEADER_BYTES];
    header[..8].copy_from_slice(&SEGMENT_MAGIC);
    header[8..12].copy_from_slice(&VERSION.to_le_bytes());
    header[12..16].copy_from_slice(&crc32fast::hash(log.as_bytes()).to_le_bytes());
    header[16..24].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32fast::hash(&header[..24]);
    header[24..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Checks the header of a segment against its file name.
pub(crate) fn check_segment_header(
    bytes: &[u8],
    log: &str,
    sequence: u64,
) -> Result<(), CorruptionReason> {
    let header = bytes
        .get(..SEGMENT_HEADER_BYTES)
        .ok_or(CorruptionReason::SegmentHeader)?;
    if header[..8] != SEGMENT_MAGIC || crc32fast::hash(&header[..24]) != u32_at(header, 24) {
        return Err(CorruptionReason::SegmentHeader);
    }
    let version = u32_at(header, 8);
    if version != VERSION {
        return Err(CorruptionReason::Version(version));
    }
    if header != segment_header(log, sequence) {
        return Err(CorruptionReason::WrongSegment);
    }
    Ok(())
}

/// The position of a frame, and the synced bytes before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FramePosition {
    /// Sequence number of the segment.
    pub(crate) sequence: u64,
    /// Offset of the frame in the segment, in bytes.
    pub(crate) offset: u64,
    /// End of the synced bytes when the frame was written.
    pub(crate) synced_end: u64,
}

/// Size of a frame with a payload of this length, in bytes.
pub(crate) fn frame_bytes(payload: usize) -> u64 {
    FRAME_HEADER_BYTES as u64 + payload as u64
}

/// Appends a frame to `out`. The payload's length must fit into 32 bits.
pub(crate) fn push_frame(out: &mut Vec<u8>, position: FramePosition, payload: &[u8]) {
    let mut header = [0; FRAME_HEADER_BYTES];
    header[..4].copy_from_slice(&FRAME_MAGIC);
    header[4..8].copy_from_slice(&(payload.len() as u32).to_le_bytes());
    header[8..16].copy_from_slice(&position.synced_end.to_le_bytes());
    let payload_checksum = checksum(
        position.sequence,
        position.offset,
        &[&header[4..16], payload],
    );
    header[16..20].copy_from_slice(&payload_checksum.to_le_bytes());
    let header_checksum = checksum(position.sequence, position.offset, &[&header[..20]]);
    header[20..].copy_from_slice(&header_checksum.to_le_bytes());
    out.extend_from_slice(&header);
    out.extend_from_slice(payload);
}

/// Checksum of a frame's bytes, seeded with the frame's position.
pub(crate) fn checksum(sequence: u64, offset: u64, parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

/// The little-endian integer at an offset. Panics if the slice is too short.
pub(crate) fn u32_at(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

/// The little-endian integer at an offset. Panics if the slice is too short.
pub(crate) fn u64_at(bytes: &[u8], at: usize) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(word)
}
