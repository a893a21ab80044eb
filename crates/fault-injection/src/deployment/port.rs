//! Reserves a port so that no other process on the machine takes it before its server listens.

use std::net::SocketAddr;
use std::os::fd::OwnedFd;

use rustix::net::sockopt::set_socket_reuseport;
use rustix::net::{AddressFamily, SocketType};

/// A reserved port of 127.0.0.1. It is released when the descriptor is dropped.
#[derive(Debug)]
pub struct ReservedPort {
    /// The address with the port.
    pub address: SocketAddr,
    /// The bound socket, which does not listen.
    pub descriptor: OwnedFd,
}

/// Binds a port of the system's choice on 127.0.0.1 without listening, with `SO_REUSEPORT`, so that
/// only a server that sets that option too can listen there.
///
/// # Errors
/// No loopback port is free.
pub fn reserve_port() -> std::io::Result<ReservedPort> {
    let descriptor = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    set_socket_reuseport(&descriptor, true)?;
    rustix::net::bind(&descriptor, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = SocketAddr::try_from(rustix::net::getsockname(&descriptor)?)
        .map_err(|_| std::io::Error::other("not an internet address"))?;
    Ok(ReservedPort {
        address,
        descriptor,
    })
}
