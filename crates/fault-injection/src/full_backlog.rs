//! A listener whose accept queue is full, so that connection attempts to it hang.
//!
//! The kernel drops the SYN of a new connection while the queue is full, and the client's kernel
//! retransmits it, the first time after 1 s.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The kernel's table of TCP sockets.
const SOCKET_TABLE: &str = "/proc/net/tcp";
/// The state of a connection in that table whose SYN has not been acknowledged.
const SYN_SENT: &str = "02";

/// A listener whose accept queue stays full for as long as this exists.
#[derive(Debug)]
pub struct FullBacklog {
    address: SocketAddr,
    /// Occupies the only place in the queue.
    _connection: TcpStream,
}

impl FullBacklog {
    /// Fills the accept queue of a listener on which no one calls `accept`.
    ///
    /// # Errors
    /// The listener is not on a loopback address, or the system rejects an operation.
    pub fn new(listener: &TcpListener) -> io::Result<FullBacklog> {
        let address = listener.local_addr()?;
        crate::require_loopback(address)?;
        rustix::net::listen(listener, 0)?;
        Ok(FullBacklog {
            address,
            _connection: TcpStream::connect(address)?,
        })
    }

    /// Whether a connection attempt to the listener is pending.
    ///
    /// # Errors
    /// The kernel's table cannot be read.
    pub fn has_pending_connection(&self) -> io::Result<bool> {
        let port = format!(":{:04X}", self.address.port());
        let is_pending = |line: &str| {
            let mut columns = line.split_whitespace().skip(2);
            columns.next().is_some_and(|remote| remote.ends_with(&port))
                && columns.next() == Some(SYN_SENT)
        };
        let table = std::fs::read_to_string(SOCKET_TABLE)?;
        Ok(table.lines().any(is_pending))
    }
}
