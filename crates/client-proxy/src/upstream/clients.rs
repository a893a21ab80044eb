//! The awc clients, one for each server. A client owns the idle connections to its server, and
//! dropping it closes them.

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

/// The time-outs of connections to servers.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionTimeouts {
    /// A connection that is not established within this time has failed.
    pub connect: Duration,
    /// Servers close connections that have been idle for this long.
    pub server_keep_alive: Duration,
}

/// The client of one server.
struct ServerClient {
    address: SocketAddr,
    client: Client,
    last_used: Micros,
}

type ClientMap = BTreeMap<ServerId, ServerClient>;

/// The clients of all servers.
pub(super) struct Clients {
    timeouts: ConnectionTimeouts,
    clock: Clock,
    descriptors: DescriptorBudget,
    by_server: Rc<RefCell<ClientMap>>,
}

impl Clients {
    /// No clients. Under pressure, the descriptors are taken from their idle connections.
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

    /// The client of a server. One that was made for another address is replaced.
    pub(super) fn get(&self, server: ServerId, address: SocketAddr) -> Client {
        let mut clients = self.by_server.borrow_mut();
        if clients
            .get(&server)
            .is_none_or(|client| client.address != address)
        {
            clients.insert(server, self.connect_to(address));
        }
        let client = clients.get_mut(&server).expect("it was just inserted");
        client.last_used = self.clock.now();
        client.client.clone()
    }

    fn connect_to(&self, address: SocketAddr) -> ServerClient {
        // Closed well before the server closes it. Guards against a request that is written while
        // the server's close is on its way.
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

/// Closes the idle connections to the one server that has been unused for longest. Guards against
/// all connections being opened anew at once.
fn close_least_recently_used(clients: &mut ClientMap) {
    let least_recent = clients
        .iter()
        .min_by_key(|(_, client)| client.last_used)
        .map(|(&server, _)| server);
    if let Some(server) = least_recent {
        clients.remove(&server);
    }
}
