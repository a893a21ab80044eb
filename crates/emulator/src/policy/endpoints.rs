//! The endpoint list of a reference policy, with the state of each endpoint.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use ironmast_balancer::{Listing, Micros, Phase, Scope, Server, ServerId};

/// A listed server, with the state of this proxy's traffic to it.
pub(super) struct Endpoint {
    /// The server's newest entry in the list.
    pub listed: Server,
    /// The number of this proxy's attempts in flight.
    pub in_flight: u64,
    /// The credit in weighted round robin, in requests.
    pub credit: f64,
    /// When this proxy last sent an attempt; 0 for never.
    pub last_sent: Micros,
}

/// The known endpoints, by server id.
pub(super) struct Endpoints {
    own_zone: usize,
    by_id: BTreeMap<ServerId, Endpoint>,
    /// Endpoints in the phase `Ready`, in the order of their ids.
    ready: Vec<ServerId>,
    /// The ready endpoints in the proxy's own zone, in the order of their ids.
    ready_in_own_zone: Vec<ServerId>,
}

impl Endpoints {
    pub(super) fn new(own_zone: usize) -> Self {
        Endpoints {
            own_zone,
            by_id: BTreeMap::new(),
            ready: Vec::new(),
            ready_in_own_zone: Vec::new(),
        }
    }

    pub(super) fn get(&self, id: ServerId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ServerId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// The endpoints in the phase `Ready`, in the order of their ids.
    pub(super) fn ready(&self) -> &[ServerId] {
        &self.ready
    }

    /// The ready endpoints in the own zone, in the order of their ids.
    pub(super) fn ready_in_own_zone(&self) -> &[ServerId] {
        &self.ready_in_own_zone
    }

    /// Applies a complete list or a set of changes.
    pub(super) fn update(&mut self, listing: Listing) {
        if listing.scope != Scope::Changes {
            let listed: BTreeSet<ServerId> = listing.servers.iter().map(|s| s.id).collect();
            self.by_id.retain(|id, _| listed.contains(id));
        }
        for server in listing.servers {
            self.update_server(server);
        }
        self.ready = self.ready_in(None);
        self.ready_in_own_zone = self.ready_in(Some(self.own_zone));
    }

    fn update_server(&mut self, server: Server) {
        if server.phase == Phase::Gone {
            self.by_id.remove(&server.id);
            return;
        }
        match self.by_id.entry(server.id) {
            Entry::Occupied(mut endpoint) => endpoint.get_mut().listed = server,
            Entry::Vacant(endpoint) => {
                endpoint.insert(Endpoint {
                    listed: server,
                    in_flight: 0,
                    credit: 0.0,
                    last_sent: 0,
                });
            }
        }
    }

    fn ready_in(&self, zone: Option<usize>) -> Vec<ServerId> {
        self.by_id
            .values()
            .map(|endpoint| &endpoint.listed)
            .filter(|server| server.phase == Phase::Ready)
            .filter(|server| zone.is_none_or(|zone| server.zone == zone))
            .map(|server| server.id)
            .collect()
    }
}
