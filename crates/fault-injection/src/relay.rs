//! Relays that carry one TCP link each and put the schedule's faults on it.
//!
//! A relay listens on a port of the system's choice on 127.0.0.1 and forwards each connection to
//! one target, also on loopback. Bytes from the connecting side go `FROM->TO`, answers `TO->FROM`.
//! A cut holds what it meets (as TCP would keep retransmitting) and lets it pass once the cut is
//! over; connections that come during a cut are held unanswered. The relay owns every socket it
//! opens; all are given back when the [`Relay`] is dropped.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::fault::{Action, Fault, FaultError, Schedule};
use crate::loopback;

/// How often a held piece or a blocked read looks at the schedule and the stop flag again.
const LOOK: Duration = Duration::from_millis(10);

/// The faults of one run and the moment the run began, shared by all its relays.
#[derive(Debug)]
pub struct Faults {
    start: RwLock<Instant>,
    schedule: RwLock<Schedule>,
}

impl Faults {
    /// A run that begins now.
    #[must_use]
    pub fn new(schedule: Schedule) -> Arc<Faults> {
        Arc::new(Faults {
            start: RwLock::new(Instant::now()),
            schedule: RwLock::new(schedule),
        })
    }

    /// The run begins now: times of faults, of the load and of the record count from one moment.
    pub fn begin(&self, start: Instant) {
        *self.start.write().expect("not poisoned") = start;
    }

    /// Time since the run began, or since the stage was set up where it has not begun.
    pub fn elapsed(&self) -> Duration {
        self.start.read().expect("not poisoned").elapsed()
    }

    /// Sets a fault that begins now (`at_s` is ignored), as on an operator's call during a run.
    ///
    /// # Errors
    /// As for [`Schedule::push`].
    pub fn set(&self, mut fault: Fault) -> Result<(), FaultError> {
        fault.at_s = self.elapsed().as_secs_f64();
        self.schedule.write().expect("not poisoned").push(fault)
    }

    /// The faults that hold at `elapsed`, whatever their links.
    pub fn active_at(&self, elapsed: Duration) -> Vec<Fault> {
        let schedule = self.schedule.read().expect("not poisoned");
        let now = elapsed.as_secs_f64();
        schedule
            .faults()
            .iter()
            .filter(|f| f.is_active_at(now))
            .cloned()
            .collect()
    }

    /// What to do with a datagram from `from` to `to` now; see [`Schedule::datagram`].
    pub fn datagram(
        &self,
        from: &str,
        to: &str,
        draw: f64,
        chance: f64,
    ) -> crate::fault::DatagramAction {
        self.schedule
            .read()
            .expect("not poisoned")
            .datagram(from, to, self.elapsed(), draw, chance)
    }

    fn action(&self, from: &str, to: &str, draw: f64) -> Action {
        self.schedule
            .read()
            .expect("not poisoned")
            .action(from, to, self.elapsed(), draw)
    }
}

/// What a relay has seen, for the verdict.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections taken.
    pub connections: AtomicU64,
    /// Connections refused or reset by a fault.
    pub resets: AtomicU64,
    /// Pieces held by a cut before they passed.
    pub held: AtomicU64,
}

/// One link with faults. Dropping it stops its threads and closes its sockets.
pub struct Relay {
    /// Where the connecting side connects.
    pub address: SocketAddr,
    /// What it has seen.
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    accept: Option<JoinHandle<()>>,
}

struct Link {
    from: String,
    to: String,
    target: SocketAddr,
    faults: Arc<Faults>,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
}

