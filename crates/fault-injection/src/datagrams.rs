//! A relay for the datagrams between two proxies, under the schedule's faults.
//!
//! One UDP socket on 127.0.0.1 stands between the two: what comes from `a` goes to `b` (`A->B`),
//! what comes from `b` goes to `a`. Each proxy is given the relay's address for the other, and
//! hears the other from it, so the proxies' rule that a datagram comes from an address in `peers`
//! holds. The relay owns its socket and its thread; both are given back when it is dropped.

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
use crate::loopback;
use crate::relay::Faults;

/// A send that waits: when, in what order, to whom, what.
type Later = Reverse<(Instant, u64, SocketAddr, Vec<u8>)>;

/// What a datagram relay did, for the verdict.
#[derive(Debug, Default)]
pub struct DatagramCounts {
    /// Datagrams that came.
    pub came: AtomicU64,
    /// Lost by a fault.
    pub lost: AtomicU64,
    /// Datagrams sent twice.
    pub doubled: AtomicU64,
    /// Held behind a later one.
    pub reordered: AtomicU64,
}

/// The relay between two proxies.
pub struct DatagramRelay {
    /// Where both send to reach the other.
    pub address: SocketAddr,
    /// What it did.
    pub counts: Arc<DatagramCounts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DatagramRelay {
    /// Between `a` (named `a_name` in links) and `b`; both on loopback. `seed` draws the chances.
    ///
    /// # Errors
    /// A socket cannot be opened.
    pub fn start(
        (a_name, a): (&str, SocketAddr),
        (b_name, b): (&str, SocketAddr),
        faults: Arc<Faults>,
        seed: u64,
    ) -> std::io::Result<DatagramRelay> {
        loopback(a)?;
        loopback(b)?;
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let address = socket.local_addr()?;
        let (counts, stop) = (
            Arc::new(DatagramCounts::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let (c, s, names) = (
            Arc::clone(&counts),
            Arc::clone(&stop),
            (a_name.to_string(), b_name.to_string()),
        );
        let thread =
            std::thread::spawn(move || carry(&socket, (a, b), &names, &faults, &c, &s, seed));
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

fn carry(
    socket: &UdpSocket,
    (a, b): (SocketAddr, SocketAddr),
    (a_name, b_name): &(String, String),
    faults: &Faults,
    counts: &DatagramCounts,
    stop: &AtomicBool,
    seed: u64,
) {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut later: BinaryHeap<Later> = BinaryHeap::new();
    let mut held: Option<(SocketAddr, Vec<u8>)> = None;
    let (mut order, mut piece) = (0u64, [0u8; 2048]);
    while !stop.load(Ordering::Relaxed) {
        while let Some(Reverse((due, _, _, _))) = later.peek() {
            if *due > Instant::now() {
                break;
            }
            let Reverse((_, _, to, bytes)) = later.pop().expect("peeked");
            let _ = socket.send_to(&bytes, to);
        }
        let Ok((n, from)) = socket.recv_from(&mut piece) else {
            continue;
        };
        let (to, from_name, to_name) = match from {
            f if f == a => (b, a_name, b_name),
            f if f == b => (a, b_name, a_name),
            _ => continue,
        };
        counts.came.fetch_add(1, Ordering::Relaxed);
        let bytes = piece[..n].to_vec();
        let (draw, chance) = (random.random::<f64>(), random.random::<f64>());
        match faults.datagram(from_name, to_name, draw, chance) {
            DatagramAction::Drop => {
                counts.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            DatagramAction::Duplicate => {
                counts.doubled.fetch_add(1, Ordering::Relaxed);
                let _ = socket.send_to(&bytes, to);
                let _ = socket.send_to(&bytes, to);
            }
            DatagramAction::Reorder if held.is_none() => {
                counts.reordered.fetch_add(1, Ordering::Relaxed);
                held = Some((to, bytes));
                continue;
            }
            DatagramAction::Delay(wait) => {
                order += 1;
                later.push(Reverse((Instant::now() + wait, order, to, bytes)));
            }
            DatagramAction::Pass | DatagramAction::Reorder => {
                let _ = socket.send_to(&bytes, to);
            }
        }
        if let Some((to, bytes)) = held.take() {
            let _ = socket.send_to(&bytes, to);
        }
    }
}

#[cfg(test)]
mod tests;
