//! Proxies: the policies that they host, fed with events, and the actions that come out.

use std::collections::VecDeque;

use ironmast_balancer::{Action, Event, Listing, Micros, Outcome, Scope};
use rustc_hash::FxHashMap;
use slotmap::Key as _;

use super::World;
use super::event::What;
use super::request::{End, key};
use super::servers::number_of;
use super::true_state::Seen;
use crate::discovery::QueryResult;
use crate::judge::Rule;
use crate::network::ConnectionPool;
use crate::policy::Policy;
use crate::proxy_settings::settings;
use crate::random::{Purpose, Stream, hash_parts};

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent conditions of one proxy"
)]
pub(super) struct Proxy {
    pub(super) zone: usize,
    pub(super) weight: f64,
    pub(super) policy: Option<Box<dyn Policy>>,
    pub(super) life: u32,
    pub(super) clients_there: bool,
    pub(super) subscribed: bool,
    /// When it last heard of or asked discovery, and whether its last call failed.
    pub(super) heard: Micros,
    pub(super) failed: bool,
    pub(super) version: usize,
    pub(super) news_due: bool,
    pub(super) closing: FxHashMap<u32, Micros>,
    pub(super) idle: ConnectionPool,
    pub(super) arrivals: Stream,
    pub(super) work: Stream,
    pub(super) burst: (bool, f64),
    /// The second of the last arrival, exactly: whole microseconds would add up at high rates.
    pub(super) asked_at: f64,
}

