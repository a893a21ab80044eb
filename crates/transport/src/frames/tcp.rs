//! Links over TCP. Each is one task, which reads and writes; a peer without power is found by the
//! system's probes.

use std::collections::BTreeMap;
use std::io;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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
use super::hello::HELLO_MOST;
use super::queue::OutgoingQueue;
use super::{
    Hello, LinkError, LinkErrorKind, LinkEvent, LinkId, LinkOptions, LinkPhase, MessageTransport,
    SendError, Sent, decode, encode,
};
use crate::sockets;

/// After an accept that failed, the next waits this long.
const PAUSE: Duration = Duration::from_millis(20);

type Reader = FramedRead<OwnedReadHalf, FrameCodec>;
type Writer = FramedWrite<OwnedWriteHalf, FrameCodec>;

/// What of a link its owner and its task share.
struct Shared {
    queue: Mutex<(OutgoingQueue, bool)>,
    /// There is something to write, or it is to be closed.
    wake: Notify,
}

impl Shared {
    fn new(options: &LinkOptions) -> Arc<Self> {
        Arc::new(Shared {
            queue: Mutex::new((OutgoingQueue::new(options.queue), false)),
            wake: Notify::new(),
        })
    }

    fn with<T>(&self, look: impl FnOnce(&mut OutgoingQueue, &mut bool) -> T) -> T {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let (frames, closing) = &mut *queue;
        look(frames, closing)
    }

    /// The next frame to write; none once the link is to be closed.
    async fn next(&self, writer: &mut Writer) -> Result<Option<Vec<u8>>, LinkErrorKind> {
        loop {
            match self.with(|frames, closing| (frames.pop(), *closing)) {
                (Some(frame), _) => return Ok(Some(frame)),
                (None, true) => return Ok(None),
                (None, false) => {}
            }
            // All that was there is on its way before more is waited for.
            futures_util::SinkExt::<Vec<u8>>::flush(writer).await?;
            self.wake.notified().await;
        }
    }
}

/// An event on its way from a link's task.
enum Report<M> {
    Accepted(LinkId, Arc<Shared>),
    Event(LinkEvent<M>),
}

/// What the tasks of all links share.
struct Context<M> {
    hello: Hello,
    options: LinkOptions,
    reports: mpsc::Sender<Report<M>>,
    numbers: AtomicU64,
}

impl<M> Context<M> {
    fn number(&self) -> LinkId {
        LinkId(self.numbers.fetch_add(1, Ordering::Relaxed))
    }

    async fn report(&self, event: LinkEvent<M>) {
        // Nobody hears it where the transport has been dropped.
        let _ = self.reports.send(Report::Event(event)).await;
    }
}

/// Links over TCP. Dropping it breaks them all off.
pub struct TcpTransport<M> {
    address: SocketAddr,
    context: Arc<Context<M>>,
    reports: mpsc::Receiver<Report<M>>,
    links: BTreeMap<LinkId, Arc<Shared>>,
    accepting: JoinHandle<()>,
    message: PhantomData<M>,
}

impl<M: Serialize + DeserializeOwned + Send + 'static> TcpTransport<M> {
    /// Listens at an address; greets as `hello` says.
    ///
    /// # Errors
    /// The system's; and where the greeting's names are too long.
    pub fn listen(at: SocketAddr, hello: Hello, options: LinkOptions) -> io::Result<Self> {
        hello.frame().map_err(io::Error::other)?;
        let listener = sockets::listen(at)?;
        let address = listener.local_addr()?;
        let (sender, reports) = mpsc::channel(options.max_waiting_events.max(1));
        let context = Arc::new(Context {
            hello,
            options,
            reports: sender,
            numbers: AtomicU64::new(1),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&context)));
        let (links, message) = Default::default();
        Ok(TcpTransport {
            address,
            context,
            reports,
            links,
            accepting,
            message,
        })
    }
}

