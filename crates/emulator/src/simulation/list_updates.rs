//! How discovery's list, its changes and its answers reach the proxies.

use ironmast_balancer::{Event, Listing, Micros, Phase, Scope, Server as ListedServer};

use super::Simulation;
use super::event::SimulationEvent;
use crate::discovery::ListEntry;
use crate::random::{hash_parts, unit_interval};
use crate::scenario::seconds;

impl Simulation<'_> {
    /// The list catches up with what is true of a server by now.
    pub(super) fn update_list(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        let phase = if machine.server.up {
            machine.phase
        } else {
            Phase::Gone
        };
        let started = machine.server.started;
        if phase == Phase::Ready {
            machine.start_version = self.discovery.version() + 1;
        }
        self.discovery.publish(ListEntry {
            server,
            phase,
            started,
            since: self.now,
        });
        let spread = seconds(self.scenario.discovery.spread_s);
        if self.discovery.is_out {
            return;
        }
        for proxy in 0..self.proxies.len() as u32 {
            let p = &mut self.proxies[proxy as usize];
            if p.subscribed && p.policy.is_some() && !p.notification_pending {
                p.notification_pending = true;
                let draw = unit_interval(hash_parts([self.seed, u64::from(proxy), self.now, 0x11]));
                let at = self.now + (spread as f64 * draw) as Micros;
                self.queue.push(
                    at,
                    SimulationEvent::WatchNotification {
                        proxy,
                        incarnation: p.incarnation,
                    },
                );
            }
        }
    }

    pub(super) fn listed_server(&self, listed: &ListEntry) -> ListedServer {
        let machine = &self.machines[listed.server as usize];
        ListedServer {
            id: machine.id,
            zone: machine.zone,
            cell: machine.zone as u64,
            phase: listed.phase,
            size: if self.scenario.proxies.list_shows_capacity {
                machine.server.full_capacity()
            } else {
                1.0
            },
            started: (listed.started > 0).then_some(listed.started),
        }
    }

    /// A proxy is sent the changes after the version that it knows, or the whole list.
    pub(super) fn send_listing(&mut self, proxy: u32, scope: Scope) {
        let p = &mut self.proxies[proxy as usize];
        let changes = self.discovery.changes_since(p.list_version);
        if scope == Scope::Changes && changes.is_empty() {
            return;
        }
        for listed in changes {
            match listed.phase {
                Phase::Ready => drop(p.closing_since.remove(&listed.server)),
                _ => drop(p.closing_since.entry(listed.server).or_insert(self.now)),
            }
        }
        (p.list_version, p.last_contact) = (self.discovery.version(), self.now);
        let version = p.list_version;
        let servers = match scope {
            Scope::Changes => changes.iter().map(|l| self.listed_server(l)).collect(),
            _ => self
                .discovery
                .list_at(version)
                .iter()
                .map(|l| self.listed_server(l))
                .collect(),
        };
        self.deliver(proxy, Event::Members(Listing { scope, servers }));
    }

    pub(super) fn discovery_response(&mut self, proxy: u32, incarnation: u32, ok: bool) {
        if !self.is_current(proxy, incarnation) {
            return;
        }
        let fails = !ok || self.discovery.is_out;
        self.proxies[proxy as usize].last_query_failed = fails;
        if fails {
            let listing = Listing {
                scope: Scope::Failed,
                servers: Vec::new(),
            };
            return self.deliver(proxy, Event::Members(listing));
        }
        self.proxies[proxy as usize].subscribed = true;
        self.send_listing(proxy, Scope::Complete);
    }
}
