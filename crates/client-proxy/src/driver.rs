//! The only owner of the decision module (`ironmast_balancer`), of its timers and of the open
//! requests.
//!
//! The driver takes messages from its queue one at a time, passes them to the decision module as
//! events, and carries out every action that the module asks for. Nothing else calls the module, so
//! that its decisions need no locks.

mod open_requests;

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
use tokio::sync::mpsc;

use crate::hot_restart::partners::Partners;
use crate::message::{
    Arrival, Attempt, AttemptResult, DiscoveryCommand, FinalResponse, Message, PeerMessage,
    PriorityMessage, Ticket, UpstreamCommand,
};
use crate::runtime_files::{RuntimeFiles, SaveError};

use open_requests::{AttemptState, OpenRequest, OpenRequests};

/// Where the driver's commands go.
pub(crate) struct Outputs {
    /// To the connections to servers.
    pub upstream: mpsc::UnboundedSender<UpstreamCommand>,
    /// To discovery.
    pub discovery: mpsc::UnboundedSender<DiscoveryCommand>,
    /// To the peers.
    pub peers: mpsc::UnboundedSender<PeerMessage>,
}

/// The driver of one decision module.
pub(crate) struct Driver {
    balancer: Balancer,
    settings: Settings,
    clock: Clock,
    log: Logger,
    outputs: Outputs,
    overrides: ServerOverrides,
    files: RuntimeFiles,
    partners: Rc<Partners>,
    /// The time and the token of each timer.
    timers: BTreeSet<(Micros, u64)>,
    open: OpenRequests,
    /// The address of each listed server.
    servers: BTreeMap<ServerId, SocketAddr>,
    /// Events that follow from actions and have not been handled.
    pending: VecDeque<Event>,
}

