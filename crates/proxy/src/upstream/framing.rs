//! Checks on a pay server's answers before awc sees them. A stream holds back what arrives until one whole,
//! well-framed answer is there, and lets through that answer and no other byte.

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{BODY_MOST, Meter, WRITING};
use crate::sockets::Tapped;

/// A head holds no more than this, and no more headers than that.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 64;
/// Read at a time.
const PART: usize = 16 * 1024;

/// Why bytes are no answer.
pub type Spoilt = &'static str;

/// Finds the final answer in what has arrived, past any 1xx in front; none while more must come.
fn whole(bytes: &[u8]) -> Result<Option<Range<usize>>, Spoilt> {
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
        let body = match answer.code {
            Some(101) => return Err("it changes the protocol"),
            Some(100..=199) => {
                start += head;
                continue;
            }
            Some(204 | 304) => Some(0),
            _ => match length(answer.headers)? {
                Some(length) => (rest.len() >= head + length).then_some(length),
                None => chunks(&rest[head..])?,
            },
        };
        return Ok(body.map(|body| start..start + head + body));
    }
}

/// The length a head announces, or none where the body is chunked. Anything else does not fit.
fn length(headers: &[httparse::Header<'_>]) -> Result<Option<usize>, Spoilt> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let value = |h: &httparse::Header<'_>| std::str::from_utf8(h.value).unwrap_or("").trim().to_string();
    let lengths: Vec<String> = named("Content-Length").map(value).collect();
    let codings: Vec<String> = named("Transfer-Encoding").map(value).collect();
    match (&lengths[..], &codings[..]) {
        ([one], []) if one.bytes().all(|b| b.is_ascii_digit()) => {
            // Guards against answers said to be huge: they are not waited for.
            one.parse().ok().filter(|&n: &usize| n <= BODY_MOST).map(Some).ok_or("its length does not fit")
        }
        ([], [one]) if one.eq_ignore_ascii_case("chunked") => Ok(None),
        _ => Err("its framing is not sound"),
    }
}

/// The length of a whole chunked body, framing included; none while more must come.
fn chunks(bytes: &[u8]) -> Result<Option<usize>, Spoilt> {
    let mut at = 0;
    loop {
        let size = httparse::parse_chunk_size(&bytes[at..]).map_err(|_| "a chunk can't be read")?;
        let httparse::Status::Complete((line, size)) = size else { return Ok(None) };
        let end = usize::try_from(size).map_or(usize::MAX, |size| (at + line).saturating_add(size));
        if end > 2 * BODY_MOST {
            return Err("its body is too long");
        }
        let Some(close) = bytes.get(end..end + 2) else { return Ok(None) };
        if close != b"\r\n" {
            return Err("a chunk does not end");
        }
        at = end + 2;
        if size == 0 {
            return Ok(Some(at));
        }
    }
}

/// A connection to a pay server that lets through whole answers only.
#[derive(Debug)]
pub struct Checked {
    stream: Tapped<Meter>,
    /// Arrived and not let through yet.
    held: Vec<u8>,
    /// Of `held`, the part that is the answer and may be let through.
    free: Range<usize>,
    /// A request has been written whose answer is not whole yet.
    owed: bool,
    /// More came than belongs to the answer: the connection is not used again.
    noisy: bool,
}

impl Checked {
    /// Wraps a new connection.
    pub fn new(stream: Tapped<Meter>) -> Self {
        Checked { stream, held: Vec::new(), free: 0..0, owed: false, noisy: false }
    }

    /// Reads until the answer is whole; `Ready` once it is.
    fn poll_whole(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut part = [0; PART];
        loop {
            let mut buf = ReadBuf::new(&mut part);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if self.held.is_empty() {
                let _ = WRITING.try_with(|w| w.begun.notify_one());
            }
            self.held.extend_from_slice(buf.filled());
            match whole(&self.held) {
                Ok(None) => {}
                Ok(Some(free)) => {
                    (self.owed, self.noisy) = (false, free.end < self.held.len());
                    self.free = free;
                    return Poll::Ready(Ok(()));
                }
                Err(why) => {
                    let _ = WRITING.try_with(|w| w.spoilt.set(true));
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
                }
            }
        }
    }
}

impl AsyncRead for Checked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.owed {
            ready!(self.poll_whole(cx))?;
        }
        if self.free.is_empty() {
            // Idle: awc looks here before it uses the connection again. An end, or any byte, makes it let go.
            // Guards the next request against what is left of this answer.
            if self.noisy {
                return Poll::Ready(Ok(()));
            }
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let end = self.free.end.min(self.free.start + buf.remaining());
        buf.put_slice(&self.held[self.free.start..end]);
        self.free.start = end;
        if self.free.is_empty() {
            self.held = Vec::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Checked {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.owed |= matches!(polled, Poll::Ready(Ok(_)));
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

    /// An answer is let through without what stands in front of it or right behind it.
    #[test]
    fn the_answer_is_found_among_what_does_not_belong_to_it() {
        let early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        for answer in [
            format!("{OK}Content-Length: 2\r\n\r\nhi"),
            format!("{OK}Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
        ] {
            for cut in 0..answer.len() {
                assert_eq!(whole(&answer.as_bytes()[..cut]), Ok(None), "{cut} bytes of {answer}");
            }
            let bytes = format!("{early}{answer}{answer}");
            let found = early.len()..early.len() + answer.len();
            assert_eq!(whole(bytes.as_bytes()), Ok(Some(found)), "{answer}");
        }
    }

    #[test]
    fn what_is_not_well_framed_is_no_answer() {
        for (head, body) in [
            ("", "noise"),
            ("HTTP/1.1 OK 200\r\n", "Content-Length: 2\r\n\r\nhi"),
            ("HTTP/1.1 2x0 OK\r\n", "Content-Length: 2\r\n\r\nhi"),
            ("ICY 200 OK\r\n", "Content-Length: 2\r\n\r\nhi"),
            ("HTTP/1.1 101 Upgrade\r\n", "\r\n"),
            (OK, "\r\nhi"),
            (OK, "Content-Length: -1\r\n\r\nhi"),
            (OK, "Content-Length: +2\r\n\r\nhi"),
            (OK, "Content-Length: 3000000000\r\n\r\nhi"),
            (OK, "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"),
            (OK, "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"),
            (OK, "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"),
            (OK, "Transfer-Encoding: chunked\r\n\r\n2\r\nhi!\r\n"),
            (OK, "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"),
            (OK, &"X-Pad: p\r\n".repeat(2_000)),
        ] {
            let bytes = format!("{head}{body}");
            assert!(whole(bytes.as_bytes()).is_err(), "{:.80}", bytes.escape_debug().to_string());
        }
    }
}
