//! Proxies: delivery of events to the policies that they host, and execution of the actions.

use std::collections::{BTreeSet, VecDeque};

use ironmast_balancer::{Action, Event, Listing, Micros, Outcome, RequestId, Scope, ServerId};
use rustc_hash::FxHashMap;

use super::Simulation;
use super::arrivals::ArrivalProcess;
use super::event::SimulationEvent;
use super::ids::{AttemptId, ProxyIncarnation};
use super::request::RequestOutcome;
use super::servers::server_number;
use super::true_state::TrueState;
use crate::judge::Rule;
use crate::network::{ConnectionPool, IdleCheck};
use crate::policy::Policy;
use crate::proxy_settings::proxy_settings;
use crate::random::{Purpose, Stream, hash_parts};

/// A proxy with its clients.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent conditions of one proxy"
)]
pub(super) struct Proxy {
    /// The index of the zone.
    pub(super) zone: usize,
    /// The policy; `None` while the proxy is stopped.
    pub(super) policy: Option<Box<dyn Policy>>,
    /// The number of times that the proxy has stopped.
    pub(super) incarnation: u32,
    /// Whether clients begin operations. False while a fault has stopped them with the proxy.
    pub(super) has_clients: bool,
    /// Whether the proxy is sent changes of the endpoint list.
    pub(super) subscribed: bool,
    /// When the proxy was last notified by discovery, or last sent a query.
    pub(super) last_contact: Micros,
    /// Whether the last query of discovery failed.
    pub(super) last_query_failed: bool,
    /// The version of the endpoint list that the proxy knows.
    pub(super) list_version: usize,
    /// Whether a notification of list changes is on its way.
    pub(super) notification_pending: bool,
    /// The servers that drain or are gone, with the times when the proxy was notified.
    pub(super) closing_since: FxHashMap<u32, Micros>,
    /// The idle connections to servers.
    pub(super) connection_pool: ConnectionPool,
    /// The arrival process of the clients' operations.
    pub(super) arrivals: ArrivalProcess,
    /// The stream for the classes and the work of operations.
    pub(super) work: Stream,
}

