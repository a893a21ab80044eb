//! Splits a server's `text/event-stream` into complete server-sent events, without I/O.
//!
//! A client must never receive part of an event, because it can't tell a truncated event from a
//! complete one, and after a retry it must receive neither a duplicate nor a gap. So the framer
//! returns an event only with its terminating empty line, and ids must be consecutive.
//!
//! The format is that of the HTML standard, section "Server-sent events", with numbers as ids.

use std::mem;

use bytes::{Bytes, BytesMut};

/// The longest event, in bytes.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why an event stream is invalid and not relayed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EventError {
    /// An id is not a number.
    #[error("the id of an event is not a number")]
    InvalidId,
    /// An id does not directly follow the previous one.
    #[error("event id {got} does not directly follow event id {last}")]
    OutOfSequence {
        /// The id of the previous event.
        last: u64,
        /// The id that was received.
        got: u64,
    },
    /// An event does not end within [`MAX_EVENT_BYTES`].
    #[error("an event is longer than {} bytes", MAX_EVENT_BYTES)]
    TooLong,
}

/// One or more complete events, as the server wrote them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CompleteEvents {
    /// The bytes of the events, each with its terminating empty line.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_id: Option<u64>,
}

/// The result of [`EventFramer::push`].
#[derive(Debug)]
pub(crate) struct Framed {
    /// The events that were completed, even if a later event is invalid.
    pub complete: Option<CompleteEvents>,
    /// Whether the stream is valid so far.
    pub validity: Result<(), EventError>,
}

/// Splits the bytes of one stream into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventFramer {
    /// The bytes of the incomplete event.
    pending: BytesMut,
    /// The offset in `pending` at which the current line starts.
    line_start: usize,
    /// The number of bytes of `pending` that were searched for the end of a line.
    scanned: usize,
    /// The id of the incomplete event.
    pending_id: Option<u64>,
    /// The id of the last complete event.
    last_id: Option<u64>,
}

impl EventFramer {
    /// Creates a framer for a stream whose first id must directly follow `last_id`, if that is set.
    pub(crate) fn resuming_after(last_id: Option<u64>) -> Self {
        EventFramer {
            last_id,
            ..EventFramer::default()
        }
    }

    /// Appends the next bytes of the stream and returns the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Framed {
        self.pending.extend_from_slice(bytes);
        let mut complete_len = 0;
        let validity = self.scan_lines(&mut complete_len);
        self.line_start -= complete_len;
        self.scanned -= complete_len;
        let bytes = self.pending.split_to(complete_len).freeze();
        let complete = (!bytes.is_empty()).then_some(CompleteEvents {
            bytes,
            last_id: self.last_id,
        });
        Framed { complete, validity }
    }

    /// Whether the stream is between two events, so that it may end here.
    pub(crate) fn is_at_event_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Scans the complete lines. `complete_len` is set to the end of the last complete event, even
    /// if a later line is invalid.
    fn scan_lines(&mut self, complete_len: &mut usize) -> Result<(), EventError> {
        while let Some(offset) = self.pending[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned + offset;
            let line = &self.pending[self.line_start..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.last_id = match mem::take(&mut self.pending_id) {
                    Some(id) => Some(check_sequence(self.last_id, id)?),
                    None => self.last_id,
                };
                *complete_len = line_end + 1;
            } else if let Some(id) = parse_id(line) {
                self.pending_id = Some(id?);
            }
            self.line_start = line_end + 1;
            self.scanned = self.line_start;
        }
        self.scanned = self.pending.len();
        if self.pending.len() - *complete_len > MAX_EVENT_BYTES {
            Err(EventError::TooLong)
        } else {
            Ok(())
        }
    }
}

/// The id in a line, if the line is an `id` field.
fn parse_id(line: &[u8]) -> Option<Result<u64, EventError>> {
    let value = line.strip_prefix(b"id:")?;
    let number = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.trim().parse().ok());
    Some(number.ok_or(EventError::InvalidId))
}

/// Returns `id` if it directly follows `last`, or if no id came before.
fn check_sequence(last: Option<u64>, id: u64) -> Result<u64, EventError> {
    match last {
        Some(last) if last.checked_add(1) != Some(id) => {
            Err(EventError::OutOfSequence { last, got: id })
        }
        _ => Ok(id),
    }
}

#[cfg(test)]
mod tests;
