//! Set of servers to which no request may be written any more.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use ironmast_balancer::{Micros, ServerId};

/// How long a server stays in the set, in µs. Attempts that were decided before it was stopped have
/// ended by then.
const RETENTION: Micros = 60_000_000;

/// Stopped servers, each with the clock reading at which it was added. Clones share one set.
#[derive(Clone, Default)]
pub(super) struct StoppedServers(Rc<RefCell<BTreeMap<ServerId, Micros>>>);

impl StoppedServers {
    /// Adds a server at the clock reading `now`, and removes servers whose retention has ended.
    pub(super) fn insert(&self, server: ServerId, now: Micros) {
        let mut servers = self.0.borrow_mut();
        // Without removal the set would grow with every server that ever terminated.
        servers.retain(|_, since| now < *since + RETENTION);
        servers.insert(server, now);
    }

    /// Removes a server, because it accepts requests again.
    pub(super) fn remove(&self, server: ServerId) {
        self.0.borrow_mut().remove(&server);
    }

    /// Whether requests to a server are stopped.
    pub(super) fn contains(&self, server: ServerId) -> bool {
        self.0.borrow().contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
