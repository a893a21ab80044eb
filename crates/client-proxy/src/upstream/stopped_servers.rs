//! The servers to which no request may be written any more.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use ironmast_balancer::{Micros, ServerId};

/// How long a server is remembered, in µs: attempts that were decided before it stopped are over by
/// then.
const RETENTION: Micros = 60_000_000;

/// The servers that no request may be written to, with the time since when. Clones share one set.
#[derive(Clone, Default)]
pub(super) struct StoppedServers(Rc<RefCell<BTreeMap<ServerId, Micros>>>);

impl StoppedServers {
    /// Adds a server at the time `now`.
    pub(super) fn insert(&self, server: ServerId, now: Micros) {
        let mut servers = self.0.borrow_mut();
        // Guards against a set that grows with every server that ever ended.
        servers.retain(|_, since| now < *since + RETENTION);
        servers.insert(server, now);
    }

    /// Removes a server, which accepts requests again.
    pub(super) fn remove(&self, server: ServerId) {
        self.0.borrow_mut().remove(&server);
    }

    /// Whether nothing may be written to a server.
    pub(super) fn contains(&self, server: ServerId) -> bool {
        self.0.borrow().contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
