//! Names of a log's files: `NAME-SEQUENCE.segment`, `.tmp` until a segment is complete, `.damaged`
//! once it is set aside.

/// Ending of a complete segment.
const SEGMENT: &str = ".segment";
/// Ending of a segment that is being written.
const TEMPORARY: &str = ".tmp";
/// Ending of a damaged segment that was set aside.
const QUARANTINED: &str = ".damaged";
/// Hexadecimal digits of a sequence number.
const DIGITS: usize = 16;

/// A file of a log, told from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogFile {
    /// A complete segment.
    Segment(u64),
    /// A segment that never became complete.
    Temporary(u64),
    /// A damaged segment that was set aside and is never read.
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

/// Name of a damaged segment that was set aside.
pub(crate) fn quarantined(log: &str, sequence: u64) -> String {
    format!("{log}-{sequence:016x}{QUARANTINED}")
}

/// What a name says; nothing when the file is none of this log's.
pub(crate) fn parse(log: &str, file: &str) -> Option<LogFile> {
    let rest = file.strip_prefix(log)?.strip_prefix('-')?;
    let (stem, ending) = rest.split_at_checked(DIGITS)?;
    let sequence = sequence(stem)?;
    match ending {
        SEGMENT => Some(LogFile::Segment(sequence)),
        TEMPORARY => Some(LogFile::Temporary(sequence)),
        QUARANTINED => Some(LogFile::Quarantined(sequence)),
        _ => None,
    }
}

fn sequence(digits: &str) -> Option<u64> {
    let plain = digits
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digits.len() != DIGITS || !plain {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
