//! How discovery's list, its changes and its answers reach the proxies.

use ironmast_balancer::{Event, Listing, Micros, Phase, Scope, Server as ListedServer};

use super::World;
use super::event::What;
use crate::discovery::ListEntry;
use crate::random::{hash_parts, unit_interval};
use crate::scenario::seconds;

impl World<'_> {
    /// The list catches up with what is true of a server by now.
    pub(super) fn visible(&mut self, server: u32) {
        let machine = &mut self.machines[server as usize];
        let phase = if machine.server.up {
            machine.phase
        } else {
            Phase::Gone
        };
        let started = machine.server.started;
        if phase == Phase::Ready {
            machine.told_at = self.discovery.version() + 1;
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
            if p.subscribed && p.policy.is_some() && !p.news_due {
                p.news_due = true;
                let draw = unit_interval(hash_parts([self.seed, u64::from(proxy), self.now, 0x11]));
                let at = self.now + (spread as f64 * draw) as Micros;
                self.queue.push(
                    at,
                    What::News {
                        proxy,
                        life: p.life,
                    },
                );
            }
        }
    }

    pub(super) fn entry(&self, listed: &ListEntry) -> ListedServer {
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

    /// A proxy hears the changes since it last heard, or the whole list.
    pub(super) fn news(&mut self, proxy: u32, scope: Scope) {
        let p = &mut self.proxies[proxy as usize];
        let changes = self.discovery.changes_since(p.version);
        if scope == Scope::Changes && changes.is_empty() {
            return;
        }
        for listed in changes {
            match listed.phase {
                Phase::Ready => drop(p.closing.remove(&listed.server)),
                _ => drop(p.closing.entry(listed.server).or_insert(self.now)),
            }
        }
        (p.version, p.heard) = (self.discovery.version(), self.now);
        let version = p.version;
        let servers = match scope {
            Scope::Changes => changes.iter().map(|l| self.entry(l)).collect(),
            _ => self
                .discovery
                .list_at(version)
                .iter()
                .map(|l| self.entry(l))
                .collect(),
        };
        self.tell(proxy, Event::Members(Listing { scope, servers }));
    }

    pub(super) fn called(&mut self, proxy: u32, life: u32, ok: bool) {
        if !self.lives(proxy, life) {
            return;
        }
        let fails = !ok || self.discovery.is_out;
        self.proxies[proxy as usize].failed = fails;
        if fails {
            let listing = Listing {
                scope: Scope::Failed,
                servers: Vec::new(),
            };
            return self.tell(proxy, Event::Members(listing));
        }
        self.proxies[proxy as usize].subscribed = true;
        self.news(proxy, Scope::Complete);
    }
}
