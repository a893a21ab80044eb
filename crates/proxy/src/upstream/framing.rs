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
mod tests {
    use super::*;

    const OK: &str = "HTTP/1.1 200 OK\r\n";

    /// Follows bytes that arrive in the parts given: where the answer stands in them once it is whole.
    fn whole(bytes: &[u8], part: usize) -> Result<Option<Range<usize>>, Spoilt> {
        let (mut come, mut follower) = (0, None::<(usize, usize, Follower)>);
        while come < bytes.len() {
            let now = (come + part).min(bytes.len());
            let (start, mut at, mut body) = match follower.take() {
                Some((start, at, body)) => (start, at, body),
                None => match head(&bytes[..now])? {
                    Some(Head { at, framing }) => (at.start, at.end, Follower { framing, seen: 0 }),
                    None => {
                        come = now;
                        continue;
                    }
                },
            };
            let (used, whole) = body.follow(&bytes[at..now])?;
            at += used;
            if whole {
                return Ok(Some(start..at));
            }
            (come, follower) = (now, Some((start, at, body)));
        }
        Ok(None)
    }

    /// An answer is let through without what stands in front of it or right behind it, in whatever pieces.
    #[test]
    fn the_answer_is_found_among_what_does_not_belong_to_it() {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        for answer in [
            format!("{OK}Content-Length: 2\r\n\r\nhi"),
            format!("{OK}Content-Length: 0\r\n\r\n"),
            "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n".to_string(),
            format!(
                "{OK}Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nhi\r\n1\r\n!\r\n0;c\r\nX-A: b\r\nX-C: d\r\n\r\n"
            ),
            "HTTP/1.1 204 No Content\r\n\r\n".to_string(),
        ] {
            for part in 1..answer.len() {
                assert_eq!(
                    whole(&answer.as_bytes()[..answer.len() - 1], part),
                    Ok(None),
                    "{part} of {answer}"
                );
                let bytes = format!("{early}{answer}{answer}");
                let found = early.len()..early.len() + answer.len();
                assert_eq!(whole(bytes.as_bytes(), part), Ok(Some(found)), "{part} of {answer}");
            }
        }
    }

    #[test]
    fn an_answer_that_ends_with_its_connection_says_so() {
        let said = format!("{OK}Connection: close\r\n\r\nhi");
        assert_eq!(head(said.as_bytes()).map(|h| h.map(|h| h.framing)), Ok(Some(Framing::ToEnd)));
        assert_eq!(whole(said.as_bytes(), 1), Ok(None), "its end is not among its bytes");
    }

    #[test]
    fn long_answers_are_known_by_their_length_or_once_they_are_long() {
        let follower = |framing| Follower { framing, seen: 0 };
        assert!(!follower(Framing::Sized(HELD_MOST as u64)).long());
        assert!(follower(Framing::Sized(HELD_MOST as u64 + 1)).long());
        assert!(follower(Framing::Chunked(Chunks::Data(HELD_MOST as u64 + 1))).long(), "by its first chunk");
        let mut chunked = follower(Framing::Chunked(Chunks::Size(Vec::new())));
        let part = [b"8000\r\n".to_vec(), vec![b'x'; 0x8000], b"\r\n".to_vec()].concat();
        let long: Vec<bool> = (0..3)
            .map(|_| {
                assert_eq!(chunked.follow(&part), Ok((part.len(), false)));
                chunked.long()
            })
            .collect();
        assert_eq!(long, [false, true, true]);
    }

    #[test]
    fn what_is_not_well_framed_is_no_answer() {
        let chunked = |rest: &str| format!("Transfer-Encoding: chunked\r\n\r\n{rest}");
        for (head, body) in [
            ("", "noise".to_string()),
            ("HTTP/1.1 OK 200\r\n", "Content-Length: 2\r\n\r\nhi".into()),
            ("HTTP/1.1 2x0 OK\r\n", "Content-Length: 2\r\n\r\nhi".into()),
            ("ICY 200 OK\r\n", "Content-Length: 2\r\n\r\nhi".into()),
            ("HTTP/1.1 101 Upgrade\r\n", "\r\n".into()),
            (OK, "\r\nhi".into()),
            (OK, "Content-Length: -1\r\n\r\nhi".into()),
            (OK, "Content-Length: +2\r\n\r\nhi".into()),
            (OK, "Content-Length: 3000000000\r\n\r\nhi".into()),
            (OK, "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi".into()),
            (OK, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n".into()),
            (OK, chunked("5\r\nabcde\r\nzz\r\n")),
            (OK, chunked("2\r\nhi!\r\n")),
            (OK, chunked("ffffffff\r\nx")),
            (OK, chunked(&"1".repeat(9_000))),
            (OK, chunked(&format!("0\r\n{}", "X-Pad: p\r\n".repeat(2_000)))),
            (OK, "X-Pad: p\r\n".repeat(2_000)),
        ] {
            let bytes = format!("{head}{body}");
            let told = whole(bytes.as_bytes(), bytes.len());
            assert!(told.is_err(), "{:.80}: {told:?}", bytes.escape_debug().to_string());
        }
    }
}
