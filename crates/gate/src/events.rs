//! Whole events out of a server's `text/event-stream`, without I/O: half an event is never let out,
//! and ids must rise one by one.

use std::mem;

use bytes::{Bytes, BytesMut};

/// The longest event, in bytes.
pub(crate) const EVENT_MOST: usize = 1024 * 1024;

/// Why a stream is not followed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum EventError {
    /// An id is not a number.
    #[error("an event's id is no number")]
    Id,
    /// An id does not follow the one before it.
    #[error("event {got} follows event {last}")]
    Order {
        /// The id before it.
        last: u64,
        /// Its id.
        got: u64,
    },
    /// It does not end within [`EVENT_MOST`].
    #[error("an event does not end")]
    TooLong,
}

/// Whole events, as the server wrote them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Whole {
    /// Their bytes, with the empty line behind each.
    pub bytes: Bytes,
    /// The id of the last that has one.
    pub last: Option<u64>,
}

/// Takes the bytes of one stream and lets out whole events.
#[derive(Debug, Default)]
pub(crate) struct Events {
    /// What has come of the event at hand.
    pending: BytesMut,
    /// Where in it the line at hand begins.
    line: usize,
    /// Up to where it has been looked at.
    seen: usize,
    /// The id of the event at hand.
    id: Option<u64>,
    /// The id of the last whole event.
    last: Option<u64>,
}

impl Events {
    /// A stream whose next event follows `last`, where that is known.
    pub(crate) fn after(last: Option<u64>) -> Self {
        Events {
            last,
            ..Events::default()
        }
    }

    /// Takes what came next. The events that are whole now come out also where a later one is at
    /// fault.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> (Option<Whole>, Result<(), EventError>) {
        self.pending.extend_from_slice(bytes);
        let mut end = 0;
        let checked = self.follow(&mut end);
        self.line -= end;
        self.seen -= end;
        let bytes = self.pending.split_to(end).freeze();
        let whole = (!bytes.is_empty()).then_some(Whole {
            bytes,
            last: self.last,
        });
        (whole, checked)
    }

    /// Whether nothing is left of an event that has begun.
    pub(crate) fn is_between(&self) -> bool {
        self.pending.is_empty()
    }

    /// Goes through the lines that are whole; `end` is where the last whole event ends.
    fn follow(&mut self, end: &mut usize) -> Result<(), EventError> {
        while let Some(at) = self.pending[self.seen..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.seen + at;
            let line = &self.pending[self.line..line_end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.last = match mem::take(&mut self.id) {
                    Some(id) => Some(follows(self.last, id)?),
                    None => self.last,
                };
                *end = line_end + 1;
            } else if let Some(id) = id_of(line) {
                self.id = Some(id?);
            }
            self.line = line_end + 1;
            self.seen = self.line;
        }
        self.seen = self.pending.len();
        if self.pending.len() - *end > EVENT_MOST {
            Err(EventError::TooLong)
        } else {
            Ok(())
        }
    }
}

/// The id in a line, where it has one.
fn id_of(line: &[u8]) -> Option<Result<u64, EventError>> {
    let value = line.strip_prefix(b"id:")?;
    let number = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.trim().parse().ok());
    Some(number.ok_or(EventError::Id))
}

/// The id, where it is the next.
fn follows(last: Option<u64>, id: u64) -> Result<u64, EventError> {
    match last {
        Some(last) if last.checked_add(1) != Some(id) => Err(EventError::Order { last, got: id }),
        _ => Ok(id),
    }
}

#[cfg(test)]
mod tests;