impl<M> Drop for TcpTransport<M> {
    fn drop(&mut self) {
        // The tasks of its links end as nobody hears them any more.
        self.accepting.abort();
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> MessageTransport for TcpTransport<M> {
    type Message = M;

    fn local_address(&self) -> SocketAddr {
        self.address
    }

    fn connect(&mut self, peer: SocketAddr) -> LinkId {
        let (link, shared) = (self.context.number(), Shared::new(&self.context.options));
        self.links.insert(link, Arc::clone(&shared));
        tokio::spawn(dial(link, peer, shared, Arc::clone(&self.context)));
        link
    }

    fn send(&mut self, link: LinkId, message: &M) -> Result<Sent, SendError> {
        let shared = self.links.get(&link).ok_or(SendError::NoLink)?;
        let frame = encode(message, self.context.options.max_frame_bytes)?;
        let dropped = shared
            .with(|frames, _| frames.push(frame))
            .map_err(|_| SendError::Full)?;
        shared.wake.notify_one();
        Ok(Sent { dropped })
    }

    fn close(&mut self, link: LinkId) {
        if let Some(shared) = self.links.remove(&link) {
            shared.with(|_, closing| *closing = true);
            shared.wake.notify_one();
        }
    }

    async fn next(&mut self) -> LinkEvent<M> {
        loop {
            // The transport itself holds a sender.
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
            let open = match &event {
                LinkEvent::Up { link, .. } | LinkEvent::Message { link, .. } => {
                    self.links.contains_key(link)
                }
                LinkEvent::Down { link, .. } => self.links.remove(link).is_some(),
            };
            // This side has closed it in the meantime.
            if open {
                return event;
            }
        }
    }
}

async fn accept<M: DeserializeOwned + Send + 'static>(
    listener: TcpListener,
    context: Arc<Context<M>>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Guards against spinning where descriptors have run out.
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let (link, shared) = (context.number(), Shared::new(&context.options));
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let _ = context
                .reports
                .send(Report::Accepted(link, Arc::clone(&shared)))
                .await;
            run(link, peer, stream, false, shared, context).await;
        });
    }
}

async fn dial<M: DeserializeOwned + Send + 'static>(
    link: LinkId,
    peer: SocketAddr,
    shared: Arc<Shared>,
    context: Arc<Context<M>>,
) {
    let cause = match timeout(context.options.connect_timeout, TcpStream::connect(peer)).await {
        Ok(Ok(stream)) => return run(link, peer, stream, true, shared, context).await,
        Ok(Err(error)) => error.into(),
        Err(_) => LinkErrorKind::TimedOut,
    };
    let error = LinkError {
        step: LinkPhase::Connect,
        peer,
        cause,
    };
    context.report(LinkEvent::Down { link, error }).await;
}

/// Greets, then reads and writes until the link ends.
async fn run<M: DeserializeOwned + Send + 'static>(
    link: LinkId,
    peer: SocketAddr,
    stream: TcpStream,
    dialed: bool,
    shared: Arc<Shared>,
    context: Arc<Context<M>>,
) {
    let failed = |step| move |cause| LinkError { step, peer, cause };
    // What fails here is found on reading.
    let _ = sockets::set_peer_timeout(&stream, context.options.silence_timeout);
    let (reads, writes) = stream.into_split();
    let mut reader = FramedRead::new(reads, FrameCodec { most: HELLO_MOST });
    let mut writer = FramedWrite::new(
        writes,
        FrameCodec {
            most: context.options.max_frame_bytes.max(HELLO_MOST),
        },
    );
    let greeted = timeout(
        context.options.connect_timeout,
        greet(&mut reader, &mut writer, &context.hello),
    )
    .await;
    let hello = match greeted.unwrap_or(Err(LinkErrorKind::TimedOut)) {
        Ok(hello) => hello,
        Err(cause) => {
            let error = failed(LinkPhase::Greet)(cause);
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
    reader.decoder_mut().most = context.options.max_frame_bytes;
    let error = tokio::select! {
        biased;
        cause = read(link, &mut reader, &context) => failed(LinkPhase::Read)(cause),
        written = write(&mut writer, &shared) => match written {
            Ok(()) => return read_out(&mut reader, context.options.connect_timeout).await,
            Err(cause) => failed(LinkPhase::Write)(cause),
        },
        () = context.reports.closed() => return,
    };
    context.report(LinkEvent::Down { link, error }).await;
}

/// Both greetings: ours goes out before theirs is read.
async fn greet(
    reader: &mut Reader,
    writer: &mut Writer,
    ours: &Hello,
) -> Result<Hello, LinkErrorKind> {
    writer.send(ours.frame()?).await?;
    let frame = match reader.next().await {
        Some(frame) => frame?,
        None => return Err(LinkErrorKind::Closed),
    };
    Ok(ours.check(&frame)?)
}

/// Passes messages on until none comes any more; why.
async fn read<M: DeserializeOwned>(
    link: LinkId,
    reader: &mut Reader,
    context: &Context<M>,
) -> LinkErrorKind {
    loop {
        let frame = match reader.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(cause)) => return cause,
            None => return LinkErrorKind::Closed,
        };
        match decode(&frame) {
            Ok(message) => context.report(LinkEvent::Message { link, message }).await,
            Err(error) => return error.into(),
        }
    }
}

/// Writes what is to be written until the link is to be closed.
async fn write(writer: &mut Writer, shared: &Shared) -> Result<(), LinkErrorKind> {
    while let Some(frame) = shared.next(writer).await? {
        writer.feed(frame).await?;
    }
    futures_util::SinkExt::<Vec<u8>>::close(writer).await
}

/// Reads to the end what nobody wants any more. Guards what was written last: the system resets a
/// connection that is closed with bytes unread.
async fn read_out(reader: &mut Reader, most: Duration) {
    let _ = timeout(most, async {
        while let Some(Ok(_)) = reader.next().await {}
    })
    .await;
}
