//! The framing of HTTP/1.1 answers (RFC 9112, sections 4 to 7): where an answer's head ends, how
//! its body does, and which bytes belong to it.

use std::ops::Range;
use std::time::Duration;

use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};

/// A head holds no more than this, and no more headers than that.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// A line between chunks, or all trailers together, hold no more than this.
const LINES_MOST: usize = 8 * 1024;

/// Why bytes are no answer.
pub(crate) type Spoilt = &'static str;

/// How the body of an answer ends.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// After so many more bytes.
    Sized(u64),
    /// With the last chunk and its trailers.
    Chunked(Chunks),
    /// With its connection.
    ToEnd,
}

/// Where in a chunked body the next byte stands.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Chunks {
    /// In the line that tells a chunk's size: what has come of it.
    Size(Vec<u8>),
    /// In a chunk that has so many bytes left.
    Data(u64),
    /// In the line end behind a chunk: so many of its bytes have come.
    End(usize),
    /// Behind the last chunk: so much of the line at hand, and so much of all trailers has come.
    Trailer(usize, usize),
}

/// Follows the body of one answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Follower {
    pub(crate) framing: Framing,
    /// Bytes followed so far, framing included.
    pub(crate) seen: u64,
}

impl Follower {
    /// Takes the next bytes; tells how many of them belong to the answer, and whether it is whole
    /// with them.
    pub(crate) fn follow(&mut self, bytes: &[u8]) -> Result<(usize, bool), Spoilt> {
        let most = MAX_BODY_BYTES as u64 * 2;
        let (used, whole) = match &mut self.framing {
            Framing::ToEnd => (bytes.len(), false),
            Framing::Sized(left) => {
                let used = usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= used as u64;
                (used, *left == 0)
            }
            Framing::Chunked(chunks) => {
                let mut at = 0;
                let whole = loop {
                    let rest = &bytes[at..];
                    let Some(&next) = rest.first() else {
                        break false;
                    };
                    match chunks {
                        Chunks::Size(line) => {
                            let end = rest
                                .iter()
                                .position(|&b| b == b'\n')
                                .map_or(rest.len(), |end| end + 1);
                            line.extend_from_slice(&rest[..end]);
                            at += end;
                            let size = httparse::parse_chunk_size(line)
                                .map_err(|_| "a chunk can't be read")?;
                            match size {
                                httparse::Status::Complete((_, 0)) => {
                                    *chunks = Chunks::Trailer(0, 0)
                                }
                                httparse::Status::Complete((_, size)) => {
                                    *chunks = Chunks::Data(size)
                                }
                                httparse::Status::Partial if line.len() > LINES_MOST => {
                                    return Err("a chunk's size does not end");
                                }
                                httparse::Status::Partial => {}
                            }
                        }
                        Chunks::Data(left) => {
                            let used = usize::try_from(*left)
                                .map_or(rest.len(), |left| left.min(rest.len()));
                            at += used;
                            *left -= used as u64;
                            // Guards against chunks said to be huge: they are not waited for.
                            if *left > most {
                                return Err("its body is too long");
                            }
                            if *left == 0 {
                                *chunks = Chunks::End(0);
                            }
                        }
                        Chunks::End(come) => {
                            if next != b"\r\n"[*come] {
                                return Err("a chunk does not end");
                            }
                            at += 1;
                            *chunks = if *come == 0 {
                                Chunks::End(1)
                            } else {
                                Chunks::Size(Vec::new())
                            };
                        }
                        Chunks::Trailer(line, all) => {
                            at += 1;
                            match (next, *line) {
                                (b'\n', 1) => break true,
                                (b'\n', _) => *line = 0,
                                // The line that is empty but for its end is the last.
                                (b'\r', 0) => *line = 1,
                                _ => *line += 2,
                            }
                            *all += 1;
                            if *all > LINES_MOST {
                                return Err("its trailers do not end");
                            }
                        }
                    }
                };
                (at, whole)
            }
        };
        self.seen += used as u64;
        if self.seen > most {
            Err("its body is too long")
        } else {
            Ok((used, whole))
        }
    }

    /// True where it is known by now that the answer is too long to be held.
    pub(crate) fn long(&self) -> bool {
        let left = match self.framing {
            Framing::Sized(left) | Framing::Chunked(Chunks::Data(left)) => left,
            _ => 0,
        };
        self.seen.saturating_add(left) > MAX_BUFFERED_BODY_BYTES as u64
    }
}

/// A head: where it begins, past any 1xx in front, where it ends, and how the body behind it does.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) at: Range<usize>,
    pub(crate) status: u16,
    pub(crate) framing: Framing,
}

