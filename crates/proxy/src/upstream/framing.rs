//! Checks on a pay server's answers before awc sees them. A stream holds back what arrives until one whole,
//! well-framed answer is there, and lets through that answer and no other byte. An answer too long to be held
//! is let through as it arrives, checked on the way.

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{Meter, REST, WRITING};
use crate::bodies::{BODY_MOST, HELD_MOST};
use crate::sockets::Tapped;

/// A head holds no more than this, and no more headers than that.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// A line between chunks, or all trailers together, hold no more than this.
const LINES_MOST: usize = 8 * 1024;
/// Read at a time.
const PART: usize = 16 * 1024;

/// Why bytes are no answer.
pub type Spoilt = &'static str;

/// How the body of an answer ends.
#[derive(Debug, PartialEq, Eq)]
enum Framing {
    /// After so many more bytes.
    Sized(u64),
    /// With the last chunk and its trailers.
    Chunked(Chunks),
    /// With its connection.
    ToEnd,
}

/// Where in a chunked body the next byte stands.
#[derive(Debug, PartialEq, Eq)]
enum Chunks {
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
struct Follower {
    framing: Framing,
    /// Bytes followed so far, framing included.
    seen: u64,
}

impl Follower {
    /// Takes the next bytes; tells how many of them belong to the answer, and whether it is whole with them.
    fn follow(&mut self, bytes: &[u8]) -> Result<(usize, bool), Spoilt> {
        let most = BODY_MOST as u64 * 2;
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
                    let Some(&next) = rest.first() else { break false };
                    match chunks {
                        Chunks::Size(line) => {
                            let end = rest.iter().position(|&b| b == b'\n').map_or(rest.len(), |end| end + 1);
                            line.extend_from_slice(&rest[..end]);
                            at += end;
                            let size =
                                httparse::parse_chunk_size(line).map_err(|_| "a chunk can't be read")?;
                            match size {
                                httparse::Status::Complete((_, 0)) => *chunks = Chunks::Trailer(0, 0),
                                httparse::Status::Complete((_, size)) => *chunks = Chunks::Data(size),
                                httparse::Status::Partial if line.len() > LINES_MOST => {
                                    return Err("a chunk's size does not end");
                                }
                                httparse::Status::Partial => {}
                            }
                        }
                        Chunks::Data(left) => {
                            let used = usize::try_from(*left).map_or(rest.len(), |left| left.min(rest.len()));
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
                            *chunks = if *come == 0 { Chunks::End(1) } else { Chunks::Size(Vec::new()) };
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
        if self.seen > most { Err("its body is too long") } else { Ok((used, whole)) }
    }

    /// True where it is known by now that the answer is too long to be held.
    fn long(&self) -> bool {
        let left = match self.framing {
            Framing::Sized(left) | Framing::Chunked(Chunks::Data(left)) => left,
            _ => 0,
        };
        self.seen.saturating_add(left) > HELD_MOST as u64
    }
}

/// A head: where it begins, past any 1xx in front, where it ends, and how the body behind it does.
#[derive(Debug, PartialEq, Eq)]
struct Head {
    at: Range<usize>,
    framing: Framing,
}

/// Finds the final head in what has arrived; none while more must come.
fn head(bytes: &[u8]) -> Result<Option<Head>, Spoilt> {
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
        let framing = match answer.code {
            Some(101) => return Err("it changes the protocol"),
            Some(100..=199) => {
                start += head;
                continue;
            }
            Some(204 | 304) => Framing::Sized(0),
            _ => framing(answer.headers)?,
        };
        return Ok(Some(Head { at: start..start + head, framing }));
    }
}

/// How a head says that its body ends. Anything else does not fit.
fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, Spoilt> {
    let values = |name: &'static str| -> Vec<String> {
        let named = headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| std::str::from_utf8(h.value).unwrap_or("").trim().to_string()).collect()
    };
    match (&values("Content-Length")[..], &values("Transfer-Encoding")[..]) {
        ([one], []) if one.bytes().all(|b| b.is_ascii_digit()) => {
            // Guards against answers said to be huge: they are not waited for.
            let length = one.parse().ok().filter(|&n: &u64| n <= BODY_MOST as u64);
            length.map(Framing::Sized).ok_or("its length does not fit")
        }
        ([], [one]) if one.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked(Chunks::Size(Vec::new()))),
        // Only where it is said: else nothing tells an answer that has broken off.
        ([], []) if values("Connection").iter().any(|v| v.eq_ignore_ascii_case("close")) => {
            Ok(Framing::ToEnd)
        }
        _ => Err("its framing is not sound"),
    }
}

/// What a stream waits for.
#[derive(Debug)]
enum Stage {
    /// Nothing: no request is out.
    Idle,
    /// A head.
    Head,
    /// The rest of an answer that is held until it is whole.
    Held(Follower),
    /// The rest of one that flows.
    Flowing(Follower),
}