impl World<'_> {
    pub(super) fn lives(&self, proxy: u32, life: u32) -> bool {
        let p = &self.proxies[proxy as usize];
        p.policy.is_some() && p.life == life
    }

    pub(super) fn begin_proxy(&mut self, number: u32) {
        let p = &mut self.proxies[number as usize];
        let (life, zone) = (p.life, p.zone);
        (p.heard, p.clients_there) = (self.now, true);
        p.closing.clear();
        p.subscribed = !self.scenario.discovery.watch;
        let version = p.version;
        let seed = hash_parts([
            self.seed,
            Purpose::Policy as u64,
            u64::from(number),
            u64::from(life),
        ]);
        p.policy = Some((self.build)(settings(self.scenario, number, zone), seed));
        let servers = self.discovery.list_at(version);
        let servers = servers.iter().map(|l| self.entry(l)).collect();
        self.tell(
            number,
            Event::Members(Listing {
                scope: Scope::Cached,
                servers,
            }),
        );
        if !self.scenario.discovery.watch {
            self.news(number, Scope::Complete);
        }
    }

    pub(super) fn end_proxies(&mut self, list: &[u32], clients_too: bool) {
        for &number in list {
            let p = &mut self.proxies[number as usize];
            if p.policy.take().is_some() {
                p.life += 1;
            }
            p.clients_there = !clients_too;
            for (server, idle) in p.idle.drain() {
                let machine = &mut self.machines[server as usize];
                if machine.life == idle.incarnation {
                    machine.connections = machine.connections.saturating_sub(idle.count);
                }
            }
        }
        let ends: std::collections::BTreeSet<u32> = list.iter().copied().collect();
        let held: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, t)| ends.contains(&t.proxy))
            .map(|(key, _)| key.data().as_ffi())
            .collect();
        for request in held {
            for n in 0..self.tries[key(request)].attempts.len() as u8 {
                if self.attempt(request, n).is_some_and(|a| a.out) {
                    self.call_off(request, n);
                }
            }
            if self.tries[key(request)].over {
                self.drop_try(request);
            } else {
                // What a killed instance held is lost with it, and no fault of its.
                self.end_try(request, End::Unanswered);
            }
        }
    }

    pub(super) fn tell(&mut self, number: u32, event: Event) {
        let mut pending = std::mem::take(&mut self.pending);
        let mut actions = std::mem::take(&mut self.actions);
        pending.push_back(event);
        while let Some(event) = pending.pop_front() {
            let Some(mut policy) = self.proxies[number as usize].policy.take() else {
                break;
            };
            let seen = Seen {
                machines: &self.machines,
                places: &self.places,
                network: &self.network,
                now: self.now,
            };
            policy.handle(self.now, event, &seen, &mut actions);
            self.proxies[number as usize].policy = Some(policy);
            for action in actions.drain(..) {
                self.act(number, action, &mut pending);
            }
        }
        pending.clear();
        (self.pending, self.actions) = (pending, actions);
    }

    pub(super) fn act(&mut self, proxy: u32, action: Action, pending: &mut VecDeque<Event>) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => self.send(proxy, id, server, timeout, pending),
            Action::Reject { id, retry_after } => self.answer(proxy, id, End::Refused(retry_after)),
            Action::Fail { id } => self.answer(proxy, id, End::Failed),
            Action::Cancel { id, attempt } => {
                let n = attempt as u8;
                if self.attempt(id, n).is_some_and(|a| a.out) {
                    self.call_off(id, n);
                    pending.push_back(Event::AttemptEnded(self.settled(id, n, Outcome::Cancelled)));
                    self.drop_try(id);
                }
            }
            Action::Timer { delay, token } => {
                let life = self.proxies[proxy as usize].life;
                self.queue.push(
                    self.now.saturating_add(delay.max(1)),
                    What::Timer { proxy, life, token },
                );
            }
            Action::Subscribe | Action::FetchAll => {
                let QueryResult { at, answered: ok } = self.discovery.query(self.now);
                let p = &mut self.proxies[proxy as usize];
                p.heard = self.now;
                let life = p.life;
                let way = 2 * self.network.base_delay(0, 0);
                self.queue.push(at + way, What::Called { proxy, life, ok });
            }
            Action::Unsubscribe => self.proxies[proxy as usize].subscribed = false,
            Action::Probe { server } => {
                self.probes += 1;
                let (server, sent) = (number_of(server), self.now);
                let p = &self.proxies[proxy as usize];
                let to = self.machines[server as usize].zone;
                let at = sent + self.network.delay(p.zone, to, [u64::from(proxy), sent]);
                self.queue.push(
                    at,
                    What::Probe {
                        proxy,
                        life: p.life,
                        server,
                        sent,
                    },
                );
            }
            Action::SendToPeers { to, data } => self.spread(proxy, to, &data),
            Action::CloseIdle { server } => {
                let machine = &mut self.machines[number_of(server) as usize];
                let closed = self.proxies[proxy as usize]
                    .idle
                    .close(number_of(server), machine.life);
                machine.connections = machine.connections.saturating_sub(closed);
            }
            Action::Log(_) => {}
        }
    }

    pub(super) fn spread(&mut self, from: u32, to: Option<u32>, data: &[u8]) {
        let all = 0..self.proxies.len() as u32;
        let to: Vec<u32> = to.map_or_else(|| all.filter(|n| *n != from).collect(), |to| vec![to]);
        for to in to
            .into_iter()
            .filter(|n| (*n as usize) < self.proxies.len())
        {
            let zones = (
                self.proxies[from as usize].zone,
                self.proxies[to as usize].zone,
            );
            let lost = self.datagrams.unit() < self.scenario.network.datagram_loss;
            if lost
                || self
                    .network
                    .partition_end(zones.0, zones.1, self.now)
                    .is_some()
            {
                continue;
            }
            let way = self.network.delay(
                zones.0,
                zones.1,
                [u64::from(from) << 32 | u64::from(to), self.now],
            );
            self.queue.push(
                self.now + way,
                What::Peer {
                    from,
                    to,
                    data: data.into(),
                },
            );
        }
    }

    pub(super) fn answer(&mut self, proxy: u32, request: u64, end: End) {
        let Some(held) = self.tries.get_mut(key(request)) else {
            let what = "answered a request that is over or unknown";
            return self
                .judge
                .record_violation(Rule::OneAnswer, self.now, proxy, None, None, what);
        };
        if held.over {
            if !held.left {
                let number = self.ops[held.op].number;
                let what = "a second final answer";
                self.judge.record_violation(
                    Rule::OneAnswer,
                    self.now,
                    proxy,
                    None,
                    Some(number),
                    what,
                );
            }
            return;
        }
        if matches!(end, End::Refused(_)) {
            self.check_refusal(proxy, request);
        }
        self.end_try(request, end);
    }
}
