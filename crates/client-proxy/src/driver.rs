//! The only owner of the decision module, of its timers and of the open requests. It takes messages
//! from the queue one at a time and carries out every action the module asks for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_admin::command::{Command, CommandError, Reply};
use ironmast_admin::endpoint::{Endpoint, EndpointUpdate};
use ironmast_admin::handover;
use ironmast_admin::overrides::ServerOverrides;
use ironmast_balancer::{
    Action, AttemptEnded, Balancer, Event, Listing, Micros, Outcome, Phase, Request, RequestId,
    Scope, ServerId, Settings,
};
use ironmast_transport::clock::Clock;
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};

use crate::hot_restart::partners::Partners;
use crate::message::{
    Arrival, Attempt, AttemptResult, DiscoveryCommand, FinalResponse, Message, Payload,
    PeerMessage, PriorityMessage, Ticket, UpstreamCommand,
};
use crate::runtime_files::RuntimeFiles;

/// Where orders go.
pub(crate) struct Orders {
    /// To the connections to pay servers.
    pub upstream: mpsc::UnboundedSender<UpstreamCommand>,
    /// To discovery.
    pub discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// To the peers.
    pub peers: mpsc::UnboundedSender<PeerMessage>,
}

/// A request that is owed an answer or has an attempt out.
struct Open {
    ticket: Ticket,
    expires: Micros,
    payload: Rc<Payload>,
    /// When its last byte came, where that was after its arrival here.
    whole: Micros,
    /// Taken by the one final answer.
    reply: Option<oneshot::Sender<FinalResponse>>,
    /// Of each attempt: the server, when it was sent, and whether it is out.
    attempts: Vec<(ServerId, Micros, bool)>,
}

impl Open {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.2)
    }
}

/// Drives one balancer.
pub(crate) struct Driver {
    balancer: Balancer,
    settings: Settings,
    clock: Clock,
    log: Logger,
    orders: Orders,
    admin: ServerOverrides,
    files: RuntimeFiles,
    partners: Rc<Partners>,
    timers: BTreeSet<(Micros, u64)>,
    open: BTreeMap<RequestId, Open>,
    ids: BTreeMap<Ticket, RequestId>,
    last_id: RequestId,
    /// Where each listed server listens, and whether it takes new requests.
    servers: BTreeMap<ServerId, (SocketAddr, bool)>,
    /// Events that actions themselves brought about.
    pending: VecDeque<Event>,
}

