//! Drives the overlay: its events come from connections, the clock and the owner; its actions go to
//! connections.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{Result, bail};
use ironmast_overlay::{Action, Descriptor, Event, Message, Overlay, Settings};
use ironmast_schema::control::Entry;
use ironmast_transport::link;
use slog::{Logger, debug};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::Command;
use crate::connections::{ConnectionId, Connections, Frame};
use crate::queue::{Queue, queue};

/// A connection must come up within this, and tell who opened it.
const CONNECT: Duration = Duration::from_secs(1);
/// What was sent before a connection is closed must have left within this.
const FLUSH: Duration = Duration::from_secs(1);
/// What connections may tell before the driver has heard it; then they read no more.
const TOLD_MOST: usize = 256;
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What a connection tells the driver.
#[derive(Debug)]
enum Told {
    Opened(SocketAddr, ConnectionId, Queue),
    Received(SocketAddr, ConnectionId, Message),
    Closed(SocketAddr, ConnectionId),
    Failed(SocketAddr),
}

type Tell = mpsc::Sender<Told>;

/// A number that is higher at each start: the time of day in ms.
pub(crate) fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Everything that one node's driver holds.
struct Driver {
    clock: Instant,
    overlay: Overlay,
    own: SocketAddr,
    connections: Connections,
    next_connection: ConnectionId,
    timer: Option<Duration>,
    tell: Tell,
    news: mpsc::UnboundedSender<Entry>,
    log: Logger,
}

/// Runs until the owner drops its handle.
pub(crate) async fn run(
    listener: TcpListener,
    me: Descriptor,
    mut commands: mpsc::UnboundedReceiver<Command>,
    news: mpsc::UnboundedSender<Entry>,
    log: Logger,
) {
    let clock = Instant::now();
    let (tell, mut told) = mpsc::channel(TOLD_MOST);
    let own = me.address;
    let overlay = Overlay::new(me, Settings::default(), rand::random(), clock.elapsed());
    let (connections, next_connection, timer) = Default::default();
    let mut driver = Driver {
        clock,
        overlay,
        own,
        connections,
        next_connection,
        timer,
        tell,
        news,
        log,
    };
    driver.handle(Event::Timer);
    loop {
        let timer = driver
            .timer
            .map_or(clock + Duration::from_secs(3_600), |at| clock + at);
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => driver.command(command),
                None => return,
            },
            Some(told) = told.recv() => driver.told(told),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => driver.accepted(stream),
                Err(_) => tokio::time::sleep(PAUSE).await,
            },
            () = tokio::time::sleep_until(timer.into()) => {
                driver.timer = None;
                driver.handle(Event::Timer);
            }
        }
    }
}

impl Driver {
    fn command(&mut self, command: Command) {
        match command {
            Command::Publish(key, version, payload) => self.handle(Event::Publish {
                key,
                version,
                payload,
            }),
            Command::Remove(key, version) => self.handle(Event::Remove { key, version }),
            Command::Seeds(seeds) => self.handle(Event::Seeds(seeds)),
            Command::InContact(in_contact) => self.handle(Event::InContact(in_contact)),
            Command::Leave => self.handle(Event::Leave),
        }
    }

    fn told(&mut self, told: Told) {
        match told {
            Told::Opened(peer, id, queue) => {
                if self.connections.add(peer, id, queue) {
                    self.handle(Event::Connected(peer));
                }
            }
            Told::Received(from, id, message) => {
                if self.connections.holds(from, id) {
                    self.handle(Event::Message { from, message });
                }
            }
            Told::Closed(peer, id) => {
                if self.connections.remove(peer, id) {
                    self.handle(Event::Disconnected(peer));
                }
            }
            Told::Failed(peer) => self.handle(Event::Disconnected(peer)),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.overlay
            .handle(self.clock.elapsed(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Lets go of a peer that doesn't read; it is connected to again as to one that has failed.
    fn send(&mut self, to: SocketAddr, message: Message) {
        if !self.connections.send(to, message) {
            debug!(self.log, "a peer does not read"; "peer" => %to);
            self.connections.close(to);
            self.handle(Event::Disconnected(to));
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Connect(to) => self.connect(to),
            Action::Disconnect(peer) => self.connections.close(peer),
            Action::Changed {
                payload: Some(payload),
                ..
            } => self.tell_news(&payload),
            Action::Changed { payload: None, .. } => {}
            Action::Timer(at) => self.timer = Some(at),
        }
    }

    fn tell_news(&self, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(entry) => drop(self.news.send(entry)),
            Err(error) => debug!(self.log, "an entry can't be read"; "why" => %error),
        }
    }

    fn connect(&mut self, to: SocketAddr) {
        let (id, tell, own) = (self.number(), self.tell.clone(), self.own);
        actix_rt::spawn(async move {
            if open(to, id, own, &tell).await.is_err() {
                let _ = tell.send(Told::Failed(to)).await;
            }
        });
    }

    fn accepted(&mut self, stream: TcpStream) {
        let (id, tell) = (self.number(), self.tell.clone());
        actix_rt::spawn(async move { drop(accept(stream, id, &tell).await) });
    }

    fn number(&mut self) -> ConnectionId {
        self.next_connection += 1;
        self.next_connection
    }
}

/// Opens a connection and serves it to its end; an error only where it never came up.
async fn open(to: SocketAddr, id: ConnectionId, own: SocketAddr, tell: &Tell) -> Result<()> {
    let (receiver, mut sender) = link::connect::<Frame, Frame>(to, CONNECT).await?;
    sender.send(&Frame::Hello(own)).await?;
    serve(to, id, receiver, sender, tell).await;
    Ok(())
}

async fn accept(stream: TcpStream, id: ConnectionId, tell: &Tell) -> Result<()> {
    let (mut receiver, sender) = link::split::<Frame, Frame>(stream)?;
    let Ok(hello) = tokio::time::timeout(CONNECT, receiver.next()).await else {
        bail!("no hello")
    };
    let Some(Frame::Hello(peer)) = hello? else {
        bail!("no hello")
    };
    serve(peer, id, receiver, sender, tell).await;
    Ok(())
}

/// Serves a connection until it ends on either side.
async fn serve(
    peer: SocketAddr,
    id: ConnectionId,
    mut receiver: link::Receiver<Frame>,
    mut sender: link::Sender<Frame>,
    tell: &Tell,
) {
    let (to, mut queue, closed) = queue();
    let _ = tell.send(Told::Opened(peer, id, to)).await;
    let sending = async {
        // Ends once the driver has let go of the connection and everything queued has left.
        while let Some(message) = queue.next().await {
            sender.send(&Frame::Message(message)).await?;
        }
        Ok::<(), eyre::Report>(())
    };
    let receiving = async {
        while let Some(Frame::Message(message)) = receiver.next().await? {
            let _ = tell.send(Told::Received(peer, id, message)).await;
        }
        Ok::<(), eyre::Report>(())
    };
    let flushed = async {
        closed.await;
        tokio::time::sleep(FLUSH).await;
    };
    tokio::select! {
        _ = sending => {}
        _ = receiving => {}
        () = flushed => {}
    }
    let _ = tell.send(Told::Closed(peer, id)).await;
}
