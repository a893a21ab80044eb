//! The budget of descriptors, and streams that give theirs back when dropped.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Descriptors that are not connections: standard streams, poller, listeners, watch and the like.
const APART: usize = 32;
/// Of all connections, in percent, those of clients; the rest is for pay servers.
const CLIENTS: usize = 60;
/// Below this part of a share free, idle connections are closed.
const SCARCE: usize = 8;

/// Closes idle connections.
type Trim = Box<dyn Fn()>;

/// Counts the connections of one share.
#[derive(Clone)]
pub struct Budget {
    /// How many there are.
    pub size: usize,
    left: Rc<Cell<usize>>,
    scarce: usize,
    returned: Rc<Notify>,
    trim: Rc<RefCell<Vec<Trim>>>,
}

impl Budget {
    /// The shares of clients and of pay servers in a program that may hold `limit` descriptors. Guards the
    /// way to the pay servers against hundreds of clients, and the other way round.
    pub fn shares(limit: usize) -> (Self, Self) {
        let all = limit.saturating_sub(APART).max(2);
        let clients = (all * CLIENTS / 100).max(1);
        (Budget::new(clients), Budget::new(all - clients))
    }

    fn new(size: usize) -> Self {
        let left = Rc::new(Cell::new(size));
        Budget { size, left, scarce: size / SCARCE, returned: Rc::default(), trim: Rc::default() }
    }

    /// Names something that closes idle connections when descriptors run short.
    pub fn when_scarce(&self, trim: impl Fn() + 'static) {
        self.trim.borrow_mut().push(Box::new(trim));
    }

    /// Takes one, if there is one; near the end idle connections are closed first.
    pub fn take(&self) -> Option<Slot> {
        if self.left.get() <= self.scarce {
            self.trim.borrow().iter().for_each(|trim| trim());
        }
        self.left.set(self.left.get().checked_sub(1)?);
        Some(Slot(self.clone()))
    }

    /// Waits until one comes back.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }
}

/// One descriptor of the budget, given back on drop and nowhere else.
pub struct Slot(Budget);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.left.set(self.0.left.get() + 1);
        self.0.returned.notify_one();
    }
}

/// Watches the traffic of one stream.
pub trait Tap: Unpin {
    /// Asked before bytes are written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }
    /// So many were written.
    fn wrote(&self, _bytes: usize) {}
    /// Bytes have been read.
    fn got(&self) {}
    /// The other side has closed.
    fn ended(&self) {}
}

/// A TCP stream that holds a descriptor of the budget and tells a [`Tap`].
pub struct Tapped<T> {
    stream: TcpStream,
    /// What watches it.
    pub tap: T,
    _slot: Slot,
}

impl<T> Tapped<T> {
    /// Wraps a stream; small messages leave at once.
    pub fn new(stream: TcpStream, tap: T, slot: Slot) -> Self {
        // Failing leaves a working, slower connection.
        let _ = stream.set_nodelay(true);
        Tapped { stream, tap, _slot: slot }
    }
}

impl<T> std::fmt::Debug for Tapped<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl<T: Tap> AsyncRead for Tapped<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let closed = matches!(polled, Poll::Ready(Ok(())) if buf.filled().len() == before);
        if closed || matches!(polled, Poll::Ready(Err(_))) {
            self.tap.ended();
        } else if polled.is_ready() {
            self.tap.got();
        }
        polled
    }
}

impl<T: Tap> AsyncWrite for Tapped<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.tap.may_write()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = polled {
            self.tap.wrote(bytes);
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

impl<T: Tap> ActixStream for Tapped<T> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
