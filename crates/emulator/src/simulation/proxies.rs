//! Proxies: the policies that they host, fed with events, and the actions that come out.

use std::collections::VecDeque;

use ironmast_balancer::{Action, Event, Listing, Micros, Outcome, Scope};
use rustc_hash::FxHashMap;
use slotmap::Key as _;

use super::Simulation;
use super::event::SimulationEvent;
use super::request::{RequestOutcome, request_key};
use super::servers::server_number;
use super::true_state::TrueState;
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
    pub(super) incarnation: u32,
    pub(super) has_clients: bool,
    pub(super) subscribed: bool,
    /// When it was last notified by or queried discovery, and whether its last query failed.
    pub(super) last_contact: Micros,
    pub(super) last_query_failed: bool,
    pub(super) list_version: usize,
    pub(super) notification_pending: bool,
    pub(super) closing_since: FxHashMap<u32, Micros>,
    pub(super) connection_pool: ConnectionPool,
    pub(super) arrivals: Stream,
    pub(super) work: Stream,
    pub(super) burst: (bool, f64),
    /// The second of the last arrival, exactly: whole microseconds would add up at high rates.
    pub(super) last_arrival_s: f64,
}

impl Simulation<'_> {
    pub(super) fn is_current(&self, proxy: u32, incarnation: u32) -> bool {
        let p = &self.proxies[proxy as usize];
        p.policy.is_some() && p.incarnation == incarnation
    }

    pub(super) fn start_proxy(&mut self, number: u32) {
        let p = &mut self.proxies[number as usize];
        let (incarnation, zone) = (p.incarnation, p.zone);
        (p.last_contact, p.has_clients) = (self.now, true);
        p.closing_since.clear();
        p.subscribed = !self.scenario.discovery.watch;
        let version = p.list_version;
        let seed = hash_parts([
            self.seed,
            Purpose::Policy as u64,
            u64::from(number),
            u64::from(incarnation),
        ]);
        p.policy = Some((self.build_policy)(
            settings(self.scenario, number, zone),
            seed,
        ));
        let servers = self.discovery.list_at(version);
        let servers = servers.iter().map(|l| self.listed_server(l)).collect();
        self.deliver(
            number,
            Event::Members(Listing {
                scope: Scope::Cached,
                servers,
            }),
        );
        if !self.scenario.discovery.watch {
            self.send_listing(number, Scope::Complete);
        }
    }

    pub(super) fn stop_proxies(&mut self, list: &[u32], clients_too: bool) {
        for &number in list {
            let p = &mut self.proxies[number as usize];
            if p.policy.take().is_some() {
                p.incarnation += 1;
            }
            p.has_clients = !clients_too;
            for (server, idle) in p.connection_pool.drain() {
                let machine = &mut self.machines[server as usize];
                if machine.incarnation == idle.incarnation {
                    machine.connections = machine.connections.saturating_sub(idle.count);
                }
            }
        }
        let ends: std::collections::BTreeSet<u32> = list.iter().copied().collect();
        let held: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, t)| ends.contains(&t.proxy))
            .map(|(key, _)| key.data().as_ffi())
            .collect();
        for request in held {
            for n in 0..self.requests[request_key(request)].attempts.len() as u8 {
                if self.attempt(request, n).is_some_and(|a| a.open) {
                    self.abandon_attempt(request, n);
                }
            }
            if self.requests[request_key(request)].finished {
                self.drop_finished_request(request);
            } else {
                // SimulationEvent a killed instance held is lost with it, and no fault of its.
                self.finish_request(request, RequestOutcome::Unanswered);
            }
        }
    }

    pub(super) fn deliver(&mut self, number: u32, event: Event) {
        let mut pending = std::mem::take(&mut self.pending);
        let mut actions = std::mem::take(&mut self.actions);
        pending.push_back(event);
        while let Some(event) = pending.pop_front() {
            let Some(mut policy) = self.proxies[number as usize].policy.take() else {
                break;
            };
            let seen = TrueState {
                machines: &self.machines,
                positions: &self.positions,
                network: &self.network,
                now: self.now,
            };
            policy.handle(self.now, event, &seen, &mut actions);
            self.proxies[number as usize].policy = Some(policy);
            for action in actions.drain(..) {
                self.execute(number, action, &mut pending);
            }
        }
        pending.clear();
        (self.pending, self.actions) = (pending, actions);
    }

    pub(super) fn execute(&mut self, proxy: u32, action: Action, pending: &mut VecDeque<Event>) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => self.send(proxy, id, server, timeout, pending),
            Action::Reject { id, retry_after } => {
                self.final_response(proxy, id, RequestOutcome::Rejected(retry_after));
            }
            Action::Fail { id } => self.final_response(proxy, id, RequestOutcome::Failed),
            Action::Cancel { id, attempt } => {
                let n = attempt as u8;
                if self.attempt(id, n).is_some_and(|a| a.open) {
                    self.abandon_attempt(id, n);
                    pending.push_back(Event::AttemptEnded(self.attempt_ended(
                        id,
                        n,
                        Outcome::Cancelled,
                    )));
                    self.drop_finished_request(id);
                }
            }
            Action::Timer { delay, token } => {
                let incarnation = self.proxies[proxy as usize].incarnation;
                self.queue.push(
                    self.now.saturating_add(delay.max(1)),
                    SimulationEvent::PolicyTimer {
                        proxy,
                        incarnation,
                        token,
                    },
                );
            }
            Action::Subscribe | Action::FetchAll => {
                let QueryResult { at, answered: ok } = self.discovery.query(self.now);
                let p = &mut self.proxies[proxy as usize];
                p.last_contact = self.now;
                let incarnation = p.incarnation;
                let way = 2 * self.network.base_delay(0, 0);
                self.queue.push(
                    at + way,
                    SimulationEvent::DiscoveryResponse {
                        proxy,
                        incarnation,
                        ok,
                    },
                );
            }
            Action::Unsubscribe => self.proxies[proxy as usize].subscribed = false,
            Action::Probe { server } => {
                self.probes += 1;
                let (server, sent) = (server_number(server), self.now);
                let p = &self.proxies[proxy as usize];
                let to = self.machines[server as usize].zone;
                let at = sent + self.network.delay(p.zone, to, [u64::from(proxy), sent]);
                self.queue.push(
                    at,
                    SimulationEvent::HealthCheckAtServer {
                        proxy,
                        incarnation: p.incarnation,
                        server,
                        sent,
                    },
                );
            }
            Action::SendToPeers { to, data } => self.send_datagrams(proxy, to, &data),
            Action::CloseIdle { server } => {
                let machine = &mut self.machines[server_number(server) as usize];
                let closed = self.proxies[proxy as usize]
                    .connection_pool
                    .close(server_number(server), machine.incarnation);
                machine.connections = machine.connections.saturating_sub(closed);
            }
            Action::Log(_) => {}
        }
    }

    pub(super) fn send_datagrams(&mut self, from: u32, to: Option<u32>, data: &[u8]) {
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
            let lost = self.datagram_draws.unit() < self.scenario.network.datagram_loss;
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
                SimulationEvent::PeerDatagram {
                    from,
                    to,
                    data: data.into(),
                },
            );
        }
    }

    pub(super) fn final_response(&mut self, proxy: u32, request: u64, end: RequestOutcome) {
        let Some(held) = self.requests.get_mut(request_key(request)) else {
            let what = "answered a request that is over or unknown";
            return self
                .judge
                .record_violation(Rule::OneAnswer, self.now, proxy, None, None, what);
        };
        if held.finished {
            if !held.client_left {
                let number = self.operations[held.op].number;
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
        if matches!(end, RequestOutcome::Rejected(_)) {
            self.check_refusal(proxy, request);
        }
        self.finish_request(request, end);
    }
}
