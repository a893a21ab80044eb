//! Updates of the endpoint list from the state of the servers, and their delivery to the proxies by
//! notifications and queries.

use ironmast_balancer::{Event, Listing, Micros, Phase, Scope, Server as ListedServer};

use super::Simulation;
use super::event::SimulationEvent;
use super::ids::ProxyIncarnation;
use crate::discovery::ListEntry;
use crate::random::{hash_parts, unit_interval};
use crate::scenario::seconds;

/// Distinguishes the draws of the delays of notifications from other hashes.
const NOTIFICATION_DRAW: u64 = 0x11;

impl Simulation<'_> {
    /// Updates the list to the state of a server, and schedules notifications of the proxies that
    /// watch the list.
    pub(super) fn update_list(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        let phase = if machine.server.up {
            machine.phase
        } else {
            Phase::Gone
        };
        if phase == Phase::Ready {
            machine.start_version = self.discovery.version() + 1;
        }
        self.discovery.publish(ListEntry {
            server,
            phase,
            started: machine.server.started,
            since: self.now,
        });
        if !self.discovery.in_outage {
            for proxy in 0..self.proxies.len() as u32 {
                self.schedule_notification(proxy);
            }
        }
    }

    /// Schedules a notification of a proxy, if it watches the list and none is on its way.
    fn schedule_notification(&mut self, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        if !proxy.subscribed || proxy.policy.is_none() || proxy.notification_pending {
            return;
        }
        proxy.notification_pending = true;
        let bits = hash_parts([self.seed, u64::from(number), self.now, NOTIFICATION_DRAW]);
        let max_delay = seconds(self.scenario.discovery.spread_s) as f64;
        let at = self.now + (max_delay * unit_interval(bits)) as Micros;
        let run = ProxyIncarnation {
            proxy: number,
            incarnation: proxy.incarnation,
        };
        self.queue.push(at, SimulationEvent::WatchNotification(run));
    }

    /// Delivers a notification to a proxy, with the changes since the version that it knows.
    pub(super) fn watch_notification(&mut self, run: ProxyIncarnation) {
        if !self.is_current(run) {
            return;
        }
        let proxy = &mut self.proxies[run.proxy as usize];
        proxy.notification_pending = false;
        if proxy.subscribed {
            self.send_listing(run.proxy, Scope::Changes);
        }
    }

    /// Sends a proxy the complete list, or the changes after the version that it knows. Nothing is
    /// sent if there are no changes.
    pub(super) fn send_listing(&mut self, number: u32, scope: Scope) {
        let proxy = &mut self.proxies[number as usize];
        let changes = self.discovery.changes_since(proxy.list_version);
        if scope == Scope::Changes && changes.is_empty() {
            return;
        }
        for entry in changes {
            if entry.phase == Phase::Ready {
                proxy.closing_since.remove(&entry.server);
            } else {
                let since = proxy.closing_since.entry(entry.server);
                since.or_insert(self.now);
            }
        }
        let version = self.discovery.version();
        proxy.list_version = version;
        proxy.last_contact = self.now;
        let servers = if scope == Scope::Changes {
            changes.iter().map(|entry| self.listed(entry)).collect()
        } else {
            self.servers_at(version)
        };
        self.deliver(number, Event::Members(Listing { scope, servers }));
    }

    /// The servers of the list at a version.
    pub(super) fn servers_at(&self, version: usize) -> Vec<ListedServer> {
        let list = self.discovery.list_at(version);
        list.iter().map(|entry| self.listed(entry)).collect()
    }

    fn listed(&self, entry: &ListEntry) -> ListedServer {
        let machine = &self.machines[entry.server as usize];
        ListedServer {
            id: machine.id,
            zone: machine.zone,
            cell: machine.zone as u64,
            phase: entry.phase,
            size: if self.scenario.proxies.list_shows_capacity {
                machine.server.full_capacity()
            } else {
                1.0
            },
            started: (entry.started > 0).then_some(entry.started),
        }
    }

    /// Delivers the response to a query of the list. The proxy watches the list from then on,
    /// unless the query failed.
    pub(super) fn discovery_response(&mut self, run: ProxyIncarnation, answered: bool) {
        if !self.is_current(run) {
            return;
        }
        let has_failed = !answered || self.discovery.in_outage;
        let proxy = &mut self.proxies[run.proxy as usize];
        proxy.last_query_failed = has_failed;
        if has_failed {
            return self.notify_discovery_failed(run.proxy);
        }
        proxy.subscribed = true;
        self.send_listing(run.proxy, Scope::Complete);
    }
}
