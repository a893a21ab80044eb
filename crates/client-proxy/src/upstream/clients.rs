//! Pool of HTTP clients (`awc`), one per server. A client owns the idle connections to its server;
//! dropping the client closes them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use ironmast_balancer::{Micros, ServerId};
use ironmast_transport::client::client;
use ironmast_transport::clock::Clock;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::response_validation::ValidatingStream;

/// Timeouts of connections to servers.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionTimeouts {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Time after which servers close an idle connection.
    pub server_keep_alive: Duration,
}

/// HTTP client of one server, with the clock reading of its last use.
struct ServerClient {
    address: SocketAddr,
    client: Client,
    last_used: Micros,
}

type ClientMap = BTreeMap<ServerId, ServerClient>;

/// HTTP clients of all servers, created on first use.
pub(super) struct Clients {
    timeouts: ConnectionTimeouts,
    clock: Clock,
    descriptors: DescriptorBudget,
    by_server: Rc<RefCell<ClientMap>>,
}

impl Clients {
    /// Creates an empty pool. When `descriptors` run short, it closes the idle connections of the
    /// least recently used server.
    pub(super) fn new(
        timeouts: ConnectionTimeouts,
        clock: Clock,
        descriptors: DescriptorBudget,
    ) -> Self {
        let clients: Rc<RefCell<ClientMap>> = Rc::default();
        let idle = Rc::downgrade(&clients);
        descriptors.on_pressure(move || {
            if let Some(clients) = idle.upgrade() {
                close_least_recently_used(&mut clients.borrow_mut());
            }
        });
        Clients {
            timeouts,
            clock,
            descriptors,
            by_server: clients,
        }
    }

    /// Returns the client of a server. A client that was created for another address is replaced.
    pub(super) fn get(&self, server: ServerId, address: SocketAddr) -> Client {
        let mut clients = self.by_server.borrow_mut();
        if clients
            .get(&server)
            .is_none_or(|client| client.address != address)
        {
            clients.insert(server, self.connect_to(address));
        }
        let client = clients
            .get_mut(&server)
            .expect("a missing client was inserted above");
        client.last_used = self.clock.now();
        client.client.clone()
    }

    fn connect_to(&self, address: SocketAddr) -> ServerClient {
        // Closes an idle connection well before the server does, so that no request is written
        // while the server's close is still in transit.
        let idle_timeout = self.timeouts.server_keep_alive / 2;
        let client = client(
            self.descriptors.clone(),
            self.timeouts.connect,
            idle_timeout,
            ValidatingStream::new,
        );
        ServerClient {
            address,
            client,
            last_used: 0,
        }
    }

    /// Closes the idle connections to a server.
    pub(super) fn close(&self, server: ServerId) {
        self.by_server.borrow_mut().remove(&server);
    }
}

/// Closes the idle connections of the least recently used server. Closing them for one server only
/// avoids having to reopen all connections at once.
fn close_least_recently_used(clients: &mut ClientMap) {
    let least_recent = clients
        .iter()
        .min_by_key(|(_, client)| client.last_used)
        .map(|(&server, _)| server);
    if let Some(server) = least_recent {
        clients.remove(&server);
    }
}
