//! Validates a server's responses before awc parses them.
//!
//! A [`ValidatingStream`] delivers the response to the current request and no other byte. Depending
//! on the attempt's [`Delivery`](crate::attempt::Delivery) it buffers what arrives until one
//! complete, well-framed response is there (a response too long to be buffered is delivered as it
//! arrives), or delivers all of it as it arrives, validated on the way. Guards the next request on
//! a connection against the rest of the last response (request smuggling and response
//! desynchronisation), and clients against responses that are truncated.
//!
//! [`validator`] decides, without I/O; this module reads, writes and closes.

mod validator;

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use self::validator::ResponseValidator;
use crate::attempt::AttemptObserver;
use crate::malformed_response::MalformedResponse;
use crate::observed_stream::ObservedStream;

/// Bytes that are read at once while a response is validated before its delivery.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A connection to a server that delivers well-framed responses to the requests sent on it.
#[derive(Debug)]
pub struct ValidatingStream {
    /// `None` once the connection must not be reused: it is closed at once, whoever holds this
    /// value.
    stream: Option<ObservedStream<AttemptObserver>>,
    validator: ResponseValidator,
    /// The response arrived before the request was written: the rest of that is discarded.
    answered_early: bool,
}

impl ValidatingStream {
    /// Wraps a new connection.
    #[must_use]
    pub fn new(stream: ObservedStream<AttemptObserver>) -> Self {
        ValidatingStream {
            stream: Some(stream),
            validator: ResponseValidator::new(),
            answered_early: false,
        }
    }

    /// Closes the connection if it must not be reused and no response is read from it any more.
    fn close_if_not_reusable(&mut self) {
        if self.validator.must_close() {
            self.stream = None;
        }
    }

    /// Reads what the server sent; nothing once the connection is closed.
    fn poll_stream(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }

    /// Reads until something may be delivered; `Ready` then.
    fn poll_deliverable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut chunk);
            ready!(self.poll_stream(cx, &mut buf))?;
            let has_ended = buf.filled().is_empty();
            let received = self.validator.receive(buf.filled());
            self.close_if_not_reusable();
            match received {
                Ok(true) => return Poll::Ready(Ok(())),
                Ok(false) if has_ended => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
                Ok(false) => {}
                Err(reason) => return Poll::Ready(Err(self.reject(reason))),
            }
        }
    }

    /// Reads more of a response that is being streamed.
    fn poll_streaming(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.poll_stream(cx, buf))?;
        let followed = self.validator.follow(&buf.filled()[before..]);
        self.close_if_not_reusable();
        match followed {
            Ok(Some(bytes)) => {
                buf.set_filled(before + bytes);
                Poll::Ready(Ok(()))
            }
            Ok(None) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Err(reason) => Poll::Ready(Err(self.reject(reason))),
        }
    }

    /// While a request cannot be written further: looks for its response, as a server that rejects
    /// a request need not read it. `Ready` once the response has arrived, or cannot arrive any
    /// more. Nothing more is written then.
    fn poll_early_response(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.validator.may_answer_early() {
            return Poll::Pending;
        }
        ready!(self.poll_deliverable(cx))?;
        self.answered_early = true;
        // Guards the next request: the server would take it for the rest of this one.
        self.validator.forbid_reuse();
        self.close_if_not_reusable();
        Poll::Ready(Ok(()))
    }

    /// Reports to the attempt that what arrived is no valid response.
    fn reject(&self, reason: MalformedResponse) -> io::Error {
        self.validator.report_malformed(reason);
        io::Error::new(io::ErrorKind::InvalidData, reason)
    }
}

impl AsyncRead for ValidatingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.validator.is_undelivered() {
            ready!(self.poll_deliverable(cx))?;
        }
        if self.validator.deliver(buf) {
            return Poll::Ready(Ok(()));
        }
        if self.validator.is_streaming() {
            return self.poll_streaming(cx, buf);
        }
        // Idle: awc checks here before it reuses the connection, and drops the connection at an
        // end or at any byte. Guards the next request against what is left of this response.
        if self.validator.is_reuse_forbidden() {
            return Poll::Ready(Ok(()));
        }
        if self.validator.is_read_past_end() {
            return Poll::Ready(Err(self.reject(MalformedResponse::ReadPastEnd)));
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
            return Poll::Ready(Err(reuse_forbidden()));
        };
        let polled = Pin::new(stream).poll_write(cx, buf);
        if !matches!(polled, Poll::Ready(Ok(_))) {
            if polled.is_ready() {
                self.validator.record_write_failure();
            }
            return match self.poll_early_response(cx) {
                Poll::Ready(Ok(())) => Poll::Ready(Ok(buf.len())),
                Poll::Ready(Err(error)) if polled.is_pending() => Poll::Ready(Err(error)),
                _ => polled,
            };
        }
        self.validator.request_written();
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let answered_early = self.answered_early;
        match &mut self.stream {
            Some(stream) if !answered_early => Pin::new(stream).poll_flush(cx),
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

impl Drop for ValidatingStream {
    /// Resets a connection whose request was given up. Closed in order, the kernel would go on sending
    /// what the server has not acknowledged; after a partition that would execute the request, when
    /// a retry of it may have been executed long ago.
    fn drop(&mut self) {
        if let Some(stream) = &self.stream
            && self.validator.is_response_incomplete()
        {
            stream.reset_on_drop();
        }
    }
}

/// Why nothing can be written to a connection that must not be reused.
fn reuse_forbidden() -> io::Error {
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
