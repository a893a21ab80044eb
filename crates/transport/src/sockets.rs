//! The budget of descriptors, and streams that give theirs back when dropped.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use bytes::BytesMut;
use rustix::net::{AddressFamily, SocketType, sockopt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::Notify;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 4096;
/// Of all connections, in percent, those of clients; the rest is for servers.
const CLIENTS: usize = 60;
/// Below this part of a share free, idle connections are closed.
const SCARCE: usize = 8;

/// Of bytes that their reader leaves unread, so many are kept for it.
const KEPT_MOST: usize = 128 * 1024;
/// They are taken in parts of this size.
const UNREAD_PART: usize = 16 * 1024;

/// A connection on which nothing is under way is probed this often: the system's least.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The system's bound on unanswered probes.
const PROBES_MOST: u32 = 127;

/// Listens at the clients' address. A process that is started beside this one may listen there,
/// too.
///
/// # Errors
/// The system's.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = match at {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // A platform that refuses it has no second process; the first need not fail for that.
    let _ = socket.set_reuseport(true);
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Hears datagrams at an address, beside another process that may.
///
/// # Errors
/// The system's.
pub fn bind_datagrams(at: SocketAddr) -> io::Result<UdpSocket> {
    let family = if at.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket(family, SocketType::DGRAM, None)?;
    let _ = sockopt::set_socket_reuseport(&socket, true);
    rustix::net::bind(&socket, &at)?;
    let socket = std::net::UdpSocket::from(socket);
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Lets small messages leave at once, and has the system end the connection once its peer has
/// acknowledged nothing for `silence`: a peer without power says nothing. Probes go out in whole
/// seconds.
///
/// # Errors
/// The system's; the connection works on without what failed.
pub fn set_peer_timeout(stream: &tokio::net::TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let milliseconds = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, milliseconds)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    let probes = u32::try_from(silence.as_secs())
        .unwrap_or(PROBES_MOST)
        .clamp(1, PROBES_MOST);
    sockopt::set_tcp_keepcnt(stream, probes)?;
    Ok(())
}

/// Closes idle connections.
type Trim = Box<dyn Fn()>;

/// Counts the connections of one share.
#[derive(Clone)]
pub struct DescriptorBudget {
    whole: usize,
    /// How many there may be now, and how many there are.
    size: Rc<Cell<usize>>,
    used: Rc<Cell<usize>>,
    returned: Rc<Notify>,
    trim: Rc<RefCell<Vec<Trim>>>,
}

impl DescriptorBudget {
    /// The shares of clients and of servers in a program that may hold `limit` descriptors, of
    /// which `reserved` are no connections of either. Guards the way to the servers against hundreds
    /// of clients, and the other way round.
    #[must_use]
    pub fn split(limit: usize, reserved: usize) -> (Self, Self) {
        let all = limit.saturating_sub(reserved).max(2);
        let clients = (all * CLIENTS / 100).max(1);
        (
            DescriptorBudget::new(clients),
            DescriptorBudget::new(all - clients),
        )
    }

    /// A share of so many descriptors.
    #[must_use]
    pub fn new(whole: usize) -> Self {
        let (size, used) = (Rc::new(Cell::new(whole)), Rc::default());
        DescriptorBudget {
            whole,
            size,
            used,
            returned: Rc::default(),
            trim: Rc::default(),
        }
    }

    /// How many there may be now.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size.get()
    }

    /// Keeps to this part of the share, in percent, from now on. Idle connections beyond it are
    /// closed; those that are busy stay until they are done.
    pub async fn set_capacity_percent(&self, percent: u8) {
        self.size
            .set((self.whole * usize::from(percent) / 100).max(1));
        self.returned.notify_one();
        for _ in self.size.get()..self.used.get() {
            if self.used.get() <= self.size.get() {
                break;
            }
            self.trim.borrow().iter().for_each(|trim| trim());
            tokio::task::yield_now().await;
        }
    }

    /// Names something that closes idle connections when descriptors run short.
    pub fn on_pressure(&self, trim: impl Fn() + 'static) {
        self.trim.borrow_mut().push(Box::new(trim));
    }

    /// Takes one, if there is one; near the end idle connections are closed first.
    #[must_use]
    pub fn take(&self) -> Option<DescriptorPermit> {
        if self.used.get() + self.size.get() / SCARCE >= self.size.get() {
            self.trim.borrow().iter().for_each(|trim| trim());
        }
        if self.used.get() >= self.size.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// Waits until one comes back.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }
}

/// One descriptor of the budget, given back on drop and nowhere else.
pub struct DescriptorPermit(DescriptorBudget);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
        self.0.returned.notify_one();
    }
}

