//! The sockets that stay open until the process exits: newly opened, or inherited from the
//! predecessor.

use std::net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket};

use eyre::{Result, WrapErr as _};
use ironmast_transport::sockets;
use tokio::net::{TcpListener, UdpSocket};

use crate::config::Config;

/// The listening and datagram sockets of a process.
pub(super) struct Sockets {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The socket for the peers' datagrams, if there are peers.
    pub datagrams: Option<UdpSocket>,
    /// The listener for operator commands, if they are enabled.
    pub operators: Option<TcpListener>,
}

impl Sockets {
    /// Opens all sockets of a process that has no predecessor.
    ///
    /// # Errors
    /// If a socket can't be bound.
    pub(super) fn open(config: &Config) -> Result<Sockets> {
        let operators = config.ops.map(listen).transpose()?;
        let listener = listen(config.listen)?;
        let datagrams = config.peer_listen.map(bind_datagrams).transpose()?;
        Ok(Sockets {
            listener,
            datagrams,
            operators,
        })
    }

    /// Uses the sockets that a predecessor passed, and opens the others. Operators always get a new
    /// listener.
    ///
    /// # Errors
    /// If a passed socket can't be registered or another one can't be bound.
    pub(super) fn inherit(
        config: &Config,
        listener: StdTcpListener,
        datagrams: Option<StdUdpSocket>,
    ) -> Result<Sockets> {
        let operators = config.ops.map(listen).transpose()?;
        let listener = TcpListener::from_std(listener)
            .wrap_err_with(|| format!("inheriting the listener on {}", config.listen))?;
        let datagrams = match datagrams {
            Some(socket) => {
                Some(UdpSocket::from_std(socket).wrap_err("inheriting the datagram socket")?)
            }
            None => config.peer_listen.map(bind_datagrams).transpose()?,
        };
        Ok(Sockets {
            listener,
            datagrams,
            operators,
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    sockets::listen(address).wrap_err_with(|| format!("listening on {address}"))
}

fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket> {
    sockets::bind_datagrams(address).wrap_err_with(|| format!("binding datagrams to {address}"))
}
