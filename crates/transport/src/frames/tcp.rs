//! Links over TCP. One task per link reads and writes; TCP keepalive detects a peer that loses
//! power.
//!
//! When the transport is dropped, the channel of events closes, which ends the tasks of the links;
//! the accepting task is aborted.

use std::collections::BTreeMap;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite};

use super::codec::FrameCodec;
use super::hello::MAX_HELLO_BYTES;
use super::queue::OutgoingQueue;
use super::{
    Hello, LinkError, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    SendError, Sent, decode, encode,
};
use crate::sockets;

/// Delay before the next `accept` after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Reader = FramedRead<OwnedReadHalf, FrameCodec>;
type Writer = FramedWrite<OwnedWriteHalf, FrameCodec>;

/// The state that a link's owner and its task share.
struct LinkState {
    outgoing: Mutex<Outgoing>,
    /// Notified when a frame is queued or the link is to be closed.
    changed: Notify,
}

/// The output of a link that its task has yet to write.
struct Outgoing {
    queue: OutgoingQueue,
    /// The link is to be closed once the queue is empty.
    closing: bool,
}

impl LinkState {
    fn new(options: &LinkOptions) -> Arc<Self> {
        Arc::new(LinkState {
            outgoing: Mutex::new(Outgoing {
                queue: OutgoingQueue::new(options.queue),
                closing: false,
            }),
            changed: Notify::new(),
        })
    }

    fn outgoing(&self) -> MutexGuard<'_, Outgoing> {
        self.outgoing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the next frame, and returns it with whether the link is to be closed.
    fn pop(&self) -> (Option<Vec<u8>>, bool) {
        let mut outgoing = self.outgoing();
        (outgoing.queue.pop(), outgoing.closing)
    }

    /// Waits for the next frame to write; `None` once the queue is empty and the link is to be
    /// closed.
    async fn next(&self, writer: &mut Writer) -> Result<Option<Vec<u8>>, LinkErrorKind> {
        loop {
            match self.pop() {
                (Some(frame), _) => return Ok(Some(frame)),
                (None, true) => return Ok(None),
                (None, false) => {}
            }
            // Buffered frames are flushed before the task waits for more.
            futures_util::SinkExt::<Vec<u8>>::flush(writer).await?;
            self.changed.notified().await;
        }
    }
}

/// What the tasks report to the transport.
enum Report<M> {
    Accepted(LinkId, Arc<LinkState>),
    Event(LinkEvent<M>),
}

/// The state that the tasks of all links share.
struct Context<M> {
    hello: Hello,
    options: LinkOptions,
    reports: mpsc::Sender<Report<M>>,
    next_link: AtomicU64,
}

impl<M> Context<M> {
    fn next_link(&self) -> LinkId {
        LinkId(self.next_link.fetch_add(1, Ordering::Relaxed))
    }

    async fn report(&self, event: LinkEvent<M>) {
        // Sending fails only after the transport has been dropped.
        let _ = self.reports.send(Report::Event(event)).await;
    }
}

/// Links over TCP. Dropping the transport closes all of them.
pub struct TcpTransport<M> {
    address: SocketAddr,
    context: Arc<Context<M>>,
    reports: mpsc::Receiver<Report<M>>,
    links: BTreeMap<LinkId, Arc<LinkState>>,
    accept_task: JoinHandle<()>,
    message: PhantomData<M>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> TcpTransport<M> {
    /// Listens at an address. `hello` is this side's handshake on all links.
    ///
    /// # Errors
    /// The socket cannot be opened, or the handshake is too long.
    pub fn listen(address: SocketAddr, hello: Hello, options: LinkOptions) -> io::Result<Self> {
        hello.encode_frame().map_err(io::Error::other)?;
        let listener = sockets::listen(address)?;
        let address = listener.local_addr()?;
        let (sender, reports) = mpsc::channel(options.max_queued_events.max(1));
        let context = Arc::new(Context {
            hello,
            options,
            reports: sender,
            next_link: AtomicU64::new(1),
        });
        let accept_task = tokio::spawn(accept_links(listener, Arc::clone(&context)));
        Ok(TcpTransport {
            address,
            context,
            reports,
            links: BTreeMap::new(),
            accept_task,
            message: PhantomData,
        })
    }
}

impl<M> Drop for TcpTransport<M> {
    fn drop(&mut self) {
        // The tasks of the links end when the channel of reports closes.
        self.accept_task.abort();
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> MessageTransport for TcpTransport<M> {
    type Message = M;

    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn connect(&mut self, peer: SocketAddr) -> LinkId {
        let (link, shared) = (
            self.context.next_link(),
            LinkState::new(&self.context.options),
        );
        self.links.insert(link, Arc::clone(&shared));
        tokio::spawn(open_link(link, peer, shared, Arc::clone(&self.context)));
        link
    }

    fn send(&mut self, link: LinkId, message: &M) -> Result<Sent, SendError> {
        let shared = self.links.get(&link).ok_or(SendError::NoLink)?;
        let frame = encode(message, self.context.options.max_frame_bytes)?;
        let pushed = shared.outgoing().queue.push(frame);
        let dropped = pushed.map_err(|_| SendError::Full)?;
        shared.changed.notify_one();
        Ok(Sent { dropped })
    }

    fn close(&mut self, link: LinkId) {
        if let Some(shared) = self.links.remove(&link) {
            shared.outgoing().closing = true;
            shared.changed.notify_one();
        }
    }

    async fn next(&mut self) -> LinkEvent<M> {
        loop {
            // The channel stays open, because the transport itself holds a sender.
            let Some(report) = self.reports.recv().await else {
                std::future::pending().await
            };
            let event = match report {
                Report::Accepted(link, shared) => {
                    self.links.insert(link, shared);
                    continue;
                }
                Report::Event(event) => event,
            };
            let is_open = match &event {
                LinkEvent::Up { link, .. } | LinkEvent::Message { link, .. } => {
                    self.links.contains_key(link)
                }
                LinkEvent::Down { link, .. } => self.links.remove(link).is_some(),
            };
            // Events of a link that this side has closed are discarded.
            if is_open {
                return event;
            }
        }
    }
}

async fn accept_links<M: DeserializeOwned + Send + 'static>(
    listener: TcpListener,
    context: Arc<Context<M>>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Prevents a busy loop while the process has no file descriptors left.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (link, shared) = (context.next_link(), LinkState::new(&context.options));
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            // Sending fails only after the transport has been dropped.
            let _ = context
                .reports
                .send(Report::Accepted(link, Arc::clone(&shared)))
                .await;
            run_link(link, peer, stream, false, shared, context).await;
        });
    }
}