impl Driver {
    /// A driver that knows no servers yet.
    pub(crate) fn new(
        balancer: Balancer,
        settings: Settings,
        clock: Clock,
        log: Logger,
        outputs: Outputs,
        (overrides, files, partners): (ServerOverrides, RuntimeFiles, Rc<Partners>),
    ) -> Self {
        Driver {
            balancer,
            settings,
            clock,
            log,
            outputs,
            overrides,
            files,
            partners,
            timers: BTreeSet::new(),
            open: OpenRequests::default(),
            servers: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Handles the messages of both queues until all senders are dropped. `on_servers_known` is
    /// called after each message while any server is listed.
    pub(crate) async fn run(
        mut self,
        mut queue: mpsc::UnboundedReceiver<Message>,
        mut priority_queue: mpsc::UnboundedReceiver<PriorityMessage>,
        on_servers_known: impl Fn(),
    ) {
        loop {
            let due = self.timers.first().map(|&(at, _)| self.clock.at(at).into());
            tokio::select! {
                biased;
                // Timers come first, because the queue may never be empty.
                () = async { tokio::time::sleep_until(due.unwrap()).await }, if due.is_some() => {
                    if let Some((_, token)) = self.timers.pop_first() {
                        self.dispatch(Event::Timer { token });
                    }
                }
                // Operators come next, so that they get through any amount of traffic.
                Some(message) = priority_queue.recv() => self.handle_priority(message),
                message = queue.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                }
            }
            if !self.servers.is_empty() {
                on_servers_known();
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::RequestArrived(arrival) => self.request_arrived(arrival),
            Message::ClientDisconnected(ticket) => self.client_disconnected(ticket),
            Message::RequestComplete(ticket) => self.request_complete(ticket),
            Message::AttemptEnded(result) => self.attempt_ended(result),
            Message::HealthCheckEnded {
                server,
                outcome,
                latency,
                load,
            } => {
                debug!(self.log, "health check ended"; "at" => self.clock.now(), "server" => format_args!("{:016x}", server.0),
                    "outcome" => ?outcome, "took" => latency);
                self.dispatch(Event::ProbeEnded {
                    server,
                    outcome,
                    latency,
                    load,
                });
            }
            Message::PeerDatagram { from, data } => {
                self.dispatch(Event::PeerMessage { from, data });
            }
            Message::EndpointsUpdated(update) => {
                let update = self.overrides.apply_discovery(update);
                self.update_endpoints(update);
            }
        }
    }

    fn handle_priority(&mut self, message: PriorityMessage) {
        match message {
            PriorityMessage::Command(call, reply) => {
                let answer = self.execute(&call);
                info!(self.log, "operator command executed"; "result" => ?answer.as_ref().map_err(ToString::to_string));
                // A caller that has disconnected has no use for the answer; its command is done.
                let _ = reply.send(answer);
            }
            PriorityMessage::PartnerOverride(change) => {
                info!(self.log, "override received from the other process"; "server" => &change.uid, "disabled" => change.disabled_at.is_some());
                if let Some(update) = self.overrides.apply_override(change) {
                    self.update_endpoints(update);
                }
                // A failure is logged there; the other process reports it to the operator.
                let _ = self.save_overrides();
            }
            PriorityMessage::DelegateWarmUp(on) => {
                let warm_up = self.settings.safety.warm_up;
                if let Some(update) = self
                    .overrides
                    .delegate_started_after(on.then(|| self.clock.now().saturating_sub(warm_up)))
                {
                    self.update_endpoints(update);
                }
            }
            PriorityMessage::DescribeState(reply) => {
                drop(reply.send((self.overrides.state().clone(), self.overrides.discovered())));
            }
        }
    }

    /// Executes an operator's command.
    fn execute(&mut self, command: &Command) -> Reply {
        let now = self.clock.now();
        let uid = match command {
            Command::Ready if self.servers.is_empty() => return Err(CommandError::NoEndpoints),
            Command::Ready if !self.partners.may_serve() => {
                return Err(CommandError::PredecessorServing);
            }
            Command::Ready => return Ok("ready".to_string()),
            Command::DisableServer(uid) | Command::EnableServer(uid) => uid,
        };
        let before = self.overrides.override_of(uid);
        let applied = match command {
            Command::DisableServer(uid) => self.overrides.disable(uid, now)?,
            _ => self.overrides.enable(uid, now)?,
        };
        let remark = applied.remark;
        if let Some(update) = applied.update {
            self.update_endpoints(update);
        }
        let after = self.overrides.override_of(uid);
        if after == before {
            return Ok(remark);
        }
        self.partners.send(handover::Message::Override(after));
        // Saved before the operator learns of it, so that the override outlives this process.
        Ok(if self.save_overrides().is_ok() {
            remark
        } else {
            format!("{remark}, until this process ends: it could not be written down")
        })
    }

    /// Saves the overrides, and logs a failure.
    fn save_overrides(&self) -> Result<(), SaveError> {
        self.files
            .save_overrides(self.overrides.state())
            .inspect_err(|error| {
                warn!(self.log, "disabled servers could not be saved"; "why" => %error);
            })
    }

    fn request_arrived(&mut self, arrival: Arrival) {
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
        let id = self.open.insert(ticket, expires, payload, reply);
        debug!(self.log, "request arrived"; "at" => self.clock.now(), "request" => id, "class" => class, "expires" => expires);
        self.dispatch(Event::Request(Request {
            id,
            class,
            tenant,
            key: subject,
            work_hint: None,
            client_retry,
            expires,
        }));
    }

    fn client_disconnected(&mut self, ticket: Ticket) {
        debug!(self.log, "client disconnected"; "at" => self.clock.now(), "request" => self.open.id_of(ticket));
        if let Some(id) = self.open.disconnect(ticket) {
            let _ = self.outputs.upstream.send(UpstreamCommand::RequestOver(id));
            self.dispatch(Event::ClientDisconnected { id });
            self.open.remove_if_over(id);
        }
    }

    /// The last byte of a request has come: its client's time begins.
    fn request_complete(&mut self, ticket: Ticket) {
        let now = self.clock.now();
        let Some(id) = self.open.id_of(ticket) else {
            return;
        };
        let Some(request) = self.open.get_mut(id) else {
            return;
        };
        request.complete_at = now;
        request.expires = now + request.payload.client_timeout;
        let expires = request.expires;
        debug!(self.log, "request complete"; "at" => now, "request" => id, "expires" => expires);
        self.dispatch(Event::RequestComplete { id, expires });
    }

    fn attempt_ended(&mut self, result: AttemptResult) {
        let AttemptResult {
            id,
            number,
            outcome,
            body,
            load,
        } = result;
        let Some(request) = self.open.get_mut(id) else {
            return;
        };
        let attempt = request.attempts.get_mut(number as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        // The time in which the client was still sending does not count as the server's latency.
        let (server, sent) = (attempt.server, attempt.sent_at.max(request.complete_at));
        if outcome == Outcome::Ok {
            self.respond(id, FinalResponse::Served(body));
        }
        let finished = self.open.get(id).is_none_or(OpenRequest::is_answered);
        let latency = self.clock.now().saturating_sub(sent);
        debug!(self.log, "attempt ended"; "at" => self.clock.now(), "request" => id, "attempt" => number,
            "server" => format_args!("{:016x}", server.0), "outcome" => ?outcome, "took" => latency);
        self.dispatch(Event::AttemptEnded(AttemptEnded {
            id,
            server,
            attempt: number,
            outcome,
            latency,
            finished,
            load,
        }));
        self.open.remove_if_over(id);
    }

    /// Passes an update of the endpoints, to which the overrides have been applied, to the decision
    /// module and to the connections.
    fn update_endpoints(&mut self, update: EndpointUpdate) {
        let EndpointUpdate {
            scope, endpoints, ..
        } = update;
        let mut removed: BTreeSet<ServerId> = match scope {
            Scope::Complete | Scope::Cached => self.servers.keys().copied().collect(),
            _ => BTreeSet::new(),
        };
        for Endpoint { server, target } in &endpoints {
            removed.remove(&server.id);
            // A server that has ended is dropped, because it gets no request again.
            match server.phase {
                Phase::Gone => drop(self.servers.remove(&server.id)),
                _ => drop(self.servers.insert(server.id, target.endpoint)),
            }
            // An attempt that was decided before this update may still be on its way to the
            // socket, where it must not be written.
            let command = if server.phase == Phase::Ready {
                UpstreamCommand::ResumeSending(server.id)
            } else {
                UpstreamCommand::StopSending(server.id)
            };
            let _ = self.outputs.upstream.send(command);
        }
        for id in removed {
            self.servers.remove(&id);
            let _ = self.outputs.upstream.send(UpstreamCommand::StopSending(id));
        }
        let servers: Vec<_> = endpoints
            .into_iter()
            .map(|endpoint| endpoint.server)
            .collect();
        let entries = servers.len();
        for server in &servers {
            debug!(self.log, "server listed"; "at" => self.clock.now(), "server" => format_args!("{:016x}", server.id.0),
                "phase" => ?server.phase, "zone" => server.zone, "size" => server.size, "started" => ?server.started);
        }
        self.dispatch(Event::Members(Listing { scope, servers }));
        info!(self.log, "endpoint update: {:?}", scope; "entries" => entries, "known" => self.servers.len());
    }

    /// Sends the final response, if the request has none yet.
    fn respond(&mut self, id: RequestId, response: FinalResponse) {
        let Some(reply) = self.open.take_reply(id) else {
            return;
        };
        debug!(self.log, "request answered"; "at" => self.clock.now(), "request" => id, "answer" => match &response {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected(_) => "rejected",
            FinalResponse::Failed => "failed",
        });
        let request = self.open.get(id);
        if request.is_some_and(OpenRequest::has_attempt_in_flight) {
            let _ = self.outputs.upstream.send(UpstreamCommand::RequestOver(id));
        }
        // A client that has just disconnected reports that in the queue.
        let _ = reply.send(response);
    }

    /// Passes an event to the decision module, and carries out the actions that follow, with the
    /// events that these cause.
    fn dispatch(&mut self, event: Event) {
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
                start_deadline,
            } => self.send(id, server, timeout, start_deadline),
            Action::Reject { id, retry_after } => {
                self.respond(id, FinalResponse::Rejected(retry_after));
                self.open.remove_if_over(id);
            }
            Action::Fail { id } => {
                self.respond(id, FinalResponse::Failed);
                self.open.remove_if_over(id);
            }
            Action::Cancel { id, attempt } => {
                drop(
                    self.outputs
                        .upstream
                        .send(UpstreamCommand::Cancel(id, attempt)),
                );
            }
            Action::Timer { delay, token } => {
                self.timers
                    .insert((self.clock.now().saturating_add(delay), token));
            }
            Action::Subscribe => drop(self.outputs.discovery.send(DiscoveryCommand::StartWatching)),
            Action::Unsubscribe => {
                drop(self.outputs.discovery.send(DiscoveryCommand::StopWatching));
            }
            Action::FetchAll => drop(self.outputs.discovery.send(DiscoveryCommand::FetchAll)),
            Action::Probe { server } => match self.servers.get(&server) {
                Some(&address) => {
                    drop(
                        self.outputs
                            .upstream
                            .send(UpstreamCommand::CheckHealth(server, address)),
                    );
                }
                None => {
                    warn!(self.log, "health check of a server that is not listed"; "server" => server.0);
                }
            },
            Action::SendToPeers { to, data } => {
                drop(self.outputs.peers.send(PeerMessage { to, data }));
            }
            Action::CloseIdle { server } => {
                drop(
                    self.outputs
                        .upstream
                        .send(UpstreamCommand::CloseIdle(server)),
                );
            }
            Action::Log(text) => info!(self.log, "{}", text),
        }
    }

    /// Sends an attempt, unless a limit forbids it: whatever the decision module asks for, there
    /// are never more attempts, one after another or in parallel, than the settings permit.
    fn send(
        &mut self,
        id: RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        start_deadline: Option<Micros>,
    ) {
        let now = self.clock.now();
        let limits = &self.settings.limits;
        let Some(request) = self.open.get_mut(id) else {
            warn!(self.log, "attempt of a request that is over"; "request" => id);
            return;
        };
        let number = request.attempts.len() as u32;
        let flow = request.payload.streamed_body();
        let is_body_consumed = flow.is_some_and(|flow| !flow.is_replayable());
        let is_over = request.is_answered()
            || number >= limits.max_attempts
            || now >= request.expires
            || is_body_consumed;
        let is_forbidden_hedge = !limits.allow_hedging && request.has_attempt_in_flight();
        let address = self.servers.get(&server).copied();
        let address = address.filter(|_| !is_over && !is_forbidden_hedge);
        request.attempts.push(AttemptState {
            server,
            sent_at: now,
            in_flight: address.is_some(),
        });
        let Some(address) = address else {
            let why = if is_body_consumed {
                "its body has been consumed"
            } else {
                "it is over, not to be hedged, or its server is not listed"
            };
            debug!(self.log, "attempt suppressed"; "request" => id, "server" => server.0, "why" => why);
            let not_sent = AttemptEnded {
                id,
                server,
                attempt: number,
                outcome: Outcome::NotSent,
                latency: 0,
                finished: request.is_answered(),
                load: None,
            };
            return self.pending.push_back(Event::AttemptEnded(not_sent));
        };
        debug!(self.log, "attempt sent"; "at" => now, "request" => id, "attempt" => number,
            "server" => format_args!("{:016x}", server.0));
        // While a body is streamed, the decision module ends the attempt at the client's deadline.
        let timeout = timeout.filter(|_| request.payload.streamed_body().is_none());
        let deadline = timeout.map_or(request.expires, |timeout| {
            request.expires.min(now + timeout)
        });
        let payload = Rc::clone(&request.payload);
        let _ = self.outputs.upstream.send(UpstreamCommand::Send(Attempt {
            id,
            number,
            server,
            address,
            deadline,
            start_deadline,
            payload,
        }));
    }
}
