//! A relay for the datagrams between two proxies, under the schedule's faults.
//!
//! One UDP socket on 127.0.0.1 is placed between the two and forwards the datagrams of each to the
//! other. Each proxy is configured with the relay's address for the other and receives the other's
//! datagrams from it, so that the proxies' check that a datagram comes from an address in `peers`
//! passes. The relay owns its socket and its thread, which end when it is dropped.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::fault::DatagramAction;
use crate::relay::Faults;
use crate::require_loopback;

/// How long the relay waits for a datagram before it looks at the delayed ones and the stop flag.
const READ_TIMEOUT: Duration = Duration::from_millis(5);
/// The longest datagram that is relayed whole, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// The number of datagrams affected by each fault.
#[derive(Debug, Default)]
pub struct DatagramCounts {
    /// Datagrams received.
    pub received: AtomicU64,
    /// Datagrams dropped by a fault.
    pub dropped: AtomicU64,
    /// Datagrams sent twice.
    pub duplicated: AtomicU64,
    /// Datagrams held back until the next one had been sent.
    pub reordered: AtomicU64,
}

/// One end of a datagram relay.
#[derive(Clone, Debug)]
pub struct DatagramEndpoint {
    /// Name of the end in links.
    pub name: String,
    /// Address at which the end sends and receives.
    pub address: SocketAddr,
}

/// The relay between two proxies.
pub struct DatagramRelay {
    /// Address to which both proxies send.
    pub address: SocketAddr,
    /// The number of datagrams affected by each fault.
    pub counts: Arc<DatagramCounts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DatagramRelay {
    /// Relays datagrams between two ends on loopback. `seed` determines which datagrams are
    /// affected by a fault that has a probability.
    ///
    /// # Errors
    /// An address is not a loopback address, or the socket cannot be opened.
    pub fn start(
        ends: [DatagramEndpoint; 2],
        faults: Arc<Faults>,
        seed: u64,
    ) -> std::io::Result<DatagramRelay> {
        for end in &ends {
            require_loopback(end.address)?;
        }
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let address = socket.local_addr()?;
        let counts = Arc::new(DatagramCounts::default());
        let stop = Arc::new(AtomicBool::new(false));
        let forwarder = Forwarder {
            socket,
            ends,
            faults,
            counts: Arc::clone(&counts),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            delayed: BinaryHeap::new(),
            sequence: 0,
            held_back: None,
        };
        let is_stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || forwarder.run(&is_stopped));
        Ok(DatagramRelay {
            address,
            counts,
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A datagram and its destination.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Outgoing {
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// A datagram to be sent later. The order of the fields is the order of sending; datagrams of the
/// same moment are sent in the order in which they came.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delayed {
    due: Instant,
    sequence: u64,
    datagram: Outgoing,
}

/// The state of the relay's thread.
struct Forwarder {
    socket: UdpSocket,
    ends: [DatagramEndpoint; 2],
    faults: Arc<Faults>,
    counts: Arc<DatagramCounts>,
    random: Xoshiro256PlusPlus,
    delayed: BinaryHeap<Reverse<Delayed>>,
    sequence: u64,
    held_back: Option<Outgoing>,
}

impl Forwarder {
    fn run(mut self, stop: &AtomicBool) {
        let mut buffer = [0u8; MAX_DATAGRAM];
        while !stop.load(Ordering::Relaxed) {
            self.send_due();
            if let Ok((length, source)) = self.socket.recv_from(&mut buffer) {
                self.forward(source, &buffer[..length]);
            }
        }
    }

    /// Sends the delayed datagrams that are due.
    fn send_due(&mut self) {
        while let Some(Reverse(next)) = self.delayed.peek() {
            if next.due > Instant::now() {
                break;
            }
            let Reverse(next) = self.delayed.pop().expect("peeked");
            self.send(&next.datagram);
        }
    }

    /// A datagram that cannot be sent is lost, as on a network.
    fn send(&self, datagram: &Outgoing) {
        let _ = self.socket.send_to(&datagram.bytes, datagram.to);
    }

    /// Forwards a datagram from one end to the other as the schedule requires; ignores one from any
    /// other address.
    fn forward(&mut self, source: SocketAddr, bytes: &[u8]) {
        let [first, second] = &self.ends;
        let (from, to) = if source == first.address {
            (first, second)
        } else if source == second.address {
            (second, first)
        } else {
            return;
        };
        self.counts.received.fetch_add(1, Ordering::Relaxed);
        let (jitter, chance) = (self.random.random::<f64>(), self.random.random::<f64>());
        let action = self.faults.datagram(&from.name, &to.name, jitter, chance);
        let datagram = Outgoing {
            to: to.address,
            bytes: bytes.to_vec(),
        };
        match action {
            DatagramAction::Drop => {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
            DatagramAction::Duplicate => {
                self.counts.duplicated.fetch_add(1, Ordering::Relaxed);
                self.send(&datagram);
                self.send(&datagram);
            }
            DatagramAction::Reorder if self.held_back.is_none() => {
                self.counts.reordered.fetch_add(1, Ordering::Relaxed);
                self.held_back = Some(datagram);
                return;
            }
            DatagramAction::Delay(delay) => {
                self.sequence += 1;
                self.delayed.push(Reverse(Delayed {
                    due: Instant::now() + delay,
                    sequence: self.sequence,
                    datagram,
                }));
            }
            DatagramAction::Pass | DatagramAction::Reorder => self.send(&datagram),
        }
        if let Some(held_back) = self.held_back.take() {
            self.send(&held_back);
        }
    }
}

#[cfg(test)]
mod tests;