async fn open_link<M: DeserializeOwned + Send + 'static>(
    link: LinkId,
    peer: SocketAddr,
    shared: Arc<LinkState>,
    context: Arc<Context<M>>,
) {
    let kind = match timeout(context.options.connect_timeout, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => return run_link(link, peer, stream, true, shared, context).await,
        Ok(Err(error)) => error.into(),
        Err(_) => LinkErrorKind::TimedOut,
    };
    let error = LinkError {
        phase: LinkPhase::Connect,
        peer,
        kind,
    };
    context.report(LinkEvent::Down { link, error }).await;
}

/// Exchanges handshakes, then reads and writes until the link ends.
async fn run_link<M: DeserializeOwned + Send + 'static>(
    link: LinkId,
    peer: SocketAddr,
    stream: TcpStream,
    dialed: bool,
    shared: Arc<LinkState>,
    context: Arc<Context<M>>,
) {
    let error_in = |phase| move |kind| LinkError { phase, peer, kind };
    // A socket on which this fails also fails when it is read.
    let _ = sockets::set_peer_timeout(&stream, context.options.peer_timeout);
    let (reads, writes) = stream.into_split();
    let mut reader = FramedRead::new(
        reads,
        FrameCodec {
            max_bytes: MAX_HELLO_BYTES,
        },
    );
    let mut writer = FramedWrite::new(
        writes,
        FrameCodec {
            max_bytes: context.options.max_frame_bytes.max(MAX_HELLO_BYTES),
        },
    );
    let handshake = timeout(
        context.options.connect_timeout,
        exchange_handshakes(&mut reader, &mut writer, &context.hello),
    )
    .await;
    let hello = match handshake.unwrap_or(Err(LinkErrorKind::TimedOut)) {
        Ok(hello) => hello,
        Err(kind) => {
            let error = error_in(LinkPhase::Handshake)(kind);
            return context.report(LinkEvent::Down { link, error }).await;
        }
    };
    context
        .report(LinkEvent::Up {
            link,
            peer,
            hello,
            dialed,
        })
        .await;
    reader.decoder_mut().max_bytes = context.options.max_frame_bytes;
    let error = tokio::select! {
        biased;
        kind = read(link, &mut reader, &context) => error_in(LinkPhase::Read)(kind),
        written = write(&mut writer, &shared) => match written {
            Ok(()) => return discard_incoming(&mut reader, context.options.connect_timeout).await,
            Err(kind) => error_in(LinkPhase::Write)(kind),
        },
        () = context.reports.closed() => return,
    };
    context.report(LinkEvent::Down { link, error }).await;
}

/// Exchanges handshakes. This side's is written before the peer's is read.
async fn exchange_handshakes(
    reader: &mut Reader,
    writer: &mut Writer,
    ours: &Hello,
) -> Result<Hello, LinkErrorKind> {
    writer.send(ours.encode_frame()?).await?;
    let frame = match reader.next().await {
        Some(frame) => frame?,
        None => return Err(LinkErrorKind::Closed),
    };
    Ok(ours.check_peer(&frame)?)
}

/// Reports messages until reading fails, and returns why.
async fn read<M: DeserializeOwned>(
    link: LinkId,
    reader: &mut Reader,
    context: &Context<M>,
) -> LinkErrorKind {
    loop {
        let frame = match reader.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(kind)) => return kind,
            None => return LinkErrorKind::Closed,
        };
        match decode(&frame) {
            Ok(message) => context.report(LinkEvent::Message { link, message }).await,
            Err(error) => return error.into(),
        }
    }
}

/// Writes queued frames until the link is to be closed.
async fn write(writer: &mut Writer, shared: &LinkState) -> Result<(), LinkErrorKind> {
    while let Some(frame) = shared.next(writer).await? {
        writer.feed(frame).await?;
    }
    futures_util::SinkExt::<Vec<u8>>::close(writer).await
}

/// Reads and discards what still arrives on a closed link, until the peer closes it or the time
/// limit passes. The kernel resets a connection that is closed with unread bytes, and the peer
/// would lose the messages that were written last.
async fn discard_incoming(reader: &mut Reader, time_limit: Duration) {
    // The connection is closed afterwards, also if the time limit passes.
    let _ = timeout(time_limit, async {
        while let Some(Ok(_)) = reader.next().await {}
    })
    .await;
}
