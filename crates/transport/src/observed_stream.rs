//! TCP streams that report their traffic to an observer and hold a descriptor permit.
//!
//! The stream also notices bytes, and the end, that arrive while nobody reads: the bytes are kept
//! for the reader up to [`MAX_UNREAD_BYTES`] and discarded beyond, so that a client that
//! disconnects is noticed while its request is handled.

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

/// Bytes that arrive while nobody reads are kept up to this many.
const MAX_UNREAD_BYTES: usize = 128 * 1024;
/// They are read in chunks of at most this size.
const UNREAD_CHUNK_BYTES: usize = 16 * 1024;

/// Observes the traffic of one stream.
pub trait StreamObserver: Unpin {
    /// Called before bytes are written; an error fails the write.
    ///
    /// # Errors
    /// Where nothing may be written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }
    /// `bytes` bytes have been written.
    fn on_write(&self, _bytes: usize) {}
    /// Returns how many bytes may be read; none makes the stream look as if it had ended. While
    /// pending, bytes stay in the socket, and the observer wakes the task once they may be read.
    fn poll_read_allowance(&self, _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(usize::MAX)
    }
    /// These bytes have been read.
    fn on_read(&self, _bytes: &[u8]) {}
    /// The socket has no bytes to read at the moment.
    fn on_read_would_block(&self) {}
    /// The peer has closed the connection.
    fn on_end(&self) {}
}

/// A TCP stream with the bytes that were read of it ahead of its reader.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    unread: BytesMut,
    /// Bytes behind `unread` were discarded.
    discarded: bool,
}

impl Socket {
    /// Reads at most `max_bytes`.
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
        // Guards against what follows the discarded bytes being taken for a request.
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

    /// Reads bytes that the reader does not ask for, and keeps them for it while there is space.
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

/// What happened to bytes that arrived while nobody read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadBytes {
    /// They are kept for the reader.
    Kept,
    /// There were too many, and they are lost. For its reader the stream ends before them.
    Discarded,
    /// The peer has closed the connection.
    Ended,
}

/// Watches a stream that may be left unread, in the task of its reader.
pub struct UnreadWatch(Weak<RefCell<Socket>>);

impl UnreadWatch {
    /// Waits until bytes arrive that nobody reads. `is_enabled` is asked at each poll: while it is
    /// false, the reader comes first.
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
        // A failure leaves a connection that works, only slower.
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

    /// Makes the end of the stream a reset instead of an orderly close: what the peer has not
    /// acknowledged by then is never sent to it.
    pub fn reset_on_drop(&self) {
        // It fails only where the connection has ended already, and with it what was to be sent.
        let _ = self.socket.borrow().stream.set_zero_linger();
    }

    /// A watch for bytes that arrive while nobody reads; it must run in the reader's task.
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
