//! Connections to upstream servers: one HTTP client per address, each with its own pool of idle
//! connections.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use ironmast_transport::client::client;
use ironmast_transport::descriptors::DescriptorBudget;
use ironmast_transport::response_validation::ValidatingStream;

/// The timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection that has been idle for this long is not reused. A server may announce a shorter
/// time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The HTTP clients of a gate, by the address of the server.
pub(crate) struct UpstreamClients {
    budget: DescriptorBudget,
    by_address: RefCell<BTreeMap<SocketAddr, Client>>,
}

impl UpstreamClients {
    /// Creates an empty set of clients, whose connections may use `budget` descriptors together.
    pub(crate) fn new(budget: DescriptorBudget) -> Self {
        UpstreamClients {
            budget,
            by_address: RefCell::default(),
        }
    }

    /// The client for an address, which is created if there is none.
    pub(crate) fn client(&self, address: SocketAddr) -> Client {
        let create = || {
            client(
                self.budget.clone(),
                CONNECT_TIMEOUT,
                IDLE_TIMEOUT,
                ValidatingStream::new,
            )
        };
        self.by_address
            .borrow_mut()
            .entry(address)
            .or_insert_with(create)
            .clone()
    }

    /// Closes the idle connections to all addresses for which `is_listed` is false.
    pub(crate) fn retain(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.by_address
            .borrow_mut()
            .retain(|address, _| is_listed(address));
    }
}
