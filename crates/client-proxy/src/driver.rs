//! Event loop that owns the decision module (`ironmast_balancer`), its timers and the open
//! requests.
//!
//! The driver takes messages from its queues one at a time, passes them to the decision module as
//! events, and carries out every action that the module requests. No other task calls the module,
//! so it needs no locks.

mod attempts;
mod endpoints;
mod open_requests;
mod operators;
mod outputs;
mod requests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use ironmast_admin::overrides::ServerOverrides;
use ironmast_balancer::{Action, Balancer, Event, Micros, ServerId, Settings};
use ironmast_transport::clock::Clock;
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc;

use crate::hot_restart::partners::Partners;
use crate::message::{DiscoveryCommand, Message, PeerMessage, PriorityMessage, UpstreamCommand};
use crate::runtime_files::RuntimeFiles;

use open_requests::OpenRequests;

pub(crate) use outputs::Outputs;

/// Dependencies and initial state of a [`Driver`].
pub(crate) struct DriverContext {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Clock for timers, deadlines and latencies.
    pub clock: Clock,
    /// Logger of the process.
    pub log: Logger,
    /// Channels to the tasks that execute commands.
    pub outputs: Outputs,
    /// Operators' overrides of servers at startup.
    pub overrides: ServerOverrides,
    /// Files to which changed overrides are saved.
    pub files: RuntimeFiles,
    /// Links to the other processes of a hot restart.
    pub partners: Rc<Partners>,
}

/// Event loop around one decision module; see the module documentation.
pub(crate) struct Driver {
    balancer: Balancer,
    settings: Settings,
    clock: Clock,
    log: Logger,
    outputs: Outputs,
    overrides: ServerOverrides,
    files: RuntimeFiles,
    partners: Rc<Partners>,
    /// Pending timers, as clock reading and token.
    timers: BTreeSet<(Micros, u64)>,
    open: OpenRequests,
    /// Address of each listed server.
    servers: BTreeMap<ServerId, SocketAddr>,
    /// Events caused by actions, not yet passed to the decision module.
    pending: VecDeque<Event>,
}

impl Driver {
    /// Creates a driver with an empty server list.
    pub(crate) fn new(balancer: Balancer, context: DriverContext) -> Self {
        Driver {
            balancer,
            settings: context.settings,
            clock: context.clock,
            log: context.log,
            outputs: context.outputs,
            overrides: context.overrides,
            files: context.files,
            partners: context.partners,
            timers: BTreeSet::new(),
            open: OpenRequests::default(),
            servers: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Handles messages of both queues and due timers, until all senders of `queue` are dropped.
    /// Calls `on_servers_known` after each of them while at least one server is listed.
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
                // Timers have priority, because the queue may never become empty under load.
                () = async { tokio::time::sleep_until(due.unwrap()).await }, if due.is_some() => {
                    if let Some((_, token)) = self.timers.pop_first() {
                        self.dispatch(Event::Timer { token });
                    }
                }
                // Priority messages come next, so that operators are served under any load.
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
                debug!(self.log, "health check ended"; "at" => self.clock.now(), "server" => %server,
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

    /// Passes an event to the decision module and carries out the resulting actions, then does the
    /// same for the events that these actions cause.
    fn dispatch(&mut self, event: Event) {
        self.pending.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    /// Carries out one action that the decision module requested.
    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                start_deadline,
            } => self.send(id, server, timeout, start_deadline),
            Action::Reject { id, retry_after } => self.reject(id, retry_after),
            Action::Fail { id } => self.fail(id),
            Action::Cancel { id, attempt } => self
                .outputs
                .command_upstream(UpstreamCommand::Cancel(id, attempt)),
            Action::Timer { delay, token } => {
                let due = self.clock.now().saturating_add(delay);
                self.timers.insert((due, token));
            }
            Action::Subscribe => self
                .outputs
                .command_discovery(DiscoveryCommand::StartWatching),
            Action::Unsubscribe => self
                .outputs
                .command_discovery(DiscoveryCommand::StopWatching),
            Action::FetchAll => self.outputs.command_discovery(DiscoveryCommand::FetchAll),
            Action::Probe { server } => self.check_health(server),
            Action::SendToPeers { to, data } => {
                self.outputs.send_to_peers(PeerMessage { to, data });
            }
            Action::CloseIdle { server } => self
                .outputs
                .command_upstream(UpstreamCommand::CloseIdle(server)),
            Action::Log(text) => info!(self.log, "{}", text),
        }
    }

    fn check_health(&self, server: ServerId) {
        match self.servers.get(&server) {
            Some(&address) => self
                .outputs
                .command_upstream(UpstreamCommand::CheckHealth(server, address)),
            None => {
                warn!(self.log, "health check not sent: the server is not listed"; "server" => %server);
            }
        }
    }
}