/// A connection to a pay server that lets through whole answers, and long ones as they arrive.
#[derive(Debug)]
pub struct Checked {
    stream: Tapped<Meter>,
    /// Arrived and not let through yet.
    held: Vec<u8>,
    /// Of `held`, the part that is the answer and may be let through.
    free: Range<usize>,
    stage: Stage,
    /// When the answer at hand began.
    began: Option<Instant>,
    /// More came than belongs to the answer, or the answer ends with it: the connection is not used again.
    spent: bool,
}

impl Checked {
    /// Wraps a new connection.
    pub fn new(stream: Tapped<Meter>) -> Self {
        Checked { stream, held: Vec::new(), free: 0..0, stage: Stage::Idle, began: None, spent: false }
    }

    /// Reads until something may be let through; `Ready` then.
    fn poll_free(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut part = [0; PART];
        loop {
            let mut buf = ReadBuf::new(&mut part);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            let _ = WRITING.try_with(|w| w.progress.notify_one());
            let (from, ended) = (self.held.len(), buf.filled().is_empty());
            if from == 0 {
                self.began = Some(Instant::now());
            }
            self.held.extend_from_slice(buf.filled());
            match self.take(from, ended) {
                Ok(true) => return Poll::Ready(Ok(())),
                Ok(false) if ended => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                Ok(false) => {}
                Err(why) => {
                    let _ = WRITING.try_with(|w| w.spoilt.set(true));
                    return Poll::Ready(Err(spoilt(why)));
                }
            }
        }
    }

    /// Whether an answer that does not tell its length has been coming for so long that it counts as a long one:
    /// of those the first bytes are waited for. One that has stopped short never gets here.
    fn lasts(&self, follower: &Follower) -> bool {
        !matches!(follower.framing, Framing::Sized(_)) && self.began.is_some_and(|at| at.elapsed() >= REST)
    }

    /// Looks at what has come since `from`, and whether the stream has ended; true where something of it may be
    /// let through.
    fn take(&mut self, mut from: usize, ended: bool) -> Result<bool, Spoilt> {
        if matches!(self.stage, Stage::Head) {
            let Some(Head { at, framing }) = head(&self.held)? else { return Ok(false) };
            if framing == Framing::ToEnd {
                // awc reads on to the end where the version says so.
                self.held[at.start + b"HTTP/1.".len()] = b'0';
            }
            self.held.drain(..at.start);
            from = at.len();
            self.stage = Stage::Held(Follower { framing, seen: 0 });
        }
        let Stage::Held(follower) = &mut self.stage else { return Ok(false) };
        let (used, whole) = follower.follow(&self.held[from..])?;
        self.free = 0..from + used;
        let to_end = ended && follower.framing == Framing::ToEnd;
        if whole || to_end {
            self.spent = to_end || self.free.end < self.held.len();
            self.stage = Stage::Idle;
            return Ok(true);
        }
        let long = match &self.stage {
            Stage::Held(follower) => follower.long() || self.lasts(follower),
            _ => false,
        };
        if long {
            let Stage::Held(follower) = std::mem::replace(&mut self.stage, Stage::Idle) else {
                return Ok(false);
            };
            let _ = WRITING.try_with(|w| w.flows.set(true));
            self.stage = Stage::Flowing(follower);
        }
        Ok(long)
    }

    /// Reads on in an answer that flows.
    fn poll_flowing(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Stage::Flowing(follower) = &mut self.stage else { return Poll::Ready(Ok(())) };
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let ended = buf.filled().len() == before;
        let (used, whole) = follower.follow(&buf.filled()[before..]).map_err(spoilt)?;
        let to_end = ended && follower.framing == Framing::ToEnd;
        if ended && !to_end {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        if whole || to_end {
            self.spent = to_end || before + used < buf.filled().len();
            self.stage = Stage::Idle;
        }
        buf.set_filled(before + used);
        Poll::Ready(Ok(()))
    }
}

fn spoilt(why: Spoilt) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl AsyncRead for Checked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if matches!(self.stage, Stage::Head | Stage::Held(_)) {
            ready!(self.poll_free(cx))?;
        }
        if !self.free.is_empty() {
            let end = self.free.end.min(self.free.start + buf.remaining());
            buf.put_slice(&self.held[self.free.start..end]);
            self.free.start = end;
            if self.free.is_empty() {
                self.held = Vec::new();
            }
            return Poll::Ready(Ok(()));
        }
        if matches!(self.stage, Stage::Flowing(_)) {
            return self.poll_flowing(cx, buf);
        }
        // Idle: awc looks here before it uses the connection again. An end, or any byte, makes it let go.
        // Guards the next request against what is left of this answer.
        if self.spent {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Checked {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(polled, Poll::Ready(Ok(_))) && matches!(self.stage, Stage::Idle) {
            self.stage = Stage::Head;
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Checked {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_write_ready(cx)
    }
}

#[cfg(test)]
mod tests;
