//! The driver of one node's overlay: passes events of connections, clock and owner to the overlay
//! and performs the resulting actions.

#[cfg(test)]
mod tests;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ironmast_overlay::{Action, Descriptor, Event, Message, Overlay, Settings};
use ironmast_schema::control::Entry;
use ironmast_transport::log_limit::LogLimit;
use ironmast_transport::tasks::Tasks;
use slog::{Logger, debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::Command;
use crate::connection::{self, ConnectionEvent, ConnectionId, EventSender};
use crate::connection_table::ConnectionTable;

/// Maximum number of events that wait for the driver; at this number, connections stop reading.
const MAX_PENDING_EVENTS: usize = 256;

/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Duration of the timer while the overlay has not requested one.
const IDLE_TIMER: Duration = Duration::from_secs(3_600);

/// The overlay of one node with its connections, its timer and the channels to its owner.
struct Driver {
    clock: Instant,
    overlay: Overlay,
    connections: ConnectionTable,
    last_connection: ConnectionId,
    /// Time since `clock` at which the overlay has requested an [`Event::Timer`], if it has.
    timer: Option<Duration>,
    events: EventSender,
    updates: mpsc::UnboundedSender<Entry>,
    log: Logger,
    /// The tasks of the connections; they end when the driver is dropped.
    tasks: Tasks,
    accept_errors: LogLimit,
    decoding_errors: LogLimit,
}

/// Runs the node until the owner drops its handle.
pub(crate) async fn run(
    listener: TcpListener,
    local_node: Descriptor,
    mut commands: mpsc::UnboundedReceiver<Command>,
    updates: mpsc::UnboundedSender<Entry>,
    log: Logger,
) {
    let (event_sender, mut events) = mpsc::channel(MAX_PENDING_EVENTS);
    let mut driver = Driver::new(local_node, event_sender, updates, log);
    driver.handle(Event::Timer);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => driver.on_command(command),
                None => return,
            },
            Some(event) = events.recv() => driver.on_connection_event(event),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => driver.accept(stream),
                Err(error) => {
                    driver.log_accept_error(&error);
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
            () = tokio::time::sleep_until(driver.wake_at().into()) => {
                driver.timer = None;
                driver.handle(Event::Timer);
            }
        }
    }
}

impl Driver {
    fn new(
        local_node: Descriptor,
        events: EventSender,
        updates: mpsc::UnboundedSender<Entry>,
        log: Logger,
    ) -> Driver {
        let clock = Instant::now();
        let seed = rand::random();
        Driver {
            clock,
            overlay: Overlay::new(local_node, Settings::default(), seed, clock.elapsed()),
            connections: ConnectionTable::default(),
            last_connection: 0,
            timer: None,
            events,
            updates,
            tasks: Tasks::new(&log),
            log,
            accept_errors: LogLimit::default(),
            decoding_errors: LogLimit::default(),
        }
    }

    fn log_accept_error(&mut self, error: &io::Error) {
        if let Some(suppressed) = self.accept_errors.admit(Instant::now()) {
            warn!(self.log, "cannot accept a connection"; "error" => %error, "suppressed" => suppressed);
        }
    }

    /// Logs that a peer has sent a message or entry that this version of the program cannot decode.
    fn log_decoding_error(&mut self, peer: Option<SocketAddr>, error: &dyn fmt::Display) {
        if let Some(suppressed) = self.decoding_errors.admit(Instant::now()) {
            let peer = peer.map(|peer| peer.to_string());
            warn!(
                self.log, "cannot decode a message of the overlay";
                "peer" => peer, "error" => %error, "suppressed" => suppressed
            );
        }
    }

    fn wake_at(&self) -> Instant {
        self.clock + self.timer.unwrap_or(IDLE_TIMER)
    }

    fn on_command(&mut self, command: Command) {
        self.handle(match command {
            Command::Publish {
                key,
                version,
                payload,
            } => Event::Publish {
                key,
                version,
                payload,
            },
            Command::Remove { key, version } => Event::Remove { key, version },
            Command::SetSeeds(seeds) => Event::Seeds(seeds),
            Command::SetInContact(in_contact) => Event::InContact(in_contact),
            Command::Leave => Event::Leave,
        });
    }

    fn on_connection_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Established { peer, id, queue } => {
                if self.connections.add(peer, id, queue) {
                    self.handle(Event::Connected(peer));
                }
            }
            ConnectionEvent::Received { peer, id, message } => {
                if self.connections.contains(peer, id) {
                    let from = peer;
                    self.handle(Event::Message { from, message });
                }
            }
            ConnectionEvent::Closed { peer, id } => {
                if self.connections.remove(peer, id) {
                    self.handle(Event::Disconnected(peer));
                }
            }
            ConnectionEvent::Undecodable { peer, error } => {
                self.log_decoding_error(Some(peer), &format_args!("{error:#}"));
            }
            ConnectionEvent::ConnectFailed { peer } => self.handle(Event::Disconnected(peer)),
        }
    }

    /// Passes an event to the overlay and performs the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.overlay
            .handle(self.clock.elapsed(), event, &mut actions);
        for action in actions {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Connect(peer) => self.connect(peer),
            Action::Disconnect(peer) => self.connections.close(peer),
            Action::Changed {
                payload: Some(payload),
                ..
            } => self.report_update(&payload),
            Action::Changed { payload: None, .. } => {}
            Action::Timer(at) => self.timer = Some(at),
        }
    }

    /// Sends a message. A peer that does not read is disconnected; the overlay treats it as failed
    /// and connects to it again later.
    fn send(&mut self, to: SocketAddr, message: Message) {
        if let Err(error) = self.connections.send(to, message) {
            debug!(self.log, "disconnecting a peer that does not read"; "peer" => %to, "error" => %error);
            self.connections.close(to);
            self.handle(Event::Disconnected(to));
        }
    }

    /// Passes an entry that has changed to the owner.
    fn report_update(&mut self, payload: &[u8]) {
        match postcard::from_bytes(payload) {
            Ok(entry) => drop(self.updates.send(entry)),
            Err(error) => self.log_decoding_error(None, &error),
        }
    }

    fn connect(&mut self, peer: SocketAddr) {
        let id = self.next_connection();
        let local_address = self.overlay.node().address;
        let events = self.events.clone();
        // The task ends when the driver drops the connection's queue or the peer closes the
        // connection, and reports its end as an event.
        let connection = connection::open(peer, id, local_address, events);
        self.tasks.spawn("overlay connection", connection);
    }

    fn accept(&mut self, stream: TcpStream) {
        let id = self.next_connection();
        // The task ends as in `connect`.
        let connection = connection::accept(stream, id, self.events.clone());
        self.tasks.spawn("overlay connection", connection);
    }

    fn next_connection(&mut self) -> ConnectionId {
        self.last_connection += 1;
        self.last_connection
    }
}
