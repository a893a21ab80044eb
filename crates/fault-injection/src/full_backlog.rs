//! A listener to which no connection comes up: its queue is full, so that the system drops what
//! asks to connect and is asked again a second later.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The system's table of connections, and its word for one that is asked for and not up.
const TABLE: &str = "/proc/net/tcp";
const SYN_SENT: &str = "02";

/// A listener that is held for good.
#[derive(Debug)]
pub struct FullBacklog {
    at: SocketAddr,
    /// Takes the only place in the queue.
    _filler: TcpStream,
}

impl FullBacklog {
    /// Holds a listener that nobody waits for.
    ///
    /// # Errors
    /// The system's, and where the listener is not on loopback.
    pub fn new(listener: &TcpListener) -> io::Result<FullBacklog> {
        let at = listener.local_addr()?;
        crate::loopback(at)?;
        rustix::net::listen(listener, 0)?;
        Ok(FullBacklog {
            at,
            _filler: TcpStream::connect(at)?,
        })
    }

    /// Whether somebody is asking for a connection to it.
    ///
    /// # Errors
    /// The system's.
    pub fn has_pending_connection(&self) -> io::Result<bool> {
        let port = format!(":{:04X}", self.at.port());
        let asking = |line: &str| {
            let mut words = line.split_whitespace().skip(2);
            words.next().is_some_and(|remote| remote.ends_with(&port))
                && words.next() == Some(SYN_SENT)
        };
        Ok(std::fs::read_to_string(TABLE)?.lines().any(asking))
    }
}
