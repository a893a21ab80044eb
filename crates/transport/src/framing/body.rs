//! Tracks where the body of a response ends.

use super::chunked::ChunkedState;
use super::progress::{Progress, consume};
use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::malformed_response::MalformedResponse;

/// The longest body in bytes, including its framing.
const MAX_FRAMED_BODY_BYTES: u64 = MAX_BODY_BYTES as u64 * 2;

/// How the body of a response is delimited (RFC 9112, section 6.3).
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The body ends after this many more bytes.
    ContentLength(u64),
    /// The body ends with the trailers after the last chunk.
    Chunked(ChunkedState),
    /// The body ends when the server closes the connection.
    CloseDelimited,
}

/// Tracks the body of one response until its end.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BodyTracker {
    pub(crate) framing: BodyFraming,
    /// Bytes of the body so far, including its framing.
    seen_bytes: u64,
}

impl BodyTracker {
    /// Creates a tracker at the start of a body.
    pub(crate) fn new(framing: BodyFraming) -> Self {
        BodyTracker {
            framing,
            seen_bytes: 0,
        }
    }

    /// Advances over the next received bytes.
    ///
    /// # Errors
    /// If the body is malformed or too long.
    pub(crate) fn advance(&mut self, bytes: &[u8]) -> Result<Progress, MalformedResponse> {
        let progress = match &mut self.framing {
            BodyFraming::CloseDelimited => Progress {
                bytes: bytes.len(),
                is_complete: false,
            },
            BodyFraming::ContentLength(remaining) => {
                let used = consume(remaining, bytes);
                Progress {
                    bytes: used,
                    is_complete: *remaining == 0,
                }
            }
            BodyFraming::Chunked(chunked) => chunked.advance(bytes, MAX_FRAMED_BODY_BYTES)?,
        };
        self.seen_bytes += progress.bytes as u64;
        if self.seen_bytes > MAX_FRAMED_BODY_BYTES {
            Err(MalformedResponse::BodyTooLong)
        } else {
            Ok(progress)
        }
    }

    /// Whether the bytes so far show that the response is too long to be buffered.
    pub(crate) fn is_long(&self) -> bool {
        let remaining = match &self.framing {
            BodyFraming::ContentLength(remaining) => *remaining,
            BodyFraming::Chunked(chunked) => chunked.remaining_in_chunk(),
            BodyFraming::CloseDelimited => 0,
        };
        self.seen_bytes.saturating_add(remaining) > MAX_BUFFERED_BODY_BYTES as u64
    }
}
