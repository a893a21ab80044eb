//! Names of a log's files: `NAME-SEQUENCE.segment` for complete segments, `.tmp` for segments being
//! written, `.damaged` for quarantined ones.

/// Extension of a complete segment.
const SEGMENT: &str = ".segment";
/// Extension of a segment that is being written.
const TEMPORARY: &str = ".tmp";
/// Extension of a quarantined segment.
const QUARANTINED: &str = ".damaged";
/// Hexadecimal digits of a sequence number.
const DIGITS: usize = 16;

/// A file of a log, identified by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFile {
    /// A complete segment.
    Segment(u64),
    /// A segment that was never completed.
    Temporary(u64),
    /// A corrupted segment that is kept but never read.
    Quarantined(u64),
}

impl LogFile {
    /// The sequence number in the name.
    pub(crate) fn sequence(self) -> u64 {
        match self {
            LogFile::Segment(sequence)
            | LogFile::Temporary(sequence)
            | LogFile::Quarantined(sequence) => sequence,
        }
    }
}

/// Name of a complete segment.
pub(crate) fn segment(log: &str, sequence: u64) -> String {
    format!("{log}-{sequence:016x}{SEGMENT}")
}

/// Name of a segment that is being written.
pub(crate) fn temporary(log: &str, sequence: u64) -> String {
    format!("{log}-{sequence:016x}{TEMPORARY}")
}

/// Name of a quarantined segment.
pub(crate) fn quarantined(log: &str, sequence: u64) -> String {
    format!("{log}-{sequence:016x}{QUARANTINED}")
}

/// Parses a file name; `None` if the file doesn't belong to this log.
pub(crate) fn parse(log: &str, file: &str) -> Option<LogFile> {
    let rest = file.strip_prefix(log)?.strip_prefix('-')?;
    let (stem, extension) = rest.split_at_checked(DIGITS)?;
    let sequence = parse_sequence(stem)?;
    match extension {
        SEGMENT => Some(LogFile::Segment(sequence)),
        TEMPORARY => Some(LogFile::Temporary(sequence)),
        QUARANTINED => Some(LogFile::Quarantined(sequence)),
        _ => None,
    }
}

fn parse_sequence(digits: &str) -> Option<u64> {
    let is_lowercase_hex = digits
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digits.len() != DIGITS || !is_lowercase_hex {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