impl Simulation<'_> {
    /// Whether a run of a proxy is the current one.
    pub(super) fn is_current(&self, run: ProxyIncarnation) -> bool {
        let proxy = &self.proxies[run.proxy as usize];
        proxy.policy.is_some() && proxy.incarnation == run.incarnation
    }

    fn current_run(&self, proxy: u32) -> ProxyIncarnation {
        ProxyIncarnation {
            proxy,
            incarnation: self.proxies[proxy as usize].incarnation,
        }
    }

    /// Starts a proxy. The only state that it keeps is the endpoint list that it knew last.
    pub(super) fn start_proxy(&mut self, number: u32) {
        let watches = self.scenario.discovery.watch;
        let proxy = &mut self.proxies[number as usize];
        (proxy.last_contact, proxy.has_clients) = (self.now, true);
        proxy.closing_since.clear();
        proxy.subscribed = !watches;
        // A notification that is on its way is for the earlier incarnation.
        proxy.notification_pending = false;
        let seed = hash_parts([
            self.seed,
            Purpose::Policy as u64,
            u64::from(number),
            u64::from(proxy.incarnation),
        ]);
        let settings = proxy_settings(self.scenario, number, proxy.zone);
        proxy.policy = Some((self.build_policy)(settings, seed));
        let version = proxy.list_version;
        let servers = self.servers_at(version);
        let scope = Scope::Cached;
        self.deliver(number, Event::Members(Listing { scope, servers }));
        if !watches {
            self.send_listing(number, Scope::Complete);
        }
    }

    /// Stops proxies. Their requests in progress are lost.
    pub(super) fn stop_proxies(&mut self, numbers: &[u32], with_clients: bool) {
        for &number in numbers {
            self.stop_proxy(number, with_clients);
        }
        let stopped: BTreeSet<u32> = numbers.iter().copied().collect();
        let lost: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| stopped.contains(&request.proxy))
            .map(|(id, _)| id)
            .collect();
        for id in lost {
            self.lose_request(id);
        }
    }

    fn stop_proxy(&mut self, number: u32, with_clients: bool) {
        let proxy = &mut self.proxies[number as usize];
        if proxy.policy.take().is_some() {
            proxy.incarnation += 1;
        }
        proxy.has_clients = !with_clients;
        for (server, idle) in proxy.connection_pool.drain() {
            let machine = &mut self.machines[server as usize];
            if machine.incarnation == idle.incarnation {
                machine.close_connections(idle.count);
            }
        }
    }

    /// Ends a request whose proxy stopped. The missing response is no violation.
    fn lose_request(&mut self, id: RequestId) {
        for attempt in self.requests.attempt_ids(id) {
            if self.requests.open_attempt(attempt).is_some() {
                self.abandon_attempt(attempt);
            }
        }
        if self.requests[id].finished {
            self.drop_if_complete(id);
        } else {
            self.finish_request(id, RequestOutcome::Unanswered);
        }
    }

    /// Delivers an event to a policy and executes its actions. Events that the actions cause at
    /// once are delivered in the same call.
    pub(super) fn deliver(&mut self, number: u32, event: Event) {
        let mut pending = std::mem::take(&mut self.pending);
        let mut actions = std::mem::take(&mut self.actions);
        pending.push_back(event);
        while let Some(event) = pending.pop_front() {
            let Some(mut policy) = self.proxies[number as usize].policy.take() else {
                break;
            };
            let truth = TrueState {
                machines: &self.machines,
                positions: &self.positions,
                network: &self.network,
                now: self.now,
            };
            policy.handle(self.now, event, &truth, &mut actions);
            self.proxies[number as usize].policy = Some(policy);
            for action in actions.drain(..) {
                self.execute(number, action, &mut pending);
            }
        }
        pending.clear();
        (self.pending, self.actions) = (pending, actions);
    }

    fn execute(&mut self, proxy: u32, action: Action, pending: &mut VecDeque<Event>) {
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
                let index = attempt as u8;
                self.cancel_attempt(AttemptId { request: id, index }, pending);
            }
            Action::Timer { delay, token } => self.set_timer(proxy, delay, token),
            Action::Subscribe | Action::FetchAll => self.query_discovery(proxy),
            Action::Unsubscribe => self.proxies[proxy as usize].subscribed = false,
            Action::Probe { server } => self.send_health_check(self.current_run(proxy), server),
            Action::SendToPeers { to, data } => self.send_datagrams(proxy, to, &data),
            Action::CloseIdle { server } => self.close_idle_connections(proxy, server),
            Action::Log(_) => {}
        }
    }

    fn cancel_attempt(&mut self, id: AttemptId, pending: &mut VecDeque<Event>) {
        if self.requests.open_attempt(id).is_some() {
            self.abandon_attempt(id);
            let ended = self.end_attempt(id, Outcome::Cancelled);
            pending.push_back(Event::AttemptEnded(ended));
            self.drop_if_complete(id.request);
        }
    }

    fn set_timer(&mut self, proxy: u32, delay: Micros, token: u64) {
        let at = self.now.saturating_add(delay.max(1));
        let proxy = self.current_run(proxy);
        self.queue
            .push(at, SimulationEvent::PolicyTimer { proxy, token });
    }

    /// Delivers a timer to the policy, unless the proxy has stopped since it was set.
    pub(super) fn policy_timer(&mut self, run: ProxyIncarnation, token: u64) {
        if self.is_current(run) {
            self.deliver(run.proxy, Event::Timer { token });
        }
    }

    fn query_discovery(&mut self, number: u32) {
        let result = self.discovery.query(self.now);
        self.proxies[number as usize].last_contact = self.now;
        let round_trip = 2 * self.network.base_delay(0, 0);
        self.queue.push(
            result.at + round_trip,
            SimulationEvent::DiscoveryResponse {
                proxy: self.current_run(number),
                answered: result.answered,
            },
        );
    }

    fn close_idle_connections(&mut self, proxy: u32, server: ServerId) {
        let server = server_number(server);
        let machine = &mut self.machines[server as usize];
        let pool = &mut self.proxies[proxy as usize].connection_pool;
        let closed = pool.close(server, machine.incarnation);
        machine.close_connections(closed);
    }

    /// Closes the idle connections of a proxy to a server after the idle timeout, or schedules the
    /// next check.
    pub(super) fn check_idle_connections(&mut self, proxy: u32, server: u32) {
        let machine = &mut self.machines[server as usize];
        let pool = &mut self.proxies[proxy as usize].connection_pool;
        let timeout = self.network.idle_timeout;
        match pool.check_idle(server, machine.incarnation, self.now, timeout) {
            IdleCheck::Closed(closed) => machine.close_connections(closed),
            IdleCheck::CheckAgainAt(at) => self
                .queue
                .push(at, SimulationEvent::IdleConnections { proxy, server }),
        }
    }

    /// Sends a datagram to one proxy, if that exists, or to all other proxies.
    fn send_datagrams(&mut self, from: u32, to: Option<u32>, data: &[u8]) {
        let count = self.proxies.len() as u32;
        if let Some(to) = to {
            if to < count {
                self.send_datagram(from, to, data);
            }
            return;
        }
        for to in (0..count).filter(|to| *to != from) {
            self.send_datagram(from, to, data);
        }
    }

    fn send_datagram(&mut self, from: u32, to: u32, data: &[u8]) {
        let from_zone = self.proxies[from as usize].zone;
        let to_zone = self.proxies[to as usize].zone;
        let is_lost = self.datagram_draws.unit() < self.scenario.network.datagram_loss;
        let is_partitioned = self
            .network
            .partition_end(from_zone, to_zone, self.now)
            .is_some();
        if is_lost || is_partitioned {
            return;
        }
        let message = [u64::from(from) << 32 | u64::from(to), self.now];
        let at = self.now + self.network.delay(from_zone, to_zone, message);
        let data = data.into();
        self.queue
            .push(at, SimulationEvent::PeerDatagram { from, to, data });
    }

    /// Delivers a datagram to a proxy, if the proxy is running.
    pub(super) fn datagram_at_proxy(&mut self, from: u32, to: u32, data: Box<[u8]>) {
        if self.proxies[to as usize].policy.is_some() {
            self.traffic.peer_bytes += data.len() as u64;
            let data = data.into_vec();
            self.deliver(to, Event::PeerMessage { from, data });
        }
    }

    /// Handles a policy's final response to a request, after checks of the rules.
    fn final_response(&mut self, proxy: u32, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get(id) else {
            let description = "answered a request that is unknown or already complete";
            return self.record_violation(Rule::OneAnswer, proxy, None, None, description);
        };
        if request.finished {
            if !request.client_disconnected {
                let number = self.operations[request.operation].number;
                let description = "a second final answer";
                self.record_violation(Rule::OneAnswer, proxy, None, Some(number), description);
            }
            return;
        }
        if matches!(outcome, RequestOutcome::Rejected(_)) {
            self.check_rejection(proxy, id);
        }
        self.finish_request(id, outcome);
    }
}
