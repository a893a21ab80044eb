//! Checks on a server's answers before awc sees them. A stream lets through the answer to the
//! request at hand and no other byte. Depending on the attempt it holds back what arrives until one
//! whole, well-framed answer is there (an answer too long to be held is let through as it arrives),
//! or lets all of it through as it arrives, checked on the way.

use std::io;
use std::ops::Range;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::attempt::{AttemptObserver, AttemptState, BUFFERED_RESPONSE_IDLE_TIMEOUT, Delivery};
use crate::framing::{BodyRules, Follower, Framing, Head, Spoilt, head, header_values, keep_alive};
use crate::sockets::ObservedStream;

/// Read at a time.
const PART: usize = 16 * 1024;
/// A server that turns a request of more than this many bytes away may not have read all of it:
/// what is left of the request still stands on the connection.
const SURELY_READ: usize = 16 * 1024;
/// The lowest status of an answer that turns a request away.
const TURNED_AWAY: u16 = 400;

/// What a stream waits for.
#[derive(Debug)]
enum Stage {
    /// Nothing: no request is out.
    Idle,
    /// A head.
    Head,
    /// The rest of an answer to another request, which is dropped.
    Surplus(Follower),
    /// The rest of an answer that is held until it is whole.
    Held(Follower),
    /// The rest of one that flows.
    Flowing(Follower),
}

/// A connection to a server that lets through the answers to what was asked.
#[derive(Debug)]
pub struct ValidatingStream {
    /// None once the connection must not be used again: it is closed at once, whoever holds this
    /// stream.
    stream: Option<ObservedStream<AttemptObserver>>,
    /// Whose answer is waited for, where an attempt is at hand.
    attempt: Option<Rc<AttemptState>>,
    /// Arrived and not let through yet.
    held: Vec<u8>,
    /// Of `held`, the part that is the answer and may be let through.
    free: Range<usize>,
    stage: Stage,
    /// When the answer at hand began.
    began: Option<Instant>,
    /// More came than belongs to the answer, or the answer ends with it: the connection is not used
    /// again.
    spent: bool,
    /// How long the server keeps it after the answer at hand, where it says so.
    keep_alive: Option<Duration>,
    /// From then on it is not used again, as the server is about to close it.
    reuse_until: Option<Instant>,
    /// The answer came before the request was written: the rest of that is dropped.
    answered_early: bool,
    /// A write failed, which uses up the system's note of a reset: an end that is read then may be
    /// no orderly one.
    write_failed: bool,
}

impl ValidatingStream {
    /// Wraps a new connection.
    #[must_use]
    pub fn new(stream: ObservedStream<AttemptObserver>) -> Self {
        ValidatingStream {
            stream: Some(stream),
            attempt: None,
            held: Vec::new(),
            free: 0..0,
            stage: Stage::Idle,
            began: None,
            spent: false,
            keep_alive: None,
            reuse_until: None,
            answered_early: false,
            write_failed: false,
        }
    }

    /// A request begins: what comes from now on is its answer.
    fn begin(&mut self) {
        self.stage = Stage::Head;
        self.attempt = AttemptState::current();
        (self.keep_alive, self.reuse_until) = (None, None);
    }

    /// While a request can't be written further: looks for its answer, as a server that rejects one
    /// need not read it. `Ready` once it has come, or can't come any more. Nothing more is written
    /// then.
    fn poll_early(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !matches!(self.stage, Stage::Head | Stage::Surplus(_)) || !self.passes_through() {
            return Poll::Pending;
        }
        ready!(self.poll_free(cx))?;
        self.answered_early = true;
        // Guards the next request: the server takes what comes next for the rest of this one.
        self.spend();
        Poll::Ready(Ok(()))
    }

    /// The answer is whole; with `spent` nothing more may be asked here.
    fn end(&mut self, spent: bool) {
        self.stage = Stage::Idle;
        // Half of it: guards against a write that crosses the server's close.
        self.reuse_until = self.keep_alive.map(|keep| Instant::now() + keep / 2);
        if spent || self.spent {
            self.spend();
        }
    }

    /// The connection is not used again, and closed as soon as no answer is read from it.
    fn spend(&mut self) {
        self.spent = true;
        if matches!(self.stage, Stage::Idle) {
            self.stream = None;
        }
    }

    fn passes_through(&self) -> bool {
        self.attempt
            .as_ref()
            .is_some_and(|attempt| attempt.options().delivery == Delivery::PassThrough)
    }

    /// Reads what the server sent; nothing once the connection is closed.
    fn poll_stream(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }

