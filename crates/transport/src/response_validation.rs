//! Validates the responses of a server before awc parses them.
//!
//! A [`ValidatingStream`] delivers the bytes of the response to the current request and no others.
//! Depending on the attempt's [`Delivery`](crate::attempt::Delivery) it either buffers a response
//! until it is complete and well-framed (one too long to be buffered is delivered as it arrives),
//! or delivers and validates each response as it arrives. That prevents the rest of one response
//! from being read as the response to the next request on the connection (request smuggling and
//! response desynchronisation), and clients from taking a truncated response for a complete one.
//!
//! [`validator`] makes the decisions, without I/O; this module does the I/O.

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

/// The size of one read, in bytes, while nothing of the response may be delivered yet.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A connection to a server that delivers only well-framed responses to the requests sent on it.
#[derive(Debug)]
pub struct ValidatingStream {
    /// `None` once the connection must not be reused and no response is being read: the connection
    /// is closed at once, even while awc still holds this value.
    stream: Option<ObservedStream<AttemptObserver>>,
    validator: ResponseValidator,
    /// The response arrived before the request was written completely: the rest of the request is
    /// discarded.
    answered_early: bool,
}

impl ValidatingStream {
    /// Wraps a newly opened connection.
    #[must_use]
    pub fn new(stream: ObservedStream<AttemptObserver>) -> Self {
        ValidatingStream {
            stream: Some(stream),
            validator: ResponseValidator::new(),
            answered_early: false,
        }
    }

    /// Closes the connection if it must not be reused and no response is being read from it.
    fn close_if_not_reusable(&mut self) {
        if self.validator.must_close() {
            self.stream = None;
        }
    }

    /// Reads from the connection; reports its end once it is closed.
    fn poll_stream(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Some(stream) => Pin::new(stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(())),
        }
    }

    /// Reads until some of the response may be delivered, then is `Ready`.
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
        let validated = self.validator.validate_streamed(&buf.filled()[before..]);
        self.close_if_not_reusable();
        match validated {
            Ok(Some(bytes)) => {
                buf.set_filled(before + bytes);
                Poll::Ready(Ok(()))
            }
            Ok(None) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Err(reason) => Poll::Ready(Err(self.reject(reason))),
        }
    }

    /// Looks for the response while the request cannot be written any further, as a server may
    /// reject a request without reading all of it. `Ready` once the response has arrived or can no
    /// longer arrive; no more of the request is written then.
    fn poll_early_response(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.validator.may_answer_early() {
            return Poll::Pending;
        }
        ready!(self.poll_deliverable(cx))?;
        self.answered_early = true;
        // The server would take the next request on this connection for the rest of this one.
        self.validator.forbid_reuse();
        self.close_if_not_reusable();
        Poll::Ready(Ok(()))
    }

    /// Reports to the attempt why its response is rejected, and returns the error for the reader.
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
        // The connection is idle. awc reads here before it reuses a connection, and drops the
        // connection if the read reports an end or any byte. Reporting an end thus prevents the
        // reuse of a connection that may hold the rest of a response.
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
            return Poll::Ready(Err(reuse_forbidden_error()));
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
        self.validator.record_request_written();
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
    /// Resets a connection whose request was abandoned. After an orderly close the kernel would go
    /// on sending what the server has not acknowledged. When a network partition heals, the server
    /// would then execute the request, possibly long after it executed a retry.
    fn drop(&mut self) {
        if let Some(stream) = &self.stream
            && self.validator.is_response_incomplete()
        {
            stream.reset_on_drop();
        }
    }
}

/// The error of a write to a connection that must not be reused.
fn reuse_forbidden_error() -> io::Error {
    io::Error::new(
        io::ErrorKind::NotConnected,
        "cannot write the request: the connection was closed because it must not be reused",
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
