//! The connections of one relay: accepted, connected to the target and forwarded under the faults.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::{Counts, Faults};
use crate::fault::Action;

/// How often a held chunk or a blocked read looks at the schedule and the stop flag again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the target may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the largest chunk that is forwarded at once, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;
/// Makes the random numbers of the responses differ from those of the requests.
const RESPONSE_SEED: u64 = 0x5eed;

/// What the threads of a relay share.
pub(super) struct TcpLink {
    pub(super) from: String,
    pub(super) to: String,
    pub(super) target: SocketAddr,
    pub(super) faults: Arc<Faults>,
    pub(super) counts: Arc<Counts>,
    pub(super) stop: Arc<AtomicBool>,
}

/// One direction of a connection.
struct Direction<'a> {
    /// The names of the ends, as in links.
    from: &'a str,
    to: &'a str,
    source: Arc<TcpStream>,
    sink: Arc<TcpStream>,
}

impl Direction<'_> {
    /// Ends the connection with a reset in both directions.
    fn reset(&self) {
        reset(&self.source);
        reset(&self.sink);
    }
}

/// What to do with a chunk once the faults no longer hold it.
enum ForwardDecision {
    Forward,
    /// The relay is stopping.
    Stop,
    Reset,
    /// The sender has reset the connection while a cut held the chunk, which is lost with it.
    SenderReset,
}

/// Whether the peer of a socket has reset the connection since this was last asked.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(rustix::net::sockopt::socket_error(stream), Ok(Ok(())))
}

/// Makes the end of a socket a reset instead of an orderly close.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

impl TcpLink {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Accepts connections until the relay stops, then waits for their threads.
    pub(super) fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut connections = Vec::new();
        let mut seed = 0u64;
        while !self.is_stopped() {
            let Ok((client, _)) = listener.accept() else {
                // No connection is waiting, or no descriptor is free for it yet.
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            self.counts.connections.fetch_add(1, Ordering::Relaxed);
            seed += 1;
            let link = Arc::clone(&self);
            connections.push(std::thread::spawn(move || link.connect(client, seed)));
            connections.retain(|connection: &JoinHandle<()>| !connection.is_finished());
        }
        for connection in connections {
            let _ = connection.join();
        }
    }

    /// Connects an accepted connection to the target as the faults allow, and forwards both ways.
    fn connect(self: Arc<Self>, client: TcpStream, seed: u64) {
        // A connection that is opened during a cut is held until the cut or the run is over.
        while self.faults.action(&self.from, &self.to, 0.0) == Action::Blackhole {
            if self.is_stopped() {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        if was_reset(&client) {
            // The bytes that wait in it are lost.
            return reset(&client);
        }
        let action = self.faults.action(&self.from, &self.to, 0.0);
        if matches!(action, Action::Reset | Action::Refuse) {
            self.counts.resets.fetch_add(1, Ordering::Relaxed);
            return reset(&client);
        }
        let Ok(server) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            return reset(&client);
        };
        self.forward_both_ways(client, server, seed);
    }

    /// Forwards both directions until either end closes the connection.
    fn forward_both_ways(self: Arc<Self>, client: TcpStream, server: TcpStream, seed: u64) {
        // Both directions share the sockets: a clone would be a descriptor of its own.
        let (client, server) = (Arc::new(client), Arc::new(server));
        let has_ended = Arc::new(AtomicBool::new(false));
        let requests = {
            let (link, has_ended) = (Arc::clone(&self), Arc::clone(&has_ended));
            let (source, sink) = (Arc::clone(&client), Arc::clone(&server));
            std::thread::spawn(move || {
                let direction = Direction {
                    from: &link.from,
                    to: &link.to,
                    source,
                    sink,
                };
                link.forward(&direction, &has_ended, seed);
            })
        };
        let responses = Direction {
            from: &self.to,
            to: &self.from,
            source: server,
            sink: client,
        };
        self.forward(&responses, &has_ended, seed ^ RESPONSE_SEED);
        let _ = requests.join();
    }

    /// Forwards the bytes of one direction until either end closes the connection.
    fn forward(&self, direction: &Direction<'_>, has_ended: &AtomicBool, seed: u64) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let _ = direction.source.set_read_timeout(Some(POLL_INTERVAL));
        let mut chunk = vec![0u8; CHUNK_SIZE];
        while !self.is_stopped() && !has_ended.load(Ordering::Relaxed) {
            let length = match (&*direction.source).read(&mut chunk) {
                Ok(0) => {
                    // An orderly close is forwarded as one, after the bytes before it.
                    let _ = direction.sink.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => length,
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            match self.await_decision(direction, length, &mut random) {
                ForwardDecision::Forward => {}
                ForwardDecision::Stop => return,
                ForwardDecision::Reset => {
                    self.counts.resets.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                ForwardDecision::SenderReset => break,
            }
            if (&*direction.sink).write_all(&chunk[..length]).is_err() {
                break;
            }
        }
        // A failure of one end is passed on to the other: the connection is reset in both directions.
        has_ended.store(true, Ordering::Relaxed);
        direction.reset();
    }

    /// Waits for as long as the faults hold or delay a chunk of that length.
    fn await_decision(
        &self,
        direction: &Direction<'_>,
        length: usize,
        random: &mut Xoshiro256PlusPlus,
    ) -> ForwardDecision {
        let mut is_held = false;
        let mut is_reset = false;
        loop {
            is_reset |= is_held && was_reset(&direction.source);
            let jitter = random.random::<f64>();
            match self.faults.action(direction.from, direction.to, jitter) {
                Action::Blackhole if self.is_stopped() => return ForwardDecision::Stop,
                Action::Blackhole => {
                    if !is_held {
                        self.counts.held.fetch_add(1, Ordering::Relaxed);
                        is_held = true;
                    }
                    std::thread::sleep(POLL_INTERVAL);
                }
                _ if is_reset => return ForwardDecision::SenderReset,
                Action::Reset => return ForwardDecision::Reset,
                Action::Delay(delay) => {
                    std::thread::sleep(delay);
                    return ForwardDecision::Forward;
                }
                Action::Rate(bytes_per_s) => {
                    std::thread::sleep(Duration::from_secs_f64(length as f64 / bytes_per_s));
                    return ForwardDecision::Forward;
                }
                Action::Pass | Action::Refuse => return ForwardDecision::Forward,
            }
        }
    }
}