    /// Reads until something may be let through; `Ready` then.
    fn poll_free(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut part = [0; PART];
        loop {
            let mut buf = ReadBuf::new(&mut part);
            ready!(self.poll_stream(cx, &mut buf))?;
            if let Some(attempt) = &self.attempt {
                attempt.note_progress();
            }
            let (from, ended) = (self.held.len(), buf.filled().is_empty());
            if from == 0 {
                self.began = Some(Instant::now());
            }
            self.held.extend_from_slice(buf.filled());
            match self.take(from, ended) {
                Ok(true) => return Poll::Ready(Ok(())),
                Ok(false) if ended => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
                Ok(false) => {}
                Err(why) => return Poll::Ready(Err(self.spoil(why))),
            }
        }
    }

    /// Notes that what came is no answer.
    fn spoil(&self, why: Spoilt) -> io::Error {
        if let Some(attempt) = &self.attempt {
            attempt.note_spoilt(why);
        }
        io::Error::new(io::ErrorKind::InvalidData, why)
    }

    /// Whether an answer that does not tell its length has been coming for so long that it counts
    /// as a long one: of those the first bytes are waited for. One that has stopped short never
    /// gets here.
    fn lasts(&self, follower: &Follower) -> bool {
        !matches!(follower.framing, Framing::Sized(_))
            && self
                .began
                .is_some_and(|at| at.elapsed() >= BUFFERED_RESPONSE_IDLE_TIMEOUT)
    }

    /// Looks for the head of the answer in what is held, past answers to other requests; how many
    /// bytes it has.
    fn take_head(&mut self) -> Result<Option<usize>, Spoilt> {
        loop {
            if let Stage::Surplus(follower) = &mut self.stage {
                let (used, whole) = follower.follow(&self.held)?;
                self.held.drain(..used);
                if !whole {
                    return Ok(None);
                }
                self.stage = Stage::Head;
            }
            let Some(Head {
                at,
                status,
                framing,
            }) = head(&self.held, self.body_rules())?
            else {
                return Ok(None);
            };
            if self.is_surplus(&self.held[at.clone()])? {
                // Guards the next request against more of the same.
                self.spent = true;
                self.held.drain(..at.end);
                self.stage = Stage::Surplus(Follower { framing, seen: 0 });
                continue;
            }
            let length = at.len();
            self.accept(at, status, framing);
            return Ok(Some(length));
        }
    }

