//! The system's table of TCP sockets over IPv4, `/proc/net/tcp`: what the two ends of a connection know
//! of each other.

use std::io;
use std::net::{IpAddr, SocketAddr};

/// Where the system shows the table.
const PATH: &str = "/proc/net/tcp";
/// The state of a connection of which neither end has been closed, as far as this end knows.
const ESTABLISHED: &str = "01";
/// The state of a connection whose SYN has not been acknowledged.
const SYN_SENT: &str = "02";

/// Whether the system has a socket at `local` connected to `remote` that neither end has closed, as
/// far as `local` knows.
///
/// # Errors
/// The table cannot be read.
pub fn is_established(local: SocketAddr, remote: SocketAddr) -> io::Result<bool> {
    let (local, remote) = (table_form(local), table_form(remote));
    any_socket(|socket| {
        socket.local == local && socket.remote == remote && socket.state == ESTABLISHED
    })
}

/// Whether a connection to this address on loopback is being attempted.
///
/// # Errors
/// The table cannot be read.
pub fn is_connecting(remote: SocketAddr) -> io::Result<bool> {
    let remote = table_form(remote);
    any_socket(|socket| socket.remote == remote && socket.state == SYN_SENT)
}

/// One row of the table.
struct Socket<'a> {
    local: &'a str,
    remote: &'a str,
    state: &'a str,
}

/// Whether the table has a socket of this kind.
fn any_socket(is_wanted: impl Fn(&Socket<'_>) -> bool) -> io::Result<bool> {
    let table = std::fs::read_to_string(PATH)?;
    let mut sockets = table.lines().skip(1).filter_map(socket);
    Ok(sockets.any(|socket| is_wanted(&socket)))
}

/// Reads a row: the columns are a number, the local address, the remote address, the state and more.
fn socket(row: &str) -> Option<Socket<'_>> {
    let mut columns = row.split_whitespace().skip(1);
    Some(Socket {
        local: columns.next()?,
        remote: columns.next()?,
        state: columns.next()?,
    })
}

/// An IPv4 address as the table has it: the address in the machine's byte order, and the port, both
/// hexadecimal. The table has no IPv6 address.
fn table_form(address: SocketAddr) -> String {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u32::from_ne_bytes(ip.octets()),
        IpAddr::V6(_) => return String::new(),
    };
    format!("{ip:08X}:{:04X}", address.port())
}
