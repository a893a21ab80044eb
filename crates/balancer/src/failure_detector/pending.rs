//! Servers from which responses are pending.

use std::collections::BTreeMap;

use crate::api::{Micros, ServerId, ZoneId};

/// A server with at least one pending response.
struct PendingServer {
    zone: ZoneId,
    /// Attempts in flight.
    in_flight: u32,
    /// When its last sign of life arrived; without one, when its responses began to be pending.
    since: Micros,
}

/// All servers with pending responses.
#[derive(Default)]
pub(super) struct PendingServers(BTreeMap<ServerId, PendingServer>);

/// The pending responses of one zone.
pub(super) struct PendingZone {
    /// Attempts in flight.
    pub in_flight: u32,
    /// The earliest [`PendingServer::since`] of its servers.
    pub since: Micros,
    /// The servers of the zone with pending responses, those without a sign of life for longest
    /// first.
    pub servers: Vec<ServerId>,
}

impl PendingServers {
    /// Records that an attempt was sent.
    pub(super) fn add(&mut self, server: ServerId, zone: ZoneId, now: Micros) {
        let pending = self.0.entry(server).or_insert(PendingServer {
            zone,
            in_flight: 0,
            since: now,
        });
        pending.in_flight += 1;
    }

    /// Records that an attempt ended.
    pub(super) fn remove(&mut self, server: ServerId) {
        let Some(pending) = self.0.get_mut(&server) else {
            return;
        };
        pending.in_flight -= 1;
        if pending.in_flight == 0 {
            self.0.remove(&server);
        }
    }

    /// Records a sign of life of a server.
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