    fn body_rules(&self) -> BodyRules {
        let without_body = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.options().without_body);
        BodyRules {
            without_body,
            unannounced_end: self.passes_through(),
        }
    }

    /// Whether a head belongs to an answer to another request.
    fn is_surplus(&self, head: &[u8]) -> Result<bool, Spoilt> {
        let expected = self
            .attempt
            .as_ref()
            .and_then(|attempt| attempt.options().expected.as_ref());
        let Some(expected) = expected else {
            return Ok(false);
        };
        match (&header_values(head, expected.name)[..], &expected.value) {
            ([one], Some(value)) => Ok(one != value),
            ([one], None) => Ok(!one.is_empty()),
            ([], None) => Ok(false),
            ([], Some(_)) => Err("it does not say whose answer it is"),
            _ => Err("it names several requests"),
        }
    }

    /// Takes a head for that of the answer.
    fn accept(&mut self, at: Range<usize>, status: u16, framing: Framing) {
        if framing == Framing::ToEnd {
            // awc reads on to the end where the version says so.
            self.held[at.start + b"HTTP/1.".len()] = b'0';
        }
        let passes_through = self.passes_through();
        if let Some(attempt) = &self.attempt {
            if framing == Framing::ToEnd {
                attempt.record_close_delimited();
            }
            self.spent |=
                passes_through && status >= TURNED_AWAY && attempt.bytes_written() > SURELY_READ;
        }
        if passes_through {
            self.keep_alive = keep_alive(&self.held[at.clone()]);
        }
        self.held.drain(..at.start);
        self.stage = Stage::Held(Follower { framing, seen: 0 });
    }

    /// Whether an answer is whole as its connection has ended.
    fn ends_with(&self, ended: bool, framing: &Framing) -> bool {
        ended && *framing == Framing::ToEnd && !self.write_failed
    }

    /// Looks at what has come since `from`, and whether the stream has ended; true where something
    /// of it may be let through.
    fn take(&mut self, mut from: usize, ended: bool) -> Result<bool, Spoilt> {
        if matches!(self.stage, Stage::Head | Stage::Surplus(_)) {
            let Some(length) = self.take_head()? else {
                return Ok(false);
            };
            from = length;
        }
        let Stage::Held(follower) = &mut self.stage else {
            return Ok(false);
        };
        let (used, whole) = follower.follow(&self.held[from..])?;
        self.free = 0..from + used;
        let to_end = match &self.stage {
            Stage::Held(follower) => self.ends_with(ended, &follower.framing),
            _ => false,
        };
        if whole || to_end {
            self.end(to_end || self.free.end < self.held.len());
            return Ok(true);
        }
        let flows = match &self.stage {
            Stage::Held(follower) => {
                self.passes_through() || follower.long() || self.lasts(follower)
            }
            _ => false,
        };
        if flows {
            let Stage::Held(follower) = std::mem::replace(&mut self.stage, Stage::Idle) else {
                return Ok(false);
            };
            if let Some(attempt) = &self.attempt {
                attempt.note_flows();
            }
            self.stage = Stage::Flowing(follower);
        }
        Ok(flows)
    }

    /// Reads on in an answer that flows.
    fn poll_flowing(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.poll_stream(cx, buf))?;
        if let Some(attempt) = &self.attempt {
            attempt.note_progress();
        }
        let ended = buf.filled().len() == before;
        let Stage::Flowing(follower) = &mut self.stage else {
            return Poll::Ready(Ok(()));
        };
        let followed = follower.follow(&buf.filled()[before..]);
        let to_end = match &self.stage {
            Stage::Flowing(follower) => self.ends_with(ended, &follower.framing),
            _ => false,
        };
        let (used, whole) = match followed {
            Ok(followed) => followed,
            Err(why) => return Poll::Ready(Err(self.spoil(why))),
        };
        if ended && !to_end {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        if whole || to_end {
            self.end(to_end || before + used < buf.filled().len());
        }
        buf.set_filled(before + used);
        Poll::Ready(Ok(()))
    }

    /// Whether it must not be used again.
    fn is_over(&self) -> bool {
        self.spent
            || self
                .reuse_until
                .is_some_and(|until| Instant::now() >= until)
    }

    /// Whether the attempt at hand reads on behind its answer: it then sees another end than the
    /// framing tells. The look at an idle connection is another attempt's.
    fn is_read_past_end(&self) -> bool {
        let reader = AttemptState::current();
        let is_own = |own| reader.as_ref().is_none_or(|reader| Rc::ptr_eq(reader, own));
        self.attempt.as_ref().is_some_and(is_own)
    }
}

impl AsyncRead for ValidatingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if matches!(self.stage, Stage::Head | Stage::Surplus(_) | Stage::Held(_)) {
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
        // Idle: awc looks here before it uses the connection again. An end, or any byte, makes it
        // let go. Guards the next request against what is left of this answer.
        if self.is_over() {
            return Poll::Ready(Ok(()));
        }
        if self.is_read_past_end() {
            return Poll::Ready(Err(self.spoil("it is read past its end")));
        }
        self.poll_stream(cx, buf)
    }
}

impl AsyncWrite for ValidatingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.answered_early {
            return Poll::Ready(Ok(buf.len()));
        }
        let Some(stream) = &mut self.stream else {
            return Poll::Ready(Err(closed()));
        };
        let polled = Pin::new(stream).poll_write(cx, buf);
        if !matches!(polled, Poll::Ready(Ok(_))) {
            self.write_failed |= polled.is_ready();
            return match self.poll_early(cx) {
                Poll::Ready(Ok(())) => Poll::Ready(Ok(buf.len())),
                Poll::Ready(Err(error)) if polled.is_pending() => Poll::Ready(Err(error)),
                _ => polled,
            };
        }
        if matches!(self.stage, Stage::Idle) {
            self.begin();
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let nothing_more = self.answered_early;
        match &mut self.stream {
            Some(stream) if !nothing_more => Pin::new(stream).poll_flush(cx),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_shutdown(cx),
            None => Poll::Ready(Ok(())),
        }
    }
}

/// Why nothing can be written to a connection that must not be used again.
fn closed() -> io::Error {
    io::Error::new(
        io::ErrorKind::NotConnected,
        "the connection is not used again",
    )
}

impl ActixStream for ValidatingStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream
            .as_ref()
            .map_or(Poll::Ready(Ok(Ready::READABLE)), |stream| {
                stream.poll_read_ready(cx)
            })
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream
            .as_ref()
            .map_or(Poll::Ready(Ok(Ready::WRITABLE)), |stream| {
                stream.poll_write_ready(cx)
            })
    }
}
