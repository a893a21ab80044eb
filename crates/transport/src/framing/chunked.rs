//! The chunked transfer coding (RFC 9112, section 7.1).

use super::progress::{Progress, consume};
use crate::malformed_response::MalformedResponse;

/// The longest line in front of a chunk, and the longest trailers together, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// What follows the data of a chunk.
const CHUNK_END: &[u8; 2] = b"\r\n";

/// The position of the next byte in a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkedState {
    /// In the line with a chunk's size: what has arrived of the line.
    Size(Vec<u8>),
    /// In a chunk: how many of its bytes are missing.
    Data(u64),
    /// In the line end behind a chunk: how many of its bytes have arrived.
    End(usize),
    /// Behind the last chunk.
    Trailers {
        /// State of the current line: 0 at its start, 1 behind a `\r` at its start, more elsewhere.
        line: usize,
        /// Bytes of all trailers so far.
        total: usize,
    },
}

impl ChunkedState {
    /// The state at the start of a body.
    pub(crate) fn new() -> Self {
        ChunkedState::Size(Vec::new())
    }

    /// How many bytes of the current chunk are missing.
    pub(crate) fn remaining_in_chunk(&self) -> u64 {
        match self {
            ChunkedState::Data(remaining) => *remaining,
            _ => 0,
        }
    }

    /// Follows the next bytes. A chunk of which more than `max_bytes` are missing is an error:
    /// guards against chunks with huge announced sizes, which would be waited for.
    pub(crate) fn advance(
        &mut self,
        bytes: &[u8],
        max_bytes: u64,
    ) -> Result<Progress, MalformedResponse> {
        let mut position = 0;
        loop {
            let rest = &bytes[position..];
            let Some(&next) = rest.first() else {
                return Ok(Progress {
                    bytes: position,
                    is_complete: false,
                });
            };
            match self {
                ChunkedState::Size(line) => {
                    let used = take_line(line, rest);
                    position += used;
                    if let Some(state) = parse_size(line)? {
                        *self = state;
                    }
                }
                ChunkedState::Data(remaining) => {
                    position += consume(remaining, rest);
                    if *remaining > max_bytes {
                        return Err(MalformedResponse::BodyTooLong);
                    }
                    if *remaining == 0 {
                        *self = ChunkedState::End(0);
                    }
                }
                ChunkedState::End(arrived) => {
                    if next != CHUNK_END[*arrived] {
                        return Err(MalformedResponse::ChunkEnd);
                    }
                    position += 1;
                    *self = if *arrived == 0 {
                        ChunkedState::End(1)
                    } else {
                        ChunkedState::new()
                    };
                }
                ChunkedState::Trailers { line, total } => {
                    position += 1;
                    match (next, *line) {
                        // An empty line is the last.
                        (b'\n', 1) => {
                            return Ok(Progress {
                                bytes: position,
                                is_complete: true,
                            });
                        }
                        (b'\n', _) => *line = 0,
                        (b'\r', 0) => *line = 1,
                        _ => *line += 2,
                    }
                    *total += 1;
                    if *total > MAX_LINE_BYTES {
                        return Err(MalformedResponse::TrailersTooLong);
                    }
                }
            }
        }
    }
}

/// Appends the rest of a line, and returns how many bytes that is.
fn take_line(line: &mut Vec<u8>, bytes: &[u8]) -> usize {
    let used = bytes
        .iter()
        .position(|&byte| byte == b'\n')
        .map_or(bytes.len(), |end| end + 1);
    line.extend_from_slice(&bytes[..used]);
    used
}

/// The state behind the line with a chunk's size; `None` while the line is incomplete.
fn parse_size(line: &[u8]) -> Result<Option<ChunkedState>, MalformedResponse> {
    match httparse::parse_chunk_size(line).map_err(|_| MalformedResponse::ChunkSize)? {
        httparse::Status::Complete((_, 0)) => {
            Ok(Some(ChunkedState::Trailers { line: 0, total: 0 }))
        }
        httparse::Status::Complete((_, size)) => Ok(Some(ChunkedState::Data(size))),
        httparse::Status::Partial if line.len() > MAX_LINE_BYTES => {
            Err(MalformedResponse::ChunkSizeTooLong)
        }
        httparse::Status::Partial => Ok(None),
    }
}
