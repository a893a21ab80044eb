//! The servers whose responses are pending.

use std::collections::BTreeMap;

use crate::api::{Micros, ServerId, ZoneId};

/// A server with responses pending.
struct PendingServer {
    zone: ZoneId,
    /// Attempts in flight.
    in_flight: u32,
    /// Since when nothing has arrived.
    since: Micros,
}

/// The servers with responses pending.
#[derive(Default)]
pub(super) struct PendingServers(BTreeMap<ServerId, PendingServer>);

/// The pending responses of one zone.
pub(super) struct PendingZone {
    /// Attempts in flight.
    pub in_flight: u32,
    /// Since when the server that has been silent for longest has been silent.
    pub since: Micros,
    /// Its servers with responses pending; those that have been silent for longest come first.
    pub servers: Vec<ServerId>,
}

impl PendingServers {
    /// An attempt was sent.
    pub(super) fn add(&mut self, server: ServerId, zone: ZoneId, now: Micros) {
        let pending = self.0.entry(server).or_insert(PendingServer {
            zone,
            in_flight: 0,
            since: now,
        });
        pending.in_flight += 1;
    }

    /// An attempt ended.
    pub(super) fn remove(&mut self, server: ServerId) {
        let Some(pending) = self.0.get_mut(&server) else {
            return;
        };
        pending.in_flight -= 1;
        if pending.in_flight == 0 {
            self.0.remove(&server);
        }
    }

    /// The server gave a sign of life.
    pub(super) fn record_alive(&mut self, server: ServerId, now: Micros) {
        if let Some(pending) = self.0.get_mut(&server) {
            pending.since = now;
        }
    }

    /// The pending responses of a zone; `None` if there are none.
    pub(super) fn of_zone(&self, zone: ZoneId) -> Option<PendingZone> {
        let mut in_flight = 0;
        let mut servers = Vec::new();
        for (server, pending) in &self.0 {
            if pending.zone == zone {
                in_flight += pending.in_flight;
                servers.push((pending.since, *server));
            }
        }
        servers.sort_unstable();
        let &(since, _) = servers.first()?;
        Some(PendingZone {
            in_flight,
            since,
            servers: servers.into_iter().map(|(_, server)| server).collect(),
        })
    }
}
