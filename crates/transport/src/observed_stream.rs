//! TCP streams that report their traffic to an observer and hold a descriptor permit.
//!
//! A stream whose reader does not read can still be watched, so that the disconnect of a client is
//! noticed while its request is handled: bytes that arrive meanwhile are kept for the reader up to
//! [`MAX_UNREAD_BYTES`] and discarded beyond.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::descriptors::DescriptorPermit;

/// The most bytes that are kept for a reader that does not read.
const MAX_UNREAD_BYTES: usize = 128 * 1024;
/// The most bytes that [`UnreadWatch`] reads at once.
const UNREAD_CHUNK_BYTES: usize = 16 * 1024;

/// Observes the traffic of one stream.
pub trait StreamObserver: Unpin {
    /// Called before bytes are written; an error fails the write.
    ///
    /// # Errors
    /// The reason why nothing may be written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }
    /// Called after bytes have been written, with their number.
    fn on_write(&self, _bytes: usize) {}
    /// Returns how many bytes may be read. With zero, the reader sees the end of the stream. While
    /// pending, bytes stay in the socket; the observer wakes the task once they may be read.
    fn poll_read_allowance(&self, _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(usize::MAX)
    }
    /// Called with bytes that have been read.
    fn on_read(&self, _bytes: &[u8]) {}
    /// Called when a read found no bytes in the socket.
    fn on_read_would_block(&self) {}
    /// Called when a read finds that the peer has closed the connection, or fails.
    fn on_end(&self) {}
}

/// A TCP stream, and the bytes that were read from it before its reader asked for them.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    unread: BytesMut,
    /// Whether bytes that followed `unread` have been discarded.
    discarded: bool,
}

impl Socket {
    /// Reads at most `max_bytes` bytes, those in `unread` first.
    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let bytes = self.unread.len().min(max_bytes).min(buf.remaining());
            buf.put_slice(&self.unread.split_to(bytes));
            return Poll::Ready(Ok(()));
        }
        // What follows the discarded bytes must not be read as a request: the reader sees the end of
        // the stream.
        if self.discarded {
            return Poll::Ready(Ok(()));
        }
        if buf.remaining() <= max_bytes {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut limited))?;
        let bytes = limited.filled().len();
        buf.advance(bytes);
        Poll::Ready(Ok(()))
    }

    /// Reads bytes that the reader has not asked for, and keeps them for it while there is space.
    fn read_unread(&mut self) -> io::Result<UnreadBytes> {
        let mut chunk = [0; UNREAD_CHUNK_BYTES];
        let space = if self.discarded {
            0
        } else {
            MAX_UNREAD_BYTES.saturating_sub(self.unread.len())
        };
        let max_bytes = if space > 0 {
            space.min(UNREAD_CHUNK_BYTES)
        } else {
            UNREAD_CHUNK_BYTES
        };
        let bytes = self.stream.try_read(&mut chunk[..max_bytes])?;
        if bytes == 0 {
            return Ok(UnreadBytes::Ended);
        }
        if space == 0 {
            self.discarded = true;
            return Ok(UnreadBytes::Discarded);
        }
        self.unread.extend_from_slice(&chunk[..bytes]);
        Ok(UnreadBytes::Kept)
    }
}

/// The outcome of reading from a stream on behalf of a reader that does not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadBytes {
    /// The bytes are kept for the reader.
    Kept,
    /// The bytes exceed the limit and are discarded. The reader sees the end of the stream before
    /// them.
    Discarded,
    /// The peer has closed the connection.
    Ended,
}

/// Watches an [`ObservedStream`] for bytes that its reader does not read. Must be polled in the
/// reader's task.
pub struct UnreadWatch(Weak<RefCell<Socket>>);

impl UnreadWatch {
    /// Waits until bytes arrive, or the stream ends, while the reader does not read. `is_enabled` is
    /// called at each poll; while it returns false, all bytes are left to the reader.
    pub async fn next(&self, is_enabled: impl Fn() -> bool) -> UnreadBytes {
        poll_fn(|cx| {
            let Some(socket) = self.0.upgrade().filter(|_| is_enabled()) else {
                return Poll::Pending;
            };
            loop {
                let ready = ready!(socket.borrow().stream.poll_read_ready(cx));
                match ready.and_then(|()| socket.borrow_mut().read_unread()) {
                    Ok(unread) => return Poll::Ready(unread),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return Poll::Ready(UnreadBytes::Ended),
                }
            }
        })
        .await
    }
}

/// A TCP stream that holds a descriptor permit and reports to a [`StreamObserver`].
pub struct ObservedStream<T> {
    socket: Rc<RefCell<Socket>>,
    /// Receives the reports.
    pub observer: T,
    _permit: DescriptorPermit,
}

impl<T> ObservedStream<T> {
    /// Wraps a stream and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream, observer: T, permit: DescriptorPermit) -> Self {
        // The connection works without this option, only slower.
        let _ = stream.set_nodelay(true);
        let socket = Socket {
            stream,
            unread: BytesMut::new(),
            discarded: false,
        };
        ObservedStream {
            socket: Rc::new(RefCell::new(socket)),
            observer,
            _permit: permit,
        }
    }

    /// Makes dropping the stream reset the connection instead of closing it in order: bytes that the
    /// peer has not acknowledged by then are discarded.
    pub fn reset_on_drop(&self) {
        // This fails only where the connection, and with it what was to be sent, has already ended.
        let _ = self.socket.borrow().stream.set_zero_linger();
    }

    /// Returns a watch for bytes that arrive while the reader does not read; it must be polled in the
    /// reader's task.
    pub fn watch_unread(&self) -> UnreadWatch {
        UnreadWatch(Rc::downgrade(&self.socket))
    }
}

impl<T> std::fmt::Debug for ObservedStream<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.socket.fmt(f)
    }
}

impl<T: StreamObserver> AsyncRead for ObservedStream<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = ready!(self.observer.poll_read_allowance(cx));
        if max_bytes == 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = self.socket.borrow_mut().poll_read(cx, buf, max_bytes);
        let bytes = &buf.filled()[before..];
        match &polled {
            Poll::Ready(Ok(())) if !bytes.is_empty() => self.observer.on_read(bytes),
            Poll::Ready(Ok(())) if self.socket.borrow().discarded => {}
            Poll::Ready(_) => self.observer.on_end(),
            Poll::Pending => self.observer.on_read_would_block(),
        }
        polled
    }
}

impl<T: StreamObserver> AsyncWrite for ObservedStream<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.may_write()?;
        let polled = Pin::new(&mut self.socket.borrow_mut().stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.observer.on_write(bytes);
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_shutdown(cx)
    }
}

impl<T: StreamObserver> ActixStream for ObservedStream<T> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket.borrow().stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket.borrow().stream, cx)
    }
}

#[cfg(test)]
mod tests;