impl Driver {
    /// A driver that holds no list yet.
    pub(crate) fn new(
        balancer: Balancer,
        settings: Settings,
        clock: Clock,
        log: Logger,
        orders: Orders,
        (admin, files, partners): (ServerOverrides, RuntimeFiles, Rc<Partners>),
    ) -> Self {
        Driver {
            balancer,
            settings,
            clock,
            log,
            orders,
            admin,
            files,
            partners,
            timers: BTreeSet::new(),
            open: BTreeMap::new(),
            ids: BTreeMap::new(),
            last_id: 0,
            servers: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Serves the queue until all that feed it are gone. `held` hears of the first list that names
    /// servers.
    pub(crate) async fn run(
        mut self,
        mut queue: mpsc::UnboundedReceiver<Message>,
        mut urgent: mpsc::UnboundedReceiver<PriorityMessage>,
        held: impl Fn(),
    ) {
        loop {
            let due = self.timers.first().map(|&(at, _)| self.clock.at(at).into());
            tokio::select! {
                biased;
                // Timers first: guards them against a queue that is never empty.
                () = async { tokio::time::sleep_until(due.unwrap()).await }, if due.is_some() => {
                    if let Some((_, token)) = self.timers.pop_first() {
                        self.event(Event::Timer { token });
                    }
                }
                // Then operators: guards them against any amount of traffic.
                Some(urgent) = urgent.recv() => self.urgent(urgent),
                message = queue.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                }
            }
            if !self.servers.is_empty() {
                held();
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::RequestArrived(arrival) => self.arrived(arrival),
            Message::ClientDisconnected(ticket) => {
                debug!(self.log, "client left"; "at" => self.clock.now(), "request" => self.ids.get(&ticket));
                if let Some(id) = self.ids.remove(&ticket)
                    && let Some(open) = self.open.get_mut(&id)
                {
                    open.reply = None;
                    let _ = self.orders.upstream.send(UpstreamCommand::RequestOver(id));
                    self.event(Event::ClientDisconnected { id });
                    self.forget(id);
                }
            }
            Message::RequestComplete(ticket) => self.whole(ticket),
            Message::AttemptEnded(ended) => self.ended(ended),
            Message::HealthCheckEnded {
                server,
                outcome,
                latency,
                load,
            } => {
                debug!(self.log, "probed"; "at" => self.clock.now(), "server" => format_args!("{:016x}", server.0),
                    "outcome" => ?outcome, "took" => latency);
                self.event(Event::ProbeEnded {
                    server,
                    outcome,
                    latency,
                    load,
                });
            }
            Message::PeerDatagram { from, data } => self.event(Event::PeerMessage { from, data }),
            Message::EndpointsUpdated(news) => {
                let news = self.admin.apply_discovery(news);
                self.show(news);
            }
        }
    }

    fn urgent(&mut self, urgent: PriorityMessage) {
        match urgent {
            PriorityMessage::Command(call, reply) => {
                let answer = self.called(call);
                info!(self.log, "operator's call answered"; "answer" => ?answer.as_ref().map_err(ToString::to_string));
                // A caller that has gone has no use for it; what it asked for is done.
                let _ = reply.send(answer);
            }
            PriorityMessage::PartnerOverride(change) => {
                info!(self.log, "the other process was called"; "server" => &change.uid, "out" => change.disabled_at.is_some());
                if let Some(news) = self.admin.apply_override(change) {
                    self.show(news);
                }
                let _ = self.keep();
            }
            PriorityMessage::DelegateWarmUp(on) => {
                let cold = self.settings.safety.warm_up;
                if let Some(news) = self
                    .admin
                    .delegate_started_after(on.then(|| self.clock.now().saturating_sub(cold)))
                {
                    self.show(news);
                }
            }
            PriorityMessage::DescribeState(reply) => {
                drop(reply.send((self.admin.state().clone(), self.admin.discovered())));
            }
        }
    }

    fn called(&mut self, call: Command) -> Reply {
        let now = self.clock.now();
        let uid = match &call {
            Command::Ready if self.servers.is_empty() => return Err(CommandError::NoEndpoints),
            Command::Ready if !self.partners.may_serve() => {
                return Err(CommandError::PredecessorServing);
            }
            Command::Ready => return Ok("ready".to_string()),
            Command::DisableServer(uid) | Command::EnableServer(uid) => uid,
        };
        let before = self.admin.override_of(uid);
        let applied = match &call {
            Command::DisableServer(uid) => self.admin.disable(uid, now)?,
            _ => self.admin.enable(uid, now)?,
        };
        let said = applied.remark;
        if let Some(news) = applied.update {
            self.show(news);
        }
        let after = self.admin.override_of(uid);
        if after == before {
            return Ok(said);
        }
        self.partners.send(handover::Message::Override(after));
        // On disk before the yes: guards bans against this process' end.
        Ok(if self.keep() {
            said
        } else {
            format!("{said}, until this process ends: it could not be written down")
        })
    }

    /// Writes the admin state down; false where that failed.
    fn keep(&self) -> bool {
        let kept = self.files.save_overrides(self.admin.state());
        if let Err(why) = &kept {
            warn!(self.log, "servers out of use could not be written down"; "why" => %why);
        }
        kept.is_ok()
    }

    fn arrived(&mut self, arrival: Arrival) {
        self.last_id += 1;
        let id = self.last_id;
        let Arrival {
            ticket,
            class,
            tenant,
            subject,
            client_retry,
            expires,
            payload,
            reply,
        } = arrival;
        self.ids.insert(ticket, id);
        self.open.insert(
            id,
            Open {
                ticket,
                expires,
                payload,
                whole: 0,
                reply: Some(reply),
                attempts: Vec::new(),
            },
        );
        debug!(self.log, "arrived"; "at" => self.clock.now(), "request" => id, "class" => class, "expires" => expires);
        let work_hint = None;
        self.event(Event::Request(Request {
            id,
            class,
            tenant,
            key: subject,
            work_hint,
            client_retry,
            expires,
        }));
    }

    /// The client's time begins.
    fn whole(&mut self, ticket: Ticket) {
        let Some((&id, now)) = self.ids.get(&ticket).map(|id| (id, self.clock.now())) else {
            return;
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        (open.whole, open.expires) = (now, now + open.payload.client_timeout);
        let expires = open.expires;
        debug!(self.log, "whole"; "at" => now, "request" => id, "expires" => expires);
        self.event(Event::RequestComplete { id, expires });
    }

    fn ended(&mut self, ended: AttemptResult) {
        let AttemptResult {
            id,
            number,
            outcome,
            body,
            load,
        } = ended;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open.attempts.get_mut(number as usize).filter(|a| a.2) else {
            return;
        };
        attempt.2 = false;
        // No server is slow for the time its client took.
        let (server, sent) = (attempt.0, attempt.1.max(open.whole));
        if outcome == Outcome::Ok {
            self.answer(id, FinalResponse::Served(body));
        }
        let finished = self.open.get(&id).is_none_or(|o| o.reply.is_none());
        let latency = self.clock.now().saturating_sub(sent);
        debug!(self.log, "ended"; "at" => self.clock.now(), "request" => id, "attempt" => number,
            "server" => format_args!("{:016x}", server.0), "outcome" => ?outcome, "took" => latency);
        self.event(Event::AttemptEnded(AttemptEnded {
            id,
            server,
            attempt: number,
            outcome,
            latency,
            finished,
            load,
        }));
        self.forget(id);
    }

    /// Takes news as the module is to see them.
    fn show(
        &mut self,
        EndpointUpdate {
            scope, endpoints, ..
        }: EndpointUpdate,
    ) {
        let mut gone: BTreeSet<ServerId> = match scope {
            Scope::Complete | Scope::Cached => self.servers.keys().copied().collect(),
            _ => BTreeSet::new(),
        };
        for Endpoint { server, target } in &endpoints {
            gone.remove(&server.id);
            let takes = server.phase == Phase::Ready;
            // Guards the memory against every server that ever left: nobody is sent to it again.
            match server.phase {
                Phase::Gone => drop(self.servers.remove(&server.id)),
                _ => drop(self.servers.insert(server.id, (target.endpoint, takes))),
            }
            // Guards rule 3: an attempt decided before this news may still be on its way to the
            // socket.
            let order = if takes {
                UpstreamCommand::ResumeSending(server.id)
            } else {
                UpstreamCommand::StopSending(server.id)
            };
            let _ = self.orders.upstream.send(order);
        }
        for id in gone {
            self.servers.remove(&id);
            let _ = self.orders.upstream.send(UpstreamCommand::StopSending(id));
        }
        let servers: Vec<_> = endpoints.into_iter().map(|e| e.server).collect();
        let entries = servers.len();
        for server in &servers {
            debug!(self.log, "listed"; "at" => self.clock.now(), "server" => format_args!("{:016x}", server.id.0),
                "phase" => ?server.phase, "zone" => server.zone, "size" => server.size, "started" => ?server.started);
        }
        self.event(Event::Members(Listing { scope, servers }));
        info!(self.log, "list told: {:?}", scope; "entries" => entries, "held" => self.servers.len());
    }

    /// Gives the one final answer; later ones find it taken.
    fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(reply) = open.reply.take() {
            debug!(self.log, "answered"; "at" => self.clock.now(), "request" => id, "answer" => match &answer {
                FinalResponse::Served(_) => "served",
                FinalResponse::Rejected(_) => "refused",
                FinalResponse::Failed => "failed",
            });
            self.ids.remove(&open.ticket);
            if open.out() {
                let _ = self.orders.upstream.send(UpstreamCommand::RequestOver(id));
            }
            // A client that left in this moment has told so or will; the queue holds it.
            let _ = reply.send(answer);
        }
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.reply.is_none() && !o.out())
        {
            self.open.remove(&id);
        }
    }

    fn event(&mut self, event: Event) {
        self.pending.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                start_deadline: begin_by,
            } => self.send(id, server, timeout, begin_by),
            Action::Reject { id, retry_after } => {
                self.answer(id, FinalResponse::Rejected(retry_after));
                self.forget(id);
            }
            Action::Fail { id } => {
                self.answer(id, FinalResponse::Failed);
                self.forget(id);
            }
            Action::Cancel { id, attempt } => {
                drop(
                    self.orders
                        .upstream
                        .send(UpstreamCommand::Cancel(id, attempt)),
                );
            }
            Action::Timer { delay, token } => {
                self.timers
                    .insert((self.clock.now().saturating_add(delay), token));
            }
            Action::Subscribe(on) => drop(self.orders.discovery.send(DiscoveryCommand::Watch(on))),
            Action::FetchAll => drop(self.orders.discovery.send(DiscoveryCommand::FetchAll)),
            Action::Probe { server } => match self.servers.get(&server) {
                Some(&(address, _)) => {
                    drop(
                        self.orders
                            .upstream
                            .send(UpstreamCommand::CheckHealth(server, address)),
                    );
                }
                None => {
                    warn!(self.log, "a probe of a server that is not listed"; "server" => server.0);
                }
            },
            Action::SendToPeers { to, data } => {
                drop(self.orders.peers.send(PeerMessage { to, data }))
            }
            Action::CloseIdle { server } => {
                drop(
                    self.orders
                        .upstream
                        .send(UpstreamCommand::CloseIdle(server)),
                );
            }
            Action::Log(text) => info!(self.log, "{}", text),
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        begin_by: Option<Micros>,
    ) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&id) else {
            warn!(self.log, "a send for a request that is over"; "request" => id);
            return;
        };
        let number = open.attempts.len() as u32;
        // Guards rule 2 whatever the module asks: never more attempts, or together, than is
        // permitted.
        let gone = open
            .payload
            .flow()
            .is_some_and(|flow| !flow.is_replayable());
        let over = open.reply.is_none()
            || number >= self.settings.limits.max_attempts
            || now >= open.expires
            || gone;
        let together = !self.settings.limits.allow_hedging && open.out();
        let address = self.servers.get(&server).map(|s| s.0);
        let (true, Some(address)) = (!over && !together, address) else {
            let why = if gone {
                "its body has been drawn already"
            } else {
                "it is over"
            };
            debug!(self.log, "a send that may not be"; "request" => id, "server" => server.0, "why" => why);
            open.attempts.push((server, now, false));
            let (outcome, finished) = (Outcome::NotSent, open.reply.is_none());
            let (attempt, latency, load) = (number, 0, None);
            let settled = AttemptEnded {
                id,
                server,
                attempt,
                outcome,
                latency,
                finished,
                load,
            };
            return self.pending.push_back(Event::AttemptEnded(settled));
        };
        debug!(self.log, "sent"; "at" => now, "request" => id, "attempt" => number,
            "server" => format_args!("{:016x}", server.0));
        open.attempts.push((server, now, true));
        // While a body flows, the module ends an attempt when the client's time is up.
        let timeout = timeout.filter(|_| open.payload.flow().is_none());
        let until = timeout.map_or(open.expires, |t| open.expires.min(now + t));
        let payload = Rc::clone(&open.payload);
        let _ = self.orders.upstream.send(UpstreamCommand::Send(Attempt {
            id,
            number,
            server,
            address,
            deadline: until,
            start_deadline: begin_by,
            payload,
        }));
    }
}