impl Relay {
    /// A relay from `from` to `to` at `target`. Refuses a target off loopback.
    ///
    /// # Errors
    /// The listening socket cannot be opened.
    pub fn start(
        from: &str,
        to: &str,
        target: SocketAddr,
        faults: Arc<Faults>,
    ) -> std::io::Result<Relay> {
        loopback(target)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (counts, stop) = (
            Arc::new(Counts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let link = Arc::new(Link {
            from: from.into(),
            to: to.into(),
            target,
            faults,
            counts: Arc::clone(&counts),
            stop: Arc::clone(&stop),
        });
        let accept = std::thread::spawn(move || link.accept(&listener));
        Ok(Relay {
            address,
            counts,
            stop,
            accept: Some(accept),
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(accept) = self.accept.take() {
            let _ = accept.join();
        }
    }
}

/// Closes a socket with a reset rather than an orderly end.
fn reset(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Read);
}

impl Link {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        let mut pumps = Vec::new();
        let mut seed = 0u64;
        while !self.stopped() {
            let client = match listener.accept() {
                Ok((client, _)) => client,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(LOOK);
                    continue;
                }
                Err(_) => continue,
            };
            self.counts.connections.fetch_add(1, Ordering::Relaxed);
            seed += 1;
            let link = Arc::clone(&self);
            pumps.push(std::thread::spawn(move || link.carry(client, seed)));
            pumps.retain(|p: &JoinHandle<()>| !p.is_finished());
        }
        for pump in pumps {
            let _ = pump.join();
        }
    }

    /// Sets one connection up through the faults, then pumps both ways until either side ends.
    fn carry(self: Arc<Self>, client: TcpStream, seed: u64) {
        // A connection during a cut never comes up: held until the cut is over, or the run.
        while self.faults.action(&self.from, &self.to, 0.0) == Action::Blackhole {
            if self.stopped() {
                return;
            }
            std::thread::sleep(LOOK);
        }
        if matches!(
            self.faults.action(&self.from, &self.to, 0.0),
            Action::Reset | Action::Refuse
        ) {
            self.counts.resets.fetch_add(1, Ordering::Relaxed);
            return reset(&client);
        }
        let Ok(server) = TcpStream::connect_timeout(&self.target, Duration::from_secs(1)) else {
            return reset(&client);
        };
        let ended = Arc::new(AtomicBool::new(false));
        let (up, down) = match (client.try_clone(), server.try_clone()) {
            (Ok(c), Ok(s)) => ((c, s), (server, client)),
            _ => return,
        };
        let there = {
            let (link, ended) = (Arc::clone(&self), Arc::clone(&ended));
            std::thread::spawn(move || link.pump(&link.from, &link.to, up, &ended, seed))
        };
        self.pump(&self.to, &self.from, down, &ended, seed ^ 0x5eed);
        let _ = there.join();
    }

    /// Carries bytes from `source` to `sink` in the direction `from->to`.
    fn pump(
        &self,
        from: &str,
        to: &str,
        (mut source, mut sink): (TcpStream, TcpStream),
        ended: &AtomicBool,
        seed: u64,
    ) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let _ = source.set_read_timeout(Some(LOOK));
        let mut piece = vec![0u8; 16 * 1024];
        loop {
            if self.stopped() || ended.load(Ordering::Relaxed) {
                break;
            }
            let n = match source.read(&mut piece) {
                Ok(0) => {
                    // An orderly end passes on as one, in its turn behind what came before it.
                    let _ = sink.shutdown(Shutdown::Write);
                    return;
                }
                Ok(n) => n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    continue;
                }
                Err(_) => break,
            };
            let mut counted = false;
            loop {
                match self.faults.action(from, to, random.random::<f64>()) {
                    Action::Blackhole if !self.stopped() => {
                        if !counted {
                            self.counts.held.fetch_add(1, Ordering::Relaxed);
                            counted = true;
                        }
                        std::thread::sleep(LOOK);
                    }
                    Action::Blackhole => return,
                    Action::Reset => {
                        self.counts.resets.fetch_add(1, Ordering::Relaxed);
                        ended.store(true, Ordering::Relaxed);
                        reset(&source);
                        reset(&sink);
                        return;
                    }
                    Action::Wait(wait) => {
                        std::thread::sleep(wait);
                        break;
                    }
                    Action::Rate(rate) => {
                        std::thread::sleep(Duration::from_secs_f64(n as f64 / rate));
                        break;
                    }
                    Action::Pass | Action::Refuse => break,
                }
            }
            if sink.write_all(&piece[..n]).is_err() {
                break;
            }
        }
        // A side that broke breaks the other: the connection ends with a reset both ways.
        ended.store(true, Ordering::Relaxed);
        reset(&source);
        reset(&sink);
    }
}