/// Watches the traffic of one stream.
pub trait StreamObserver: Unpin {
    /// Asked before bytes are written.
    fn may_write(&self) -> io::Result<()> {
        Ok(())
    }
    /// So many were written.
    fn wrote(&self, _bytes: usize) {}
    /// Asked before bytes are read, how many may be: none where the stream is to look as if it had
    /// ended. Pending where they are to be left for now; the observer wakes the task when they may
    /// be read.
    fn poll_may_read(&self, _cx: &mut Context<'_>) -> Poll<usize> {
        Poll::Ready(usize::MAX)
    }
    /// These have been read.
    fn got(&self, _bytes: &[u8]) {}
    /// No bytes are there to read at the moment.
    fn read_would_block(&self) {}
    /// The other side has closed.
    fn ended(&self) {}
}

/// A TCP stream, and what has been read of it ahead of its reader.
#[derive(Debug)]
struct Socket {
    stream: TcpStream,
    kept: BytesMut,
    /// What came behind that is lost.
    gap: bool,
}

impl Socket {
    /// Reads no more than `most` bytes.
    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<()>> {
        if !self.kept.is_empty() {
            let bytes = self.kept.len().min(most).min(buf.remaining());
            buf.put_slice(&self.kept.split_to(bytes));
            return Poll::Ready(Ok(()));
        }
        // Guards against what comes behind a gap being taken for a request.
        if self.gap {
            return Poll::Ready(Ok(()));
        }
        if buf.remaining() <= most {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buf.advance(bytes);
        Poll::Ready(Ok(()))
    }

    /// Takes bytes that nobody reads: keeps them for the reader while there is room.
    fn take_unread(&mut self) -> io::Result<Unread> {
        let mut part = [0; UNREAD_PART];
        let room = if self.gap {
            0
        } else {
            KEPT_MOST.saturating_sub(self.kept.len())
        };
        let most = if room > 0 {
            room.min(UNREAD_PART)
        } else {
            UNREAD_PART
        };
        let bytes = self.stream.try_read(&mut part[..most])?;
        if bytes == 0 {
            return Ok(Unread::Ended);
        }
        if room == 0 {
            self.gap = true;
            return Ok(Unread::ThrownAway);
        }
        self.kept.extend_from_slice(&part[..bytes]);
        Ok(Unread::Kept)
    }
}

/// What became of bytes that nobody read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// They wait for the reader.
    Kept,
    /// There were too many: they are lost. The stream ends before them for its reader.
    ThrownAway,
    /// The other side has closed.
    Ended,
}

/// Watches, in the task of its reader, a stream that may be left unread.
pub struct UnreadWatch(Weak<RefCell<Socket>>);

impl UnreadWatch {
    /// Waits until something has come that nobody reads. It is asked each time the task is polled
    /// whether that is to be looked at `now`: the reader comes first.
    pub async fn next(&self, now: impl Fn() -> bool) -> Unread {
        poll_fn(|cx| {
            let Some(socket) = self.0.upgrade().filter(|_| now()) else {
                return Poll::Pending;
            };
            loop {
                let ready = ready!(socket.borrow().stream.poll_read_ready(cx));
                match ready.and_then(|()| socket.borrow_mut().take_unread()) {
                    Ok(unread) => return Poll::Ready(unread),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return Poll::Ready(Unread::Ended),
                }
            }
        })
        .await
    }
}

/// A TCP stream that holds a descriptor of the budget and tells a [`StreamObserver`].
pub struct ObservedStream<T> {
    socket: Rc<RefCell<Socket>>,
    /// What watches it.
    pub observer: T,
    _slot: DescriptorPermit,
}

impl<T> ObservedStream<T> {
    /// Wraps a stream; small messages leave at once.
    pub fn new(stream: TcpStream, observer: T, slot: DescriptorPermit) -> Self {
        // Failing leaves a working, slower connection.
        let _ = stream.set_nodelay(true);
        let socket = Socket {
            stream,
            kept: BytesMut::new(),
            gap: false,
        };
        ObservedStream {
            socket: Rc::new(RefCell::new(socket)),
            observer,
            _slot: slot,
        }
    }

    /// Watches what nobody reads, in the same task.
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
        let most = ready!(self.observer.poll_may_read(cx));
        if most == 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = self.socket.borrow_mut().poll_read(cx, buf, most);
        let bytes = &buf.filled()[before..];
        match &polled {
            Poll::Ready(Ok(())) if !bytes.is_empty() => self.observer.got(bytes),
            Poll::Ready(Ok(())) if self.socket.borrow().gap => {}
            Poll::Ready(_) => self.observer.ended(),
            Poll::Pending => self.observer.read_would_block(),
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
            self.observer.wrote(bytes);
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
