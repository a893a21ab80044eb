//! Factories of the transports under test.

use std::net::SocketAddr;

use ironmast_transport::frames::{
    Hello, LinkOptions, MemoryNetwork, MemoryTransport, MessageTransport, TcpTransport,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A type that can be sent as a message.
pub(crate) trait Message: Serialize + DeserializeOwned + Send + 'static {}
impl<M: Serialize + DeserializeOwned + Send + 'static> Message for M {}

/// Makes transports that can reach each other.
pub(crate) trait TransportFactory {
    /// The transport that the factory makes.
    type Transport<M: Message>: MessageTransport<Message = M>;

    /// Starts a process at an address of its own.
    fn listen<M: Message>(&mut self, hello: Hello, options: LinkOptions) -> Self::Transport<M>;

    /// An address where no process listens.
    fn unused_address(&mut self) -> SocketAddr;
}

/// Makes TCP transports on the loopback interface.
#[derive(Default)]
pub(crate) struct TcpFactory;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

impl TransportFactory for TcpFactory {
    type Transport<M: Message> = TcpTransport<M>;

    fn listen<M: Message>(&mut self, hello: Hello, options: LinkOptions) -> TcpTransport<M> {
        TcpTransport::listen(any_port(), hello, options).expect("a port is free")
    }

    fn unused_address(&mut self) -> SocketAddr {
        let taken = std::net::TcpListener::bind(any_port()).expect("a port is free");
        taken.local_addr().expect("bound")
    }
}

/// Makes transports of one in-memory network without delays.
#[derive(Default)]
pub(crate) struct MemoryFactory {
    network: MemoryNetwork,
    nodes: u8,
}

impl MemoryFactory {
    fn address(&mut self) -> SocketAddr {
        self.nodes += 1;
        SocketAddr::from(([10, 0, 0, self.nodes], 1))
    }
}

impl TransportFactory for MemoryFactory {
    type Transport<M: Message> = MemoryTransport<M>;

    fn listen<M: Message>(&mut self, hello: Hello, options: LinkOptions) -> MemoryTransport<M> {
        let at = self.address();
        self.network.listen(at, hello, options)
    }

    fn unused_address(&mut self) -> SocketAddr {
        self.address()
    }
}
