//! A listener whose accept queue is full, so that connection attempts to it hang.
//!
//! The system drops the SYN of a new connection while the queue is full, and the client's system
//! repeats it, the first time after 1 s.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

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
        crate::loopback(address)?;
        rustix::net::listen(listener, 0)?;
        Ok(FullBacklog {
            address,
            _connection: TcpStream::connect(address)?,
        })
    }

    /// Whether a connection attempt to the listener is pending.
    ///
    /// # Errors
    /// The system's table cannot be read.
    pub fn has_pending_connection(&self) -> io::Result<bool> {
        crate::socket_table::is_connecting(self.address)
    }
}
