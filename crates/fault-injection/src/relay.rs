//! Relays that carry one TCP link each and apply the schedule's faults to it.
//!
//! A relay listens on a port of the system's choice on 127.0.0.1 and forwards each connection to
//! one target, also on loopback. Bytes from the connecting end travel on the link `FROM->TO`,
//! responses on `TO->FROM`. Bytes that arrive during a cut are held and forwarded once the cut is
//! over, as TCP's retransmissions would, unless their sender has reset the connection meanwhile:
//! they are then lost, and the other end learns of the reset after the cut. Connections opened
//! during a cut are held without a response. A relay owns every socket it opens, and closes them
//! when it is dropped.

mod faults;
mod link;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;

pub use faults::Faults;
use link::TcpLink;

use crate::require_loopback;

/// Event counters of a relay's link.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections accepted.
    pub connections: AtomicU64,
    /// Connections refused or reset by a fault.
    pub resets: AtomicU64,
    /// Chunks of bytes held by a cut before they were forwarded.
    pub held: AtomicU64,
}

/// One link with faults. Dropping it stops its threads and closes its sockets.
pub struct Relay {
    /// The address to which the connecting end connects.
    pub address: SocketAddr,
    /// Event counters of the link.
    pub counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay from the end named `from` to the one named `to`, which listens at `target`.
    ///
    /// # Errors
    /// The target is not on a loopback address, or the listening socket cannot be opened.
    pub fn start(
        from: &str,
        to: &str,
        target: SocketAddr,
        faults: Arc<Faults>,
    ) -> std::io::Result<Relay> {
        require_loopback(target)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let counts = Arc::new(Counts::default());
        let stop = Arc::new(AtomicBool::new(false));
        let link = Arc::new(TcpLink {
            from: from.into(),
            to: to.into(),
            target,
            faults,
            counts: Arc::clone(&counts),
            stop: Arc::clone(&stop),
        });
        let thread = std::thread::spawn(move || link.accept(&listener));
        Ok(Relay {
            address,
            counts,
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
