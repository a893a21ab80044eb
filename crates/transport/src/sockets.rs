//! Listening sockets, datagram sockets, and the socket options that detect a dead peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::net::{AddressFamily, SocketType, sockopt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

/// Length of the kernel's queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 4096;

/// Interval between keepalive probes on an idle connection: the shortest that the kernel allows.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest number of unanswered keepalive probes that the kernel accepts (`TCP_KEEPCNT`).
const MAX_KEEPALIVE_PROBES: u32 = 127;

/// Opens a listening TCP socket. The address may be shared with a process that runs beside this
/// one, so that a restart loses no connection.
///
/// # Errors
/// The operating system's error from creating, binding or listening.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Without SO_REUSEPORT, a second process cannot bind the address; this one still works.
    let _ = socket.set_reuseport(true);
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Binds a UDP socket. The address may be shared with a process that runs beside this one.
///
/// # Errors
/// The operating system's error from creating or binding the socket.
pub fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket(family, SocketType::DGRAM, None)?;
    // Without SO_REUSEPORT, a second process cannot bind the address; this one still works.
    let _ = sockopt::set_socket_reuseport(&socket, true);
    rustix::net::bind(&socket, &address)?;
    let socket = std::net::UdpSocket::from(socket);
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Disables Nagle's algorithm, and makes the kernel end the connection once the peer has
/// acknowledged nothing for `timeout` (`TCP_USER_TIMEOUT` and TCP keepalive). A peer that loses
/// power sends no FIN or RST, so only this detects it. Keepalive times are in whole seconds.
///
/// # Errors
/// The operating system's error from the first option that cannot be set; the connection remains
/// usable without it.
pub fn set_peer_timeout(stream: &tokio::net::TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let milliseconds = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, milliseconds)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    let probes = u32::try_from(timeout.as_secs())
        .unwrap_or(MAX_KEEPALIVE_PROBES)
        .clamp(1, MAX_KEEPALIVE_PROBES);
    sockopt::set_tcp_keepcnt(stream, probes)?;
    Ok(())
}
