//! The chunked transfer coding (RFC 9112, section 7.1).

use super::progress::{Progress, consume};
use crate::malformed_response::MalformedResponse;

/// The longest chunk-size line, and the longest total of the trailers, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// The line end that follows the data of a chunk.
const CHUNK_END: &[u8; 2] = b"\r\n";

/// The position of the next byte in a chunked body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChunkedState {
    /// In a chunk-size line; the part of the line that has arrived.
    Size(Vec<u8>),
    /// In the data of a chunk; the number of bytes still missing.
    Data(u64),
    /// In the line end after a chunk; the number of its bytes that have arrived.
    End(usize),
    /// After the last chunk.
    Trailers {
        /// State of the current line: 0 at its start, 1 after a `\r` at its start, more elsewhere.
        line: usize,
        /// Total bytes of the trailers so far.
        total: usize,
    },
}

impl ChunkedState {
    /// The state at the start of a body.
    pub(crate) fn new() -> Self {
        ChunkedState::Size(Vec::new())
    }

    /// The number of data bytes of the current chunk that are still missing.
    pub(crate) fn remaining_in_chunk(&self) -> u64 {
        match self {
            ChunkedState::Data(remaining) => *remaining,
            _ => 0,
        }
    }

    /// Advances over the next received bytes. A chunk of which more than `max_bytes` are missing is
    /// an error, as the client would wait for a huge announced size in vain.
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
                        // An empty line ends the trailers.
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

/// Appends bytes to `line` up to the end of the line, and returns how many were taken.
fn take_line(line: &mut Vec<u8>, bytes: &[u8]) -> usize {
    let used = bytes
        .iter()
        .position(|&byte| byte == b'\n')
        .map_or(bytes.len(), |end| end + 1);
    line.extend_from_slice(&bytes[..used]);
    used
}

/// Returns the state after a chunk-size line; `None` while the line is incomplete.
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