/// What decides how an answer ends beside its own head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BodyRules {
    /// The request was a `HEAD`: there is no body, whatever the head says.
    pub(crate) without_body: bool,
    /// A body without a length may end with its connection also where the head does not announce
    /// the close.
    pub(crate) unannounced_end: bool,
}

/// Finds the final head in what has arrived; none while more must come.
pub(crate) fn head(bytes: &[u8], rules: BodyRules) -> Result<Option<Head>, Spoilt> {
    let mut start = 0;
    loop {
        let rest = &bytes[start..];
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut answer = httparse::Response::new(&mut headers);
        let head = match answer.parse(rest).map_err(|_| "its head can't be read")? {
            httparse::Status::Complete(head) if head <= HEAD_MOST => head,
            // Guards the memory against heads that never end.
            _ if rest.len() > HEAD_MOST => return Err("its head does not end"),
            _ => return Ok(None),
        };
        let status = answer.code.unwrap_or(0);
        match status {
            101 => return Err("it changes the protocol"),
            100..=199 => start += head,
            _ => {
                let framing = framing(&answer, rules)?;
                return Ok(Some(Head {
                    at: start..start + head,
                    status,
                    framing,
                }));
            }
        }
        // Guards the memory against interim heads without end.
        if start > HEAD_MOST {
            return Err("its interim heads do not end");
        }
    }
}

/// How a head says that its body ends. Anything else does not fit.
fn framing(answer: &httparse::Response<'_, '_>, rules: BodyRules) -> Result<Framing, Spoilt> {
    const UNSOUND: Spoilt = "its framing is not sound";
    let values = |name: &'static str| -> Vec<String> {
        let named = answer
            .headers
            .iter()
            .filter(move |h| h.name.eq_ignore_ascii_case(name));
        named
            .map(|h| {
                std::str::from_utf8(h.value)
                    .unwrap_or("")
                    .trim()
                    .to_string()
            })
            .collect()
    };
    // The client library takes such an answer for one without a body.
    if values("Upgrade")
        .iter()
        .any(|protocol| protocol.eq_ignore_ascii_case("websocket"))
    {
        return Err("it changes the protocol");
    }
    let (lengths, codings) = (values("Content-Length"), values("Transfer-Encoding"));
    let framing = match (&lengths[..], &codings[..]) {
        ([one], []) if one.bytes().all(|b| b.is_ascii_digit()) => {
            // Guards against answers said to be huge: they are not waited for.
            let length = one
                .parse()
                .ok()
                .filter(|&n: &u64| n <= MAX_BODY_BYTES as u64);
            length
                .map(Framing::Sized)
                .ok_or("its length does not fit")?
        }
        // HTTP/1.0 has no transfer codings: whoever reads it by that version takes the chunks for
        // the body.
        ([], [_]) if answer.version == Some(0) => return Err(UNSOUND),
        ([], [one]) if one.eq_ignore_ascii_case("chunked") => {
            Framing::Chunked(Chunks::Size(Vec::new()))
        }
        ([], []) => Framing::ToEnd,
        _ => return Err(UNSOUND),
    };
    let announced = || {
        values("Connection")
            .iter()
            .any(|v| v.eq_ignore_ascii_case("close"))
    };
    match (answer.code, framing) {
        (Some(204), Framing::Chunked(_) | Framing::Sized(1..)) => {
            Err("it has a body where there can be none")
        }
        (Some(204 | 304), _) => Ok(Framing::Sized(0)),
        _ if rules.without_body => Ok(Framing::Sized(0)),
        // Only where it is said, or allowed: else nothing tells an answer that has broken off.
        (_, Framing::ToEnd) if !rules.unannounced_end && !announced() => Err(UNSOUND),
        (_, framing) => Ok(framing),
    }
}

/// The values of a header in a head that was found by [`head`].
pub(crate) fn header_values<'a>(head: &'a [u8], name: &str) -> Vec<&'a [u8]> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut answer = httparse::Response::new(&mut headers);
    if answer.parse(head).is_err() {
        return Vec::new();
    }
    answer
        .headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
        .collect()
}

/// How long the server keeps the connection after the answer, where its head says so: `timeout` of
/// `Keep-Alive`.
pub(crate) fn keep_alive(head: &[u8]) -> Option<Duration> {
    let value = std::str::from_utf8(header_values(head, "Keep-Alive").first()?).ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())?;
    Some(Duration::from_secs(seconds))
}

#[cfg(test)]
mod tests;
